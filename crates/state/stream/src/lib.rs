//! Steps, incarnations and recovery of one stream.
