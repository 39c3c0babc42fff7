//! Assigns the layers of a model to the engines that hold it together.
//!
//! Each data centre with enough memory holds whole copies of its own, since traffic between
//! data centres is slow and may be cut. Memory, not speed, limits how many requests run at
//! a time, so the weights may take only a part of a data centre's memory. With more
//! copies, each spans fewer engines and paths are shorter: the number of copies grows with
//! the engines, the length of a path does not; see docs/design/placement.md. [`plan`] is a
//! pure function of its input, so every instance computes the same orders from the same state.

mod capacity;
mod copies;
mod cover;
mod layout;
mod moves;
mod shift;

use std::sync::Arc;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;

use crate::copies::Group;

/// `Engine` describes one engine as input to a plan.
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
    /// Whether it may get an order: it is not leaving and has no order in progress.
    pub is_free: bool,
    /// Whether it serves or will serve: it is not leaving and not considered dead.
    pub is_live: bool,
    /// Whether it has started recently.
    pub is_new: bool,
}

/// `Order` assigns layers to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The engine's id.
    pub id: Arc<str>,
    /// The layers to hold.
    pub layers: LayerRange,
}

/// `Urgency` limits which engines a plan may change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Only engines without layers get orders.
    Empty,
    /// Engines with layers are also extended, above all over gaps. They are moved only if a gap
    /// stays open and there is no other order to issue. Layers that no other copy holds are
    /// loaded at almost any cost, others only while memory for requests is left.
    Repair,
    /// Engines are also moved whenever that gains enough: over gaps, and to take layers off
    /// engines with little memory left. This unloads layers that are in use, whose memory
    /// becomes free only when the last request that uses them has ended.
    Rebalance,
}

/// Returns the orders that bring `engines` closer to whole copies in each data centre.
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

/// `Holding` describes what one group of engines is to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// The data centres of the group, sorted by name.
    pub data_centres: Vec<Arc<str>>,
    /// The number of its live engines.
    pub engines: usize,
    /// The memory of its live engines, in bytes.
    pub memory_bytes: f64,
    /// The number of copies that they are to hold together.
    pub copies: u16,
}

/// Returns what each group of engines is to hold.
pub fn holdings(model: &EngineModel, engines: &[Engine]) -> Vec<Holding> {
    let groups = copies::groups(model, engines);
    groups.iter().map(Group::holding).collect()
}

/// Returns whether some group has a gap: a layer that none of its live engines holds.
pub fn has_gap(model: &EngineModel, engines: &[Engine]) -> bool {
    let groups = copies::groups(model, engines);
    groups.iter().any(|group| cover::has_gap(model, group))
}
