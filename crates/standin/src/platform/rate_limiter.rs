//! A limit of calls per second.

use std::time::Duration;
use std::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// `RateLimiter` counts calls in fixed windows of one second.
#[derive(Debug, Default)]
pub struct RateLimiter {
    window_ends_at: Option<Instant>,
    taken: u32,
}

impl RateLimiter {
    /// Counts a call and returns `true`, unless the window already has `per_s` calls.
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
