//! Output of the histograms.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::names::Rank;
use hemlockwind_telemetry::Histograms;
use hemlockwind_telemetry::histograms::Measure;

/// Returns the value of the first line that starts with `name` and contains `part`.
fn value(text: &str, name: &str, part: &str) -> u64 {
    let line = text
        .lines()
        .find(|line| line.starts_with(name) && line.contains(part));
    let line = line.expect("no line of the output matches");
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

#[test]
fn record_long_times() {
    let histograms = Histograms::default();
    let organisation: Arc<str> = "agents".into();
    for ms in [10, 20, 200, 5_000] {
        let time = Duration::from_millis(ms);
        histograms.record(Measure::Request, &organisation, Rank(0), time);
    }
    let text = histograms.render(|rank| format!("rank{}", rank.0));
    let longest = value(&text, "hemlockwind_request_ms{", "0.99");
    assert!((5_000..5_400).contains(&longest), "{text}");
    assert_eq!(value(&text, "hemlockwind_request_ms_count", "agents"), 4);
}

// Guards against metrics that a collector refuses as a whole.
#[test]
fn render_escapes_labels() {
    let histograms = Histograms::default();
    let organisation: Arc<str> = "a\"} 1\nb\\".into();
    histograms.record(
        Measure::Request,
        &organisation,
        Rank(0),
        Duration::from_millis(1),
    );
    let text = histograms.render(|_| "high\"".into());
    let labels = r#"{organisation="a\"} 1\nb\\",rank="high\""#;
    let labelled = text.lines().filter(|line| line.contains(labels));
    assert_eq!(labelled.count(), text.lines().count(), "{text}");
}

#[test]
fn record_many_organisations() {
    let histograms = Histograms::default();
    for i in 0..5_000 {
        let organisation: Arc<str> = format!("organisation-{i}").into();
        let time = Duration::from_millis(10);
        histograms.record(Measure::FirstToken, &organisation, Rank(0), time);
    }
    let text = histograms.render(|rank| rank.0.to_string());
    let counts = text.lines().filter(|line| line.contains("_count"));
    // Each shard has one more histogram, for the organisations beyond the limit.
    assert!(counts.count() <= 1_024 + 16);
}
