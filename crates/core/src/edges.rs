//! What a process touches outside itself. Each trait has one adapter.

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

/// `Clock` tells the time.
pub trait Clock: Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Instant;
    /// The wall time.
    fn wall(&self) -> WallTime;
}

/// `ObjectVersion` is the version that the platform gives to an object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectVersion(pub u64);

/// `Object` is one object of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: ObjectVersion,
    /// Its value, up to a megabyte.
    pub value: Bytes,
}

/// `Precondition` must hold for a write to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(ObjectVersion),
    /// Nothing is asked.
    None,
}

/// `Put` is what is known of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// The write took effect under this version.
    Done(ObjectVersion),
    /// The precondition did not hold; nothing changed.
    Conflict,
    /// The platform refused before any effect.
    Refused(Error),
    /// The write may or may not have taken effect.
    Unknown(Error),
}

/// `WatchEvent` is one change that a watch tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// An object was written.
    Put(Object),
    /// An object was removed.
    Delete(String),
    /// Nothing changed; the watch still works.
    Bookmark,
}

/// `ListState` is what the platform's list says of an instance or backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
}

/// `Listed` is one entry of the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The name.
    pub name: String,
    /// The data centre.
    pub data_centre: String,
    /// The address for peers, or of the backend server.
    pub addr: SocketAddr,
    /// Whether it is an instance of hemlockwind or a backend server.
    pub kind: ListKind,
    /// Live or leaving.
    pub state: ListState,
}

/// `ListKind` is what an entry of the platform's list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// An instance of hemlockwind.
    Instance,
    /// A backend server.
    BackendServer,
}

/// `Platform` is the object API and the list of instances.
#[async_trait]
pub trait Platform: Send + Sync {
    /// The object of this name, `None` when there is none.
    async fn get(&self, name: &str) -> Result<Option<Object>>;
    /// Writes an object when the precondition holds.
    async fn put(&self, name: &str, value: Bytes, when: Precondition) -> Put;
    /// All objects whose name starts with `prefix`.
    async fn list(&self, prefix: &str) -> Result<Vec<Object>>;
    /// Changes after `from` of objects whose name starts with `prefix`.
    async fn watch(
        &self,
        prefix: &str,
        from: ObjectVersion,
    ) -> Result<BoxStream<'static, Result<WatchEvent>>>;
    /// The list of live and leaving instances and backend servers.
    async fn instances(&self) -> Result<Vec<Listed>>;
}

/// `Order` is what the holder of a lease tells an engine to become.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The model to hold.
    pub model: String,
    /// The layers to hold.
    pub layers: crate::layers::LayerRange,
    /// The fencing token of the lease under which the order is given.
    pub fencing: u64,
}

/// `KvExport` is the KV cache of one stream on one engine, opaque to the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvExport {
    /// The tokens that it covers, counted as in `StepId::token`.
    pub tokens: u32,
    /// The cache.
    pub data: Bytes,
}

/// `Engine` is an engine that holds a range of layers.
#[async_trait]
pub trait Engine: Send + Sync {
    /// Runs the steps in one call. The error's attempt tells whether they may have run.
    async fn steps(
        &self,
        to: SocketAddr,
        steps: Vec<Step>,
        deadline: Instant,
    ) -> Result<Vec<StepResult>, (Attempt, Error)>;
    /// Ends a stream and frees its cache.
    async fn cancel(&self, to: SocketAddr, request: RequestId) -> Result<()>;
    /// The KV cache of a stream.
    async fn export(&self, from: SocketAddr, request: RequestId) -> Result<KvExport>;
    /// Gives a KV cache to an engine for a stream's new incarnation.
    async fn import(
        &self,
        to: SocketAddr,
        request: RequestId,
        incarnation: crate::engine::Incarnation,
        cache: KvExport,
    ) -> Result<()>;
    /// The engine's load, on a connection of its own when `fresh`.
    async fn load(&self, at: SocketAddr, fresh: bool) -> Result<LoadReport>;
    /// Tells the engine what to hold.
    async fn order(&self, to: SocketAddr, order: Order) -> Result<()>;
}

/// `Call` is one request to a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// The path and query after the service's name.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, Bytes)>,
    /// The body.
    pub body: Bytes,
}

/// `Answer` is a plain service's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body.
    pub body: Bytes,
}

/// `Service` is a plain service beside the engines.
#[async_trait]
pub trait Service: Send + Sync {
    /// Sends one call. The error's attempt tells whether it may have run.
    async fn call(
        &self,
        to: SocketAddr,
        call: Call,
        deadline: Instant,
    ) -> Result<Answer, (Attempt, Error)>;
}
