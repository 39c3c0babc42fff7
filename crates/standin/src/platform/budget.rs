//! Limits of calls a second.

use std::time::Duration;
use std::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// `Budget` counts the calls of the second that runs.
#[derive(Debug, Default)]
pub struct Budget {
    window_ends_at: Option<Instant>,
    taken: u32,
}

impl Budget {
    /// Takes one call of `per_s`, or tells that none is left.
    pub fn take(&mut self, now: Instant, per_s: u32) -> bool {
        if self.window_ends_at.is_none_or(|end| end <= now) {
            self.window_ends_at = Some(now + WINDOW);
            self.taken = 0;
        }
        let allowed = self.taken < per_s;
        self.taken += u32::from(allowed);
        allowed
    }
}
