//! The callers that were refused, and when they return.

use std::collections::VecDeque;
use std::time::Duration;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::time::Instant;

/// The maximum number of fingerprints: at about 50 bytes each, less than 1 MB.
const MAX_FINGERPRINTS: usize = 16_384;
/// The time after its retry time in which a returning caller is recognised.
const RETENTION: Duration = Duration::from_secs(10);

/// `Returns` holds the retry times of refused callers, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Returns {
    retry_times: SeededHashMap<u64, Instant>,
    /// The fingerprints with their retry times in order of the refusals. It may hold entries that
    /// are not in `retry_times` any more.
    refused: VecDeque<(u64, Instant)>,
}

impl Returns {
    /// Records that a caller was refused and may return at `retry_at`. The oldest refusals are
    /// removed if there are too many.
    pub fn insert(&mut self, now: Instant, fingerprint: u64, retry_at: Instant) {
        while let Some((oldest, at)) = self.refused.front().copied() {
            if self.refused.len() < MAX_FINGERPRINTS && at + RETENTION > now {
                break;
            }
            self.refused.pop_front();
            if self.retry_times.get(&oldest) == Some(&at) {
                self.retry_times.remove(&oldest);
            }
        }
        self.retry_times.insert(fingerprint, retry_at);
        self.refused.push_back((fingerprint, retry_at));
    }

    /// Removes a refused caller, as it returns. Returns its retry time.
    pub fn take(&mut self, now: Instant, fingerprint: u64) -> Option<Instant> {
        let retry_at = self.retry_times.remove(&fingerprint)?;
        (retry_at + RETENTION > now).then_some(retry_at)
    }
}
