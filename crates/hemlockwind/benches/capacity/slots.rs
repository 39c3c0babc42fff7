//! The owner of slots: time and memory of idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use hemlockwind::claims::key_table::KeyTable;
use hemlockwind::claims::key_table::ScopedKey;
use hemlockwind::claims::key_table::State;
use hemlockwind::core::time::Instant;
use hemlockwind::core::time::WallTime;

use crate::table::Table;
use crate::table::memory;
use crate::table::nanos;

/// Measures keys in memory.
pub fn measure(table: &mut Table) {
    let organisation: Arc<str> = "organisation".into();
    let sizes = [1_000, 10_000, 100_000].map(|count| {
        let bytes = memory(|| filled(count, &organisation));
        (count, bytes / 1_024.0)
    });
    table.row(
        "idempotency keys without answers",
        "KB",
        "keys",
        10_000,
        sizes.to_vec(),
    );
    let times = [1_000, 10_000, 100_000].map(|count| {
        let mut memory = filled(count, &organisation);
        let mut next = count as u128;
        let time = nanos(|| {
            let id = id(next, &organisation);
            memory.insert(id.clone(), next, State::InFlight, Instant::NEVER);
            std::hint::black_box(memory.get_mut(&id).is_some());
            memory.remove(&id);
            next += 1;
        });
        (count, time)
    });
    table.row(
        "one key from open to end",
        "ns",
        "keys",
        10_000,
        times.to_vec(),
    );
}

/// The key of this number.
fn id(number: u128, organisation: &Arc<str>) -> ScopedKey {
    ScopedKey {
        organisation: Arc::clone(organisation),
        key: hemlockwind::claims::Key::parse(&Uuid::from_u128(number).to_string())
            .expect("a UUID is a key"),
    }
}

/// A memory with this many keys.
fn filled(count: usize, organisation: &Arc<str>) -> KeyTable {
    let mut memory = KeyTable::new(WallTime::from_millis(0));
    for number in 0..count as u128 {
        let expires_at = Instant::ZERO + Duration::from_secs(number as u64);
        memory.insert(
            id(number, organisation),
            number,
            State::InFlight,
            expires_at,
        );
    }
    memory
}
