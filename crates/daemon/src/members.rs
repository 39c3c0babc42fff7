//! Membership: probes between instances, and the assignments that follow from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;
use tokio::time::sleep;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::ListEntry;
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_membership::Action;
use hemlockwind_membership::Departure;
use hemlockwind_membership::Event;
use hemlockwind_membership::Identity;
use hemlockwind_membership::Members;
use hemlockwind_membership::Message;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::membership as wire;
use hemlockwind_settings::Settings;
use hemlockwind_settings::settings;

use crate::assignments::Member;
use crate::instance::Instance;
use crate::watch;

/// Interval between two checks of instances of other data centres, whose changes raise no
/// event.
const TICK_INTERVAL: Duration = Duration::from_millis(500);

/// `MembershipView` holds this instance's view of the other instances.
pub struct MembershipView {
    state: Mutex<(Members, SmallRng)>,
    /// Notified when the next deadline has become earlier.
    deadline_moved: Notify,
}

impl MembershipView {
    /// Creates a view in which all instances of the settings are live, until probes or the
    /// platform's list show otherwise.
    pub fn new(settings: &Settings, me: &settings::Instance, clock: &dyn Clock) -> Self {
        let identity = Identity {
            name: me.name.as_str().into(),
            data_centre: me.data_centre.as_str().into(),
            addr: me.peers,
        };
        let mut rng = SmallRng::from_os_rng();
        let now = clock.now();
        let mut members = Members::new(now, clock.wall(), identity);
        let configured = settings.instances.iter().map(|instance| ListEntry {
            name: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            addr: instance.peers,
            kind: ListKind::Instance,
            state: ListState::Live,
        });
        // The resulting actions are dropped: the first probes announce this instance.
        members.on_event(now, &mut rng, Event::List(configured.collect()));
        Self {
            state: Mutex::new((members, rng)),
            deadline_moved: Notify::new(),
        }
    }
}

/// Probes the other instances until this one ends.
pub async fn run(instance: Arc<Instance>) {
    loop {
        on_event(&instance, Event::Timer);
        let now = instance.edges.clock.now();
        update_assignments(&instance);
        let due_at = instance.membership_view.state.lock().0.next_deadline();
        tokio::select! {
            () = sleep(due_at.since(now).min(TICK_INTERVAL)) => {}
            () = instance.membership_view.deadline_moved.notified() => {}
        }
    }
}

/// Notifies the other instances that this one is stopping.
pub fn leave(instance: &Arc<Instance>) {
    on_event(instance, Event::Leave);
}

/// Passes an event to the membership and performs the resulting actions.
pub fn on_event(instance: &Arc<Instance>, event: Event) {
    for action in apply(instance, event) {
        perform(instance, action);
    }
}

/// Handles a message of the instance `from`. The last message that results for that
/// instance is returned as the reply.
///
/// # Errors
///
/// `Error::PeerFrame` when the message is out of bounds or names another sender.
pub fn on_message(instance: &Arc<Instance>, from: &str, message: wire::Message) -> Result<Reply> {
    let message = Message::try_from(message)?;
    let sender = message.sender().clone();
    if *sender.name != *from {
        return Err(Error::peer_frame("the message names another sender"));
    }
    let mut actions = apply(instance, Event::Message(message));
    let is_answer = |action: &Action| matches!(action, Action::Send(to, _) if *to == sender.addr);
    // The answer to a probe comes last.
    let answer = actions.iter().rposition(is_answer);
    let reply = match answer.map(|at| actions.remove(at)) {
        Some(Action::Send(_, message)) => Reply::Membership(message.into()),
        Some(Action::Changed | Action::Departed(_)) | None => Reply::Done,
    };
    for action in actions {
        perform(instance, action);
    }
    Ok(reply)
}

/// Passes an event to the membership and returns the resulting actions. Wakes [`run`] if
/// the next deadline is earlier than before.
fn apply(instance: &Arc<Instance>, event: Event) -> Vec<Action> {
    let now = instance.edges.clock.now();
    let mut state = instance.membership_view.state.lock();
    let (members, rng) = &mut *state;
    let before = members.next_deadline();
    let actions = members.on_event(now, rng, event);
    if members.next_deadline() < before {
        instance.membership_view.deadline_moved.notify_one();
    }
    actions
}

/// Performs one action of the membership.
fn perform(instance: &Arc<Instance>, action: Action) {
    match action {
        Action::Send(to, message) => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { send(&instance, to, message).await });
        }
        Action::Changed => update_assignments(instance),
        Action::Departed(departure) => on_departure(instance, &departure),
    }
}

/// Sends a message to an instance and handles its reply as a message of that instance.
async fn send(instance: &Arc<Instance>, to: SocketAddr, message: Message) {
    let req = Request::Membership(message.into());
    // A missing answer needs no handling here: the membership detects it by the probe's
    // deadline.
    if let Ok(Reply::Membership(message)) = instance.edges.peer.call(to, req).await
        && let Ok(message) = Message::try_from(message)
    {
        on_event(instance, Event::Message(message));
    }
}

/// Records a backend server that another instance reported as leaving.
fn on_departure(instance: &Instance, departure: &Departure) {
    let directory = instance.directory.read();
    let key = directory.backend_servers.key(&departure.name);
    drop(directory);
    if let Some(key) = key.filter(|_| departure.leaving) {
        watch::record_leaving(instance, key, "another instance");
    }
}

/// Replaces the instances among which the assignments are distributed by those that are
/// recorded as live.
fn update_assignments(instance: &Instance) {
    let now = instance.edges.clock.now();
    let identities: Vec<_> = {
        let state = instance.membership_view.state.lock();
        let (members, _) = &*state;
        members
            .eligible()
            .chain(members.remote(now))
            .cloned()
            .collect()
    };
    let mut directory = instance.directory.write();
    let members = identities.into_iter().map(|identity| Member {
        key: directory.instances.intern(&identity.name),
        data_centre: directory.data_centres.intern(&identity.data_centre),
        name: identity.name,
        addr: identity.addr,
    });
    let members = members.collect();
    drop(directory);
    instance.assignments.set(members);
}
