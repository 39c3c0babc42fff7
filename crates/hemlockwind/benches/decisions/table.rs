//! A table of the time of each decision at each size.

use std::collections::BTreeMap;

use criterion::Criterion;

/// `Table` holds the time of each decision at several sizes.
pub struct Table {
    /// What the sizes count, such as `organisations`.
    size_unit: &'static str,
    /// Samples in nanoseconds by decision and size.
    rows: BTreeMap<String, BTreeMap<usize, Vec<f64>>>,
}

impl Table {
    /// Returns an empty table.
    pub fn new(size_unit: &'static str) -> Self {
        let rows = BTreeMap::new();
        Self { size_unit, rows }
    }

    /// Measures `run` with criterion and keeps its samples, in nanoseconds.
    pub fn measure(&mut self, c: &mut Criterion, name: &str, size: usize, mut run: impl FnMut()) {
        let sizes = self.rows.entry(name.into()).or_default();
        let samples = sizes.entry(size).or_default();
        c.bench_function(&format!("{name}/{size}"), |b| {
            b.iter_custom(|iterations| {
                let start = std::time::Instant::now();
                for _ in 0..iterations {
                    run();
                }
                let elapsed = start.elapsed();
                samples.push(elapsed.as_nanos() as f64 / iterations as f64);
                elapsed
            });
        });
    }

    /// Prints the median times and their slopes.
    pub fn print(&self) {
        println!("\nmedian time in ns at each number of {}", self.size_unit);
        print!("{:<28}", "decision");
        for size in self
            .rows
            .values()
            .next()
            .into_iter()
            .flat_map(BTreeMap::keys)
        {
            print!("{size:>10}");
        }
        println!("{:>16}", "ns per 1,000");
        for (name, sizes) in &self.rows {
            print!("{name:<28}");
            let points: Vec<_> = sizes
                .iter()
                .map(|(&size, samples)| (size as f64, median(samples)))
                .collect();
            for (_, time) in &points {
                print!("{time:>10.0}");
            }
            println!("{:>16.2}", slope(&points) * 1_000.0);
        }
    }
}

/// Returns the median, or NaN if criterion's filter left no samples.
fn median(samples: &[f64]) -> f64 {
    let mut samples = samples.to_vec();
    samples.sort_by(f64::total_cmp);
    samples.get(samples.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Returns the slope of the least-squares line through `points`.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}
