//! Steps, incarnations and recovery of one stream.
//!
//! A [`stream::Stream`] drives one request over the stages of a path: it takes
//! the current time and an [`event::Event`] and returns [`action::Action`]s. It
//! has one step outstanding at a time and takes a result only when its
//! `StepId` equals that step's, so late, crossed or repeated results change
//! nothing.

pub mod action;
pub mod avoid;
pub mod dispatch;
pub mod event;
pub mod options;
pub mod route;
pub mod stream;

pub use hemlockwind_routing::Path;
pub use hemlockwind_routing::Stage;

pub use crate::action::Action;
pub use crate::action::Finish;
pub use crate::event::Event;
pub use crate::options::Options;
pub use crate::stream::Stream;
