//! The homes that this instance keeps for others and itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Home;
use hemlockwind_paths::Ticket;
use hemlockwind_paths::TicketId;
use hemlockwind_paths::engines::Stage as Place;
use hemlockwind_paths::home::Detour;
use hemlockwind_paths::home::Held;
use hemlockwind_paths::ticket::Decision;
use hemlockwind_paths::ticket::Reason;
use hemlockwind_platform::headers::Stage;
use hemlockwind_protocol::peer::paths as wire;

/// When to come back to a home that ended while a ticket waited there.
const ENDED_RETRY: Duration = Duration::from_millis(300);

/// Time between two refusals that still count as in a row.
const IN_A_ROW: Duration = Duration::from_millis(500);
/// Refusals in a row after which an engine is examined.
const SUSPICIOUS: u32 = 2;
/// Time between two examinations of one engine.
const EXAMINE_INTERVAL: Duration = Duration::from_millis(300);

type Waiter = oneshot::Sender<Decided>;

/// `Decided` is what a home said of a ticket.
pub type Decided = Result<Vec<Stage>, (Reason, Duration)>;

/// `Local` is one home with those who wait for its decisions.
pub struct Local {
    /// The decisions.
    pub home: Home,
    waiters: HashMap<TicketId, Waiter>,
    has_path: bool,
    refusals: HashMap<SocketAddr, Refusals>,
}

/// Refusals of one engine in a row.
#[derive(Clone, Copy, Debug)]
struct Refusals {
    count: u32,
    last: Instant,
    examined: Instant,
}

/// `Cell` is one home under its lock.
pub type Cell = Arc<Mutex<Local>>;

impl Local {
    /// A home that nobody waits at.
    pub fn new(home: Home) -> Self {
        Self {
            home,
            waiters: HashMap::default(),
            has_path: false,
            refusals: HashMap::default(),
        }
    }

    /// Starts and refuses what waits, as far as it can be told now.
    pub fn poll(&mut self, now: Instant) {
        for (id, decision) in self.home.poll(now) {
            let decided = self.decided(decision);
            let waiter = self.waiters.remove(&id);
            let heard = waiter.is_some_and(|w| w.send(decided).is_ok());
            if !heard {
                self.home.done(now, id);
            }
        }
    }

    /// A ticket has ended or does not wait any more.
    pub fn done(&mut self, now: Instant, id: TicketId) {
        self.waiters.remove(&id);
        self.home.done(now, id);
    }

    /// Another path for a running stream.
    pub fn detour(&mut self, now: Instant, id: TicketId, by: Detour) -> Option<Vec<Stage>> {
        let path = self.home.detour(now, id, by)?;
        Some(self.resolve(&path))
    }

    /// Takes a running stream that another home granted.
    pub fn adopt(&mut self, now: Instant, instance: InstanceKey, held: &wire::Held) {
        let places = held.path.iter().filter_map(|stage| {
            Some(Place {
                engine: self.home.engines.key(&stage.id)?,
                layers: LayerRange::new(stage.start, stage.end).ok()?,
            })
        });
        let held_here = Held {
            tokens: held.tokens,
            path: places.collect(),
        };
        let id = TicketId {
            instance,
            number: held.number,
        };
        self.home.adopt(now, id, held_here);
    }

    /// Whether it has a whole path, if that has changed.
    pub fn turn(&mut self, now: Instant) -> Option<bool> {
        let has_path = self.home.has_path(now);
        let is_news = std::mem::replace(&mut self.has_path, has_path) != has_path;
        is_news.then_some(has_path)
    }

    /// The engines' layers, streams and memory in hundredths, for a log line.
    pub fn summary(&self, now: Instant) -> String {
        let mut engines: Vec<_> = self.home.engines.iter().map(|(_, e)| e).collect();
        engines.sort_by_key(|e| (e.layers, e.addr));
        let parts = engines.iter().map(|e| {
            let used = 100.0 * e.used / e.room.max(1.0);
            let is_usable = self.home.engines.is_usable(e, now);
            let mark = if is_usable { "" } else { "!" };
            format!("{}{mark} {} {used:.0}", e.layers, e.streams)
        });
        parts.collect::<Vec<_>>().join(", ")
    }

    /// An engine refused to be part of a path and gets nothing new for `time`. Returns
    /// whether it is time to look why.
    pub fn refused(&mut self, now: Instant, addr: SocketAddr, time: Duration) -> bool {
        self.shun(now, addr, time);
        let refusals = self.refusals.entry(addr).or_insert(Refusals {
            count: 0,
            last: now,
            examined: Instant::ZERO,
        });
        if now.since(refusals.last) > IN_A_ROW {
            refusals.count = 0;
        }
        refusals.count += 1;
        refusals.last = now;
        let is_due = now.since(refusals.examined) > EXAMINE_INTERVAL;
        let is_suspicious = refusals.count >= SUSPICIOUS && is_due;
        if is_suspicious {
            refusals.examined = now;
        }
        is_suspicious
    }

    /// Gives the engine at `addr` no new work for `time`.
    pub fn shun(&mut self, now: Instant, addr: SocketAddr, time: Duration) {
        self.home.engines.shun(now, addr, time);
    }

    fn decided(&self, decision: Decision) -> Decided {
        match decision {
            Decision::Granted(path) => Ok(self.resolve(&path)),
            Decision::Refused(reason, retry) => Err((reason, retry)),
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

/// Asks a home, and waits for its decision where the ticket may wait.
pub async fn ask(cell: &Cell, now: Instant, ticket: Ticket) -> Decided {
    let waiting = {
        let mut local = cell.lock();
        match local.home.ask(now, ticket) {
            Some(decision) => return local.decided(decision),
            None => {
                let (tx, rx) = oneshot::channel();
                local.waiters.insert(ticket.id, tx);
                rx
            }
        }
    };
    let decided = waiting.await;
    decided.unwrap_or(Err((Reason::Expired, ENDED_RETRY)))
}
