//! Records of the parts of prompts that crash engines, as instances exchange them.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use hemlockwind_core::time::Instant;
use hemlockwind_quarantine::EngineRun;
use hemlockwind_quarantine::PartKey;
use hemlockwind_quarantine::Record as DomainRecord;
use hemlockwind_quarantine::ServiceKey;
use hemlockwind_quarantine::record::Confirmation;
use hemlockwind_quarantine::record::Crash;
use hemlockwind_quarantine::record::MAX_CRASHES;

/// `Message` is a message about records.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Requests all records, unless their digest is this one.
    Query(u64),
    /// Pushes records that have changed.
    Update(Vec<Record>),
}

/// `Answer` is the answer to a [`Message`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Answer {
    /// The update was received, or the digest is the same.
    Done,
    /// All records.
    Records(Vec<Record>),
}

/// `Record` is what an instance has recorded of one part. Points in time are sent as ages, in
/// milliseconds, since clocks differ.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// The key of the part.
    pub part: u64,
    /// The key of the service.
    pub service: u64,
    /// The largest index of the part in a prompt.
    pub depth: u16,
    /// The runs of the engines that crashed, and how long ago.
    pub crashes: Vec<(u64, u32)>,
    /// How long ago an answer on the part began.
    pub begun: Option<u32>,
    /// How long ago the part was quarantined, and the number of failed trials since then.
    pub confirmed: Option<(u32, u32)>,
}

impl Record {
    /// Returns the record as it is sent at `now`.
    pub fn at(now: Instant, record: &DomainRecord) -> Self {
        let age = |at: Instant| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        Self {
            part: record.part.0,
            service: record.service.0,
            depth: record.depth,
            crashes: record
                .crashes
                .iter()
                .map(|c| (c.run.0, age(c.at)))
                .collect(),
            begun: record.begun_at.map(age),
            confirmed: record.confirmation.map(|c| (age(c.at), c.failed_trials)),
        }
    }

    /// Returns the record as it is received at `now`.
    pub fn received(self, now: Instant) -> DomainRecord {
        let at = |age_ms: u32| now.before(Duration::from_millis(age_ms.into()));
        let crashes = self.crashes.into_iter().take(MAX_CRASHES);
        let mut record = DomainRecord::new(PartKey(self.part), ServiceKey(self.service));
        record.depth = self.depth;
        record.begun_at = self.begun.map(at);
        record.confirmation = self.confirmed.map(|(age_ms, failed_trials)| Confirmation {
            at: at(age_ms),
            failed_trials,
        });
        for (run, age_ms) in crashes {
            record.add_crash(Crash {
                run: EngineRun(run),
                at: at(age_ms),
            });
        }
        record
    }
}
