//! The whole system as real processes, under failure.

mod caller;
mod completions;
mod failures;
mod process;
mod site;
mod stop;
