//! A bound on the volume of log lines, by kind of line.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use hemlockwind_core::time::Instant;

/// Lines of one kind in a second at most. A busy second of one instance has some tens
/// of requests, each with a few lines.
const LINES_PER_S: u32 = 100;

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// `LineBudget` says whether a line may be written.
#[derive(Debug)]
pub struct LineBudget {
    start: Instant,
    kinds: Mutex<BTreeMap<&'static str, Kind>>,
}

impl LineBudget {
    /// A budget that begins now.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            kinds: Mutex::default(),
        }
    }

    /// Whether a line of `kind` may be written; with it, the lines of that kind that
    /// were left out since the last one.
    pub fn take(&self, now: Instant, kind: &'static str) -> Option<u64> {
        let second = now.since(self.start).as_secs();
        let mut kinds = self.kinds.lock();
        let kind = kinds.entry(kind).or_default();
        if kind.second != second {
            kind.second = second;
            kind.lines = 0;
        }
        if kind.lines >= LINES_PER_S {
            kind.left_out += 1;
            return None;
        }
        kind.lines += 1;
        Some(std::mem::take(&mut kind.left_out))
    }
}
