//! Time of each decision against the number of servers or organisations.
//!
//! `cargo bench --bench decisions` prints one line for each decision: the median
//! time at each size and the time that each further thousand adds. The aim is no
//! cost for a request that grows with the number of all of them.

mod fleet;
mod joint;
mod limits;
mod paths;
mod queueing;
mod routing;
mod stream;
mod table;

use std::time::Duration;

use criterion::Criterion;

use crate::table::Table;

/// The numbers of backend servers.
const SERVERS: [usize; 3] = [40, 1_000, 10_000];
/// The numbers of organisations.
const ORGANISATIONS: [usize; 3] = [10, 1_000, 23_000];
/// The layers of the model.
const LAYERS: u16 = 32;
/// The time of a step on an idle server.
const STEP: Duration = Duration::from_millis(30);
/// The seed of the samples that decisions draw.
const SEED: u64 = 1;
/// The samples of one measurement.
const SAMPLES: usize = 20;
/// The time before the samples of one measurement.
const WARM_UP: Duration = Duration::from_millis(100);
/// The time of the samples of one measurement.
const MEASUREMENT: Duration = Duration::from_millis(400);

fn main() {
    let c = Criterion::default()
        .sample_size(SAMPLES)
        .warm_up_time(WARM_UP)
        .measurement_time(MEASUREMENT)
        .without_plots();
    let mut c = c.configure_from_args();
    let mut servers = Table::new("backend servers");
    routing::choose_path(&mut c, &mut servers);
    stream::take_result(&mut c, &mut servers);
    limits::learn_limits(&mut c, &mut servers);
    routing::bound_flow(&mut c, &mut servers);
    let mut organisations = Table::new("organisations");
    queueing::grant_queue_entries(&mut c, &mut organisations);
    let mut engines = Table::new("joint engines");
    joint::by_engines(&mut c, &mut engines);
    let mut queue_entries = Table::new("waiting tickets");
    joint::by_queue_entries(&mut c, &mut queue_entries);
    servers.print();
    engines.print();
    queue_entries.print();
    organisations.print();
    paths::print();
    c.final_summary();
}
