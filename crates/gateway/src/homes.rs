//! The homes that this instance keeps: where and when a stream may start.
//!
//! Each data centre with engines of a service has a home of its own. A request asks
//! the home of its own data centre first, then the others, and waits at the one with
//! the shortest wait.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Names;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Routes;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Engines;
use hemlockwind_paths::Home;
use hemlockwind_paths::Ticket;
use hemlockwind_paths::TicketId;
use hemlockwind_paths::engines::Stage as Place;
use hemlockwind_paths::ticket::Decision;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::headers::Stage;

use crate::directory::Directory;

/// Time that an engine gets no new work after it stopped making progress: its entry is
/// removed, or it is back, by then.
const DEAD_TIME: Duration = Duration::from_millis(4_000);

/// `Ask` is what a stream asks of a home.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The service whose engines are to run it.
    pub service: Arc<str>,
    /// Who asks.
    pub organisation: Arc<str>,
    /// Its rank.
    pub rank: Rank,
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// The latest start with which it is still on time.
    pub on_time_by: Instant,
    /// The latest start of any use.
    pub latest: Instant,
}

/// `Refusal` is why a stream may not start, and when a later try has a chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The time after which to come back.
    pub retry_after: Duration,
}

type HomeKey = (Arc<str>, Arc<str>);
type Waiter = oneshot::Sender<Decision>;

struct Local {
    home: Home,
    waiters: HashMap<TicketId, Waiter>,
}

/// `Homes` holds the homes by service and data centre.
pub struct Homes {
    data_centre: Arc<str>,
    me: InstanceKey,
    names: Mutex<Interned>,
    homes: Mutex<SeededHashMap<HomeKey, Arc<Mutex<Local>>>>,
    numbers: std::sync::atomic::AtomicU64,
}

#[derive(Default)]
struct Interned {
    instances: Names<InstanceKey>,
    organisations: Names<OrganisationKey>,
}

/// `Grant` is the right to run a stream on a path. Dropping it frees the memory.
pub struct Grant {
    /// The path.
    pub path: Vec<Stage>,
    home: Arc<Mutex<Local>>,
    id: TicketId,
    tokens: u32,
    clock: hemlockwind_backend::clock::SystemClock,
}

/// Takes a waiting ticket back when its request is gone.
struct Waiting {
    home: Arc<Mutex<Local>>,
    id: TicketId,
    is_decided: bool,
    clock: hemlockwind_backend::clock::SystemClock,
}

impl Homes {
    /// No homes yet.
    pub fn new(data_centre: &str) -> Self {
        let mut names = Interned::default();
        let me = names.instances.intern("");
        Self {
            data_centre: data_centre.into(),
            me,
            names: Mutex::new(names),
            homes: Mutex::default(),
            numbers: std::sync::atomic::AtomicU64::new(1),
        }
    }

    /// The number of instances that are known, this one included.
    pub fn instances(&self) -> usize {
        8
    }

    /// Takes the services and engines as they are now.
    pub fn update(&self, routes: &Routes, directory: &Directory) {
        for service in routes.services() {
            let Some(model) = service.engine.as_ref().filter(|m| m.is_joint()) else {
                continue;
            };
            let mut data_centres: Vec<Arc<str>> = directory
                .of(&service.name)
                .map(|s| Arc::clone(&s.data_centre))
                .collect();
            data_centres.sort_unstable();
            data_centres.dedup();
            for data_centre in data_centres {
                let key = (Arc::clone(&service.name), Arc::clone(&data_centre));
                let mut homes = self.homes.lock();
                let local = homes.entry(key).or_insert_with(|| {
                    let engines = Engines::new(Arc::clone(model));
                    let home = Home::new(engines, Some(Arc::clone(&data_centre)));
                    Arc::new(Mutex::new(Local {
                        home,
                        waiters: HashMap::default(),
                    }))
                });
                let mut local = local.lock();
                local.home.engines.model = Arc::clone(model);
                let entries = directory.of(&service.name);
                let entries = entries.filter(|s| s.data_centre == data_centre);
                local.home.engines.update(entries.map(|s| &**s));
            }
        }
    }

    /// Whether any data centre has a whole path for `service`.
    pub fn has_path(&self, now: Instant, service: &str) -> bool {
        let homes = self.of(service);
        homes.iter().any(|(_, h)| h.lock().home.has_path(now))
    }

    /// Asks for a start of a stream, and waits for it where that is of use.
    ///
    /// # Errors
    ///
    /// The reason why it may not start.
    pub async fn ask(
        &self,
        clock: hemlockwind_backend::clock::SystemClock,
        ask: &Ask,
    ) -> Result<Grant, Refusal> {
        use hemlockwind_core::edges::Clock;
        let now = clock.now();
        let organisation = self.names.lock().organisations.intern(&ask.organisation);
        let number = &self.numbers;
        let ticket = |may_wait: bool| Ticket {
            id: TicketId {
                instance: self.me,
                number: number.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
            },
            organisation,
            rank: ask.rank,
            tokens: ask.tokens,
            on_time_by: ask.on_time_by,
            latest: ask.latest,
            may_wait,
        };
        let homes = self.of(&ask.service);
        let mut best: Option<(Duration, Arc<Mutex<Local>>)> = None;
        let mut refusal = Refusal {
            reason: Reason::NoPath,
            retry_after: Duration::from_millis(700),
        };
        for (_, home) in &homes {
            let ticket = ticket(false);
            let decision = home.lock().home.ask(now, ticket);
            match decision {
                Some(Decision::Granted(path)) => {
                    return Ok(grant(home, ticket.id, ask.tokens, &path, clock));
                }
                Some(Decision::Refused(Reason::NoPath, _)) | None => {}
                Some(Decision::Refused(reason, wait)) => {
                    if best.as_ref().is_none_or(|(shortest, _)| wait < *shortest) {
                        best = Some((wait, Arc::clone(home)));
                        refusal = Refusal {
                            reason,
                            retry_after: wait,
                        };
                    }
                }
            }
        }
        let Some((_, home)) = best else {
            return Err(refusal);
        };
        self.wait(&home, ticket(true), clock).await
    }

    /// Asks with a ticket that may wait.
    async fn wait(
        &self,
        home: &Arc<Mutex<Local>>,
        ticket: Ticket,
        clock: hemlockwind_backend::clock::SystemClock,
    ) -> Result<Grant, Refusal> {
        use hemlockwind_core::edges::Clock;
        let (tx, rx) = oneshot::channel();
        let mut waiting = Waiting {
            home: Arc::clone(home),
            id: ticket.id,
            is_decided: false,
            clock,
        };
        let decided = {
            let mut local = home.lock();
            let decided = local.home.ask(clock.now(), ticket);
            if decided.is_none() {
                local.waiters.insert(ticket.id, tx);
            }
            decided
        };
        let decision = match decided {
            Some(decision) => decision,
            None => rx.await.unwrap_or(Decision::Refused(
                Reason::Expired,
                Duration::from_millis(300),
            )),
        };
        waiting.is_decided = true;
        match decision {
            Decision::Granted(path) => Ok(grant(home, ticket.id, ticket.tokens, &path, clock)),
            Decision::Refused(reason, retry_after) => Err(Refusal {
                reason,
                retry_after,
            }),
        }
    }

    /// Starts and refuses what waits, as far as it can be told now.
    pub fn poll(&self, now: Instant) {
        let homes: Vec<_> = self.homes.lock().values().cloned().collect();
        for home in homes {
            let mut local = home.lock();
            local.poll(now);
        }
    }

    /// Gives the engine at `addr` no new work for a while.
    pub fn shun(&self, now: Instant, addr: SocketAddr) {
        for home in self.homes.lock().values() {
            home.lock().home.engines.shun(now, addr, DEAD_TIME);
        }
    }

    /// Gives the engine at `addr` no new work for `time`.
    pub fn shun_for(&self, now: Instant, addr: SocketAddr, time: Duration) {
        for home in self.homes.lock().values() {
            home.lock().home.engines.shun(now, addr, time);
        }
    }

    /// Requests that run and that wait, over all homes.
    pub fn load(&self) -> (usize, usize) {
        let homes = self.homes.lock();
        let loads = homes.values().map(|h| {
            let local = h.lock();
            (local.home.running(), local.home.waiting())
        });
        loads.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }

    /// The homes of a service, the one of the own data centre first.
    fn of(&self, service: &str) -> Vec<(Arc<str>, Arc<Mutex<Local>>)> {
        let homes = self.homes.lock();
        let mut of_service: Vec<_> = homes
            .iter()
            .filter(|((name, _), _)| **name == *service)
            .map(|((_, data_centre), home)| (Arc::clone(data_centre), Arc::clone(home)))
            .collect();
        of_service.sort_unstable_by(|(a, _), (b, _)| {
            let is_far = |d: &Arc<str>| *d != self.data_centre;
            (is_far(a), a).cmp(&(is_far(b), b))
        });
        of_service
    }
}

impl Local {
    fn poll(&mut self, now: Instant) {
        for (id, decision) in self.home.poll(now) {
            let Some(waiter) = self.waiters.remove(&id) else {
                self.home.done(now, id);
                continue;
            };
            if waiter.send(decision).is_err() {
                self.home.done(now, id);
            }
        }
    }

    fn resolve(&self, path: &[Place]) -> Vec<Stage> {
        let stages = path.iter().filter_map(|place| {
            let engine = self.home.engines.get(place.engine)?;
            Some(Stage {
                id: Arc::clone(&engine.id),
                addr: engine.addr,
                layers: place.layers,
            })
        });
        stages.collect()
    }
}

fn grant(
    home: &Arc<Mutex<Local>>,
    id: TicketId,
    tokens: u32,
    path: &[Place],
    clock: hemlockwind_backend::clock::SystemClock,
) -> Grant {
    let path = home.lock().resolve(path);
    Grant {
        path,
        home: Arc::clone(home),
        id,
        tokens,
        clock,
    }
}

impl Grant {
    /// Whether the path leads over the engine at `addr`.
    pub fn leads_over(&self, addr: SocketAddr) -> bool {
        self.path.iter().any(|s| s.addr == addr)
    }

    /// Takes another path in the same data centre, whether or not it fits. Returns
    /// whether there is one.
    pub fn detour(&mut self) -> bool {
        use hemlockwind_core::edges::Clock;
        let now = self.clock.now();
        let mut local = self.home.lock();
        let Some(path) = local.home.detour(now, self.tokens) else {
            return false;
        };
        self.path = local.resolve(&path);
        local.home.moved(self.id, path);
        true
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        use hemlockwind_core::edges::Clock;
        let now = self.clock.now();
        let mut local = self.home.lock();
        local.home.done(now, self.id);
        local.poll(now);
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        use hemlockwind_core::edges::Clock;
        if !self.is_decided {
            let mut local = self.home.lock();
            local.waiters.remove(&self.id);
            local.home.done(self.clock.now(), self.id);
        }
    }
}
