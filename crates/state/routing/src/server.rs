//! A backend server as the choice of a path sees it.

use std::time::Duration;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::time::Instant;

/// The age at which a load report counts no more.
const REPORT_LIFETIME: Duration = Duration::from_secs(10);

/// `Server` is one backend server with what is expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server {
    /// The backend server.
    pub key: BackendServerKey,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// The data centre that it stands in.
    pub data_centre: DataCentreKey,
    /// Whether it may be given new work.
    pub available: bool,
    /// The time that one step takes on an idle server.
    pub step_time: Duration,
    /// The time that the link takes one way.
    pub link_time: Duration,
    /// Streams that this instance has on it.
    pub in_flight: u32,
    /// Streams that it takes at most.
    pub limit: u32,
    /// The last load report.
    pub report: Option<Report>,
}

/// `Report` is what a load report told of the streams of other instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Streams on the server that are not this instance's.
    pub others: u32,
    /// When the report counts no more.
    pub expires_at: Instant,
}

impl Report {
    /// What a report that arrives at `now` tells, when the server has `streams`
    /// and `own` of them are this instance's.
    pub fn new(now: Instant, streams: u32, own: u32) -> Self {
        Self {
            others: streams.saturating_sub(own),
            expires_at: now + REPORT_LIFETIME,
        }
    }
}

impl Server {
    /// A server that is available and idle.
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

    /// Whether this instance has as many streams on it as it takes.
    pub fn is_full(&self) -> bool {
        self.in_flight >= self.limit
    }

    /// Streams that it takes at most, none when it is not available.
    pub fn capacity(&self) -> u64 {
        if self.available {
            u64::from(self.limit)
        } else {
            0
        }
    }

    /// The time that one step is expected to take, with queueing and the link both
    /// ways. A cached prefix saves up to `bonus` of the work, nothing of the link.
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

    /// The time that the link takes to the server and back.
    pub fn link_both_ways(&self) -> Duration {
        2 * self.link_time
    }
}
