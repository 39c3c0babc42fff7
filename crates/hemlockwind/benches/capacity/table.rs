//! A table of measures at several sizes and their slopes.

use std::time::Duration;
use std::time::Instant;

/// The minimum time of one measurement.
const MIN_MEASUREMENT_TIME: Duration = Duration::from_millis(150);
/// The minimum growth of resident memory in one measurement, in bytes.
const MIN_GROWTH_BYTES: f64 = 64e6;
/// The size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// `Row` is one measure at several sizes.
pub struct Row {
    name: &'static str,
    unit: &'static str,
    /// What the sizes count, such as `organisations`.
    size_unit: &'static str,
    /// The size for one instance, or one queue owner, of a deployment of the target size.
    target: f64,
    /// Sizes and values.
    points: Vec<(f64, f64)>,
}

/// `Table` holds all measures.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Adds a measure with its values at several sizes. A size is a number of `size_unit`;
    /// `target` is the size for one instance, or one queue owner, of a deployment of the
    /// target size.
    pub fn add_row(
        &mut self,
        name: &'static str,
        unit: &'static str,
        size_unit: &'static str,
        target: usize,
        points: Vec<(usize, f64)>,
    ) {
        let points = points.into_iter().map(|(size, value)| (size as f64, value));
        self.rows.push(Row {
            name,
            unit,
            size_unit,
            target: target as f64,
            points: points.collect(),
        });
    }

    /// Prints the table in Markdown.
    pub fn print(&self) {
        println!(
            "| Measure | Unit | Against | Points (size: value) | Slope per 1,000 | At target size |"
        );
        println!(
            "|---------|------|---------|----------------------|-----------------|----------------|"
        );
        for row in &self.rows {
            let points = row.points.iter();
            let points: Vec<_> = points.map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
            let (slope, intercept) = least_squares(&row.points);
            println!(
                "| {} | {} | {} | {} | {:.3} | {:.0}: {:.1} |",
                row.name,
                row.unit,
                row.size_unit,
                points.join(", "),
                slope * 1_000.0,
                row.target,
                intercept + slope * row.target,
            );
        }
    }
}

/// Returns the slope and the intercept of the least-squares line through `points`.
fn least_squares(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let products = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let squares = points.iter().map(|p| (p.0 - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (slope, mean_y - slope * mean_x)
}

/// Returns the time of one call of `run`, in nanoseconds. It is the minimum of several
/// rounds, so that other load on the machine has little effect.
pub fn nanos_per_run(mut run: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    let begin = Instant::now();
    while begin.elapsed() < MIN_MEASUREMENT_TIME {
        let mut count = 0_u32;
        let round = Instant::now();
        while round.elapsed() < MIN_MEASUREMENT_TIME / 10 {
            run();
            count += 1;
        }
        best = best.min(round.elapsed().as_nanos() as f64 / f64::from(count));
    }
    best
}

/// Returns the bytes by which resident memory grows for one value that `make` returns. The
/// values are never freed, so that no measurement reuses memory that another one freed.
pub fn bytes_per_value<T>(make: impl Fn() -> T) -> f64 {
    std::mem::forget(make());
    let before = resident_bytes();
    let mut count = 0.0;
    while resident_bytes() - before < MIN_GROWTH_BYTES {
        std::mem::forget(make());
        count += 1.0;
    }
    (resident_bytes() - before) / count
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}
