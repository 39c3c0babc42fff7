//! The groups of engines that share copies, and the number of copies of each.

use hemlockwind_core::servers::EngineModel;

use crate::Engine;
use crate::Holding;
use crate::layout;

/// The part of a group's memory that weights may take when it holds several copies;
/// docs/design/placement.md compares it with other values. The loss of an engine affects
/// only the requests of its copy, so more copies are better as long as memory is not short.
const WEIGHTS_PART: f64 = 0.75;

/// The value instead of [`WEIGHTS_PART`] for long copies: the loss of one engine then
/// affects the requests of so many engines that a further copy is worth more than the memory
/// that it takes.
const LONG_WEIGHTS_PART: f64 = 0.8;
/// The number of engines above which a copy counts as long: the limit on the stages of a
/// path in docs/design/placement.md.
const LONG_COPY: usize = 16;

/// `Group` holds the engines that share copies: those of one data centre, or of all data
/// centres that are too small for a copy of their own.
pub struct Group<'a> {
    /// The engines, in the order of their ids.
    pub engines: Vec<&'a Engine>,
    /// The number of whole copies that the live engines should hold together.
    pub copies: u16,
}

impl<'a> Group<'a> {
    fn new(model: &EngineModel, engines: Vec<&'a Engine>) -> Self {
        let live: Vec<&Engine> = engines.iter().filter(|e| e.is_live).copied().collect();
        let copies = copy_count(model, &live);
        Self { engines, copies }
    }

    /// Returns the live engines.
    pub fn live(&self) -> Vec<&'a Engine> {
        let live = self.engines.iter().filter(|e| e.is_live);
        live.copied().collect()
    }

    /// Returns what the group is to hold.
    pub fn holding(&self) -> Holding {
        let live = self.live();
        let mut data_centres: Vec<_> = live.iter().map(|e| e.data_centre.clone()).collect();
        data_centres.sort_unstable();
        data_centres.dedup();
        Holding {
            data_centres,
            engines: live.len(),
            memory_bytes: live.iter().map(|e| e.card.memory_bytes).sum(),
            copies: self.copies,
        }
    }
}

/// Returns the number of copies that `engines` should hold: as many as leave enough memory
/// for requests, and at least one. It depends on their total memory, and on their number as
/// far as that decides whether copies are long, so the loss of an engine changes it only near
/// a threshold.
fn copy_count(model: &EngineModel, engines: &[&Engine]) -> u16 {
    let memory: f64 = engines.iter().map(|e| e.card.memory_bytes).sum();
    let copy = f64::from(model.layers) * model.layer_bytes;
    // Truncation is intended: a part of a copy can't serve requests.
    let whole = |part: f64| ((memory * part / copy) as u16).max(1);
    let usual = whole(WEIGHTS_PART);
    match engines.len() > LONG_COPY * usize::from(usual) {
        true => whole(LONG_WEIGHTS_PART),
        false => usual,
    }
}

/// Divides all engines into groups.
pub fn groups<'a>(model: &EngineModel, engines: &'a [Engine]) -> Vec<Group<'a>> {
    let mut names: Vec<_> = engines.iter().map(|e| &e.data_centre).collect();
    names.sort_unstable();
    names.dedup();
    let mut groups = Vec::new();
    let mut small = Vec::new();
    for name in names {
        let members = engines.iter().filter(|e| e.data_centre == *name);
        let mut group: Vec<&Engine> = members.collect();
        group.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        match layout::can_hold(model, &group) {
            true => groups.push(Group::new(model, group)),
            false => small.extend(group),
        }
    }
    if !small.is_empty() {
        groups.push(Group::new(model, small));
    }
    groups
}
