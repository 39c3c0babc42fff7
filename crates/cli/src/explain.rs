//! `hemlockwind explain`: the story of one request, from the logs of all instances.

use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;

use hemlockwind::core::Error;

use crate::admin::read_file;
use crate::args::Explain;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Lines before a request's first one that may explain it: beliefs change before they
/// show in a request.
const LINES_BEFORE: usize = 200;
/// Messages about what an instance believes, which explain a refusal or a break.
const BELIEFS: [&str; 10] = [
    "engine makes no progress",
    "engine takes nothing new",
    "engine examined",
    "engine holds",
    "whole path",
    "gives orders",
    "store lost",
    "store regained",
    "routes in force",
    "server",
];

/// One line of a log.
struct Line {
    at: String,
    message: String,
    fields: Value,
}

/// Prints the story of one request in order.
pub fn run(command: &Explain) -> Outcome {
    let mut lines = Vec::new();
    for file in &command.files {
        match read_file(file) {
            Ok(text) => lines.extend(text.lines().filter_map(parse)),
            Err(e) => return Outcome::failed(Exit::Usage, &e),
        }
    }
    lines.sort_by(|a, b| a.at.cmp(&b.at));
    let story = story(&lines, &command.id);
    if story.is_empty() {
        let error = Error::usage(format!("no line of these files has the id {}", command.id));
        return Outcome::failed(Exit::Refused, &error);
    }
    let text: Vec<String> = story.iter().map(|line| show(line)).collect();
    let fields: Vec<&Value> = story.iter().map(|line| &line.fields).collect();
    Outcome::done(
        text.join("\n"),
        json!({ "id": command.id, "lines": fields }),
    )
}

/// A line as JSON, whatever stands before it.
fn parse(text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let fields: Value = serde_json::from_str(&text[start..]).ok()?;
    Some(Line {
        at: fields.get("ts")?.as_str()?.to_string(),
        message: fields.get("msg")?.as_str()?.to_string(),
        fields,
    })
}

/// The lines of the request, and those about the engines and the store that it met.
fn story<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let is_own = |line: &Line| line.fields.get("id").and_then(Value::as_str) == Some(id);
    let Some(first) = lines.iter().position(&is_own) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(&is_own).unwrap_or(first);
    let own = lines[first..=last].iter().filter(|l| is_own(l));
    let engines: BTreeSet<String> = own.flat_map(addresses).collect();
    let from = first.saturating_sub(LINES_BEFORE);
    let concerns = |line: &Line| {
        let is_belief = BELIEFS.contains(&line.message.as_str());
        let engine = line.fields.get("engine").and_then(Value::as_str);
        is_belief && engine.is_none_or(|engine| engines.contains(engine))
    };
    let mut story: Vec<&Line> = Vec::new();
    for line in lines[from..=last]
        .iter()
        .filter(|l| is_own(l) || concerns(l))
    {
        // The same news from several instances is told once.
        let is_repeated = story.iter().rev().take(8).any(|told| {
            told.message == line.message && told.fields.get("engine") == line.fields.get("engine")
        });
        if is_own(line) || !is_repeated {
            story.push(line);
        }
    }
    story
}

/// The addresses that a line names.
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

/// A line for people: time, instance, message, and the other fields.
fn show(line: &Line) -> String {
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
