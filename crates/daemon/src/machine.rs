//! The limits of the machine, where the settings state none.

use std::fs::read_to_string;

/// Memory that is assumed if the system does not state it.
const DEFAULT_MEMORY_BYTES: usize = 1 << 30;
/// Open files that are assumed if the system does not state them.
const DEFAULT_OPEN_FILES: usize = 1_024;

/// Returns the memory of the machine.
pub fn memory_bytes() -> usize {
    let text = read_to_string("/proc/meminfo").unwrap_or_default();
    let kilobytes = text.lines().find_map(|line| {
        let value = line.strip_prefix("MemTotal:")?.trim().strip_suffix("kB")?;
        value.trim().parse::<usize>().ok()
    });
    kilobytes.map_or(DEFAULT_MEMORY_BYTES, |kilobytes| kilobytes << 10)
}

/// Returns the maximum number of open files of this process.
pub fn max_open_files() -> usize {
    let text = read_to_string("/proc/self/limits").unwrap_or_default();
    let limit = text.lines().find_map(|line| {
        let values = line.strip_prefix("Max open files")?;
        values.split_whitespace().next()?.parse().ok()
    });
    limit.unwrap_or(DEFAULT_OPEN_FILES)
}
