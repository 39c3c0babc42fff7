//! The configuration in force: writes an operator's change to the platform, replicates
//! accepted changes between instances, and puts them in force in this process.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use parking_lot::Mutex;
use slog::error;
use slog::info;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use hemlockwind_configuration::Action;
use hemlockwind_configuration::Change;
use hemlockwind_configuration::Digest;
use hemlockwind_configuration::Event;
use hemlockwind_configuration::Head;
use hemlockwind_configuration::Message;
use hemlockwind_configuration::Outcome;
use hemlockwind_configuration::Peer;
use hemlockwind_configuration::Peers;
use hemlockwind_configuration::Publish;
use hemlockwind_configuration::PublishAction;
use hemlockwind_configuration::PublishEvent;
use hemlockwind_configuration::Replica;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Platform;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::WatchEvent;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;
use hemlockwind_membership::Assignment;
use hemlockwind_membership::score;
use hemlockwind_protocol::compile;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::configuration as wire;
use hemlockwind_protocol::peer::decode;
use hemlockwind_protocol::peer::encode;

use crate::instance::Instance;

/// Name of the platform's object that holds the head, which references the chunks of the
/// latest accepted document.
const HEAD_OBJECT: &str = "configuration/head";
/// Prefix of the names of the platform's objects that hold chunks.
const CHUNK_PREFIX: &str = "configuration/chunks/";
/// Number of instances of a data centre that keep a watch on the platform open.
const WATCHERS: usize = 2;
/// Time within which a change has to be accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Interval between two checks of deadlines and members.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a watch that ended is opened again.
const WATCH_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// `ConfigReplica` holds this instance's replica of the configuration.
pub struct ConfigReplica {
    replica: Mutex<Replica>,
    peers: Mutex<Peers>,
    watch: Mutex<Option<JoinHandle<()>>>,
    /// The document in force with its version, which is 0 as long as there is none.
    body: ArcSwap<(Version, Bytes)>,
}

impl ConfigReplica {
    /// Creates a replica without a document.
    pub fn new(now: Instant, me: InstanceKey) -> Self {
        Self {
            replica: Mutex::new(Replica::new(now, me, rand::random())),
            peers: Mutex::default(),
            watch: Mutex::default(),
            body: ArcSwap::default(),
        }
    }

    /// Returns the document in force, with its version.
    pub fn document(&self) -> Option<(Version, Bytes)> {
        let body = self.body.load();
        (body.0 > Version(0)).then(|| (body.0, body.1.clone()))
    }
}

/// Passes changes of the peers and due timers to the replica until the instance ends.
pub async fn run(instance: Arc<Instance>) {
    loop {
        let peers = peers(&instance);
        let has_changed = {
            let mut current = instance.config_replica.peers.lock();
            let has_changed = *current != peers;
            current.clone_from(&peers);
            has_changed
        };
        if has_changed {
            on_event(&instance, Event::Peers(peers));
        }
        let due_at = instance.config_replica.replica.lock().next_deadline();
        if due_at <= instance.edges.clock.now() {
            on_event(&instance, Event::Timer);
        }
        sleep(TICK_INTERVAL).await;
    }
}

/// Returns the peers among the members that are recorded as live.
fn peers(instance: &Instance) -> Peers {
    let assignments = &instance.assignments;
    let members = assignments.members();
    let local = members
        .iter()
        .filter(|m| m.data_centre == instance.data_centre);
    let local = local.map(|member| Peer {
        key: member.key,
        hash: score(Assignment::Configuration, &member.name),
    });
    let remote = assignments.other_centres(instance.data_centre);
    let remote = remote
        .into_iter()
        .map(|centre| assignments.holders(Assignment::Configuration, centre, WATCHERS));
    Peers {
        local: local.collect(),
        watchers: assignments.holders(Assignment::Configuration, instance.data_centre, WATCHERS),
        remote: remote.collect(),
    }
}

/// Passes an event to the replica and performs the resulting actions.
fn on_event(instance: &Arc<Instance>, event: Event) {
    let now = instance.edges.clock.now();
    let actions = instance.config_replica.replica.lock().on_event(now, event);
    for action in actions {
        perform(instance, action);
    }
}

/// Handles a message of the instance `from`. The first message that the replica then
/// sends to that instance is returned as the reply.
///
/// # Errors
///
/// `Error::PeerFrame` when the message is out of bounds.
pub fn on_message(instance: &Arc<Instance>, from: &str, message: wire::Message) -> Result<Reply> {
    let message = Message::try_from(message)?;
    let from = instance.directory.write().instances.intern(from);
    let now = instance.edges.clock.now();
    let event = Event::Message { from, message };
    let actions = instance.config_replica.replica.lock().on_event(now, event);
    let mut reply = Reply::Done;
    for action in actions {
        match action {
            Action::Send { to, message } if to == from && reply == Reply::Done => {
                reply = Reply::Configuration(message.into());
            }
            other => perform(instance, other),
        }
    }
    Ok(reply)
}

/// Performs one action of the replica.
fn perform(instance: &Arc<Instance>, action: Action) {
    match action {
        Action::Send { to, message } => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { send(&instance, to, message).await });
        }
        Action::ReadHead => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { read_head(&instance).await });
        }
        Action::ReadChunk(digest) => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move {
                if let Ok(Some(object)) = instance.edges.platform.get(&chunk_name(digest)).await {
                    on_event(&instance, Event::Chunk(object.value));
                }
            });
        }
        Action::Watch(should_watch) => watch(instance, should_watch),
        Action::PutInForce { head, body } => put_in_force(instance, &head, body),
    }
}

/// Sends a message to an instance and handles its reply as a message of that instance.
async fn send(instance: &Arc<Instance>, to: InstanceKey, message: Message) {
    let Some(addr) = instance.assignments.addr(to) else {
        return;
    };
    let req = Request::Configuration(message.into());
    // Lost messages need no retry: the periodic exchange repeats their contents.
    if let Ok(Reply::Configuration(message)) = instance.edges.peer.call(addr, req).await
        && let Ok(message) = Message::try_from(message)
    {
        on_event(instance, Event::Message { from: to, message });
    }
}

/// Reads the head from the platform and passes it to the replica.
async fn read_head(instance: &Arc<Instance>) {
    if let Ok(Some((head, _))) = stored_head(&*instance.edges.platform).await {
        on_event(instance, Event::Stored(head));
    }
}

/// Returns the head stored on the platform, with the version of its object.
async fn stored_head(platform: &dyn Platform) -> Result<Option<(Head, ObjectVersion)>> {
    let object = platform.get(HEAD_OBJECT).await?;
    object
        .map(|object| Ok((parse_head(&object)?, object.version)))
        .transpose()
}

/// Decodes the head in an object.
fn parse_head(object: &Object) -> Result<Head> {
    decode::<wire::Head>(&object.value)?.try_into()
}

/// Returns the name of the object that holds a chunk.
fn chunk_name(digest: Digest) -> String {
    let hex = digest.0.iter().map(|byte| format!("{byte:02x}"));
    format!("{CHUNK_PREFIX}{}", hex.collect::<String>())
}

/// Opens the watch on the platform's head, or closes it.
fn watch(instance: &Arc<Instance>, should_watch: bool) {
    let mut watch = instance.config_replica.watch.lock();
    if let Some(old) = watch.take() {
        old.abort();
    }
    if should_watch {
        let (tasks, instance) = (&instance.tasks, Arc::clone(instance));
        let task = tasks.spawn("watch of the head", async move {
            watch_head(&instance).await;
        });
        *watch = Some(task);
    }
}

/// Watches the platform's head, and opens the watch again whenever it ends.
async fn watch_head(instance: &Arc<Instance>) {
    let platform = &instance.edges.platform;
    loop {
        if let Ok(mut events) = platform.watch(HEAD_OBJECT, ObjectVersion(0)).await {
            while let Some(Ok(event)) = events.next().await {
                // The name of another object may begin with that of the head.
                if let WatchEvent::Put(object) = event
                    && object.name == HEAD_OBJECT
                    && let Ok(head) = parse_head(&object)
                {
                    on_event(instance, Event::Stored(head));
                }
            }
        }
        sleep(WATCH_RETRY_INTERVAL).await;
    }
}

/// Puts a document in force if its version is higher than the one in force.
fn put_in_force(instance: &Instance, head: &Head, body: Bytes) {
    // The write lock on the directory is held to the end, so that of two concurrent calls
    // the one with the lower version can't overwrite the other.
    let mut directory = instance.directory.write();
    if head.version <= instance.config.load().version {
        return;
    }
    let config = serde_json::from_slice::<Document>(&body)
        .map_err(|e| Error::config(e.to_string()))
        .and_then(|document| {
            let config = compile::compile(&document, head.version, &mut directory);
            config.map_err(|faults| compile::error(&faults))
        });
    match config {
        Ok(config) => {
            instance.fleet.apply(&config);
            instance.config.store(Arc::new(config));
            instance
                .config_replica
                .body
                .store(Arc::new((head.version, body)));
            info!(instance.log, "a configuration is in force"; "version" => head.version.0);
        }
        Err(e) => {
            error!(instance.log, "an accepted configuration can't be read"; "version" => head.version.0, "code" => e.code().number(), "error" => %e);
        }
    }
}

/// Writes an operator's document to the platform as the successor of version `base`, and
/// returns its version.
///
/// # Errors
///
/// - `Error::Config` when the document has faults
/// - `Error::ConfigConflict`, with the other change's author if known, when the version
///   in force is no longer `base`
/// - `Error::PlatformUnavailable` when nothing was changed
/// - `Error::PlatformUnknown` when the change may or may not have been made
pub async fn accept(
    instance: &Arc<Instance>,
    document: &Document,
    base: Version,
    author: &str,
) -> Result<Version> {
    let checked = compile::compile(document, Version(0), &mut instance.directory.write());
    checked.map_err(|faults| compile::error(&faults))?;
    let body = serde_json::to_vec(document).map_err(|e| Error::config(e.to_string()))?;
    let now = instance.edges.clock.now();
    let change = Change {
        author: author.into(),
        nonce: rand::random(),
        base,
        floor: instance.config.load().version,
        body: body.into(),
        at: instance.edges.clock.wall(),
        deadline: now + ACCEPT_TIMEOUT,
    };
    let stored = instance.config_replica.replica.lock().digests();
    let outcome = publish(instance, Publish::new(now, change, &stored)).await;
    let version = accepted_version(outcome)?;
    read_head(instance).await;
    info!(instance.log, "a configuration was accepted"; "version" => version.0, "author" => author);
    Ok(version)
}

/// Performs the platform calls of a change until its outcome is known.
async fn publish(instance: &Instance, mut publish: Publish) -> Outcome {
    let clock = &instance.edges.clock;
    let platform = &instance.edges.platform;
    let mut pending = FuturesUnordered::new();
    let mut actions = publish.on_event(clock.now(), PublishEvent::Timer);
    loop {
        for action in actions {
            match action {
                PublishAction::Finish(outcome) => return outcome,
                other => pending.push(call_platform(platform, other)),
            }
        }
        let wait = publish.next_deadline().since(clock.now());
        let event = tokio::select! {
            Some(event) = pending.next(), if !pending.is_empty() => event,
            () = sleep(wait) => PublishEvent::Timer,
        };
        actions = publish.on_event(clock.now(), event);
    }
}

/// Makes one call to the platform for a change.
fn call_platform(
    platform: &Arc<dyn Platform>,
    action: PublishAction,
) -> BoxFuture<'static, PublishEvent> {
    let platform = Arc::clone(platform);
    async move {
        match action {
            PublishAction::ReadHead => match stored_head(&*platform).await {
                Ok(head) => PublishEvent::HeadRead(head),
                Err(_) => PublishEvent::ReadFailed,
            },
            PublishAction::PutChunk(digest, chunk) => {
                let name = chunk_name(digest);
                let put = platform.put(&name, chunk, Precondition::Absent).await;
                PublishEvent::ChunkPut(digest, put)
            }
            PublishAction::PutHead(head, when) => match encode(&wire::Head::from(head)) {
                Ok(value) => {
                    PublishEvent::HeadPut(platform.put(HEAD_OBJECT, value.into(), when).await)
                }
                Err(_) => PublishEvent::ReadFailed,
            },
            // Never passed here: `publish` returns on it.
            PublishAction::Finish(_) => PublishEvent::Timer,
        }
    }
    .boxed()
}

/// Returns the version of an accepted change.
///
/// # Errors
///
/// `Error::ConfigConflict`, `Error::PlatformUnavailable` or `Error::PlatformUnknown` when
/// the change was not accepted or its outcome is unknown.
fn accepted_version(outcome: Outcome) -> Result<Version> {
    match outcome {
        Outcome::Accepted(version) | Outcome::Unchanged(version) => Ok(version),
        Outcome::Conflict(Some(other)) => Err(Error::config_conflict(format!(
            "{} made version {} meanwhile",
            other.author, other.version.0
        ))),
        Outcome::Conflict(None) => Err(Error::config_conflict(
            "many versions were accepted since its base version",
        )),
        Outcome::Refused => Err(Error::platform_unavailable("nothing changed")),
        Outcome::Unknown => Err(Error::platform_unknown(
            "the platform gave no answer to the update",
        )),
    }
}
