//! Messages between instances, encoded by bincode and sent over HTTP/2.
//!
//! Each connection begins with a challenge-response handshake in header fields: both
//! sides prove by HMAC that they hold the shared key. No body is read before that.

pub mod client;
pub mod proof;
pub mod server;

mod body;
mod compression;

pub use crate::client::Frame;
pub use crate::client::H2Peer;
pub use crate::proof::SharedKey;
