//! Paths over engines that join to hold a model, their memory, and who may start.
//!
//! | Module     | Decides                                                          |
//! |------------|------------------------------------------------------------------|
//! | [`engines`] | what is known of each engine and how much of its memory is taken |
//! | [`choice`] | the cheapest path from the first layer to the last               |
//! | [`home`]   | which waiting request starts next, and which is refused at once  |
//!
//! Nothing here does I/O or reads a clock.

pub mod choice;
pub mod engines;
pub mod home;
mod meter;
pub mod ticket;

pub use crate::engines::Engines;
pub use crate::home::Home;
pub use crate::ticket::Ticket;
pub use crate::ticket::TicketId;
