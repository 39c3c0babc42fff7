//! Applies the planners' sheet to the configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::sheet;
use hemlockwind_sheet::Difference;
use hemlockwind_sheet::today;

use crate::configuration;
use crate::instance::Instance;

const SECONDS_PER_MINUTE: i32 = 60;
/// Maximum number of attempts to apply a sheet while other changes conflict with it.
const MAX_ATTEMPTS: u32 = 5;
/// Time between two attempts, in which the conflicting change comes into force here.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// `SheetOutcome` describes what a sheet changed, or would change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetOutcome {
    /// The outcome in words.
    pub summary: &'static str,
    /// The version that contains the sheet, or the one that it was compared with.
    pub version: Version,
    /// The changes that were made, or would be made.
    pub changes: Vec<Difference>,
}

/// Applies a sheet completely or not at all. Applying the same sheet again changes nothing.
///
/// # Errors
///
/// `Error::Sheet` with all faults, `Error::SheetDay`, `Error::NoConfig`, or the errors of
/// [`configuration::accept`].
pub async fn apply(
    instance: &Arc<Instance>,
    bytes: &Bytes,
    author: &str,
    dry_run: bool,
) -> Result<SheetOutcome> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        match try_apply(instance, bytes, author, dry_run).await {
            Err(Error::ConfigConflict(_)) if attempts < MAX_ATTEMPTS => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

/// Makes one attempt to apply a sheet to the configuration in force.
async fn try_apply(
    instance: &Arc<Instance>,
    bytes: &Bytes,
    author: &str,
    dry_run: bool,
) -> Result<SheetOutcome> {
    let (base, body) = instance.config_replica.document().ok_or(Error::NoConfig)?;
    let document: Document =
        serde_json::from_slice(&body).map_err(|e| Error::config(e.to_string()))?;
    let wall = instance.edges.clock.wall();
    let day = today(
        wall,
        SECONDS_PER_MINUTE * instance.settings.utc_offset_minutes,
    );
    let plan = sheet::plan(bytes, &document, day)?;
    let outcome = |summary, version| SheetOutcome {
        summary,
        version,
        changes: plan.differences.clone(),
    };
    if plan.document == document {
        return Ok(outcome("the sheet is in force, nothing changed", base));
    }
    if dry_run {
        return Ok(outcome("the sheet is valid; it would change", base));
    }
    let version = configuration::accept(instance, &plan.document, base, author).await?;
    Ok(outcome("the sheet is accepted", version))
}
