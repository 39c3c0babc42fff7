//! Engine reports, shared by all streams of this instance.
//!
//! When an engine fails, all streams on it request its report at the same moment, and the
//! platform charges for each report. One call answers them all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use hemlockwind_backend::http1::Http1;
use hemlockwind_core::Result;
use hemlockwind_core::collections::HashMap;
use hemlockwind_platform::engine;
use hemlockwind_platform::engine::Report;

/// Age up to which a report is reused: the state in a report is a few hundred milliseconds
/// old in any case.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Largest number of cached reports; more addresses than this only occur when old engines
/// have left.
const MAX_ENGINES: usize = 4_096;

/// A report and when it arrived. One caller holds the lock while it requests the report.
type SharedReport = Arc<tokio::sync::Mutex<Option<(Instant, Result<Arc<Report>>)>>>;

/// `Reports` requests and caches the reports of engines.
#[derive(Default)]
pub struct Reports {
    by_engine: Mutex<HashMap<SocketAddr, SharedReport>>,
}

impl Reports {
    /// Returns the report of the engine at `addr`. Concurrent callers share one report.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`engine::report`].
    pub async fn get(&self, http: &Http1, addr: SocketAddr) -> Result<Arc<Report>> {
        let shared = {
            let mut by_engine = self.by_engine.lock();
            if by_engine.len() >= MAX_ENGINES {
                by_engine.clear();
            }
            Arc::clone(by_engine.entry(addr).or_default())
        };
        let mut cached = shared.lock().await;
        if let Some((at, report)) = cached.as_ref()
            && at.elapsed() < MAX_REPORT_AGE
        {
            return report.clone();
        }
        let report = engine::report(http, addr).await.map(Arc::new);
        *cached = Some((Instant::now(), report.clone()));
        report
    }
}
