//! The size of messages, and the time to encode steps.

use std::time::Duration;

use bytes::Bytes;
use uuid::Uuid;

use hemlockwind::core::engine::Incarnation;
use hemlockwind::core::engine::Input;
use hemlockwind::core::engine::RequestId;
use hemlockwind::core::engine::Step;
use hemlockwind::core::engine::StepId;
use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::OrganisationKey;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::protocol::engine as wire;
use hemlockwind::protocol::peer::Request;
use hemlockwind::protocol::peer::encode;
use hemlockwind::protocol::peer::queueing::Grants;
use hemlockwind::protocol::peer::queueing::Report;
use hemlockwind::queueing::QueueEntry;
use hemlockwind::queueing::message;

use crate::table::Table;
use crate::table::nanos_per_run;

/// The size of the activation of one token, in bytes: 4,096 numbers of 2 bytes.
const ACTIVATION_BYTES: usize = 8_192;
const NOW: Instant = Instant::from_millis(1_000);

/// Measures messages.
pub fn measure(table: &mut Table) {
    let reports = [1, 8, 64].map(|count| (count, report_bytes(count)));
    table.add_row(
        "a report of queue entries",
        "bytes",
        "queue entries in it",
        8,
        reports.to_vec(),
    );
    let grants = [1, 8, 64].map(|count| (count, grants_bytes(count)));
    table.add_row(
        "grants to a driver",
        "bytes",
        "grants in it",
        8,
        grants.to_vec(),
    );
    let steps = [1, 16, 64].map(|count| {
        let steps: Vec<_> = (0..count).map(step).collect();
        let time = nanos_per_run(|| {
            let steps = steps.iter().cloned().map(wire::Step::from).collect();
            let json = serde_json::to_vec(&wire::StepsRequest { steps });
            std::hint::black_box(json.map(|json| json.len()).unwrap_or_default());
        });
        (count, time / 1_000.0)
    });
    table.add_row(
        "a call with decode steps, encoded",
        "us",
        "steps in it",
        16,
        steps.to_vec(),
    );
}

/// Returns the size of a report with `count` new queue entries and as many finished ones,
/// in bytes.
fn report_bytes(count: usize) -> f64 {
    let mut names: Names<OrganisationKey> = Names::default();
    let organisation = names.intern("organisation-00000");
    let queue_entry = |i: usize| QueueEntry {
        request: RequestId(Uuid::from_u128(i as u128)),
        organisation,
        share: 1.0,
        rank: Rank(0),
        cost: 10_000,
        deadline: NOW + Duration::from_secs(20),
        running: true,
    };
    let finished = (0..count).map(|i| message::Finished {
        request: RequestId(Uuid::from_u128(i as u128)),
        cost: 10_000,
    });
    let report = message::Report {
        queue_entries: (0..count).map(queue_entry).collect(),
        finished: finished.collect(),
        ..message::Report::default()
    };
    let name = |_| "organisation-00000".into();
    let message = Report::from_report("model-0@data-centre-0".into(), NOW, report, name);
    encoded_bytes(&Request::QueueReport(message))
}

/// Returns the size of a message with `count` grants, in bytes.
fn grants_bytes(count: usize) -> f64 {
    let granted = (0..count).map(|i| RequestId(Uuid::from_u128(i as u128)));
    let grants = message::Grants {
        granted: granted.collect(),
        waits: vec![Duration::from_millis(100); 3],
        ..message::Grants::default()
    };
    encoded_bytes(&Request::Grants(Grants::from_grants(
        "model-0@data-centre-0".into(),
        NOW,
        grants,
    )))
}

/// Returns the size of an encoded message, in bytes.
fn encoded_bytes(request: &Request) -> f64 {
    encode(request).map(|frame| frame.len()).unwrap_or_default() as f64
}

/// Returns a decode step in the middle of a path.
fn step(number: usize) -> Step {
    Step {
        id: StepId {
            request: RequestId(Uuid::from_u128(number as u128)),
            incarnation: Incarnation(1),
            token: 7,
            layers: LayerRange::new(8, 16).expect("the layer range is not empty"),
        },
        rank: Rank(0),
        prefill: false,
        input: Input::Activation(Bytes::from(vec![7; ACTIVATION_BYTES])),
    }
}
