//! Reports of engines, shared by all streams of this instance.
//!
//! When an engine fails, all streams over it look at the same moment, and each report is
//! charged. One call answers them all.

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

/// Age up to which a report answers further questions: engines themselves tell what was so
/// some hundred milliseconds ago.
const FRESH: Duration = Duration::from_millis(100);
/// Engines of which a report is kept; more are only known where old ones have left.
const KEPT: usize = 4_096;

/// A report and when it came, under the lock that one caller holds while it asks.
type Slot = Arc<tokio::sync::Mutex<Option<(Instant, Result<Arc<Report>>)>>>;

/// `Reports` asks engines for reports.
#[derive(Default)]
pub struct Reports {
    slots: Mutex<HashMap<SocketAddr, Slot>>,
}

impl Reports {
    /// The report of the engine at `addr`, the same for all that ask at about one time.
    ///
    /// # Errors
    ///
    /// Those of [`engine::report`].
    pub async fn get(&self, http: &Http1, addr: SocketAddr) -> Result<Arc<Report>> {
        let slot = {
            let mut slots = self.slots.lock();
            if slots.len() >= KEPT {
                slots.clear();
            }
            Arc::clone(slots.entry(addr).or_default())
        };
        let mut known = slot.lock().await;
        if let Some((at, report)) = known.as_ref()
            && at.elapsed() < FRESH
        {
            return report.clone();
        }
        let report = engine::report(http, addr).await.map(Arc::new);
        *known = Some((Instant::now(), report.clone()));
        report
    }
}
