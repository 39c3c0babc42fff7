//! Messages between a stream's instance and the home that grants its path.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// `Stage` is one engine of a path and the layers that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Stage {
    /// The engine's id.
    pub id: String,
    /// The engine's address.
    pub addr: SocketAddr,
    /// The first layer.
    pub start: u16,
    /// The layer after the last one.
    pub end: u16,
}

/// `PathRequest` asks for the start of a stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PathRequest {
    /// The stream's number at its instance.
    pub number: u64,
    /// The data centre of its caller.
    pub data_centre: String,
    /// Who asks.
    pub organisation: String,
    /// Its rank.
    pub rank: u8,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The time to the latest start with which it is on time, in milliseconds.
    pub on_time_ms: u32,
    /// The time to the latest start of any use, in milliseconds.
    pub latest_ms: u32,
    /// Whether it may wait.
    pub may_wait: bool,
}

/// `Held` is one running stream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Held {
    /// The stream's number at its instance.
    pub number: u64,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// Its path.
    pub path: Vec<Stage>,
}

/// `Reroute` asks for another path of a running stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reroute {
    /// The stream's number at its instance.
    pub number: u64,
    /// Whether memory must be free for it.
    pub must_fit: bool,
    /// Whether it stays with its first stage.
    pub keeps_first: bool,
    /// How it may cross between data centres.
    pub crossing: Crossing,
}

/// `Crossing` says how another path may cross between data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Crossing {
    /// As is best.
    Free,
    /// No more often than the path before.
    NoMore,
    /// Not at all.
    None,
}

/// `Message` is what an instance tells the home of a service, which is named first.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Asks for a start.
    PathRequest(String, PathRequest),
    /// These streams have ended or don't wait any more.
    Done(String, Vec<u64>),
    /// All streams that the instance has running there.
    Running(String, Vec<u64>),
    /// Streams that the home did not know.
    Held(String, Vec<Held>),
    /// This stream needs another path.
    Reroute(String, Reroute),
    /// This engine makes no progress.
    Dead(SocketAddr),
    /// This engine finishes what it has and takes nothing new.
    Leaving(SocketAddr),
    /// This engine's work takes so many hundredths of the published time.
    Slow(SocketAddr, u32),
    /// This engine holds these layers by its own report, from the first up to the second.
    Holds {
        /// The engine's id.
        id: String,
        /// The layers, `None` for none.
        layers: Option<(u16, u16)>,
    },
    /// This engine refused to be part of a path; it gets nothing new for this time in
    /// milliseconds.
    Refused(String, SocketAddr, u32),
}

/// `Answer` is what a home replies.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The message was taken.
    Done,
    /// The stream may run on this path.
    Granted(Vec<Stage>),
    /// The stream may not start, for this reason; a later try has a chance after this
    /// time in milliseconds.
    Refused(Reason, u32),
    /// These running streams are not known here.
    Unknown(Vec<u64>),
}

/// `Reason` is why a stream may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// No engines join to a whole path.
    NoPath,
    /// The wait would be longer than the stream can use.
    WaitTooLong,
    /// It waited until a start was of no use any more.
    Expired,
}
