//! The configuration in force, and how an accepted change comes into force.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use slog::info;
use slog::warn;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::Put;
use hemlockwind_protocol::compile;
use hemlockwind_protocol::document::Document;

use crate::instance::Instance;

/// The platform's object that holds the document.
const OBJECT: &str = "configuration/document";
/// Time between reads of the document.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the platform's document again and again, until the instance stops.
pub async fn follow(instance: Arc<Instance>) {
    loop {
        match instance.edges.platform.get(OBJECT).await {
            Ok(Some(object)) => {
                if let Err(e) = put_in_force(&instance, &object) {
                    warn!(instance.log, "the platform's document was not taken"; "code" => e.code().number(), "error" => %e);
                }
            }
            Ok(None) => {}
            Err(e) => {
                warn!(instance.log, "the platform gave no document"; "code" => e.code().number(), "error" => %e);
            }
        }
        tokio::select! {
            () = tokio::time::sleep(READ_INTERVAL) => {}
            () = instance.stopping.cancelled() => return,
        }
    }
}

/// Puts a document in force, if its version is higher than the one in force.
///
/// # Errors
///
/// `Error::Config` when the document has faults.
pub fn put_in_force(instance: &Instance, object: &Object) -> Result<()> {
    let version = Version(object.version.0);
    if version <= instance.config.load().version {
        return Ok(());
    }
    let document: Document =
        serde_json::from_slice(&object.value).map_err(|e| Error::config(e.to_string()))?;
    let mut directory = instance.directory.write();
    let config = compile::compile(&document, version, &mut directory);
    let config = config.map_err(|faults| compile::error(&faults))?;
    // The write lock on the directory keeps two versions from crossing here.
    if version > instance.config.load().version {
        instance.fleet.apply(&config);
        instance.config.store(Arc::new(config));
        info!(instance.log, "a configuration is in force"; "version" => version.0);
    }
    Ok(())
}

/// Writes an operator's document to the platform, over the version `base`.
///
/// # Errors
///
/// `Error::Config`, `Error::ConfigConflict`, or the platform's.
pub async fn accept(
    instance: &Instance,
    document: &Document,
    base: Option<ObjectVersion>,
) -> Result<ObjectVersion> {
    let checked = compile::compile(document, Version(0), &mut instance.directory.write());
    checked.map_err(|faults| compile::error(&faults))?;
    let value = serde_json::to_vec(document).map_err(|e| Error::config(e.to_string()))?;
    let when = base.map_or(Precondition::Absent, Precondition::Version);
    match instance
        .edges
        .platform
        .put(OBJECT, Bytes::from(value), when)
        .await
    {
        Put::Done(version) => Ok(version),
        Put::Conflict => Err(Error::config_conflict("another change came first")),
        Put::Refused(e) | Put::Unknown(e) => Err(e),
    }
}

/// The document that the platform holds.
///
/// # Errors
///
/// The platform's.
pub async fn read(instance: &Instance) -> Result<Option<Object>> {
    instance.edges.platform.get(OBJECT).await
}
