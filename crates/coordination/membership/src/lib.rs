//! Live instances and the duties they hold.
//!
//! The platform's list lags, so instances of a data centre probe each other,
//! and tell each other who is suspected, dead or leaving. Nothing that must be
//! right depends on what an instance believes here: duties that two hold at
//! once, or nobody for a while, cost efficiency only.

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
pub use crate::member::News;
pub use crate::member::State;
pub use crate::members::Action;
pub use crate::members::Event;
pub use crate::members::Members;
pub use crate::members::Message;
pub use crate::members::Told;
pub use crate::rendezvous::Duty;
pub use crate::rendezvous::score;
