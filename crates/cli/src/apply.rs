//! `hemlockwind apply`: replaces the configuration.

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;
use hemlockwind::protocol::document::Document;
use hemlockwind::settings::document;

use crate::admin::Admin;
use crate::admin::AdminRequest;
use crate::admin::read_file;
use crate::admin::version;
use crate::args::Apply;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Path of the configuration on the admin port.
pub const PATH: &str = "/v1/configuration";
/// Error code of "no configuration yet", see docs/ERRORS.md.
const NO_CONFIG: u64 = 4_005;

/// Replaces the current configuration.
pub async fn run(command: &Apply) -> Outcome {
    match prepare(command) {
        Ok((admin, document)) => send(&admin, command.base, &document).await,
        Err(outcome) => outcome,
    }
}

/// Reads and checks the settings and the configuration.
fn prepare(command: &Apply) -> Result<(Admin, Document), Outcome> {
    let usage = |e: Error| Outcome::failed(Exit::Usage, &e);
    let admin = Admin::open(&command.settings).map_err(usage)?;
    let text = read_file(&command.file).map_err(usage)?;
    let document = document::parse(&text).map_err(|faults| {
        let lines = faults.iter().map(|f| format!("{}:{f}", command.file));
        let error = Error::config(lines.collect::<Vec<_>>().join("\n"));
        Outcome::failed(Exit::Refused, &error)
    })?;
    Ok((admin, document))
}

/// Replaces version `base` by `document`, or the current version if `base` is `None`.
pub async fn send(admin: &Admin, base: Option<u64>, document: &Document) -> Outcome {
    let base = match base {
        Some(base) => Some(base),
        None => match current_version(admin).await {
            Ok(base) => base,
            Err(outcome) => return outcome,
        },
    };
    let body = match serde_json::to_vec(document) {
        Ok(body) => Bytes::from(body),
        Err(e) => return Outcome::failed(Exit::Usage, &Error::config(e.to_string())),
    };
    let req = AdminRequest {
        method: Method::PUT,
        path: PATH,
        base,
        body,
    };
    match admin.send_any(&req).await {
        Ok(response) => {
            let json: Value = serde_json::from_slice(response.body()).unwrap_or_default();
            let version = json["version"].as_u64().unwrap_or_default();
            Outcome::done(format!("accepted as version {version}"), json)
        }
        Err(outcome) => outcome,
    }
}

/// Returns the current version, or `None` if there is no configuration yet.
async fn current_version(admin: &Admin) -> Result<Option<u64>, Outcome> {
    match admin.send_any(&AdminRequest::read(PATH)).await {
        Ok(response) => Ok(version(&response)),
        Err(outcome) if outcome.json["code"] == json!(NO_CONFIG) => Ok(None),
        Err(outcome) => Err(outcome),
    }
}
