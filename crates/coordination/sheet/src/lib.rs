//! The planners' daily sheet: a CSV file with the intended configuration of one day.
//!
//! [`read`] checks a whole file and returns either a [`Sheet`] or every fault by row
//! and column. [`admit`] decides whether a sheet may be applied today, and
//! [`differences`] lists its changes.

mod cells;
mod column;
mod day;
mod difference;
mod fault;
mod read;
mod sheet;
mod table;
mod text;

pub use crate::column::Column;
pub use crate::column::Kind;
pub use crate::day::Refusal;
pub use crate::day::admit;
pub use crate::day::today;
pub use crate::difference::Change;
pub use crate::difference::Difference;
pub use crate::difference::differences;
pub use crate::fault::Fault;
pub use crate::fault::error;
pub use crate::read::read;
pub use crate::sheet::BackendServer;
pub use crate::sheet::Organisation;
pub use crate::sheet::Pipeline;
pub use crate::sheet::Rank;
pub use crate::sheet::Role;
pub use crate::sheet::Sheet;
pub use jiff::civil::Date;
