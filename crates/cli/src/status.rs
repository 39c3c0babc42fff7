//! `hemlockwind status`: shows the state of every instance.

use serde_json::Value;
use serde_json::json;

use crate::admin::Admin;
use crate::admin::AdminRequest;
use crate::args::Status;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Shows every instance of the deployment; the exit code is 3 if one does not respond.
pub async fn run(command: &Status) -> Outcome {
    let admin = match Admin::open(&command.settings) {
        Ok(admin) => admin,
        Err(e) => return Outcome::failed(Exit::Usage, &e),
    };
    let mut rows = vec![format!(
        "{:<24} {:<16} {:<9} {:>8} {:>10}",
        "instance", "data centre", "state", "requests", "version"
    )];
    let mut list = Vec::new();
    let mut exit = Exit::Done;
    for instance in &admin.settings.instances {
        let answer = admin
            .send(instance.admin, &AdminRequest::read("/v1/status"))
            .await;
        let json = match answer {
            Ok(response) => serde_json::from_slice(response.body()).unwrap_or_default(),
            Err((_, e)) => {
                exit = Exit::Unreachable;
                json!({"instance": instance.name, "error": e.to_string()})
            }
        };
        rows.push(row(&instance.name, &instance.data_centre, &json));
        list.push(json);
    }
    Outcome {
        exit,
        text: rows.join("\n"),
        json: Value::from(list),
    }
}

/// Formats the line of one instance.
fn row(name: &str, data_centre: &str, json: &Value) -> String {
    let state = match (&json["stopping"], &json["ready"]) {
        (Value::Bool(true), _) => "stopping",
        (_, Value::Bool(true)) => "ready",
        (_, Value::Bool(false)) => "not ready",
        _ => "silent",
    };
    let requests = &json["requests"];
    let version = &json["config_version"];
    format!("{name:<24} {data_centre:<16} {state:<9} {requests:>8} {version:>10}")
}
