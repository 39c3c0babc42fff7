//! The whole system as real processes, under failure.

mod completions;
mod failures;
mod leaving;
mod loans;
mod process;
mod site;
mod stop;
