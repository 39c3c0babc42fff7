//! `hemlockwind get`: prints the configuration.

use serde_json::Value;
use serde_json::json;

use crate::admin::Admin;
use crate::admin::AdminRequest;
use crate::admin::version;
use crate::apply::PATH;
use crate::args::Get;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Reads the configuration that the platform stores.
pub async fn run(command: &Get) -> Outcome {
    let admin = match Admin::open(&command.settings) {
        Ok(admin) => admin,
        Err(e) => return Outcome::failed(Exit::Usage, &e),
    };
    match admin.send_any(&AdminRequest::read(PATH)).await {
        Ok(response) => {
            let version = version(&response).unwrap_or_default();
            let document: Value = serde_json::from_slice(response.body()).unwrap_or_default();
            let text = serde_json::to_string_pretty(&document).unwrap_or_default();
            let text = format!("// version {version}\n{text}");
            Outcome::done(text, json!({"version": version, "document": document}))
        }
        Err(outcome) => outcome,
    }
}
