//! `hemlockwind status`.

use serde_json::Value;
use serde_json::json;

use crate::admin::Admin;
use crate::admin::Ask;
use crate::args::Status;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Shows every instance of the deployment; exit code 3 when one does not answer.
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
        let answer = admin.ask(instance.admin, &Ask::read("/v1/status")).await;
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

/// One instance in a line.
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
