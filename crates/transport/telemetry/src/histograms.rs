//! Histograms for each organisation and rank.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use parking_lot::Mutex;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::Rank;

/// Significant digits that a histogram keeps.
const DIGITS: u8 = 1;
/// The longest time that a histogram keeps apart, in milliseconds: a day.
const TIME_LIMIT_MS: u64 = 86_400_000;
/// Pairs of organisation and rank with histograms of their own; the rest share one.
const PAIR_LIMIT: usize = 1_024;
/// Shards of the table, each under its own lock.
const SHARDS: usize = 16;
/// The organisation under which those beyond the limit are counted.
const OTHERS: &str = "others";
/// The quantiles that are shown.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// `Measure` is what a histogram is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Measure {
    /// The time from a request to its first token.
    FirstToken,
    /// The time between two tokens.
    BetweenTokens,
    /// The time of a whole request.
    Request,
}

impl Measure {
    /// The measure's name in the output.
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
    /// Records `time` for an organisation and rank.
    pub fn record(&self, measure: Measure, organisation: &Arc<str>, rank: Rank, time: Duration) {
        let ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1);
        let mut shard = self.shards[shard_of(organisation)].lock();
        let mut key = (measure, Arc::clone(organisation), rank);
        if !shard.contains_key(&key) && shard.len() >= PAIR_LIMIT / SHARDS {
            key.1 = OTHERS.into();
        }
        let histogram = shard.entry(key).or_insert_with(|| {
            Histogram::new_with_bounds(1, TIME_LIMIT_MS, DIGITS)
                .expect("the bounds and the number of digits are within the library's")
        });
        histogram.saturating_record(ms);
    }

    /// All histograms in the text form that Prometheus reads, in milliseconds.
    pub fn render(&self, rank_name: impl Fn(Rank) -> String) -> String {
        let mut out = String::new();
        for shard in &self.shards {
            for ((measure, organisation, rank), histogram) in shard.lock().iter() {
                let labels = format!(
                    "organisation=\"{organisation}\",rank=\"{}\"",
                    rank_name(*rank)
                );
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

/// The shard that holds an organisation.
fn shard_of(organisation: &str) -> usize {
    let sum = organisation.bytes().map(usize::from).sum::<usize>();
    sum % SHARDS
}
