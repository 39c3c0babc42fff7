//! Rate limit of log lines, by kind of line.

use std::collections::BTreeMap;

use parking_lot::Mutex;

use hemlockwind_core::time::Instant;

/// Maximum lines of one kind per second. In a busy second, one instance has a few dozen
/// requests with a few lines each.
const MAX_LINES_PER_S: u32 = 100;

#[derive(Debug, Default)]
struct Kind {
    second: u64,
    lines: u32,
    dropped: u64,
}

/// `LineBudget` limits the log lines of each kind per second.
#[derive(Debug)]
pub struct LineBudget {
    start: Instant,
    kinds: Mutex<BTreeMap<&'static str, Kind>>,
}

impl LineBudget {
    /// Returns a budget whose seconds count from `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            kinds: Mutex::default(),
        }
    }

    /// Returns the number of lines of `kind` dropped since the last one written, or `None`
    /// if this line must be dropped too.
    pub fn take(&self, now: Instant, kind: &'static str) -> Option<u64> {
        let second = now.since(self.start).as_secs();
        let mut kinds = self.kinds.lock();
        let kind = kinds.entry(kind).or_default();
        if kind.second != second {
            kind.second = second;
            kind.lines = 0;
        }
        if kind.lines >= MAX_LINES_PER_S {
            kind.dropped += 1;
            return None;
        }
        kind.lines += 1;
        Some(std::mem::take(&mut kind.dropped))
    }
}
