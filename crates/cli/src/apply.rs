//! `hemlockwind apply`.

use bytes::Bytes;
use http::Method;
use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;
use hemlockwind::protocol::document::Document;
use hemlockwind::settings::document;

use crate::admin::Admin;
use crate::admin::Ask;
use crate::admin::read_file;
use crate::admin::version;
use crate::args::Apply;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// The path of the configuration.
pub const PATH: &str = "/v1/configuration";
/// The code of "no configuration yet", see docs/ERRORS.md.
const NO_CONFIG: u64 = 4_005;

/// Puts a configuration in place of the present one.
pub async fn run(command: &Apply) -> Outcome {
    match prepare(command) {
        Ok((admin, document)) => send(&admin, command.base, &document).await,
        Err(outcome) => outcome,
    }
}

/// Reads and checks both files.
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

/// Sends a document over the version `base`, or over the present one.
pub async fn send(admin: &Admin, base: Option<u64>, document: &Document) -> Outcome {
    let base = match base {
        Some(base) => Some(base),
        None => match present(admin).await {
            Ok(base) => base,
            Err(outcome) => return outcome,
        },
    };
    let body = match serde_json::to_vec(document) {
        Ok(body) => Bytes::from(body),
        Err(e) => return Outcome::failed(Exit::Usage, &Error::config(e.to_string())),
    };
    let ask = Ask {
        method: Method::PUT,
        path: PATH,
        base,
        body,
    };
    match admin.ask_any(&ask).await {
        Ok(response) => {
            let json: Value = serde_json::from_slice(response.body()).unwrap_or_default();
            let version = json["version"].as_u64().unwrap_or_default();
            Outcome::done(format!("accepted as version {version}"), json)
        }
        Err(outcome) => outcome,
    }
}

/// The present version, `None` when there is no configuration yet.
async fn present(admin: &Admin) -> Result<Option<u64>, Outcome> {
    match admin.ask_any(&Ask::read(PATH)).await {
        Ok(response) => Ok(version(&response)),
        Err(outcome) if outcome.json["code"] == json!(NO_CONFIG) => Ok(None),
        Err(outcome) => Err(outcome),
    }
}
