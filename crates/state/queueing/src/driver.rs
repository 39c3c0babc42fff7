//! The driver's side of a pool.
//!
//! [`Driver`] holds every waiting and running ticket of its instance until it ends,
//! so that a new home can be told all of them.

use std::collections::BTreeSet;
use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

use crate::message::Finished;
use crate::message::Grants;
use crate::message::Report;
use crate::message::Stamp;
use crate::ticket::Reason;
use crate::ticket::Refusal;
use crate::ticket::Ticket;

/// The time after which a request whose deadline passed here may be tried again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Options` holds the settings of the driver's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Requests that run at once while no home answers.
    pub floor: u32,
    /// The time between reports when there is no other news.
    pub report_period: Duration,
    /// The time without an answer after which the home is taken for gone.
    pub silence: Duration,
    /// The time for which unused credits may be kept.
    pub credit_life: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            floor: 1,
            report_period: Duration::from_millis(500),
            silence: Duration::from_millis(1_500),
            credit_life: Duration::from_secs(5),
        }
    }
}

/// `Event` is what a driver hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request wants a slot.
    Submit(Ticket),
    /// A started request ended and had this cost.
    Finish(Finished),
    /// A request that may still wait is given up.
    Withdraw(RequestId),
    /// The pool's home is now this instance, or nobody.
    Home(Option<InstanceKey>),
    /// A home answered.
    Grants(InstanceKey, Grants),
    /// A deadline of the driver has come.
    Tick,
}

/// `Action` is what a driver wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request; it holds a slot until it is finished.
    Start(RequestId),
    /// Refuse the request; nothing was run.
    Refuse(Refusal),
    /// Send the report to a home.
    Send(InstanceKey, Report),
}

/// `Driver` holds the tickets of one instance for one pool.
#[derive(Debug)]
pub struct Driver {
    options: Options,
    session: u64,
    number: u64,
    home: Option<InstanceKey>,
    seen: Stamp,
    tickets: HashMap<RequestId, Entry>,
    waiting: BTreeSet<(Rank, u64, RequestId)>,
    expiries: BTreeSet<(Instant, RequestId)>,
    arrivals: u64,
    running: u32,
    credits: u32,
    credits_expire_at: Instant,
    report_at: Instant,
    silent_at: Instant,
    waits: Vec<Duration>,
    news: Report,
    has_news: bool,
    actions: Vec<Action>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    ticket: Ticket,
    arrival: u64,
}

impl Driver {
    /// A driver without a home; a later `session` of the same instance has a
    /// higher number.
    pub fn new(options: Options, session: u64, now: Instant) -> Self {
        Self {
            options,
            session,
            number: 0,
            home: None,
            seen: Stamp::default(),
            tickets: HashMap::default(),
            waiting: BTreeSet::new(),
            expiries: BTreeSet::new(),
            arrivals: 0,
            running: 0,
            credits: 0,
            credits_expire_at: Instant::NEVER,
            report_at: now,
            silent_at: now,
            waits: Vec::new(),
            news: Report::default(),
            has_news: false,
            actions: Vec::new(),
        }
    }

    /// Takes one event and tells what to do.
    pub fn on_event(&mut self, now: Instant, event: Event) -> Vec<Action> {
        match event {
            Event::Submit(ticket) => self.submit(now, ticket),
            Event::Finish(finished) => self.finish(finished),
            Event::Withdraw(request) => self.withdraw(request),
            Event::Home(home) => self.change_home(now, home),
            Event::Grants(from, grants) => self.on_grants(now, from, grants),
            Event::Tick => {}
        }
        self.expire(now);
        self.start_alone(now);
        self.flush(now);
        std::mem::take(&mut self.actions)
    }

    /// When the driver next needs an [`Event::Tick`].
    pub fn next_deadline(&self) -> Instant {
        let mut next = self.expiries.first().map_or(Instant::NEVER, |e| e.0);
        if self.home.is_some() {
            next = next.min(self.report_at);
        }
        if self.credits > 0 {
            next = next.min(self.credits_expire_at);
        }
        next
    }

    /// The home that this driver believes in.
    pub fn home(&self) -> Option<InstanceKey> {
        self.home
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Requests that wait for one.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The waiting request that is the most urgent, and of those the oldest.
    pub fn next_waiting(&self) -> Option<RequestId> {
        self.waiting.first().map(|&(_, _, request)| request)
    }

    /// Whether the request waits here.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        let entry = self.tickets.get(&request);
        entry.is_some_and(|e| !e.ticket.running)
    }

    /// Whether a home answered lately.
    pub fn has_home(&self, now: Instant) -> bool {
        self.home.is_some() && now < self.silent_at
    }

    /// Unused credits.
    pub fn credits(&self) -> u32 {
        self.credits
    }

    /// The home's last estimate of the wait of a new ticket of `rank`.
    pub fn wait(&self, rank: Rank) -> Duration {
        let wait = self.waits.get(usize::from(rank.0));
        wait.copied().unwrap_or_default()
    }

    fn submit(&mut self, now: Instant, mut ticket: Ticket) {
        if self.tickets.contains_key(&ticket.request) {
            return;
        }
        ticket.running = self.credits > 0 && now < self.credits_expire_at && self.has_home(now);
        self.arrivals += 1;
        let arrival = self.arrivals;
        self.tickets
            .insert(ticket.request, Entry { ticket, arrival });
        if ticket.running {
            self.credits -= 1;
            self.running += 1;
            self.actions.push(Action::Start(ticket.request));
        } else {
            self.waiting.insert((ticket.rank, arrival, ticket.request));
            self.expiries.insert((ticket.deadline, ticket.request));
        }
        self.news.tickets.push(ticket);
        self.has_news = true;
    }

    fn finish(&mut self, finished: Finished) {
        let Some(entry) = self.tickets.get(&finished.request) else {
            return;
        };
        if !entry.ticket.running {
            return self.withdraw(finished.request);
        }
        self.running -= 1;
        self.tickets.remove(&finished.request);
        self.news.finished.push(finished);
        self.has_news = true;
    }

    /// A started request can't be withdrawn; it ends by [`Event::Finish`].
    fn withdraw(&mut self, request: RequestId) {
        if self
            .tickets
            .get(&request)
            .is_some_and(|e| !e.ticket.running)
        {
            self.remove_waiting(request);
            self.news.withdrawn.push(request);
            self.has_news = true;
        }
    }

    fn remove_waiting(&mut self, request: RequestId) {
        if let Some(Entry { ticket, arrival }) = self.tickets.remove(&request) {
            self.waiting.remove(&(ticket.rank, arrival, request));
            self.expiries.remove(&(ticket.deadline, request));
        }
    }

    fn change_home(&mut self, now: Instant, home: Option<InstanceKey>) {
        if home == self.home {
            return;
        }
        if let Some(old) = self.home {
            let leaving = Report {
                stamp: self.next_stamp(),
                leaving: true,
                ..Report::default()
            };
            self.actions.push(Action::Send(old, leaving));
        }
        self.home = home;
        self.seen = Stamp::default();
        self.credits = 0;
        self.waits.clear();
        self.silent_at = now + self.options.silence;
        self.report_all();
    }

    /// The next report holds all that waits and runs.
    fn report_all(&mut self) {
        self.news = Report {
            whole: true,
            tickets: self.tickets.values().map(|e| e.ticket).collect(),
            ..Report::default()
        };
        self.has_news = true;
    }

    /// A grant of another than the present home is not taken: the present one has
    /// the ticket too.
    fn on_grants(&mut self, now: Instant, from: InstanceKey, grants: Grants) {
        let stale = grants.stamp.session < self.seen.session;
        if self.home != Some(from) || stale {
            return;
        }
        self.silent_at = now + self.options.silence;
        if grants.stamp.session > self.seen.session {
            self.credits = 0;
            self.seen = Stamp {
                session: grants.stamp.session,
                number: 0,
            };
        }
        for &request in &grants.granted {
            self.start(request);
        }
        for &refusal in &grants.refused {
            self.refuse(refusal);
        }
        if grants.stamp > self.seen {
            self.take_credits(now, &grants);
        }
        if grants.resend {
            self.report_all();
        }
    }

    /// Credits of a message that was overtaken are not taken: the home has freed
    /// their slots when it hears of the later stamp.
    fn take_credits(&mut self, now: Instant, grants: &Grants) {
        self.seen = grants.stamp;
        self.waits.clone_from(&grants.waits);
        if grants.revoke {
            self.credits = 0;
            self.has_news = true;
        }
        if grants.credits > 0 {
            self.credits += grants.credits;
            self.credits_expire_at = now + self.options.credit_life;
        }
    }

    fn start(&mut self, request: RequestId) {
        let Some(entry) = self.tickets.get_mut(&request) else {
            return;
        };
        if entry.ticket.running {
            return;
        }
        entry.ticket.running = true;
        let (ticket, arrival) = (entry.ticket, entry.arrival);
        self.waiting.remove(&(ticket.rank, arrival, request));
        self.expiries.remove(&(ticket.deadline, request));
        self.running += 1;
        self.actions.push(Action::Start(request));
    }

    fn refuse(&mut self, refusal: Refusal) {
        let entry = self.tickets.get(&refusal.request);
        if entry.is_some_and(|e| !e.ticket.running) {
            self.remove_waiting(refusal.request);
            self.actions.push(Action::Refuse(refusal));
        }
    }

    /// Refuses what has waited past its deadline and gives up old credits.
    fn expire(&mut self, now: Instant) {
        while let Some(&(deadline, request)) = self.expiries.first()
            && deadline <= now
        {
            self.withdraw(request);
            self.actions.push(Action::Refuse(Refusal {
                request,
                reason: Reason::DeadlinePassed,
                retry_at: now + RETRY_AFTER,
            }));
        }
        if self.credits > 0 && now >= self.credits_expire_at {
            self.credits = 0;
            self.has_news = true;
        }
    }

    /// While no home answers, the most urgent waiting requests run up to the floor.
    fn start_alone(&mut self, now: Instant) {
        if self.has_home(now) {
            return;
        }
        while self.running < self.options.floor
            && let Some(&(_, _, request)) = self.waiting.first()
        {
            self.start(request);
            if let Some(entry) = self.tickets.get(&request) {
                self.news.tickets.push(entry.ticket);
                self.has_news = true;
            }
        }
    }

    fn next_stamp(&mut self) -> Stamp {
        self.number += 1;
        Stamp {
            session: self.session,
            number: self.number,
        }
    }

    /// Sends what is new, or the periodic report.
    fn flush(&mut self, now: Instant) {
        let Some(home) = self.home else {
            self.news = Report::default();
            self.has_news = false;
            return;
        };
        if !self.has_news && now < self.report_at {
            return;
        }
        let mut report = std::mem::take(&mut self.news);
        self.has_news = false;
        self.report_at = now + self.options.report_period;
        report.stamp = self.next_stamp();
        report.seen = self.seen;
        report.credits = self.credits;
        report.waiting = self.waiting.len() as u32;
        report.running = self.running;
        self.actions.push(Action::Send(home, report));
    }
}
