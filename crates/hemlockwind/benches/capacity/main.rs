//! Processor time, memory and bytes of each role against its size, with slopes.
//!
//! `cargo bench --bench capacity` prints the table of docs/CAPACITY.md: each
//! measure at three sizes, the line of least squares through them, and its value
//! at the target's size.

mod configuration;
mod driver;
mod duties;
mod home;
mod slots;
mod table;
mod wire;

use crate::table::Table;

fn main() {
    let mut table = Table::default();
    driver::measure(&mut table);
    home::measure(&mut table);
    configuration::measure(&mut table);
    duties::measure(&mut table);
    slots::measure(&mut table);
    wire::measure(&mut table);
    table.print();
}
