//! The policy under load and faults, beside baselines, in virtual time.
//!
//! `cargo bench --bench policy` prints one table for each deployment. Seeds are
//! fixed, so the figures are the same each time.

mod deployment;
mod engines;
mod metrics;
mod queue_owners;
mod run;

use std::time::Duration;

use crate::deployment::Deployment;
use crate::deployment::RANKS;
use crate::deployment::Span;
use crate::deployment::deployments;
use crate::deployment::situations;
use crate::metrics::Outcome;
use crate::metrics::Tally;
use crate::run::Policy;
use crate::run::run;

const SEED: u64 = 0x7ab1e;
const POLICIES: [(Policy, &str); 4] = [
    (Policy::QueueOwner, "home"),
    (Policy::Fifo, "(a) fifo"),
    (Policy::StrictRank, "(b) rank"),
    (Policy::Chains, "(c) chains"),
];

fn main() {
    for deployment in deployments() {
        print_table(&deployment);
    }
}

fn print_table(deployment: &Deployment) {
    println!("\n{}, headroom {}", deployment.name, deployment.headroom);
    print!("{:<19} {:<10} {:>5}", "situation", "policy", "thr");
    for rank in &deployment.ranks {
        print!(" | {:<11} p95ms  gap  keep  ref", rank.name);
    }
    println!(" | small by rank     p95ms by rank     | idle pause");
    for situation in situations(Span::seconds(20, 40, 80, 98)) {
        for (policy, name) in POLICIES {
            let outcome = run(deployment, &situation, policy, SEED);
            print!("{:<19} {name:<10}", situation.name);
            print_outcome(&outcome);
        }
    }
}

fn print_outcome(outcome: &Outcome) {
    print!(" {:>5.3}", outcome.throughput);
    for rank in 0..RANKS {
        let tally = &outcome.ranks[rank];
        print!(
            " | {:<9.3} {:>7} {:>4} {:>5.2} {:>4.2}",
            tally.on_time_share(),
            millis(tally.first_p95()),
            millis(tally.between_p95()),
            outcome.kept(rank),
            tally.refused_share(),
        );
    }
    print_small(&outcome.small);
    println!(" | {:>4} {:>5}", outcome.refused_idle, millis(outcome.gap));
}

fn print_small(small: &[Tally; RANKS]) {
    let [a, b, c] = small.each_ref().map(Tally::on_time_share);
    print!(" | {a:.3} {b:.3} {c:.3}");
    let [a, b, c] = small.each_ref().map(|t| millis(t.first_p95()));
    print!(" {a:>5} {b:>5} {c:>5}");
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}
