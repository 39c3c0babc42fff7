//! Live instances and the assignments they hold.
//!
//! The platform's list lags, so the instances of a data centre probe each other and
//! gossip about which ones are suspect, dead or leaving. Correctness never depends on
//! this local view: an assignment that two instances hold at once, or that none holds
//! for a while, only costs efficiency.

mod contacts;
mod departures;
mod gossip;
mod member;
mod members;
mod rendezvous;
mod table;

pub use crate::departures::Departure;
pub use crate::departures::Departures;
pub use crate::member::Identity;
pub use crate::member::Incarnation;
pub use crate::member::MemberUpdate;
pub use crate::member::State;
pub use crate::members::Action;
pub use crate::members::Event;
pub use crate::members::Members;
pub use crate::members::Message;
pub use crate::members::Payload;
pub use crate::rendezvous::Assignment;
pub use crate::rendezvous::score;
