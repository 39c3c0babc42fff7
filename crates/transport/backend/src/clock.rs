//! The system clocks.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

use hemlockwind_core::edges::Clock;
use hemlockwind_core::time::Instant;
use hemlockwind_core::time::WallTime;

/// `SystemClock` reads the system's clocks. Its instants count from its creation and include
/// time in suspension, because grants from other instances expire during suspension too.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    start: Duration,
}

impl Default for SystemClock {
    fn default() -> Self {
        Self {
            start: since_boot(),
        }
    }
}

/// Returns the time since the system was booted, including time in suspension.
fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    Duration::from(time.expect("Linux has this clock since version 2.6.39"))
}

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        // The clock starts at one second, so that an instant shortly before now is valid.
        Instant::from_millis(1_000) + since_boot().saturating_sub(self.start)
    }

    fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_millis(0) + since.unwrap_or(Duration::ZERO)
    }
}
