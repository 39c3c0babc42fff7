//! The queue of a pool: the time and memory of queue entries, at the driver and the queue
//! owner.

use uuid::Uuid;

use hemlockwind::core::engine::RequestId;
use hemlockwind::core::names::InstanceKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::OrganisationKey;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::queueing::Driver;
use hemlockwind::queueing::QueueEntry;
use hemlockwind::queueing::QueueOwner;
use hemlockwind::queueing::driver;
use hemlockwind::queueing::message::Finished;
use hemlockwind::queueing::queue_owner;

use crate::table::Table;
use crate::table::bytes_per_value;
use crate::table::nanos_per_run;

/// The number of slots of the pool: 64 backend servers in 4 stages, with 64 streams each.
const CAPACITY: u32 = 1_024;
const NOW: Instant = Instant::from_millis(10_000);

/// `Pool` is a queue owner with one driver that keeps it busy.
struct Pool {
    queue_owner: QueueOwner,
    driver: Driver,
    driver_key: InstanceKey,
    organisations: Vec<OrganisationKey>,
    /// The number of submitted queue entries.
    submitted: u64,
    running: Vec<RequestId>,
}

impl Pool {
    /// Returns a pool with `capacity` slots for requests of `organisations` organisations.
    fn new(organisations: usize, capacity: u32) -> Self {
        let mut names: Names<OrganisationKey> = Names::default();
        let mut instances: Names<InstanceKey> = Names::default();
        let options = queue_owner::Options {
            queue_limit: usize::MAX,
            admission_margin: f64::MAX,
            ..queue_owner::Options::default()
        };
        let driver_key = instances.intern("a");
        let keys = (0..organisations).map(|i| names.intern(&i.to_string()));
        let mut pool = Self {
            queue_owner: QueueOwner::new(options, 1, Instant::ZERO),
            driver: Driver::new(driver::Options::default(), 1, Instant::ZERO),
            driver_key,
            organisations: keys.collect(),
            submitted: 0,
            running: Vec::new(),
        };
        pool.queue_owner
            .on_event(NOW, queue_owner::Event::Drivers(vec![driver_key]));
        pool.queue_owner
            .on_event(NOW, queue_owner::Event::Capacity(capacity));
        pool.notify_driver(driver::Event::QueueOwner(Some(driver_key)));
        pool
    }

    /// Passes an event to the driver and delivers messages until there are none left.
    fn notify_driver(&mut self, event: driver::Event) {
        let mut actions = self.driver.on_event(NOW, event);
        while let Some(action) = actions.pop() {
            match action {
                driver::Action::Start(request) => self.running.push(request),
                driver::Action::Refuse(refusal) => panic!("refused: {refusal:?}"),
                driver::Action::Send(_, report) => {
                    let event = queue_owner::Event::Report(self.driver_key, report);
                    for queue_owner::Action::Send(_, grants) in
                        self.queue_owner.on_event(NOW, event)
                    {
                        let event = driver::Event::Grants(self.driver_key, grants);
                        actions.extend(self.driver.on_event(NOW, event));
                    }
                }
            }
        }
    }

    /// Submits the next queue entry.
    fn submit(&mut self) {
        let number = self.submitted;
        self.submitted += 1;
        let count = self.organisations.len() as u64;
        let queue_entry = QueueEntry {
            request: RequestId(Uuid::from_u128(number.into())),
            organisation: self.organisations[(number % count) as usize],
            share: 1.0,
            rank: Rank((number % 3) as u8),
            cost: 1_000 + number % 997,
            deadline: Instant::NEVER,
            running: false,
        };
        self.notify_driver(driver::Event::Submit(queue_entry));
    }

    /// Ends a running request.
    fn finish(&mut self) {
        let request = self.running.swap_remove(0);
        let cost = 1_000;
        self.notify_driver(driver::Event::Finish(Finished { request, cost }));
    }
}

/// Measures queue entries.
pub fn measure(table: &mut Table) {
    let sizes = [1_000, 10_000, 50_000].map(|count| {
        let bytes = bytes_per_value(|| {
            let mut pool = Pool::new(1_000, 1);
            (0..count).for_each(|_| pool.submit());
            assert!(pool.driver.waiting() + 4 >= count, "the queue entries wait");
            pool
        });
        (count, bytes / 1_024.0)
    });
    let name = "waiting queue entries, at driver and queue owner";
    table.add_row(name, "KB", "queue entries", 10_000, sizes.to_vec());
    let times = [10, 1_000, 23_000].map(|count| {
        let mut pool = Pool::new(count, CAPACITY);
        for _ in 0..count + CAPACITY as usize {
            pool.submit();
        }
        assert!(pool.driver.waiting() > 0, "queue entries wait");
        let time = nanos_per_run(|| {
            pool.submit();
            pool.finish();
        });
        (count, time)
    });
    let name = "one queue entry from submission to end, both sides";
    table.add_row(name, "ns", "active organisations", 23_000, times.to_vec());
}
