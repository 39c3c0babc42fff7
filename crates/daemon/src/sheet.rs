//! The planners' sheet on its way into the configuration.

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

/// Seconds of a minute.
const SECONDS: i32 = 60;
/// Tries when other changes come first.
const TRIES: u32 = 5;
/// Time between two tries, in which the other change comes into force here.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// `Taken` is what became of a sheet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken {
    /// In words.
    pub summary: &'static str,
    /// The version that holds it, or that it was compared with.
    pub version: Version,
    /// What it changed, or would change.
    pub changes: Vec<Difference>,
}

/// Takes a sheet whole or not at all. The same sheet twice is no change.
///
/// # Errors
///
/// `Error::Sheet` with every fault, `Error::SheetDay`, `Error::NoConfig`, or why
/// the change was not accepted.
pub async fn take(
    instance: &Arc<Instance>,
    bytes: &Bytes,
    author: &str,
    dry_run: bool,
) -> Result<Taken> {
    let mut tries = 0;
    loop {
        tries += 1;
        match once(instance, bytes, author, dry_run).await {
            Err(Error::ConfigConflict(_)) if tries < TRIES => sleep(RETRY_INTERVAL).await,
            result => return result,
        }
    }
}

async fn once(
    instance: &Arc<Instance>,
    bytes: &Bytes,
    author: &str,
    dry_run: bool,
) -> Result<Taken> {
    let (base, body) = instance.spread.document().ok_or(Error::NoConfig)?;
    let document: Document =
        serde_json::from_slice(&body).map_err(|e| Error::config(e.to_string()))?;
    let wall = instance.edges.clock.wall();
    let day = today(wall, SECONDS * instance.settings.utc_offset_minutes);
    let plan = sheet::plan(bytes, &document, day)?;
    let taken = |summary, version| Taken {
        summary,
        version,
        changes: plan.differences.clone(),
    };
    if plan.document == document {
        return Ok(taken("the sheet is in force, nothing changed", base));
    }
    if dry_run {
        return Ok(taken("the sheet can be taken; this would change", base));
    }
    let version = configuration::accept(instance, &plan.document, base, author).await?;
    Ok(taken("the sheet is accepted", version))
}
