//! Settings of a process, read from JSON with comments.
