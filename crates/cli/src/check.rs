//! `hemlockwind check`: checks a file with settings or a configuration.

use serde_json::json;

use hemlockwind::settings::Fault;
use hemlockwind::settings::Settings;
use hemlockwind::settings::document;

use crate::admin::read_file;
use crate::args::Check;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Checks a file and reports every fault.
pub fn run(command: &Check) -> Outcome {
    let text = match read_file(&command.file) {
        Ok(text) => text,
        Err(e) => return Outcome::failed(Exit::Usage, &e),
    };
    let (kind, faults) = check(&text);
    if faults.is_empty() {
        let text = format!("{}: {kind} without faults", command.file);
        return Outcome::done(text, json!({"kind": kind, "faults": []}));
    }
    let lines = faults.iter().map(|f| format!("{}:{f}", command.file));
    let list = faults.iter();
    let list = list.map(|f| json!({"line": f.line, "column": f.column, "text": f.text}));
    Outcome {
        exit: Exit::Refused,
        text: lines.collect::<Vec<_>>().join("\n"),
        json: json!({"kind": kind, "faults": list.collect::<Vec<_>>()}),
    }
}

/// Returns the kind of a file and its faults. Only settings contain `instances`.
fn check(text: &str) -> (&'static str, Vec<Fault>) {
    let settings_faults = Settings::parse(text).err().unwrap_or_default();
    let is_settings = settings_faults.is_empty() || text.contains("\"instances\"");
    if is_settings {
        return ("settings", settings_faults);
    }
    let faults = document::parse(text).err().unwrap_or_default();
    ("configuration", faults)
}
