//! Settings of a process and documents of operators, read from JSON with comments.
//!
//! A file is checked whole: every fault is reported at once, with its line and
//! column, and an unknown key is a fault.

pub mod document;
pub mod faults;
pub mod schema;
pub mod settings;
pub mod source;

pub use crate::faults::Fault;
pub use crate::settings::Settings;
