//! The grants of a pool's queue owner.

use std::time::Duration;

use criterion::Criterion;
use uuid::Uuid;

use hemlockwind::core::engine::RequestId;
use hemlockwind::core::names::InstanceKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::OrganisationKey;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::queueing::QueueEntry;
use hemlockwind::queueing::QueueOwner;
use hemlockwind::queueing::message::Finished;
use hemlockwind::queueing::message::Grants;
use hemlockwind::queueing::message::Report;
use hemlockwind::queueing::message::Stamp;
use hemlockwind::queueing::queue_owner::Action;
use hemlockwind::queueing::queue_owner::Event;
use hemlockwind::queueing::queue_owner::Options;

use crate::ORGANISATION_COUNTS;
use crate::table::Table;

/// The cost of a request, in tokens times layers.
const COST: u64 = 3_200;
/// The time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(1);

/// `Pool` is a queue owner with one slot and one driver, which has a waiting queue entry
/// of each organisation.
struct Pool {
    queue_owner: QueueOwner,
    driver: InstanceKey,
    organisations: Vec<OrganisationKey>,
    now: Instant,
    /// The stamp of the last grants.
    last_stamp: Stamp,
    /// The number of reports so far.
    report_count: u64,
    /// The number of queue entries so far.
    queue_entry_count: usize,
    /// The request that holds the slot.
    running: RequestId,
}

impl Pool {
    fn new(organisations: usize) -> Self {
        let options = Options {
            credits: 0,
            ..Options::default()
        };
        let mut names = Names::default();
        let mut keys = Names::default();
        let organisations = (0..organisations).map(|i| keys.intern(&i.to_string()));
        let mut pool = Self {
            queue_owner: QueueOwner::new(options, 1, Instant::ZERO),
            driver: names.intern("driver"),
            organisations: organisations.collect(),
            now: Instant::from_millis(10_000),
            last_stamp: Stamp::default(),
            report_count: 0,
            queue_entry_count: 0,
            running: RequestId(Uuid::nil()),
        };
        let drivers = Event::Drivers(vec![pool.driver]);
        pool.queue_owner.on_event(pool.now, drivers);
        pool.queue_owner.on_event(pool.now, Event::Capacity(1));
        let queue_entries: Vec<_> = (0..pool.organisations.len())
            .map(|_| pool.next_queue_entry())
            .collect();
        pool.report(queue_entries, Vec::new());
        pool
    }

    /// Returns the next queue entry, of each organisation in turn.
    fn next_queue_entry(&mut self) -> QueueEntry {
        let index = self.queue_entry_count;
        self.queue_entry_count += 1;
        QueueEntry {
            request: RequestId(Uuid::from_u128(index as u128)),
            organisation: self.organisations[index % self.organisations.len()],
            share: 1.0,
            rank: Rank(0),
            cost: COST,
            deadline: Instant::NEVER,
            running: false,
        }
    }

    /// Sends a report and receives the grant of one request.
    fn report(&mut self, queue_entries: Vec<QueueEntry>, finished: Vec<Finished>) {
        self.now = self.now + REPORT_INTERVAL;
        self.report_count += 1;
        let report = Report {
            stamp: Stamp {
                session: 1,
                number: self.report_count,
            },
            seen: self.last_stamp,
            whole: self.report_count == 1,
            queue_entries,
            finished,
            waiting: self.organisations.len() as u32,
            ..Report::default()
        };
        let event = Event::Report(self.driver, report);
        let Action::Send(_, grants) = self.queue_owner.on_event(self.now, event).remove(0);
        let Grants {
            stamp,
            granted,
            resend,
            ..
        } = grants;
        assert!(
            !resend,
            "driver and queue owner have the same queue entries"
        );
        self.last_stamp = stamp;
        self.running = granted[0];
    }

    /// Ends the running request, submits another one and receives the next grant.
    fn finish_and_submit(&mut self) {
        let finished = Finished {
            request: self.running,
            cost: COST,
        };
        let queue_entry = self.next_queue_entry();
        self.report(vec![queue_entry], vec![finished]);
    }
}

/// Measures the grant of one of the queue entries of all organisations.
pub fn grant_queue_entries(c: &mut Criterion, table: &mut Table) {
    for size in ORGANISATION_COUNTS {
        let mut pool = Pool::new(size);
        table.measure(c, "queueing: grant", size, || pool.finish_and_submit());
    }
}
