//! Messages between the instance of a stream and the queue owner that grants its path, and
//! messages about the state of engines.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The longest time for which a queue owner lets a [`Message::UrgentReroute`] wait for a batch. The
/// time limit of the call is longer by the time that a call may take.
pub const MAX_REROUTE_WAIT: Duration = Duration::from_millis(210);

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

/// `PathRequest` requests a path on which a stream can start.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PathRequest {
    /// The stream's number at its instance.
    pub number: u64,
    /// The data centre of the caller.
    pub data_centre: String,
    /// The organisation of the caller.
    pub organisation: String,
    /// The rank of the request.
    pub rank: u8,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The time to the latest start with which the stream is on time, in milliseconds.
    pub on_time_ms: u32,
    /// The time to the latest useful start, in milliseconds.
    pub latest_ms: u32,
    /// Whether the request may wait in the queue.
    pub may_wait: bool,
}

/// `AdmissionRequest` requests a path for a new stream, whose caller may have been refused before.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// The request.
    pub request: PathRequest,
    /// A hash of the organisation, the model and the prompt, by which the caller is recognised when
    /// it returns.
    pub fingerprint: Option<u64>,
    /// The time to the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The rank of its route.
    pub route_rank: u8,
}

/// `NotAdmitted` holds what the refusal of an [`AdmissionRequest`] was based on.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NotAdmitted {
    /// Why it was refused.
    pub cause: Cause,
    /// Its rank.
    pub rank: u8,
    /// Tokens of the organisation's running requests.
    pub tokens_in_progress: u64,
    /// The expected wait, in milliseconds.
    pub expected_wait_ms: u32,
    /// The time to its latest start, in milliseconds.
    pub time_left_ms: u32,
    /// The time after which the caller should return, in milliseconds.
    pub retry_ms: u32,
    /// Whether the caller had been refused before.
    pub was_refused: bool,
}

/// `Cause` is why an [`AdmissionRequest`] was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Cause {
    /// The usable engines don't form a whole path.
    NoPath,
    /// It arrived when its expected wait was too long.
    Arrival,
    /// Its expected wait became too long while it waited.
    Waiting,
    /// Its latest start passed while it waited.
    Expired,
    /// The queue is full.
    QueueFull,
}

/// `Held` describes one running stream, which holds memory on its path.
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

/// `Reroute` requests a new path for a running stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reroute {
    /// The stream's number at its instance.
    pub number: u64,
    /// Whether memory must be free on all stages.
    pub must_fit: bool,
    /// Whether the first stage must stay, as it continues the stream.
    pub keeps_first: bool,
    /// How the new path may cross between data centres.
    pub crossing: Crossing,
}

/// `Crossing` limits how a new path may cross between data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Crossing {
    /// Without a limit.
    Free,
    /// No more often than the old path.
    NoMore,
    /// Not at all.
    None,
}

/// `Urgency` says how urgently a running stream needs a new path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Urgency {
    /// The rank of the request.
    pub rank: u8,
    /// The time since its last progress, in milliseconds.
    pub silent_ms: u32,
    /// The time until its caller leaves, in milliseconds.
    pub leaves_in_ms: u32,
}

/// `Limit` is what an instance saw a backend server announce.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Limit {
    /// The id of the backend server.
    pub server: String,
    /// Thousandths of a request per second that it takes from all instances together; `None` if it
    /// announces no limit.
    pub rate: Option<u64>,
    /// The age of the observation, in milliseconds.
    pub age_ms: u32,
}

/// `Message` is a message to a queue owner. A message about its queue starts with the owner's
/// key: the name of the service whose engines it manages. Messages about the state of an
/// engine also go to the instances that may issue orders and, except [`Message::Holds`], to
/// those with streams on the engine.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests a path for a new stream.
    PathRequest(String, PathRequest),
    /// Reports that these streams have ended or no longer wait.
    Done(String, Vec<u64>),
    /// Lists all streams that the instance runs on engines of this queue owner.
    Running(String, Vec<u64>),
    /// Describes running streams of which the queue owner had no record.
    Held(String, Vec<Held>),
    /// Requests a new path for a running stream.
    Reroute(String, Reroute),
    /// Reports that an engine makes no progress.
    Dead(SocketAddr),
    /// Reports that an engine finishes its work and accepts no more.
    Leaving(SocketAddr),
    /// Reports how slow an engine is: the time that its work takes, in hundredths of the time
    /// that follows from its published speed.
    Slow(SocketAddr, u32),
    /// Reports which layers an engine holds by its own report.
    Holds {
        /// The engine's id.
        id: String,
        /// The first layer and the one after the last; `None` if it holds none.
        layers: Option<(u16, u16)>,
    },
    /// Reports that an engine refused to be part of a path. The queue owner excludes it from
    /// new work for this time, in milliseconds.
    Refused(String, SocketAddr, u32),
    /// Reports that a backend server, given by its id, announced that it leaves.
    Announced {
        /// Its id.
        id: String,
        /// When its process had started, in milliseconds since the Unix epoch.
        born_ms: u64,
    },
    /// Reports that an engine wants no new request for this time, in milliseconds. It goes on as
    /// a later stage of paths.
    NoStarts(String, SocketAddr, u32),
    /// Reports the limits that backend servers of the service announced, or that they no longer
    /// announce one.
    Limits(String, Vec<Limit>),
    /// Requests to send one request to one of these backend servers of the service, which
    /// announced limits; those named first are preferred.
    Permit(String, Vec<Limit>),
    /// Requests a path for a new stream, with what the queue owner needs if it can't start.
    AdmissionRequest(String, AdmissionRequest),
    /// Requests a new path for a running stream, which the queue owner may let wait for those
    /// that need one more urgently.
    UrgentReroute(String, Reroute, Urgency),
}

/// `Answer` is the answer to a [`Message`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The message was accepted.
    Done,
    /// The stream may run on this path.
    Granted(Vec<Stage>),
    /// The stream may not start, for this reason. A retry may succeed after this time, in
    /// milliseconds.
    Refused(Reason, u32),
    /// The queue owner has no record of these running streams.
    Unknown(Vec<u64>),
    /// The stream may run on this path, whose first engine announced a limit.
    GrantedLimited(Vec<Stage>),
    /// The request may be sent to the backend server with this id.
    Permitted(String),
    /// None of the backend servers may get a request now. One may after this time, in
    /// milliseconds.
    NotPermitted(u32),
    /// The stream of an [`Message::AdmissionRequest`] may not start.
    NotAdmitted(NotAdmitted),
}

/// `Reason` is why a stream may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Reason {
    /// The usable engines don't form a whole path.
    NoPath,
    /// The expected wait is too long for the latest useful start.
    WaitTooLong,
    /// The latest useful start passed while the request waited.
    Expired,
}
