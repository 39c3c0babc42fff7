//! CPU time, memory and message sizes of each role at several sizes, with slopes.
//!
//! `cargo bench --bench capacity` prints the table of docs/CAPACITY.md: each
//! measure at three sizes, the slope of the least-squares line through them, and
//! its value at the target size.

mod assignments;
mod configuration;
mod driver;
mod quarantine;
mod queue_owner;
mod slots;
mod table;
mod wire;

use crate::table::Table;

fn main() {
    let mut table = Table::default();
    driver::measure(&mut table);
    queue_owner::measure(&mut table);
    configuration::measure(&mut table);
    assignments::measure(&mut table);
    slots::measure(&mut table);
    wire::measure(&mut table);
    quarantine::measure(&mut table);
    table.print();
}
