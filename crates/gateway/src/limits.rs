//! The limits that backend servers announce for all instances together.
//!
//! The queue owner of a service paces the requests to its limited servers: it starts streams
//! within the limits of engines, and permits calls to plain servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slog::info;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::time::Instant;
use hemlockwind_limits::AnnouncedLimit;
use hemlockwind_limits::announced::Rate;
use hemlockwind_platform::headers::ServerHeaders;
use hemlockwind_platform::headers::ServerLimit;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::paths as message;

use crate::gateway::Gateway;
use crate::peers::Instance;

/// Interval at which an unchanged limit is reported again, as the queue owner may have changed.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Number of instances that know the limits of a service's engines: the queue owner and the next
/// one.
const INFORMED: usize = 2;
/// Number of limits from which those that were not seen for [`LIMIT_LIFETIME`] are removed.
const MAX_LIMITS: usize = 4_096;
/// How long an unconfirmed limit is kept when there are many.
const LIMIT_LIFETIME: Duration = Duration::from_secs(60);
/// Largest number of queue owners that are asked for one permit.
const OWNER_ATTEMPTS: u32 = 3;
/// When to retry if no queue owner can be reached.
const NO_OWNER_RETRY: Duration = Duration::from_millis(1_000);

/// `Known` is what this instance knows of the limit of one server.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// The announced rate; `None` if only the queue owner knows it.
    rate: Option<Rate>,
    /// When the server was last seen to announce it.
    observed_at: Instant,
    /// When it was last reported to the queue owner.
    reported_at: Instant,
    /// Until when the queue owner permits no request.
    no_permit_until: Instant,
}

/// `SharedLimits` holds the limits that servers announced, by their ids.
#[derive(Default)]
pub struct SharedLimits {
    known: Mutex<SeededHashMap<Box<str>, Known>>,
    /// The limits of plain servers whose queue owner runs on this instance.
    owned: Mutex<SeededHashMap<Box<str>, AnnouncedLimit>>,
}

/// `Observation` says what is to be done about an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observation {
    /// The limit has changed, begun or ended.
    Changed(Option<Rate>),
    /// The limit is the same and is to be reported again.
    Confirmed(Rate),
}

impl SharedLimits {
    /// Returns whether a server announced a limit, as far as this instance knows.
    pub fn is_limited(&self, id: &str) -> bool {
        self.known.lock().contains_key(id)
    }

    /// Records that the queue owner takes a server for limited.
    pub fn expect(&self, now: Instant, id: &str) {
        let mut known = self.known.lock();
        if !known.contains_key(id) {
            known.insert(id.into(), Known::new(None, now));
        }
    }

    /// Records what an answer says about the limit of its server. Returns what has to be reported.
    fn observe(&self, now: Instant, id: &str, rate: Option<Rate>) -> Option<Observation> {
        let mut known = self.known.lock();
        let Some(rate) = rate else {
            return known.remove(id).map(|_| Observation::Changed(None));
        };
        if known.len() >= MAX_LIMITS {
            known.retain(|_, k| now.since(k.observed_at) < LIMIT_LIFETIME);
        }
        let entry = known.entry(id.into()).or_insert(Known::new(None, now));
        let is_changed = entry.rate.replace(rate) != Some(rate);
        entry.observed_at = now;
        if is_changed {
            entry.no_permit_until = now;
        }
        let is_due = now.since(entry.reported_at) >= REPORT_INTERVAL;
        if is_changed || is_due {
            entry.reported_at = now;
        }
        match (is_changed, is_due) {
            (true, _) => Some(Observation::Changed(Some(rate))),
            (false, true) => Some(Observation::Confirmed(rate)),
            (false, false) => None,
        }
    }

    /// Records what another instance saw at `observed_at`, unless this instance knows better.
    fn learn(&self, id: &str, rate: Option<Rate>, observed_at: Instant) {
        let mut known = self.known.lock();
        if known.get(id).is_some_and(|k| k.observed_at > observed_at) {
            return;
        }
        match rate {
            Some(_) => {
                let entry = known.entry(id.into());
                let entry = entry.or_insert(Known::new(rate, observed_at));
                (entry.rate, entry.observed_at) = (rate, observed_at);
            }
            None => {
                known.remove(id);
            }
        }
    }

    /// Returns those of `servers` that may have a permit at `now`, as they are named to the queue
    /// owner, or the time until one may.
    fn wanted(
        &self,
        now: Instant,
        servers: &[Arc<BackendServer>],
    ) -> Result<Vec<message::Limit>, Duration> {
        let known = self.known.lock();
        let limits = servers.iter().filter_map(|s| Some((s, known.get(&*s.id)?)));
        let limits: Vec<_> = limits.collect();
        let open = limits.iter().filter(|(_, k)| k.no_permit_until <= now);
        let open: Vec<message::Limit> = open
            .map(|(s, k)| to_wire(now, &s.id, k.rate, k.observed_at))
            .collect();
        if !open.is_empty() {
            return Ok(open);
        }
        let until = limits.iter().map(|(_, k)| k.no_permit_until).min();
        Err(until.map_or(NO_OWNER_RETRY, |until| until.since(now)))
    }

    /// Records that the queue owner permits no request to the servers `wanted` until `until`.
    fn set_no_permit(&self, wanted: &[message::Limit], until: Instant) {
        let mut known = self.known.lock();
        for limit in wanted {
            if let Some(entry) = known.get_mut(&*limit.server) {
                entry.no_permit_until = until;
            }
        }
    }

    /// Takes one request from the limit of the first server that allows one. Returns its place
    /// among `wanted`, or the time until one of them may get a request.
    fn take(&self, now: Instant, wanted: &[message::Limit]) -> Result<usize, Duration> {
        let mut owned = self.owned.lock();
        if owned.len() >= MAX_LIMITS {
            owned.retain(|_, limit| now.since(limit.observed_at()) < LIMIT_LIFETIME);
        }
        let mut shortest = NO_OWNER_RETRY;
        for (i, limit) in wanted.iter().enumerate() {
            let Some(rate) = limit.rate.map(|millis| Rate { millis }) else {
                continue;
            };
            let observed_at = observed_at(now, limit);
            let entry = owned.entry(limit.server.as_str().into());
            let entry = entry.or_insert_with(|| AnnouncedLimit::new(now, rate, observed_at));
            entry.observe(now, rate, observed_at);
            if entry.try_take(now) {
                return Ok(i);
            }
            shortest = match i {
                0 => entry.wait(now),
                _ => shortest.min(entry.wait(now)),
            };
        }
        Err(shortest)
    }
}

impl Known {
    const fn new(rate: Option<Rate>, observed_at: Instant) -> Self {
        Self {
            rate,
            observed_at,
            reported_at: observed_at,
            no_permit_until: Instant::ZERO,
        }
    }
}

/// Records what an answer of the server `id` at `addr` says about its limit, and reports it to the
/// queue owner that paces the server's requests.
pub fn record(gateway: &Arc<Gateway>, (id, addr): (&str, SocketAddr), answered: &ServerHeaders) {
    let rate = match answered.limit {
        ServerLimit::PerSecond(millis) => Some(Rate { millis }),
        // Only the server itself can end its limit.
        ServerLimit::None if answered.is_sealed => None,
        ServerLimit::None | ServerLimit::Malformed => return,
    };
    let now = gateway.now();
    let Some(observation) = gateway.limits.observe(now, id, rate) else {
        return;
    };
    if let Observation::Changed(rate) = observation {
        gateway.counters.add("server_limits_changed");
        if let Some(left_out) = gateway.lines.take(now, "limited") {
            info!(gateway.log, "server limit changed"; "server" => id, "engine" => %addr,
                "per_second" => rate.map(|r| r.millis as f64 / 1e3), "left_out" => left_out);
        }
    }
    let rate = match observation {
        Observation::Changed(rate) => rate,
        Observation::Confirmed(rate) => Some(rate),
    };
    let service = gateway
        .directory
        .read()
        .get(id)
        .map(|s| Arc::clone(&s.service));
    let Some(service) = service else { return };
    // Permits for plain servers are requested with what is known of their limits.
    if !gateway.queue_owners.observe_limit(&service, id, rate, now) {
        return;
    }
    let message = to_wire(now, id, rate, now);
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let informed = gateway.peers.candidates(&service, INFORMED);
        let calls = informed.iter().map(|instance| {
            let message = message::Message::Limits(service.to_string(), vec![message.clone()]);
            gateway.peers.call(instance, Request::Paths(message))
        });
        // A lost message is repeated with a later answer.
        futures::future::join_all(calls).await;
    });
}

/// Records the limit of an engine that another instance saw.
pub fn learn(gateway: &Gateway, service: &Arc<str>, limit: &message::Limit) {
    let observed_at = observed_at(gateway.now(), limit);
    let rate = limit.rate.map(|millis| Rate { millis });
    gateway.limits.learn(&limit.server, rate, observed_at);
    let queue_owners = &gateway.queue_owners;
    queue_owners.observe_limit(service, &limit.server, rate, observed_at);
}

/// Reports the known limits of a service's servers to its queue owner, if the server `first` has
/// one: the owner started a stream there without knowing. Returns whether the owner knows them now.
pub async fn inform_owner(gateway: &Gateway, owner: &Instance, service: &str, first: &str) -> bool {
    let now = gateway.now();
    if !gateway.limits.is_limited(first) {
        return false;
    }
    let announced: Vec<message::Limit> = {
        let directory = gateway.directory.read();
        let known = gateway.limits.known.lock();
        let limits = directory.of(service).filter_map(|s| {
            let known = known.get(&*s.id).filter(|k| k.rate.is_some())?;
            Some(to_wire(now, &s.id, known.rate, known.observed_at))
        });
        limits.collect()
    };
    if !announced.iter().any(|limit| limit.server == first) {
        return false;
    }
    gateway.counters.add("owners_informed_of_limits");
    let message = message::Message::Limits(service.to_string(), announced);
    let reply = gateway.peers.call(owner, Request::Paths(message)).await;
    reply.is_ok()
}

/// Requests to send one call to one of `servers`, which announced limits, from the queue owner of
/// their service. Returns the server, or the time until one of them may get a call.
pub async fn request_permit(
    gateway: &Gateway,
    service: &str,
    servers: &[Arc<BackendServer>],
) -> Result<Arc<BackendServer>, Duration> {
    for _ in 0..OWNER_ATTEMPTS {
        let now = gateway.now();
        let wanted = gateway.limits.wanted(now, servers)?;
        let owner = gateway.peers.queue_owner(service);
        let answer = match owner.name == gateway.peers.me().name {
            true => answer_permit(gateway, &wanted),
            false => {
                let message = message::Message::Permit(service.to_string(), wanted.clone());
                match gateway.peers.call(&owner, Request::Paths(message)).await {
                    Ok(Reply::Paths(answer)) => answer,
                    // The next request goes to the next owner.
                    Ok(_) | Err(_) => continue,
                }
            }
        };
        match answer {
            message::Answer::Permitted(id) => {
                if let Some(server) = servers.iter().find(|s| *s.id == *id) {
                    return Ok(Arc::clone(server));
                }
            }
            message::Answer::NotPermitted(ms) => {
                let wait = Duration::from_millis(ms.into());
                gateway.limits.set_no_permit(&wanted, now + wait);
                gateway.counters.add("permits_refused");
                return Err(wait);
            }
            message::Answer::Done
            | message::Answer::Granted(_)
            | message::Answer::GrantedLimited(_)
            | message::Answer::NotAdmitted(_)
            | message::Answer::Refused(..)
            | message::Answer::Unknown(_) => {}
        }
    }
    Err(NO_OWNER_RETRY)
}

/// Answers a request for a permit as the queue owner.
pub fn answer_permit(gateway: &Gateway, wanted: &[message::Limit]) -> message::Answer {
    match gateway.limits.take(gateway.now(), wanted) {
        Ok(i) => message::Answer::Permitted(wanted[i].server.clone()),
        Err(wait) => {
            let ms = wait.as_micros().div_ceil(1_000);
            message::Answer::NotPermitted(u32::try_from(ms).unwrap_or(u32::MAX))
        }
    }
}

fn to_wire(now: Instant, id: &str, rate: Option<Rate>, observed_at: Instant) -> message::Limit {
    let age = now.since(observed_at).as_millis();
    message::Limit {
        server: id.to_string(),
        rate: rate.map(|r| r.millis),
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

/// Returns when a limit was observed, by the clock of this instance.
fn observed_at(now: Instant, limit: &message::Limit) -> Instant {
    now.before(Duration::from_millis(limit.age_ms.into()))
}
