//! Messages between instances, as bincode in h2 streams.
//!
//! One h2 stream carries one [`Request`] and its [`Reply`]. A connection must
//! first prove that it knows the shared key; see the peer crate.

use std::net::SocketAddr;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;

pub mod claims;
pub mod configuration;
pub mod membership;
pub mod paths;
pub mod queueing;
pub mod store;

/// The version of these messages; instances of another version are refused.
pub const VERSION: u16 = 1;

/// The size of one message at most, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// `Request` is what one instance asks of another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// Who is live, suspected, dead or leaving.
    Membership(membership::Message),
    /// Tickets for the home of a pool.
    QueueReport(queueing::Report),
    /// Grants from the home of a pool to a driver.
    Grants(queueing::Grants),
    /// Versions and pieces of the configuration.
    Configuration(configuration::Message),
    /// A non-idempotent request for the owner of its key's slot.
    Dispatch(claims::Dispatch),
    /// Starts and ends of streams over paths of joint engines.
    Paths(paths::Message),
    /// What the platform's store holds, for an instance that it does not serve.
    Store(store::Message),
}

/// `Reply` is what the other answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The message was taken.
    Done,
    /// The answer about members, where there is one.
    Membership(membership::Message),
    /// The answer about the configuration, where there is one.
    Configuration(configuration::Message),
    /// The answer to a dispatch.
    Dispatch(claims::Dispatched),
    /// The answer about paths.
    Paths(paths::Answer),
    /// The answer about the store.
    Store(store::Answer),
    /// The message was refused, with the code's number and a sentence.
    Refused(u16, String),
}

/// `Peer` reaches other instances.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Sends `req` to the instance at `to` and waits for its reply. The error's
    /// attempt tells whether the other may have read it.
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)>;
}

/// `Handler` answers the requests of peers.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers one request of the instance named `from`.
    async fn handle(&self, from: &str, req: Request) -> Reply;
}

/// Writes a message.
///
/// # Errors
///
/// `Error::PeerFrame` when it is larger than [`MAX_FRAME_BYTES`].
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    bincode::serde::encode_to_vec(message, config).map_err(|e| Error::peer_frame(e.to_string()))
}

/// Reads a message that must fill `frame` whole.
///
/// # Errors
///
/// `Error::PeerFrame` when it does not.
pub fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, len) = bincode::serde::decode_from_slice(frame, config)
        .map_err(|e| Error::peer_frame(e.to_string()))?;
    if len != frame.len() {
        return Err(Error::peer_frame("bytes after the message"));
    }
    Ok(message)
}
