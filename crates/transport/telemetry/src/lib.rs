//! Logs, metrics and histograms.

pub mod budget;
pub mod histograms;
pub mod logs;
pub mod metrics;

pub use crate::histograms::Histograms;
pub use crate::metrics::Metrics;
