//! Messages between instances, encoded with bincode and sent over HTTP/2.
//!
//! One HTTP/2 stream carries one [`Request`] and its [`Reply`]. Before that, both sides of a
//! connection must prove that they know the shared key; see the peer crate. Bincode writes no
//! names: the order and types of fields and variants are part of the format.

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
pub mod quarantine;
pub mod queueing;
pub mod store;

/// Version of the messages. Instances of another version are refused.
pub const VERSION: u16 = 1;

/// Maximum size of one message, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// `Request` is a message from one instance to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Request {
    /// A message of the membership protocol: which instances are live, suspect, dead or
    /// leaving, and which backend servers are leaving.
    Membership(membership::Message),
    /// A driver's report to the queue owner of a pool.
    QueueReport(queueing::Report),
    /// Grants from the queue owner of a pool to a driver.
    Grants(queueing::Grants),
    /// A version or chunks of the configuration.
    Configuration(configuration::Message),
    /// A non-idempotent request for the owner of its key's slot.
    Dispatch(claims::Dispatch),
    /// Starts, ends and reroutes of streams, and the states of engines.
    Paths(paths::Message),
    /// Objects of the platform's store, for instances that don't watch it or that it refuses.
    Store(store::Message),
    /// Parts of prompts that crash engines.
    Quarantine(quarantine::Message),
}

/// `Reply` is the answer to a [`Request`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Reply {
    /// The message was accepted.
    Done,
    /// The answer to a message of the membership protocol, if there is one.
    Membership(membership::Message),
    /// The answer to a message about the configuration, if there is one.
    Configuration(configuration::Message),
    /// The answer to a dispatch.
    Dispatch(claims::Dispatched),
    /// The answer to a message about paths or engines.
    Paths(paths::Answer),
    /// The answer to a message about the store.
    Store(store::Answer),
    /// The message was refused, with the error code and the error message.
    Refused(u16, String),
    /// The answer to a message about parts of prompts.
    Quarantine(quarantine::Answer),
}

/// `Peer` sends requests to other instances.
#[async_trait]
pub trait Peer: Send + Sync {
    /// Sends `req` to the instance at `to` and waits for its reply.
    ///
    /// # Errors
    ///
    /// The attempt beside the error states whether the instance may have read the request.
    async fn call(&self, to: SocketAddr, req: Request) -> Result<Reply, (Attempt, Error)>;
}

/// `Handler` answers requests of other instances.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers one request of the instance named `from`.
    async fn handle(&self, from: &str, req: Request) -> Reply;
}

/// Encodes a message.
///
/// # Errors
///
/// Returns `Error::PeerFrame` if the message can't be encoded. The receiver checks its
/// size, as bincode applies the limit only when it decodes.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    bincode::serde::encode_to_vec(message, config).map_err(|e| Error::peer_frame(e.to_string()))
}

/// Decodes a message that must fill `frame` completely.
///
/// # Errors
///
/// Returns `Error::PeerFrame` if the frame can't be decoded or is longer than the message.
pub fn decode<T: for<'de> Deserialize<'de>>(frame: &[u8]) -> Result<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, len) = bincode::serde::decode_from_slice(frame, config)
        .map_err(|e| Error::peer_frame(e.to_string()))?;
    if len != frame.len() {
        return Err(Error::peer_frame("bytes after the message"));
    }
    Ok(message)
}
