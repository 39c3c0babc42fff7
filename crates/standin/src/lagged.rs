//! Values that are told late.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// `Lagged` holds a value with as much of its past as a lag needs.
#[derive(Debug)]
pub struct Lagged<T> {
    history: VecDeque<(Instant, T)>,
    first: T,
}

impl<T: Clone> Lagged<T> {
    /// A value that was always `first`.
    pub fn new(first: T) -> Self {
        Self {
            history: VecDeque::new(),
            first,
        }
    }

    /// Sets the value from `now` on and forgets what is older than `lag`.
    pub fn set(&mut self, now: Instant, value: T, lag: Duration) {
        self.history.push_back((now, value));
        while let Some((since, _)) = self.history.get(1) {
            if now.duration_since(*since) <= lag {
                break;
            }
            self.history.pop_front();
        }
    }

    /// The value as it was `lag` before `now`.
    pub fn get(&self, now: Instant, lag: Duration) -> T {
        let old = self
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.duration_since(*since) >= lag);
        old.map_or_else(|| self.first.clone(), |(_, value)| value.clone())
    }
}
