//! Steps, incarnations and recovery of one stream.
//!
//! A [`stream::Stream`] runs one request over the stages of a path: it takes the
//! current time and an [`event::Event`] and returns [`action::Action`]s. It has at most
//! one step outstanding and accepts a result only if its `StepId` equals that step's,
//! so late, misdirected and duplicate results are ignored.

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
