//! Which waiting request starts next, which is refused, and when a refused caller returns, under
//! [`LoadPolicy::Contended`](crate::LoadPolicy::Contended).
//!
//! It is designed for this load: three times the load of all ranks for 10 s, then six times the
//! load of the most urgent rank for 5 s, with callers that retry once, at or before their retry
//! time, and an organisation that floods. There, requests that wait long are answered too late to
//! be of use, so the queue is kept short: who can't start in time is refused at once and gets a
//! time at which capacity becomes free. A caller that returns is late already, so it starts after
//! those that can still be in time: before them, it would make each of them late in turn.
//!
//! All state is in memory and bounded. A new queue owner begins without it: then a caller that
//! returns counts as new.

mod flows;
mod returns;

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::admission::flows::Flows;
use crate::admission::returns::Returns;
use crate::queue_entry::QueueEntry;
use crate::queue_entry::QueueEntryId;
use crate::queue_entry::Reason;

/// The maximum number of waiting entries: at about 200 bytes each, less than 2 MB.
pub const MAX_WAITING: usize = 8_192;
/// The number of ranks that are told apart; less urgent ones count as the last of them.
pub const RANKS: usize = 4;
/// The number of levels in the order of starts: a rank's requests stand in the order of the ranks
/// of their routes.
const LEVELS: usize = RANKS * RANKS;

/// The part of the time to its latest start that a new entry's expected wait may take. The
/// estimate errs by about a third, and a request that waits and is then refused loses more time
/// than one that is refused at once.
const WAIT_MARGIN: f64 = 0.6;
/// The time over which the arrivals of each rank are averaged.
const ARRIVAL_WINDOW_S: f64 = 1.0;
/// The time for whose arrivals of more urgent entries capacity is kept free. Streams end at all
/// times, so the reserve only has to cover fluctuations.
const RESERVE_HORIZON_S: f64 = 0.1;
/// The time after a refusal in which a reserve is kept.
const CONTENTION_TIME: Duration = Duration::from_secs(2);
/// The part of the released capacity with which a rank's wait is estimated at least, however much
/// of it more urgent ranks are expected to take: its estimate stays finite.
const MIN_RATE_SHARE: f64 = 0.02;
/// The longest wait that is estimated.
const MAX_WAIT_S: f64 = 3_600.0;
/// The shortest time after which a refused caller returns: callers retry only once, so a slightly
/// longer wait costs them less than a second refusal.
const MIN_RETRY: Duration = Duration::from_millis(1_000);
/// The maximum length of the release schedule. The load that it is made for lasts for 10 to 15 s.
const MAX_SCHEDULE: Duration = Duration::from_secs(10);
/// A caller honours a retry time of at most the time that it has left, divided by this.
const RETRY_DIVISOR: u32 = 3;
/// The shortest time between two reviews of all waiting entries, whose time grows with their
/// number.
const REVIEW_INTERVAL: Duration = Duration::from_millis(10);

/// `Caller` is what a request says about its caller, besides its queue entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// A hash of its organisation, model and prompt, by which a returning caller is recognised.
    pub fingerprint: Option<u64>,
    /// When the caller gives up; `None` if its instance did not send that.
    pub deadline: Option<Instant>,
    /// The rank of its route, by which requests of one rank are ordered: an organisation's rank
    /// replaces those of all routes, so its urgent and its other requests would be alike. `None`
    /// if its instance did not send that.
    pub route_rank: Option<Rank>,
}

/// `Capacity` describes the engines' memory for requests, in tokens over all layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Tokens for which memory is free.
    pub free: f64,
    /// Tokens of all running requests.
    pub running: f64,
    /// The mean time that a request runs, in seconds.
    pub mean_run_s: f64,
}

impl Capacity {
    /// Returns the tokens that running requests release per second, by Little's law.
    fn release_rate(&self) -> f64 {
        self.running.max(1.0) / self.mean_run_s.max(0.001)
    }
}

/// `Cause` is why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The usable engines don't form a whole path.
    NoPath,
    /// It arrived when its expected wait was too long.
    Arrival,
    /// Its expected wait became too long while it waited.
    Waiting,
    /// Its latest start passed while it waited.
    Expired,
    /// [`MAX_WAITING`] entries wait.
    QueueFull,
}

/// `Refusal` holds what a refusal was based on, and when the caller should return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// The cause.
    pub cause: Cause,
    /// The rank of the request.
    pub rank: Rank,
    /// Tokens of the organisation's running requests.
    pub tokens_in_progress: f64,
    /// The expected wait.
    pub expected_wait: Duration,
    /// The time to its latest start.
    pub time_left: Duration,
    /// The time after which the caller should return.
    pub retry_after: Duration,
    /// Whether the caller had been refused before.
    pub was_refused: bool,
}

impl Refusal {
    /// Returns the reason that stands for the cause under the other policy.
    pub const fn reason(&self) -> Reason {
        match self.cause {
            Cause::NoPath => Reason::NoPath,
            Cause::Arrival | Cause::Waiting | Cause::QueueFull => Reason::WaitTooLong,
            Cause::Expired => Reason::Expired,
        }
    }
}

/// `Candidate` is a request that is to start or to wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Its queue entry.
    pub entry: QueueEntry,
    /// Its caller.
    pub caller: Caller,
    /// Its level in the order of starts; 0 starts first.
    pub level: usize,
    /// Its number in order of arrival.
    arrival: u64,
    /// Whether its caller returns at or after its retry time.
    pub is_returning: bool,
    /// Whether its caller had been refused before.
    was_refused: bool,
    /// The latest start that is in time: the one that meets the target, or the latest useful one
    /// if the request arrived too late for that. An answer that misses its target is worth about a
    /// tenth of one that meets it, and a caller that is refused early can return.
    pub latest_start: Instant,
}

impl Candidate {
    fn tokens(&self) -> f64 {
        f64::from(self.entry.tokens)
    }

    /// Returns the number of levels whose new requests start before this one. Those of its own
    /// level do if its caller was refused before.
    fn levels_ahead(&self) -> usize {
        self.level + usize::from(self.was_refused)
    }
}

/// `Arrivals` is the recent rate of arrivals of one rank, in tokens per second.
#[derive(Clone, Copy, Debug)]
struct Arrivals {
    rate: f64,
    at: Instant,
}

impl Arrivals {
    /// Returns the rate at `now`, an exponential average over [`ARRIVAL_WINDOW_S`].
    fn rate(&self, now: Instant) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / ARRIVAL_WINDOW_S).exp()
    }

    fn add(&mut self, now: Instant, tokens: f64) {
        self.rate = self.rate(now) + tokens / ARRIVAL_WINDOW_S;
        self.at = now;
    }
}

/// `LevelState` holds what is known of one level.
#[derive(Debug)]
struct LevelState {
    flows: Flows,
    arrivals: Arrivals,
    /// The end of the part of the release schedule that its refused entries were given.
    scheduled_until: Instant,
}

/// `Admission` holds the waiting requests of one queue owner and the callers that it refused.
#[derive(Debug)]
pub struct Admission {
    levels: [LevelState; LEVELS],
    /// The level and organisation of each waiting entry.
    index: HashMap<QueueEntryId, (usize, OrganisationKey)>,
    returns: Returns,
    /// The last arrival number.
    arrivals: u64,
    /// Until when capacity counts as contended after a refusal.
    contended_until: Instant,
    /// When all waiting entries are examined next.
    review_at: Instant,
}

impl Default for Admission {
    fn default() -> Self {
        let level = || LevelState {
            flows: Flows::default(),
            arrivals: Arrivals {
                rate: 0.0,
                at: Instant::ZERO,
            },
            scheduled_until: Instant::ZERO,
        };
        Self {
            levels: std::array::from_fn(|_| level()),
            index: HashMap::default(),
            returns: Returns::default(),
            arrivals: 0,
            contended_until: Instant::ZERO,
            review_at: Instant::ZERO,
        }
    }
}

impl Admission {
    /// Returns the number of waiting entries.
    pub fn waiting(&self) -> usize {
        self.index.len()
    }

    /// Returns the number of waiting entries of each rank.
    pub fn waiting_by_rank(&self) -> [usize; RANKS] {
        let mut counts = [0; RANKS];
        for (level, _) in self.index.values() {
            counts[*level / RANKS] += 1;
        }
        counts
    }

    /// Returns the tokens that are kept free from the last level that recently had
    /// arrivals.
    pub fn reserved(&self, now: Instant) -> f64 {
        let last = self
            .levels
            .iter()
            .rposition(|r| r.arrivals.rate(now) >= 1.0 || r.flows.tokens() > 0.0);
        last.map_or(0.0, |level| self.reserve(now, level))
    }

    /// Records the arrival of a request, and whether its caller returns after a refusal.
    pub fn arrive(&mut self, now: Instant, entry: QueueEntry, caller: Caller) -> Candidate {
        let level = level(entry.rank, caller.route_rank);
        let state = &mut self.levels[level];
        state.arrivals.add(now, f64::from(entry.tokens));
        state.flows.arrive(entry.organisation);
        let retry_at = caller.fingerprint.and_then(|f| self.returns.take(now, f));
        self.arrivals += 1;
        Candidate {
            entry,
            caller,
            level,
            arrival: self.arrivals,
            is_returning: retry_at.is_some_and(|at| at <= now),
            was_refused: retry_at.is_some(),
            latest_start: match entry.on_time_by > now {
                true => entry.on_time_by,
                false => entry.latest,
            },
        }
    }

    /// Returns whether a request that has just arrived may start at once if it fits: no entry
    /// of its rank or a more urgent one waits, and it leaves the reserve free.
    pub fn may_start(&self, now: Instant, candidate: &Candidate, capacity: &Capacity) -> bool {
        let level = candidate.level;
        let own = &self.levels[level].flows;
        let ahead = match candidate.was_refused {
            true => own.tokens(),
            false => own.new_tokens(),
        };
        let mut urgent = self.levels[..level].iter();
        let is_first = ahead <= 0.0 && urgent.all(|l| l.flows.tokens() <= 0.0);
        is_first && self.leaves_reserve(now, candidate, capacity)
    }

    /// Returns whether there is capacity beyond the reserve for requests that are more urgent than
    /// this one.
    pub fn has_capacity(&self, now: Instant, candidate: &Candidate, capacity: &Capacity) -> bool {
        let reserve = self.reserve(now, candidate.level);
        reserve <= 0.0 || capacity.free > reserve
    }

    /// Returns whether the start of a request leaves the reserve for more urgent ones free.
    pub fn leaves_reserve(&self, now: Instant, candidate: &Candidate, capacity: &Capacity) -> bool {
        let reserve = self.reserve(now, candidate.level);
        reserve <= 0.0 || capacity.free - candidate.tokens() >= reserve
    }

    /// Adds a request to the waiting ones, or refuses it. `limit_wait` is the wait for limits that
    /// engines announced.
    pub fn wait_or_refuse(
        &mut self,
        now: Instant,
        candidate: Candidate,
        capacity: &Capacity,
        limit_wait: Duration,
    ) -> Option<Refusal> {
        let level = candidate.level;
        let urgent: f64 = self.levels[..level].iter().map(|r| r.flows.tokens()).sum();
        let ahead = urgent + self.levels[level].flows.ahead(&candidate);
        // While a limit holds the entries back, memory may be free for all of them.
        let free = match limit_wait.is_zero() {
            true => 0.0,
            false => capacity.free,
        };
        let deficit = (self.reserve(now, level) - urgent - capacity.free).max(0.0);
        let tokens = ahead + candidate.tokens() + deficit - free;
        let wait = self.wait(now, candidate.levels_ahead(), tokens, capacity);
        let wait = wait.max(limit_wait);
        let left = candidate.latest_start.since(now);
        // A returning caller has no further attempt, so it may use all of its time.
        let max_wait = match candidate.is_returning {
            true => left,
            false => left.mul_f64(WAIT_MARGIN),
        };
        if wait > max_wait {
            return Some(self.refuse(now, &candidate, Cause::Arrival, wait, capacity));
        }
        if self.index.len() >= MAX_WAITING {
            return Some(self.refuse(now, &candidate, Cause::QueueFull, wait, capacity));
        }
        self.insert(candidate);
        None
    }

    /// Adds a request to the waiting ones.
    fn insert(&mut self, candidate: Candidate) {
        let entry = candidate.entry;
        let level = candidate.level;
        // An instance that has restarted may use a number again.
        self.remove(entry.id);
        self.index.insert(entry.id, (level, entry.organisation));
        self.levels[level].flows.push(candidate);
    }

    /// Adds an entry that already waited under the other policy.
    pub fn adopt(&mut self, now: Instant, entry: QueueEntry) {
        let candidate = self.arrive(now, entry, Caller::default());
        self.insert(candidate);
    }

    /// Removes all waiting entries, and returns them in order of arrival.
    pub fn drain(&mut self) -> Vec<QueueEntry> {
        let mut all = self.start_order(usize::MAX);
        all.sort_unstable_by_key(|c| c.arrival);
        for candidate in &all {
            self.remove(candidate.entry.id);
        }
        all.into_iter().map(|c| c.entry).collect()
    }

    /// Removes a waiting entry, if it waits.
    pub fn remove(&mut self, id: QueueEntryId) {
        if let Some((level, organisation)) = self.index.remove(&id) {
            self.levels[level].flows.remove(organisation, id);
        }
    }

    /// Removes the waiting entries of an instance.
    pub fn remove_instance(&mut self, instance: InstanceKey) {
        let ids: Vec<QueueEntryId> = self.index.keys().copied().collect();
        for id in ids.into_iter().filter(|id| id.instance == instance) {
            self.remove(id);
        }
    }

    /// Records that a request starts, which counts towards its organisation's share.
    pub fn started(&mut self, candidate: &Candidate) {
        self.remove(candidate.entry.id);
        let flows = &mut self.levels[candidate.level].flows;
        flows.charge(candidate.entry.organisation, candidate.tokens());
    }

    /// Returns up to `limit` waiting entries in the order in which they start: by rank and the rank of their route, new
    /// callers before those that return, then by the tokens of their organisations, then by arrival.
    pub fn start_order(&self, limit: usize) -> Vec<Candidate> {
        let mut order = Vec::new();
        for state in &self.levels {
            state.flows.append_order(&mut order, limit);
        }
        order
    }

    /// Refuses the waiting entries that are not expected to start in time.
    pub fn review(&mut self, now: Instant, capacity: &Capacity) -> Vec<(QueueEntry, Refusal)> {
        if now < self.review_at || self.index.is_empty() {
            return Vec::new();
        }
        self.review_at = now + REVIEW_INTERVAL;
        let mut refused = Vec::new();
        // Overcommitted memory is released first.
        let mut ahead = (-capacity.free).max(0.0);
        for candidate in self.start_order(usize::MAX) {
            // Capacity that is already free needs no wait, but it may not form a path.
            let wait = self.wait(now, candidate.levels_ahead(), ahead, capacity);
            let left = candidate.latest_start.since(now);
            if candidate.latest_start <= now {
                let refusal = self.expire(now, &candidate, capacity);
                refused.push((candidate.entry, refusal));
                continue;
            }
            if wait <= left {
                ahead += candidate.tokens();
                continue;
            }
            self.remove(candidate.entry.id);
            let refusal = self.refuse(now, &candidate, Cause::Waiting, wait, capacity);
            refused.push((candidate.entry, refusal));
        }
        refused
    }

    /// Refuses a waiting entry whose latest start has passed.
    pub fn expire(&mut self, now: Instant, candidate: &Candidate, capacity: &Capacity) -> Refusal {
        self.remove(candidate.entry.id);
        self.refuse(now, candidate, Cause::Expired, Duration::ZERO, capacity)
    }

    /// Refuses a request, and gives its caller the next place in the release schedule.
    pub fn refuse(
        &mut self,
        now: Instant,
        candidate: &Candidate,
        cause: Cause,
        expected_wait: Duration,
        capacity: &Capacity,
    ) -> Refusal {
        let level = candidate.level;
        let slot = self.wait(now, level, candidate.tokens(), capacity);
        let scheduled = self.levels[..=level].iter().map(|r| r.scheduled_until);
        let scheduled = scheduled.max().unwrap_or(now);
        let next = scheduled.max(now + MIN_RETRY) + slot;
        let next = next.min(now + MAX_SCHEDULE);
        let at = (now + expected_wait).max(next);
        // An instance of an older build sends no deadline.
        let max_retry = match candidate.caller.deadline {
            Some(deadline) => deadline.since(now) / RETRY_DIVISOR,
            None => MIN_RETRY.max(candidate.entry.latest.since(now)),
        };
        let at = at.min(now + max_retry);
        let state = &mut self.levels[level];
        state.scheduled_until = state.scheduled_until.max(next);
        self.contended_until = now + CONTENTION_TIME;
        if let Some(fingerprint) = candidate.caller.fingerprint {
            self.returns.insert(now, fingerprint, at);
        }
        Refusal {
            cause,
            rank: candidate.entry.rank,
            tokens_in_progress: 0.0,
            expected_wait,
            time_left: candidate.latest_start.since(now),
            retry_after: at.since(now),
            was_refused: candidate.was_refused,
        }
    }

    /// Returns the wait until `tokens` are released for the requests behind the first `levels`:
    /// these are expected to take what arrives for them.
    fn wait(&self, now: Instant, levels: usize, tokens: f64, capacity: &Capacity) -> Duration {
        if tokens <= 0.0 {
            return Duration::ZERO;
        }
        let released = capacity.release_rate();
        let taken: f64 = self.levels[..levels]
            .iter()
            .map(|r| r.arrivals.rate(now))
            .sum();
        let rate = (released - taken).max(released * MIN_RATE_SHARE);
        Duration::from_secs_f64((tokens / rate).min(MAX_WAIT_S))
    }

    /// Returns the tokens that a level leaves free for more urgent ones: those that wait to start in
    /// time, and those that are expected to arrive. It is 0 when nothing waits and nothing was refused recently.
    fn reserve(&self, now: Instant, level: usize) -> f64 {
        if self.index.is_empty() && now >= self.contended_until {
            return 0.0;
        }
        let tokens = self.levels[..level]
            .iter()
            .map(|r| r.flows.new_tokens() + r.arrivals.rate(now) * RESERVE_HORIZON_S);
        tokens.sum()
    }
}

/// Returns the level of a request in the order of starts, by its rank and that of its route.
fn level(rank: Rank, route_rank: Option<Rank>) -> usize {
    let index = |rank: Rank| usize::from(rank.0).min(RANKS - 1);
    index(rank) * RANKS + index(route_rank.unwrap_or(rank))
}
