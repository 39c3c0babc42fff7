//! `hemlockwind explain`: the history of one request, from the logs of all instances.

use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;

use crate::admin::read_file;
use crate::args::Explain;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Number of lines before a request's first line that are searched for state messages: a
/// change in an instance's local view precedes its effect on a request.
const LINES_BEFORE: usize = 200;
/// The message about a part of prompts that crashed engines.
const QUARANTINED: &str = "part quarantined";
/// Messages about an instance's local view, which explain why a request was refused or its
/// stream broke.
const STATE_MESSAGES: [&str; 12] = [
    "engine connections broke",
    QUARANTINED,
    "engine makes no progress",
    "engine is leaving",
    "engine examined",
    "engine layers changed",
    "whole path gained or lost",
    "order issuer changed",
    "store lost",
    "store regained",
    "routes in force",
    "server",
];

/// `Line` holds one line of a log.
struct Line {
    at: String,
    message: String,
    fields: Value,
}

/// Returns the history of one request in order of time.
pub fn run(command: &Explain) -> Outcome {
    let mut lines = Vec::new();
    for file in &command.files {
        match read_file(file) {
            Ok(text) => lines.extend(text.lines().filter_map(parse)),
            Err(e) => return Outcome::failed(Exit::Usage, &e),
        }
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let history = request_history(&lines, &command.id);
    if history.is_empty() {
        let error = Error::usage(format!("no line of these files has the id {}", command.id));
        return Outcome::failed(Exit::Refused, &error);
    }
    let text: Vec<String> = history.iter().map(|line| format_line(line)).collect();
    let fields: Vec<&Value> = history.iter().map(|line| &line.fields).collect();
    Outcome::done(
        text.join("\n"),
        json!({ "id": command.id, "lines": fields }),
    )
}

/// Parses the JSON of a line, which may follow a prefix such as a timestamp.
fn parse(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let fields: Value = serde_json::from_str(&text[start..]).ok()?;
    Some(Line {
        at: fields.get("ts")?.as_str()?.to_string(),
        message: fields.get("msg")?.as_str()?.to_string(),
        fields,
    })
}

/// Returns the lines of the request, and those about its engines and the store.
fn request_history<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let is_own = |line: &Line| line.fields.get("id").and_then(Value::as_str) == Some(id);
    let Some(first) = lines.iter().position(&is_own) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(&is_own).unwrap_or(first);
    let own = lines[first..=last].iter().filter(|l| is_own(l));
    let engines: BTreeSet<String> = own.clone().flat_map(addresses).collect();
    let parts: BTreeSet<&str> = own.filter_map(part).collect();
    let from = first.saturating_sub(LINES_BEFORE);
    let is_relevant = |line: &Line| {
        let is_state_message = STATE_MESSAGES.contains(&line.message.as_str());
        let engine = line.fields.get("engine").and_then(Value::as_str);
        is_state_message
            && engine.is_none_or(|engine| engines.contains(engine))
            && part(line).is_none_or(|part| parts.contains(part))
    };
    // A part stays quarantined for minutes, so its line may be far before the request's.
    let quarantines = lines[..from].iter().filter(|line| {
        line.message == QUARANTINED && part(line).is_some_and(|part| parts.contains(part))
    });
    let mut history: Vec<&Line> = quarantines.collect();
    for line in lines[from..=last]
        .iter()
        .filter(|l| is_own(l) || is_relevant(l))
    {
        // The same message from several instances is shown once: a repetition within the last
        // 8 lines shown is left out.
        let is_repeated = history.iter().rev().take(8).any(|shown| {
            shown.message == line.message && shown.fields.get("engine") == line.fields.get("engine")
        });
        if is_own(line) || !is_repeated {
            history.push(line);
        }
    }
    history
}

/// Returns the key of the prompt's part that a line is about.
fn part(line: &Line) -> Option<&str> {
    line.fields.get("part").and_then(Value::as_str)
}

/// Returns the addresses in the fields of a line.
fn addresses(line: &Line) -> Vec<String> {
    let texts = ["path", "why", "first", "at_fault", "servers", "engine"];
    let texts = texts
        .iter()
        .filter_map(|name| line.fields.get(name)?.as_str());
    let words = texts.flat_map(|t| t.split([',', ' ', '[', ']']));
    let addrs = words.filter_map(|word| word.split('=').next());
    addrs
        .filter(|word| word.parse::<std::net::SocketAddr>().is_ok())
        .map(str::to_string)
        .collect()
}

/// Formats a line as text: time, instance, message and the other fields.
fn format_line(line: &Line) -> String {
    let instance = line.fields.get("instance").and_then(Value::as_str);
    let fields = line.fields.as_object().into_iter().flatten();
    let rest = fields.filter(|(name, value)| {
        !["msg", "ts", "level", "instance", "id", "left_out"].contains(&name.as_str())
            && !value.is_null()
    });
    let rest: Vec<String> = rest
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    format!(
        "{} {} {}: {}",
        line.at,
        instance.unwrap_or("?"),
        line.message,
        rest.join(" ")
    )
}
