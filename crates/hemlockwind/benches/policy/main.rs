//! The queueing policy and three baselines under load and faults, in virtual time.
//!
//! `cargo bench --bench policy` prints one table for each deployment. Seeds are
//! fixed, so the figures are the same each time. The columns are:
//!
//! | Column        | Meaning                                                         |
//! |---------------|-----------------------------------------------------------------|
//! | thr           | throughput as a share of the hardware bound                     |
//! | (rank)        | share of the rank's requests with the first token on time       |
//! | p95ms         | 95th percentile of the time to the first token, in milliseconds |
//! | gap           | 95th percentile of an answer's mean time between tokens, in     |
//! |               | milliseconds                                                    |
//! | keep          | share of all tokens that were for the rank                      |
//! | ref           | share of the rank's requests that were refused                  |
//! | small by rank | share on time by rank, for small organisations only             |
//! | p95ms by rank | p95ms by rank, for small organisations only                     |
//! | idle          | refusals while a pool had free slots beyond its headroom        |
//! | pause         | longest pause of a stream after a killed engine is detected, in |
//! |               | milliseconds                                                    |

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
use crate::deployment::scenarios;
use crate::metrics::Outcome;
use crate::metrics::Tally;
use crate::run::Policy;
use crate::run::run;

const SEED: u64 = 0x7ab1e;
const POLICIES: [(Policy, &str); 4] = [
    (Policy::QueueOwner, "queue owner"),
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
    print!("{:<19} {:<11} {:>5}", "scenario", "policy", "thr");
    for rank in &deployment.ranks {
        print!(" | {:<11} p95ms  gap  keep  ref", rank.name);
    }
    println!(" | small by rank     p95ms by rank     | idle pause");
    for scenario in scenarios(Span::from_seconds(20, 40, 80, 98)) {
        for (policy, name) in POLICIES {
            let outcome = run(deployment, &scenario, policy, SEED);
            print!("{:<19} {name:<11}", scenario.name);
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
            millis(tally.first_token_p95()),
            millis(tally.mean_interval_p95()),
            outcome.token_share(rank),
            tally.refused_share(),
        );
    }
    print_small(&outcome.small);
    println!(
        " | {:>4} {:>5}",
        outcome.refused_idle,
        millis(outcome.longest_pause)
    );
}

fn print_small(small: &[Tally; RANKS]) {
    let [a, b, c] = small.each_ref().map(Tally::on_time_share);
    print!(" | {a:.3} {b:.3} {c:.3}");
    let [a, b, c] = small.each_ref().map(|t| millis(t.first_token_p95()));
    print!(" {a:>5} {b:>5} {c:>5}");
}

fn millis(time: Duration) -> u128 {
    time.as_millis()
}
