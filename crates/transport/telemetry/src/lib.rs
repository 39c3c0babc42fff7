//! Logs, metrics and histograms.
