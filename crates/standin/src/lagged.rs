//! Values that readers see with a delay.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// `Lagged` holds a value and as much of its history as the lag requires.
#[derive(Debug)]
pub struct Lagged<T> {
    history: VecDeque<(Instant, T)>,
    initial: T,
}

impl<T: Clone> Lagged<T> {
    /// Returns a value that has always been `initial`.
    pub fn new(initial: T) -> Self {
        Self {
            history: VecDeque::new(),
            initial,
        }
    }

    /// Sets the value from `now` on and drops history that is older than `lag`.
    pub fn set(&mut self, now: Instant, value: T, lag: Duration) {
        self.history.push_back((now, value));
        while let Some((since, _)) = self.history.get(1) {
            if now.duration_since(*since) <= lag {
                break;
            }
            self.history.pop_front();
        }
    }

    /// Returns the value as it was `lag` before `now`.
    pub fn get(&self, now: Instant, lag: Duration) -> T {
        let old = self
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.duration_since(*since) >= lag);
        old.map_or_else(|| self.initial.clone(), |(_, value)| value.clone())
    }
}
