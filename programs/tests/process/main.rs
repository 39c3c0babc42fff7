//! Tests of the whole system as real processes under failures.

mod completions;
mod failures;
mod fleet;
mod gateway_stop;
mod leaving;
mod loans;
mod odd_entries;
mod orders;
mod process;
mod services;
mod site;
mod soak;
mod spread;
mod stop;
