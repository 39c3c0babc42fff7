//! The morning sheet: from an operator's file to an accepted configuration.

use std::sync::Arc;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_core::time::WallTime;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::sheet;
use hemlockwind_protocol::sheet::Plan;
use hemlockwind_sheet::Date;

use crate::configuration;
use crate::instance::Instance;

/// Milliseconds of a minute and of a day.
const MINUTE_MS: i64 = 60_000;
const DAY_MS: i64 = 86_400_000;

/// `Taken` is what became of a sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct Taken {
    /// The version in force with it.
    pub version: Version,
    /// What it changed or would change, a line each.
    pub changes: Vec<String>,
}

/// Takes a sheet whole, or only shows what it would change.
///
/// # Errors
///
/// `Error::Sheet` with every fault, `Error::SheetDay`, `Error::NoConfig`, or those
/// of [`configuration::accept`].
pub async fn take(
    instance: &Arc<Instance>,
    bytes: &[u8],
    is_dry_run: bool,
    author: &str,
) -> Result<Taken> {
    let (version, body) = instance.spread.document().ok_or(Error::NoConfig)?;
    let document: Document =
        serde_json::from_slice(&body).map_err(|e| Error::config(e.to_string()))?;
    let offset = instance.settings.utc_offset_minutes;
    let today = today(instance.edges.clock.wall(), offset);
    let plan = sheet::plan(bytes, &document, today)?;
    let changes = changes(&plan);
    if is_dry_run || plan.document == document {
        return Ok(Taken { version, changes });
    }
    let version = configuration::accept(instance, &plan.document, version, author).await?;
    Ok(Taken { version, changes })
}

/// The changes of a plan in words.
fn changes(plan: &Plan) -> Vec<String> {
    let differences = plan.differences.iter();
    differences.map(ToString::to_string).collect()
}

/// The planners' day.
fn today(wall: WallTime, offset_minutes: i32) -> Date {
    let ms = i64::try_from(wall.as_millis()).unwrap_or(i64::MAX);
    let days = (ms + i64::from(offset_minutes) * MINUTE_MS).div_euclid(DAY_MS);
    let days = jiff::ToSpan::days(days);
    let epoch = Date::constant(1970, 1, 1);
    epoch.checked_add(days).unwrap_or(epoch)
}
