//! The owner of slots: the time and memory of idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use hemlockwind::claims::key_table::KeyTable;
use hemlockwind::claims::key_table::ScopedKey;
use hemlockwind::claims::key_table::State;
use hemlockwind::core::time::Instant;
use hemlockwind::core::time::WallTime;

use crate::table::Table;
use crate::table::bytes_per_value;
use crate::table::nanos_per_run;

/// Measures keys of one owner.
pub fn measure(table: &mut Table) {
    let organisation: Arc<str> = "organisation".into();
    let sizes = [1_000, 10_000, 100_000].map(|count| {
        let bytes = bytes_per_value(|| filled_table(count, &organisation));
        (count, bytes / 1_024.0)
    });
    table.add_row(
        "idempotency keys without answers",
        "KB",
        "keys",
        10_000,
        sizes.to_vec(),
    );
    let times = [1_000, 10_000, 100_000].map(|count| {
        let mut key_table = filled_table(count, &organisation);
        let mut next = count as u128;
        let time = nanos_per_run(|| {
            let id = scoped_key(next, &organisation);
            key_table.insert(id.clone(), next, State::InFlight, Instant::NEVER);
            std::hint::black_box(key_table.get_mut(&id).is_some());
            key_table.remove(&id);
            next += 1;
        });
        (count, time)
    });
    table.add_row(
        "one key from open to end",
        "ns",
        "keys",
        10_000,
        times.to_vec(),
    );
}

/// Returns the key of this number.
fn scoped_key(number: u128, organisation: &Arc<str>) -> ScopedKey {
    ScopedKey {
        organisation: Arc::clone(organisation),
        key: hemlockwind::claims::Key::parse(&Uuid::from_u128(number).to_string())
            .expect("a UUID is a key"),
    }
}

/// Returns a table with this many keys.
fn filled_table(count: usize, organisation: &Arc<str>) -> KeyTable {
    let mut key_table = KeyTable::new(WallTime::from_millis(0));
    for number in 0..count as u128 {
        let expires_at = Instant::ZERO + Duration::from_secs(number as u64);
        key_table.insert(
            scoped_key(number, organisation),
            number,
            State::InFlight,
            expires_at,
        );
    }
    key_table
}
