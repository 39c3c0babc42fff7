//! Measures at several sizes and their slopes.

use std::time::Duration;
use std::time::Instant;

/// The time that one measurement takes at least.
const TIME: Duration = Duration::from_millis(150);
/// Bytes by which a measurement of memory grows at least.
const GROWTH: f64 = 64e6;
/// Bytes of a page of memory.
const PAGE: f64 = 4_096.0;

/// `Row` is one measure at several sizes.
pub struct Row {
    name: &'static str,
    unit: &'static str,
    of: &'static str,
    target: f64,
    points: Vec<(f64, f64)>,
}

/// `Table` holds all measures.
#[derive(Default)]
pub struct Table {
    rows: Vec<Row>,
}

impl Table {
    /// Adds a measure of something whose size is the number of `of`; `target` is
    /// that number for one instance, or one home, at the target.
    pub fn row(
        &mut self,
        name: &'static str,
        unit: &'static str,
        of: &'static str,
        target: usize,
        points: Vec<(usize, f64)>,
    ) {
        let points = points.into_iter().map(|(size, value)| (size as f64, value));
        self.rows.push(Row {
            name,
            unit,
            of,
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
            let (slope, start) = line(&row.points);
            println!(
                "| {} | {} | {} | {} | {:.3} | {:.0}: {:.1} |",
                row.name,
                row.unit,
                row.of,
                points.join(", "),
                slope * 1_000.0,
                row.target,
                start + slope * row.target,
            );
        }
    }
}

/// The slope and the start of the line of least squares.
fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
    let products = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y));
    let squares = points.iter().map(|p| (p.0 - mean_x).powi(2));
    let slope = products.sum::<f64>() / squares.sum::<f64>();
    (slope, mean_y - slope * mean_x)
}

/// Nanoseconds of one `run`: the least of several rounds, so that what else the
/// machine does counts little.
pub fn nanos(mut run: impl FnMut()) -> f64 {
    let mut best = f64::MAX;
    let begin = Instant::now();
    while begin.elapsed() < TIME {
        let mut count = 0_u32;
        let round = Instant::now();
        while round.elapsed() < TIME / 10 {
            run();
            count += 1;
        }
        best = best.min(round.elapsed().as_nanos() as f64 / f64::from(count));
    }
    best
}

/// Bytes by which resident memory grows for one value that `make` gives. What is
/// made is kept to the end, so that no measurement takes memory that another freed.
pub fn memory<T>(make: impl Fn() -> T) -> f64 {
    std::mem::forget(make());
    let before = resident();
    let mut count = 0.0;
    while resident() - before < GROWTH {
        std::mem::forget(make());
        count += 1.0;
    }
    (resident() - before) / count
}

/// Bytes of resident memory.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE
}
