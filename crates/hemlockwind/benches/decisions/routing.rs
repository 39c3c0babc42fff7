//! The choice of a path, and the bound of streams.

use std::hint::black_box;

use criterion::Criterion;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use hemlockwind::core::time::Instant;

use crate::SEED;
use crate::SERVER_COUNTS;
use crate::fleet::graph;
use crate::fleet::keys;
use crate::table::Table;

/// Measures the choice of a path for a request, the choice after a failure, and the updates of
/// the graph when a stream begins and ends.
pub fn choose_path(c: &mut Criterion, table: &mut Table) {
    for size in SERVER_COUNTS {
        let keys = keys(size);
        let mut graph = graph(&keys);
        let mut rng = SmallRng::seed_from_u64(SEED);
        table.measure(c, "path: choose", size, || {
            black_box(graph.choose(Instant::ZERO, &mut rng, &[], &[]));
        });
        let kept = graph.choose(Instant::ZERO, &mut rng, &[], &[]);
        let kept = kept.expect("the layer ranges form a path");
        let failed = [kept.stages[0].server];
        table.measure(c, "path: choose after a failure", size, || {
            black_box(graph.choose(Instant::ZERO, &mut rng, &failed, &kept.stages[1..]));
        });
        let mut next = keys.iter().cycle();
        table.measure(c, "path: stream begins and ends", size, || {
            let key = *next.next().expect("the cycle does not end");
            graph.begin(key);
            graph.end(key);
        });
    }
}

/// Measures the computation of the maximum number of streams after a change of one server.
pub fn bound_streams(c: &mut Criterion, table: &mut Table) {
    for size in SERVER_COUNTS {
        let keys = keys(size);
        let mut graph = graph(&keys);
        let mut next = keys.iter().cycle();
        table.measure(c, "bound: after a change", size, || {
            let key = *next.next().expect("the cycle does not end");
            graph.update(key, |server| server.limit ^= 1);
            black_box(graph.bound_streams());
        });
    }
}
