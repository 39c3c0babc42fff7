//! Settings of a process and documents of operators, read from JSON with comments.
//!
//! All faults of a file are reported at once, each with its line and column. Unknown keys
//! are faults.

pub mod document;
pub mod faults;
pub mod schema;
pub mod settings;
pub mod source;

pub use crate::faults::Fault;
pub use crate::settings::Settings;
