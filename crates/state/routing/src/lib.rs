//! Choice of a path of backend servers over layer ranges.
