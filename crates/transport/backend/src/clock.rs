//! The clocks of the machine.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hemlockwind_core::edges::Clock;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

/// `SystemClock` tells the machine's time; its instants count from its creation.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: std::time::Instant,
}

impl Default for SystemClock {
    fn default() -> Self {
        let start = std::time::Instant::now();
        Self { start }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        // One second of lead, so that "a little before now" is never before the start.
        Instant::from_millis(1_000) + self.start.elapsed()
    }

    fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_millis(0) + since.unwrap_or(Duration::ZERO)
    }
}
