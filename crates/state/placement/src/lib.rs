//! Which engine holds which layers of a joint model.
//!
//! Each data centre that can holds whole copies of its own, since traffic between data
//! centres is slow and may be cut. Memory, not speed, bounds how many requests run at
//! a time, so the weights take a part of a data centre's memory at most. More copies make
//! shorter paths: their number grows with the engines, the length of a path does not; see
//! docs/design/placement.md. [`plan`] is a pure function of what is known, so any
//! instance computes the same orders.

mod copies;
mod cover;
mod layout;
mod moves;
mod need;
mod shift;

use std::sync::Arc;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;

use crate::copies::Group;

/// `Engine` is one engine as the plan sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Its id.
    pub id: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Its accelerator.
    pub card: Card,
    /// The version of its software.
    pub version: Arc<str>,
    /// The layers that it holds or is loading.
    pub layers: Option<LayerRange>,
    /// Whether it may be given an order: it is not leaving and has none in progress.
    pub is_free: bool,
    /// Whether it serves or will: it is not leaving and not believed dead.
    pub is_live: bool,
    /// Whether it has appeared just now.
    pub is_new: bool,
}

/// `Order` tells one engine what to hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine's id.
    pub id: Arc<str>,
    /// The layers to hold.
    pub layers: LayerRange,
}

/// `Urgency` is how far a plan may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Only engines that hold nothing get orders.
    Empty,
    /// Engines beside a gap are also extended over it. Layers that no other copy holds
    /// are taken at any cost, others only while memory for requests is left.
    Repair,
    /// Engines are also moved over gaps and crowded ones relieved. This gives up layers
    /// that are in use, whose memory is free only when the last request has left them.
    Even,
}

/// The orders that bring `engines` closer to whole copies in each data centre.
pub fn plan(model: &EngineModel, engines: &[Engine], urgency: Urgency) -> Vec<Order> {
    let mut orders = Vec::new();
    let groups = copies::groups(model, engines);
    for (i, group) in groups.iter().enumerate() {
        let others = groups.iter().enumerate().filter(|(j, _)| *j != i);
        let others: Vec<&Group<'_>> = others.map(|(_, g)| g).collect();
        orders.extend(cover::orders(model, group, &others, urgency));
    }
    orders
}

/// `Holding` is what one group of engines is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The data centres of the group, in their order.
    pub data_centres: Vec<Arc<str>>,
    /// Its live engines.
    pub engines: usize,
    /// Their memory, in bytes.
    pub memory_bytes: f64,
    /// The copies that they are to hold together.
    pub copies: u16,
}

/// What each group of engines is to hold.
pub fn holdings(model: &EngineModel, engines: &[Engine]) -> Vec<Holding> {
    let groups = copies::groups(model, engines);
    groups.iter().map(Group::holding).collect()
}

/// Whether a data centre lacks layers that no live engine of it holds.
pub fn has_gap(model: &EngineModel, engines: &[Engine]) -> bool {
    let groups = copies::groups(model, engines);
    groups.iter().any(|group| cover::has_gap(model, group))
}
