//! Versions of the configuration and their spread.
