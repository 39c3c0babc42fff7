//! The time, memory and messages of the records of parts that crash engines.

use hemlockwind::core::time::Instant;
use hemlockwind::protocol::peer::Reply;
use hemlockwind::protocol::peer::encode;
use hemlockwind::protocol::peer::quarantine::Answer;
use hemlockwind::protocol::peer::quarantine::Record;
use hemlockwind::quarantine::EngineRun;
use hemlockwind::quarantine::PartKey;
use hemlockwind::quarantine::Quarantine;
use hemlockwind::quarantine::ServiceKey;

use crate::table::Table;
use crate::table::bytes_per_value;
use crate::table::nanos_per_run;

const SERVICE: ServiceKey = ServiceKey(1);
/// The shared parts of one request.
const PARTS: [PartKey; 3] = [PartKey(1), PartKey(2), PartKey(3)];
/// The numbers of records that are measured; the last one is the bound.
const RECORDS: [usize; 3] = [1, 64, 256];

/// Measures requests and records.
pub fn measure(table: &mut Table) {
    let times = RECORDS.map(|count| {
        let mut q = with_records(count);
        let time = nanos_per_run(|| {
            std::hint::black_box(q.admit(now(), &PARTS, |_, _| false));
            q.on_begin(now(), SERVICE, &PARTS);
        });
        (count, time)
    });
    table.add_row(
        "one stream, admitted and begun",
        "ns",
        "records of parts",
        256,
        times.to_vec(),
    );
    let sizes = RECORDS.map(|count| (count, bytes_per_value(|| with_records(count)) / 1e3));
    table.add_row(
        "records of parts",
        "KB",
        "records of parts",
        256,
        sizes.to_vec(),
    );
    let messages = RECORDS.map(|count| {
        let records = with_records(count).records();
        let records = records.iter().map(|r| Record::at(now(), r)).collect();
        let reply = Reply::Quarantine(Answer::Records(records));
        (count, encode(&reply).map_or(f64::NAN, |m| m.len() as f64))
    });
    table.add_row(
        "all records of parts, sent",
        "bytes",
        "records of parts",
        256,
        messages.to_vec(),
    );
}

fn now() -> Instant {
    Instant::from_millis(100_000)
}

/// Returns a state in which three engines crashed on each of `count` parts.
fn with_records(count: usize) -> Quarantine {
    let mut q = Quarantine::default();
    for i in 0..count as u64 {
        for crash in 0..3 {
            let at = Instant::from_millis(90_000 + crash * 100);
            let run = EngineRun(u64::MAX - i * 3 - crash);
            q.on_crash(at, SERVICE, run, &[PartKey(u64::MAX / 2 + i)]);
        }
    }
    q
}
