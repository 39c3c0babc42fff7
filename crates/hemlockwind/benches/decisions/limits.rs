//! Updates of the limits of backend servers from results and failures.

use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;

use hemlockwind::core::collections::HashMap;
use hemlockwind::core::time::Instant;
use hemlockwind::limits::Ejection;
use hemlockwind::limits::Limit;
use hemlockwind::limits::RetryBudget;
use hemlockwind::limits::ejection;
use hemlockwind::limits::limit;
use hemlockwind::limits::retry;

use crate::SERVER_COUNTS;
use crate::STEP_TIME;
use crate::fleet::keys;
use crate::table::Table;

/// Measures the updates after a result and after a failure of one server.
pub fn update_limits(c: &mut Criterion, table: &mut Table) {
    for size in SERVER_COUNTS {
        let keys = keys(size);
        let bounds = limit::Bounds { min: 1, max: 64 };
        let limits = keys.iter().map(|&key| (key, Limit::new(bounds)));
        let mut limits: HashMap<_, _> = limits.collect();
        let mut ejection = Ejection::new(ejection::Policy::default());
        keys.iter().for_each(|&key| ejection.add(key));
        let mut budget = RetryBudget::new(Instant::ZERO, retry::Policy::default());
        let mut next = keys.iter().cycle();
        let mut now = Instant::ZERO;
        table.measure(c, "limits: step result", size, || {
            let key = *next.next().expect("the cycle does not end");
            now = now + Duration::from_micros(1);
            let limit = limits.get_mut(&key).expect("each server has a limit");
            limit.on_result(now, STEP_TIME, 32);
            ejection.on_success(key);
            budget.on_success(now);
            black_box(limit.streams(now));
        });
        table.measure(c, "limits: failure", size, || {
            let key = *next.next().expect("the cycle does not end");
            now = now + Duration::from_micros(1);
            black_box(ejection.on_failure(now, key));
            black_box(budget.try_retry(now));
        });
    }
}
