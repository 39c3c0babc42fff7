//! Choice of a path of backend servers over layer ranges.
//!
//! The layer boundaries of a model are the nodes of a small acyclic graph and its backend
//! servers are the edges. [`graph::Graph`] holds them and chooses the path with the least
//! expected time; [`flow::Flow`] computes the maximum throughput of the same graph.

pub mod flow;
pub mod graph;
pub mod group;
pub mod path;
pub mod server;

pub use crate::flow::Flow;
pub use crate::graph::Graph;
pub use crate::graph::Preferences;
pub use crate::path::Path;
pub use crate::path::Stage;
pub use crate::server::Report;
pub use crate::server::Server;
