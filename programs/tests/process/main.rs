//! The whole system as real processes, under failure.

mod completions;
mod failures;
mod leaving;
mod loans;
mod orders;
mod process;
mod services;
mod site;
mod spread;
mod stop;
