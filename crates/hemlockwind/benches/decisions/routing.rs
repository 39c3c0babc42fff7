//! The choice of a path and the bound.

use std::hint::black_box;

use criterion::Criterion;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use hemlockwind::core::time::Instant;

use crate::SEED;
use crate::SERVERS;
use crate::fleet::graph;
use crate::fleet::keys;
use crate::table::Table;

/// A path for a request, and what a request changes in the graph.
pub fn choose_path(c: &mut Criterion, table: &mut Table) {
    for size in SERVERS {
        let keys = keys(size);
        let mut graph = graph(&keys);
        let mut rng = SmallRng::seed_from_u64(SEED);
        table.measure(c, "path: choose", size, || {
            black_box(graph.choose(Instant::ZERO, &mut rng, &[], &[]));
        });
        let kept = graph.choose(Instant::ZERO, &mut rng, &[], &[]);
        let kept = kept.expect("the ranges join");
        let failed = [kept.stages[0].server];
        table.measure(c, "path: choose after a failure", size, || {
            black_box(graph.choose(Instant::ZERO, &mut rng, &failed, &kept.stages[1..]));
        });
        let mut next = keys.iter().cycle();
        table.measure(c, "path: stream begins and ends", size, || {
            let key = *next.next().expect("a cycle does not end");
            graph.begin(key);
            graph.end(key);
        });
    }
}

/// The streams that the servers carry at most, after one of them changed.
pub fn bound_flow(c: &mut Criterion, table: &mut Table) {
    for size in SERVERS {
        let keys = keys(size);
        let mut graph = graph(&keys);
        let mut next = keys.iter().cycle();
        table.measure(c, "bound: after a change", size, || {
            let key = *next.next().expect("a cycle does not end");
            graph.update(key, |server| server.limit ^= 1);
            black_box(graph.bound_streams());
        });
    }
}
