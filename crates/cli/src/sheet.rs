//! `hemlockwind sheet`: sends the day's sheet.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use serde_json::Value;

use hemlockwind::core::Error;

use crate::admin::Admin;
use crate::admin::AdminRequest;
use crate::args::Sheet;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Sends the sheet, and retries after an outage, a conflict or an unknown outcome until it is
/// accepted or refused, or until `patience` has passed. A retry is safe: the same sheet again
/// changes nothing.
pub async fn run(command: &Sheet) -> Outcome {
    let admin = match Admin::open(&command.settings) {
        Ok(admin) => admin,
        Err(e) => return Outcome::failed(Exit::Usage, &e),
    };
    let body = match std::fs::read(&command.file) {
        Ok(body) => Bytes::from(body),
        Err(e) => {
            let error = Error::usage(format!("{}: {e}", command.file));
            return Outcome::failed(Exit::Usage, &error);
        }
    };
    let path = if command.dry_run {
        "/v1/sheet?dry_run=true"
    } else {
        "/v1/sheet"
    };
    let req = AdminRequest {
        method: Method::PUT,
        path,
        base: None,
        body,
    };
    let deadline = Instant::now() + Duration::from_secs(command.patience);
    loop {
        let outcome = attempt(&admin, &req).await;
        let may_retry = match outcome.exit {
            Exit::Unreachable | Exit::Conflict | Exit::Unknown => true,
            Exit::Done | Exit::Refused | Exit::Usage => false,
        };
        if !may_retry || Instant::now() + RETRY_INTERVAL > deadline {
            return outcome;
        }
        eprintln!("{}; trying again", outcome.text);
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Sends the sheet once.
async fn attempt(admin: &Admin, req: &AdminRequest<'_>) -> Outcome {
    match admin.send_any(req).await {
        Ok(response) => {
            let json: Value = serde_json::from_slice(response.body()).unwrap_or_default();
            Outcome::done(summary(&json), json)
        }
        Err(outcome) => outcome,
    }
}

/// Returns the response as text: a summary, then one line for each change.
fn summary(json: &Value) -> String {
    let mut lines = vec![json["summary"].as_str().unwrap_or("accepted").to_string()];
    let changes = json["changes"].as_array().cloned().unwrap_or_default();
    let changes = changes.iter().filter_map(Value::as_str);
    lines.extend(changes.map(|change| format!("  {change}")));
    lines.join("\n")
}
