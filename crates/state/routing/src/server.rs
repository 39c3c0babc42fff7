//! The state of a backend server that the choice of a path uses.

use std::time::Duration;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::time::Instant;

/// The age at which a load report expires.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// `Server` holds the layers, load and expected times of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// The backend server.
    pub key: BackendServerKey,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// The data centre that it is in.
    pub data_centre: DataCentreKey,
    /// Whether it may be given new work.
    pub available: bool,
    /// The time that one step takes on an idle server.
    pub step_time: Duration,
    /// The time that the link takes one way.
    pub link_time: Duration,
    /// The number of streams that this instance runs on it.
    pub in_flight: u32,
    /// The limit of streams that run on it at once.
    pub limit: u32,
    /// The last load report.
    pub report: Option<Report>,
}

/// `Report` holds the number of streams of other instances from a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of streams on the server that are not this instance's.
    pub others: u32,
    /// When the report expires.
    pub expires_at: Instant,
}

impl Report {
    /// Returns the report of a server that runs `streams` streams, of which `own` are this
    /// instance's, as it arrived at `now`.
    pub fn new(now: Instant, streams: u32, own: u32) -> Self {
        Self {
            others: streams.saturating_sub(own),
            expires_at: now + REPORT_LIFETIME,
        }
    }
}

impl Server {
    /// Returns a server that is available and idle, with a limit of one stream.
    pub fn new(key: BackendServerKey, layers: LayerRange, data_centre: DataCentreKey) -> Self {
        Self {
            key,
            layers,
            data_centre,
            available: true,
            step_time: Duration::ZERO,
            link_time: Duration::ZERO,
            in_flight: 0,
            limit: 1,
            report: None,
        }
    }

    /// Returns whether this instance alone runs as many streams on it as its limit.
    pub fn is_full(&self) -> bool {
        self.in_flight >= self.limit
    }

    /// Returns the limit of streams that run on it at once, 0 when it is not available.
    pub fn capacity(&self) -> u64 {
        if self.available {
            u64::from(self.limit)
        } else {
            0
        }
    }

    /// Returns the expected time of one step, with queueing and the link in both
    /// directions. A cached prefix saves up to `bonus` of the work, nothing of the link.
    pub fn expected_time(&self, now: Instant, bonus: Duration) -> Duration {
        let others = match self.report {
            Some(report) if now < report.expires_at => report.others,
            Some(_) | None => 0,
        };
        let load = f64::from(self.in_flight) + f64::from(others);
        let wait = load / f64::from(self.limit.max(1));
        let work = self.step_time.mul_f64(1.0 + wait);
        work.saturating_sub(bonus) + self.link_both_ways()
    }

    /// Returns the time that the link takes to the server and back.
    pub fn link_both_ways(&self) -> Duration {
        2 * self.link_time
    }
}
