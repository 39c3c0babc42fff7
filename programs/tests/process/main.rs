//! The whole system as real processes, under failure.

mod completions;
mod failures;
mod leaving;
mod process;
mod site;
mod stop;
