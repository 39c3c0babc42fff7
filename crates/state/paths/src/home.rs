//! Which waiting request starts next, and which is refused at once.
//!
//! Answers bursts beyond the engines' memory. The most urgent rank goes first; inside
//! a rank those that can still be on time, then the organisation that has least in
//! progress, then the oldest. A request whose expected wait is of no use is refused
//! at once with the time after which it has a chance.

use std::net::SocketAddr;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::collections::HashSet;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::choice;
use crate::choice::Need;
use crate::engines::Engines;
use crate::engines::Stage;
use crate::meter::Meter;
use crate::ticket::Decision;
use crate::ticket::Reason;
use crate::ticket::Ticket;
use crate::ticket::TicketId;

/// Waiting tickets that are tried when the first of them doesn't fit: a large request
/// must not stop small ones while its memory is being freed.
const LOOK_AHEAD: usize = 4;
/// The part of the time to its latest start that a ticket may be expected to wait. The
/// estimate errs by about a third, and a request that waited in vain is the worst case.
const WAIT_MARGIN: f64 = 0.6;
/// The time after which a caller may come back when there is no whole path: engines take
/// over what a lost one held within a second or two. Callers come back only once or twice
/// and are late by then, so a little longer costs them less than a second refusal.
const NO_PATH_RETRY: Duration = Duration::from_millis(2_000);
/// Time that an engine may be passed over without its path counting as lost.
const PASSING: Duration = Duration::from_millis(400);
/// The shortest time after which a refused caller should come back, for the same reason.
const SHORTEST_RETRY: Duration = Duration::from_millis(1_000);
/// Time without a report after which an instance's running requests are forgotten.
const SILENCE: Duration = Duration::from_secs(4);
/// Time after a start in which its instance may not have reported it yet.
const IN_FLIGHT: Duration = Duration::from_millis(500);

/// `Held` is one running stream as its instance reports it.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// Tokens of its prompt and expected answer together.
    pub tokens: u32,
    /// Its path.
    pub path: Vec<Stage>,
}

/// `Detour` says which other path a running stream needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Detour {
    /// Whether memory must be free for it.
    pub must_fit: bool,
    /// Whether it has to stay with its first stage, which goes on with it.
    pub keeps_first: bool,
    /// How it may cross between data centres.
    pub crossing: Crossing,
}

/// `Crossing` says how another path may cross between data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossing {
    /// As is best.
    Free,
    /// No more often than the path before.
    NoMore,
    /// Not at all: links between data centres have failed.
    None,
}

impl Detour {
    fn held(self, path: &[Stage]) -> Option<&[Stage]> {
        self.keeps_first.then_some(path)
    }
}

#[derive(Debug)]
struct Running {
    tokens: u32,
    path: Vec<Stage>,
    started: Instant,
    organisation: Option<OrganisationKey>,
}

/// `Home` decides who starts on the engines of one model.
#[derive(Debug)]
pub struct Home {
    /// The engines and what of their memory is taken.
    pub engines: Engines,
    running: HashMap<TicketId, Running>,
    tokens: f64,
    waiting: Vec<(u64, Ticket)>,
    arrivals: u64,
    in_progress: HashMap<OrganisationKey, f64>,
    heard: HashMap<InstanceKey, Instant>,
    meter: Meter,
}

impl Home {
    /// A home for `engines` that nothing runs on.
    pub fn new(engines: Engines) -> Self {
        Self {
            engines,
            running: HashMap::default(),
            tokens: 0.0,
            waiting: Vec::new(),
            arrivals: 0,
            in_progress: HashMap::default(),
            heard: HashMap::default(),
            meter: Meter::default(),
        }
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Tickets that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The expected wait of a new ticket of `rank`.
    pub fn wait(&self, rank: Rank, tokens: u32) -> Duration {
        let ahead = self.waiting.iter().filter(|(_, t)| t.rank <= rank);
        let ahead: f64 = ahead.map(|(_, t)| f64::from(t.tokens)).sum();
        self.meter.wait(ahead + f64::from(tokens), self.tokens)
    }

    /// Takes a new ticket; `None` when it waits.
    pub fn ask(&mut self, now: Instant, ticket: Ticket) -> Option<Decision> {
        let goes_first = !self.waiting.iter().any(|(_, t)| t.rank <= ticket.rank);
        if goes_first && let Some(path) = self.path(now, &ticket) {
            return Some(self.start(now, &ticket, path));
        }
        // Engines that are passed over for a moment only are worth waiting for.
        if !self.has_path(now + PASSING) {
            return Some(Decision::Refused(Reason::NoPath, NO_PATH_RETRY));
        }
        let wait = self.wait(ticket.rank, ticket.tokens);
        let useful = ticket.latest.since(now).mul_f64(WAIT_MARGIN);
        if !ticket.may_wait || wait > useful {
            let retry = wait.max(SHORTEST_RETRY);
            return Some(Decision::Refused(Reason::WaitTooLong, retry));
        }
        self.arrivals += 1;
        self.waiting.push((self.arrivals, ticket));
        None
    }

    /// Takes back a ticket, waiting or running.
    pub fn done(&mut self, now: Instant, id: TicketId) {
        self.waiting.retain(|(_, t)| t.id != id);
        if let Some(running) = self.running.remove(&id) {
            self.meter.finished(running.started, now);
            self.release(&running);
        }
    }

    /// Another path for a running stream, as `by` says. One whose engines have failed goes
    /// on even where its memory does not fit.
    pub fn detour(&mut self, now: Instant, id: TicketId, by: Detour) -> Option<Vec<Stage>> {
        let running = self.running.get(&id)?;
        let (tokens, old) = (running.tokens, running.path.clone());
        // What it holds is its own to use again.
        self.engines.give_back(&old, tokens);
        let first = old.first().and_then(|s| self.engines.get(s.engine));
        let need = Need {
            tokens,
            near: None,
            must_fit: true,
            held: by.held(&old),
            within: first
                .map(|e| e.data_centre)
                .filter(|_| by.crossing == Crossing::None),
        };
        let any = Need {
            must_fit: false,
            ..need
        };
        let fits = choice::choose(&self.engines, now, need);
        let path = match by.must_fit {
            true => fits,
            false => fits.or_else(|| choice::choose(&self.engines, now, any)),
        };
        let crossings = |path: &[Stage]| self.engines.crossings(path);
        let path = path.filter(|path| match by.crossing {
            Crossing::Free => true,
            Crossing::NoMore => crossings(path) <= crossings(&old),
            Crossing::None => crossings(path) == 0,
        });
        let taken = path.as_ref().unwrap_or(&old);
        self.engines.take(taken, tokens);
        if let (Some(path), Some(running)) = (&path, self.running.get_mut(&id)) {
            running.path.clone_from(path);
        }
        path
    }

    /// Takes the numbers of all streams that an instance has running, and forgets its
    /// others. Returns those that are not known here.
    pub fn running_at(&mut self, now: Instant, instance: InstanceKey, numbers: &[u64]) -> Vec<u64> {
        self.heard.insert(instance, now);
        let mut unknown: HashSet<u64> = numbers.iter().copied().collect();
        let gone: Vec<TicketId> = self
            .running
            .iter()
            .filter(|(id, _)| id.instance == instance)
            .filter(|(id, r)| !unknown.remove(&id.number) && now.since(r.started) > IN_FLIGHT)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.drop_running(id);
        }
        unknown.into_iter().collect()
    }

    /// Takes a running stream that another home granted.
    pub fn adopt(&mut self, now: Instant, id: TicketId, held: Held) {
        let running = Running {
            tokens: held.tokens,
            path: held.path,
            started: now,
            organisation: None,
        };
        self.hold(id, running);
    }

    /// The instances with streams that run over the engine at `addr`.
    pub fn instances_over(&self, addr: SocketAddr) -> Vec<InstanceKey> {
        let over = self.running.iter().filter(|(_, r)| {
            let mut engines = r.path.iter().filter_map(|s| self.engines.get(s.engine));
            engines.any(|e| e.addr == addr)
        });
        let mut instances: Vec<InstanceKey> = over.map(|(id, _)| id.instance).collect();
        instances.sort_unstable();
        instances.dedup();
        instances
    }

    /// Starts and refuses waiting tickets as far as it can be told now.
    pub fn poll(&mut self, now: Instant) -> Vec<(TicketId, Decision)> {
        let mut decisions = Vec::new();
        self.forget_silent(now);
        self.expire(now, &mut decisions);
        let mut skipped = 0;
        let mut order = self.order(now);
        order.reverse();
        while let Some(arrival) = order.pop() {
            let Some(at) = self.waiting.iter().position(|(a, _)| *a == arrival) else {
                continue;
            };
            let ticket = self.waiting[at].1;
            match self.path(now, &ticket) {
                Some(path) => {
                    self.waiting.remove(at);
                    let granted = self.start(now, &ticket, path);
                    decisions.push((ticket.id, granted));
                }
                None => {
                    skipped += 1;
                    if skipped >= LOOK_AHEAD {
                        break;
                    }
                }
            }
        }
        decisions
    }

    /// The waiting tickets' arrival numbers, the next to start first.
    fn order(&self, now: Instant) -> Vec<u64> {
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(arrival, t)| {
                let is_late = t.on_time_by < now;
                let share = self.in_progress.get(&t.organisation);
                // Whole thousands of tokens, so that equal organisations go by arrival.
                let share = (share.copied().unwrap_or_default() / 1_000.0) as u64;
                (t.rank, is_late, share, *arrival)
            })
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(.., arrival)| arrival).collect()
    }

    fn expire(&mut self, now: Instant, decisions: &mut Vec<(TicketId, Decision)>) {
        let retry = SHORTEST_RETRY;
        self.waiting.retain(|(_, t)| {
            let expired = t.latest <= now;
            if expired {
                decisions.push((t.id, Decision::Refused(Reason::Expired, retry)));
            }
            !expired
        });
    }

    fn forget_silent(&mut self, now: Instant) {
        let silent: Vec<InstanceKey> = self
            .heard
            .iter()
            .filter(|(_, heard)| now.since(**heard) > SILENCE)
            .map(|(instance, _)| *instance)
            .collect();
        for instance in silent {
            self.running_at(now, instance, &[]);
            self.heard.remove(&instance);
            self.waiting.retain(|(_, t)| t.id.instance != instance);
        }
    }

    fn path(&self, now: Instant, ticket: &Ticket) -> Option<Vec<Stage>> {
        let need = Need {
            tokens: ticket.tokens,
            near: ticket.near,
            must_fit: true,
            held: None,
            within: None,
        };
        choice::choose(&self.engines, now, need)
    }

    /// Whether any engines join to a whole path, full or not.
    pub fn has_path(&self, now: Instant) -> bool {
        let need = Need {
            tokens: 0,
            near: None,
            must_fit: false,
            held: None,
            within: None,
        };
        choice::choose(&self.engines, now, need).is_some()
    }

    fn start(&mut self, now: Instant, ticket: &Ticket, path: Vec<Stage>) -> Decision {
        let running = Running {
            tokens: ticket.tokens,
            path: path.clone(),
            started: now,
            organisation: Some(ticket.organisation),
        };
        self.heard.entry(ticket.id.instance).or_insert(now);
        self.hold(ticket.id, running);
        Decision::Granted(path)
    }

    fn hold(&mut self, id: TicketId, running: Running) {
        self.engines.take(&running.path, running.tokens);
        self.tokens += f64::from(running.tokens);
        if let Some(organisation) = running.organisation {
            *self.in_progress.entry(organisation).or_default() += f64::from(running.tokens);
        }
        if let Some(old) = self.running.insert(id, running) {
            self.release(&old);
        }
    }

    fn drop_running(&mut self, id: TicketId) {
        if let Some(running) = self.running.remove(&id) {
            self.release(&running);
        }
    }

    fn release(&mut self, running: &Running) {
        self.engines.give_back(&running.path, running.tokens);
        self.tokens = (self.tokens - f64::from(running.tokens)).max(0.0);
        if let Some(organisation) = running.organisation
            && let Some(share) = self.in_progress.get_mut(&organisation)
        {
            *share = (*share - f64::from(running.tokens)).max(0.0);
        }
    }
}
