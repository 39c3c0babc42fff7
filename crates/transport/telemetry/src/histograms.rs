//! Latency histograms for each organisation and rank.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::Rank;

/// Significant decimal digits of recorded values.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Longest recorded time, in milliseconds: a day. Longer times are recorded as this.
const MAX_TIME_MS: u64 = 86_400_000;
/// Maximum number of histograms over all shards, besides those of `OTHERS`. Each shard has an
/// equal part of it; once that is used up, the shard records each new combination of measure,
/// organisation and rank under `OTHERS`.
const MAX_HISTOGRAMS: usize = 1_024;
/// Shards of the table; each has its own lock.
const SHARDS: usize = 16;
/// Label of the organisations without histograms of their own.
const OTHERS: &str = "others";
/// Quantiles in the output.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// `Measure` names the time that a histogram records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Measure {
    /// The time from a request to its first token.
    FirstToken,
    /// The time between two tokens.
    BetweenTokens,
    /// The duration of a whole request.
    Request,
}

impl Measure {
    /// Returns the measure's metric name.
    const fn name(self) -> &'static str {
        match self {
            Self::FirstToken => "hemlockwind_first_token_ms",
            Self::BetweenTokens => "hemlockwind_between_tokens_ms",
            Self::Request => "hemlockwind_request_ms",
        }
    }
}

type Key = (Measure, Arc<str>, Rank);
type Shard = HashMap<Key, Histogram<u32>>;

/// `Histograms` holds the histograms of one instance.
pub struct Histograms {
    shards: [Mutex<Shard>; SHARDS],
}

impl Default for Histograms {
    fn default() -> Self {
        let shards = std::array::from_fn(|_| Mutex::default());
        Self { shards }
    }
}

impl Histograms {
    /// Records `time`, in whole milliseconds and at least one, for an organisation and rank.
    pub fn record(&self, measure: Measure, organisation: &Arc<str>, rank: Rank, time: Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1);
        let mut shard = self.shards[shard_of(organisation)].lock();
        let mut key = (measure, Arc::clone(organisation), rank);
        if !shard.contains_key(&key) && shard.len() >= MAX_HISTOGRAMS / SHARDS {
            key.1 = OTHERS.into();
        }
        let histogram = shard.entry(key).or_insert_with(|| {
            Histogram::new_with_bounds(1, MAX_TIME_MS, SIGNIFICANT_DIGITS)
                .expect("the library accepts these bounds and this number of digits")
        });
        histogram.saturating_record(ms);
    }

    /// Returns all histograms in Prometheus' text format, in milliseconds.
    pub fn render(&self, rank_name: impl Fn(Rank) -> String) -> String {
        let mut out = String::new();
        for shard in &self.shards {
            for ((measure, organisation, rank), histogram) in shard.lock().iter() {
                let (organisation, rank) = (escape_label(organisation), rank_name(*rank));
                let rank = escape_label(&rank);
                let labels = format!("organisation=\"{organisation}\",rank=\"{rank}\"");
                let name = measure.name();
                for quantile in QUANTILES {
                    let value = histogram.value_at_quantile(quantile);
                    // Writing to a string can't fail.
                    let _ = writeln!(out, "{name}{{{labels},quantile=\"{quantile}\"}} {value}");
                }
                let _ = writeln!(out, "{name}_count{{{labels}}} {}", histogram.len());
            }
        }
        out
    }
}

/// Returns the index of the shard that holds an organisation.
fn shard_of(organisation: &str) -> usize {
    let sum = organisation.bytes().map(usize::from).sum::<usize>();
    sum % SHARDS
}

/// Returns the value of a label as the text format of metrics holds it. Names may have any characters.
pub fn escape_label(value: &str) -> String {
    let mut escaped = String::with_capacity(value.len());
    for c in value.chars() {
        match c {
            '\\' | '"' => escaped.extend(['\\', c]),
            '\n' => escaped.push_str("\\n"),
            c => escaped.push(c),
        }
    }
    escaped
}
