//! The queue of a pool: time and memory of tickets, at the driver and the home.

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
use crate::table::memory;
use crate::table::nanos;

/// Slots of the pool: 64 backend servers in 4 stages, 64 streams each.
const CAPACITY: u32 = 1_024;
const NOW: Instant = Instant::from_millis(10_000);

/// `Bench` is a home with one driver that keeps it busy.
struct Bench {
    queue_owner: QueueOwner,
    driver: Driver,
    me: InstanceKey,
    organisations: Vec<OrganisationKey>,
    next: u64,
    running: Vec<RequestId>,
}

impl Bench {
    /// A pool with room for `capacity` requests of `organisations`.
    fn new(organisations: usize, capacity: u32) -> Self {
        let mut names: Names<OrganisationKey> = Names::default();
        let mut instances: Names<InstanceKey> = Names::default();
        let options = queue_owner::Options {
            queue_limit: usize::MAX,
            admission_margin: f64::MAX,
            ..queue_owner::Options::default()
        };
        let me = instances.intern("a");
        let keys = (0..organisations).map(|i| names.intern(&i.to_string()));
        let mut bench = Self {
            queue_owner: QueueOwner::new(options, 1, Instant::ZERO),
            driver: Driver::new(driver::Options::default(), 1, Instant::ZERO),
            me,
            organisations: keys.collect(),
            next: 0,
            running: Vec::new(),
        };
        bench
            .queue_owner
            .on_event(NOW, queue_owner::Event::Drivers(vec![me]));
        bench
            .queue_owner
            .on_event(NOW, queue_owner::Event::Capacity(capacity));
        bench.drive(driver::Event::QueueOwner(Some(me)));
        bench
    }

    /// Gives the driver an event and passes messages on until there are none.
    fn drive(&mut self, event: driver::Event) {
        let mut actions = self.driver.on_event(NOW, event);
        while let Some(action) = actions.pop() {
            match action {
                driver::Action::Start(request) => self.running.push(request),
                driver::Action::Refuse(refusal) => panic!("refused: {refusal:?}"),
                driver::Action::Send(_, report) => {
                    let event = queue_owner::Event::Report(self.me, report);
                    for queue_owner::Action::Send(_, grants) in
                        self.queue_owner.on_event(NOW, event)
                    {
                        let event = driver::Event::Grants(self.me, grants);
                        actions.extend(self.driver.on_event(NOW, event));
                    }
                }
            }
        }
    }

    /// Submits the next ticket.
    fn submit(&mut self) {
        let number = self.next;
        self.next += 1;
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
        self.drive(driver::Event::Submit(queue_entry));
    }

    /// Ends the request that runs longest.
    fn finish(&mut self) {
        let request = self.running.swap_remove(0);
        let cost = 1_000;
        self.drive(driver::Event::Finish(Finished { request, cost }));
    }
}

/// Measures tickets.
pub fn measure(table: &mut Table) {
    let sizes = [1_000, 10_000, 50_000].map(|count| {
        let bytes = memory(|| {
            let mut bench = Bench::new(1_000, 1);
            (0..count).for_each(|_| bench.submit());
            assert!(bench.driver.waiting() + 4 >= count, "the tickets wait");
            bench
        });
        (count, bytes / 1_024.0)
    });
    let name = "waiting tickets, at driver and home";
    table.row(name, "KB", "tickets", 10_000, sizes.to_vec());
    let times = [10, 1_000, 23_000].map(|count| {
        let mut bench = Bench::new(count, CAPACITY);
        for _ in 0..count + CAPACITY as usize {
            bench.submit();
        }
        assert!(
            bench.driver.waiting() > 0,
            "every organisation has work waiting"
        );
        let time = nanos(|| {
            bench.submit();
            bench.finish();
        });
        (count, time)
    });
    let name = "one ticket from submission to end, both sides";
    table.row(name, "ns", "active organisations", 23_000, times.to_vec());
}
