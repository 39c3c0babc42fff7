//! h2 streams with bincode between instances.
