//! Interfaces to everything outside the process: clocks, the platform, engines and
//! services. Each trait has one implementation outside of tests.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use futures::stream::BoxStream;

use crate::Result;
use crate::attempt::Attempt;
use crate::engine::LoadReport;
use crate::engine::RequestId;
use crate::engine::Step;
use crate::engine::StepResult;
use crate::errors::Error;
use crate::time::Instant;
use crate::time::WallTime;

/// `Clock` provides the current time.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;
    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}

/// `ObjectVersion` is the version that the platform assigns to an object: the era of the store in
/// the high 16 bits and the revision in the low 48. The store raises the era when it is restored
/// from a snapshot, after which it issues revisions again. So versions are ordered by era first. A
/// store that sends no era has era 0, in which the version equals the revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// The number of bits of the revision.
    const REVISION_BITS: u32 = 48;
    /// The highest revision.
    pub const MAX_REVISION: u64 = (1 << Self::REVISION_BITS) - 1;

    /// Returns a version, or `None` if the revision has more than 48 bits.
    pub const fn new(era: u16, revision: u64) -> Option<Self> {
        match revision <= Self::MAX_REVISION {
            true => Some(Self(((era as u64) << Self::REVISION_BITS) | revision)),
            false => None,
        }
    }

    /// Returns the era of the store.
    pub const fn era(self) -> u16 {
        (self.0 >> Self::REVISION_BITS) as u16
    }

    /// Returns the revision, which calls to the store carry.
    pub const fn revision(self) -> u64 {
        self.0 & Self::MAX_REVISION
    }
}

/// `Object` is one object in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The name of the object.
    pub name: String,
    /// The version of the object.
    pub version: ObjectVersion,
    /// The value, at most one megabyte.
    pub value: Bytes,
}

/// `Precondition` is the condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// The write is unconditional.
    None,
}

/// `PutOutcome` is the outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write took effect under this version.
    Done(ObjectVersion),
    /// The precondition did not hold; nothing changed.
    Conflict,
    /// The platform refused before any effect.
    Refused(Error),
    /// The write may or may not have taken effect.
    Unknown(Error),
}

/// `WatchEvent` is one event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An object was written.
    Put(Object),
    /// An object was removed.
    Delete(String),
    /// No object changed; the event shows that the watch still works.
    Bookmark,
}

/// `ListState` is the state of an instance or backend server in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}

/// `ListEntry` is one entry of the platform's list of instances and backend servers, which may
/// be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The address for peers of an instance, or the address of a backend server.
    pub addr: SocketAddr,
    /// The kind of the entry: an instance of hemlockwind or a backend server.
    pub kind: ListKind,
    /// The state: live or leaving.
    pub state: ListState,
}

/// `ListKind` is the kind of an entry of the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// An instance of hemlockwind.
    Instance,
    /// A backend server.
    BackendServer,
}

/// `Platform` gives access to the platform's objects and its list of instances.
#[async_trait]
pub trait Platform: Send + Sync {
    /// Returns the object of this name, or `None` if there is none.
    async fn get(&self, name: &str) -> Result<Option<Object>>;
    /// Writes an object if the precondition `when` holds.
    async fn put(&self, name: &str, value: Bytes, when: Precondition) -> PutOutcome;
    /// Returns all objects whose name starts with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>>;
    /// Returns the changes after version `from` of objects whose name starts with
    /// `prefix`.
    async fn watch(
        &self,
        prefix: &str,
        from: ObjectVersion,
    ) -> Result<BoxStream<'static, Result<WatchEvent>>>;
    /// Returns the newest era that an answer showed. To be read after each call: an answer that there
    /// is no object shows its era here only.
    fn era(&self) -> u16 {
        0
    }
    /// Returns the list of live and leaving instances and backend servers.
    async fn instances(&self) -> Result<Vec<ListEntry>>;
}

/// `Order` instructs an engine to load a range of layers. Only the holder of a lease sends
/// it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The model to load.
    pub model: String,
    /// The layers to load.
    pub layers: crate::layers::LayerRange,
    /// The fencing token of the lease under which the order is sent.
    pub fencing: u64,
}

/// `KvExport` is the KV cache of one stream on one engine, opaque to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvExport {
    /// The number of tokens that it covers, counted as in `StepId::token`.
    pub tokens: u32,
    /// The content of the cache.
    pub data: Bytes,
}

/// `Engine` sends calls to engines, each of which holds a range of layers.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs the steps in one call.
    ///
    /// # Errors
    ///
    /// The `Attempt` returned with the error states whether the steps may have run.
    async fn steps(
        &self,
        to: SocketAddr,
        steps: Vec<Step>,
        deadline: Instant,
    ) -> Result<Vec<StepResult>, (Attempt, Error)>;
    /// Ends a stream and frees its cache.
    async fn cancel(&self, to: SocketAddr, request: RequestId) -> Result<()>;
    /// Returns the KV cache of a stream.
    async fn export(&self, from: SocketAddr, request: RequestId) -> Result<KvExport>;
    /// Transfers a KV cache to an engine for a stream's new incarnation.
    async fn import(
        &self,
        to: SocketAddr,
        request: RequestId,
        incarnation: crate::engine::Incarnation,
        cache: KvExport,
    ) -> Result<()>;
    /// Returns the engine's load. If `fresh`, the request is sent over a new connection.
    async fn load(&self, at: SocketAddr, fresh: bool) -> Result<LoadReport>;
    /// Sends the engine an order to load a range of layers.
    async fn order(&self, to: SocketAddr, order: Order) -> Result<()>;
}

/// `Call` is one request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path after the service's name, with the query.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// `Answer` is the complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// `Service` sends calls to plain services, which run no model layers.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one call.
    ///
    /// # Errors
    ///
    /// The `Attempt` returned with the error states whether the call may have run.
    async fn call(
        &self,
        to: SocketAddr,
        call: Call,
        deadline: Instant,
    ) -> Result<Answer, (Attempt, Error)>;
}
