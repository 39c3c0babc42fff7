//! Probes between instances, and what follows from them for duties.

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
use hemlockwind_core::edges::ListKind;
use hemlockwind_core::edges::ListState;
use hemlockwind_core::edges::Listed;
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

use crate::duties::Member;
use crate::instance::Instance;
use crate::watch;

/// Time between two looks at instances of other data centres, of which no event tells.
const TICK: Duration = Duration::from_millis(500);

/// `Believed` holds what this instance believes of the others.
pub struct Believed {
    state: Mutex<(Members, SmallRng)>,
    changed: Notify,
}

impl Believed {
    /// Believes in the instances of the settings, until better is known.
    pub fn new(settings: &Settings, me: &settings::Instance, clock: &dyn Clock) -> Self {
        let identity = Identity {
            name: me.name.as_str().into(),
            data_centre: me.data_centre.as_str().into(),
            addr: me.peers,
        };
        let mut rng = SmallRng::from_os_rng();
        let now = clock.now();
        let mut members = Members::new(now, clock.wall(), identity);
        let named = settings.instances.iter().map(|instance| Listed {
            name: instance.name.clone(),
            data_centre: instance.data_centre.clone(),
            addr: instance.peers,
            kind: ListKind::Instance,
            state: ListState::Live,
        });
        // Nobody else is told yet; the first probes do that.
        members.on_event(now, &mut rng, Event::List(named.collect()));
        Self {
            state: Mutex::new((members, rng)),
            changed: Notify::new(),
        }
    }
}

/// Probes the others until the instance ends.
pub async fn run(instance: Arc<Instance>) {
    loop {
        on_event(&instance, Event::Timer);
        let now = instance.edges.clock.now();
        set_duties(&instance);
        let due_at = instance.believed.state.lock().0.next_deadline();
        tokio::select! {
            () = sleep(due_at.since(now).min(TICK)) => {}
            () = instance.believed.changed.notified() => {}
        }
    }
}

/// Tells the others that this instance is stopping.
pub fn leave(instance: &Arc<Instance>) {
    on_event(instance, Event::Leave);
}

/// Takes an event and carries out what follows.
pub fn on_event(instance: &Arc<Instance>, event: Event) {
    for action in decide(instance, event) {
        perform(instance, action);
    }
}

/// Takes a message of the instance `from`; what is to be sent to it last is the
/// reply.
///
/// # Errors
///
/// `Error::PeerFrame` when the message breaks its bounds or names another sender.
pub fn on_message(instance: &Arc<Instance>, from: &str, message: wire::Message) -> Result<Reply> {
    let message = Message::try_from(message)?;
    let sender = message.sender().clone();
    if *sender.name != *from {
        return Err(Error::peer_frame("the message names another sender"));
    }
    let mut actions = decide(instance, Event::Message(message));
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

fn decide(instance: &Arc<Instance>, event: Event) -> Vec<Action> {
    let now = instance.edges.clock.now();
    let mut state = instance.believed.state.lock();
    let (members, rng) = &mut *state;
    let before = members.next_deadline();
    let actions = members.on_event(now, rng, event);
    if members.next_deadline() < before {
        instance.believed.changed.notify_one();
    }
    actions
}

fn perform(instance: &Arc<Instance>, action: Action) {
    match action {
        Action::Send(to, message) => {
            let instance = Arc::clone(instance);
            tokio::spawn(async move { send(&instance, to, message).await });
        }
        Action::Changed => set_duties(instance),
        Action::Departed(departure) => depart(instance, &departure),
    }
}

/// Sends a message and takes the reply as a message of the other.
async fn send(instance: &Arc<Instance>, to: SocketAddr, message: Message) {
    let req = Request::Membership(message.into());
    // An answer that does not come is what the probe is for.
    if let Ok(Reply::Membership(message)) = instance.edges.peer.call(to, req).await
        && let Ok(message) = Message::try_from(message)
    {
        on_event(instance, Event::Message(message));
    }
}

fn depart(instance: &Instance, departure: &Departure) {
    let directory = instance.directory.read();
    let key = directory.backend_servers.key(&departure.name);
    drop(directory);
    if let Some(key) = key.filter(|_| departure.leaving) {
        watch::note(instance, key, "another instance");
    }
}

/// Gives duties to those that are believed to be live.
fn set_duties(instance: &Instance) {
    let now = instance.edges.clock.now();
    let identities: Vec<_> = {
        let state = instance.believed.state.lock();
        let (members, _) = &*state;
        members.able().chain(members.remote(now)).cloned().collect()
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
    instance.duties.set(members);
}
