//! The memory that starts leave free for reroutes after the loss of an engine.
//!
//! Designed for one to eight engines lost within seconds under full load: without a reserve,
//! new streams take the memory that the streams of the lost engines need to continue, and the
//! next loss finds none.

use std::time::Duration;

use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

use crate::engines::Engines;

/// How long after a loss the reserve is kept at most. The losses of one failure are found
/// within this time of each other.
const RESERVE_TIME: Duration = Duration::from_secs(10);

/// `Reserve` decides how much memory starts leave free for reroutes.
#[derive(Debug, Default)]
pub struct Reserve {
    /// The engines that were lost, each with the end of its reserve.
    lost: Vec<(BackendServerKey, Instant)>,
}

impl Reserve {
    /// Records that an engine was lost.
    pub fn engine_lost(&mut self, now: Instant, engine: BackendServerKey) {
        self.lost.retain(|(e, until)| *e != engine && *until > now);
        self.lost.push((engine, now + RESERVE_TIME));
    }

    /// Returns the tokens that starts leave free on every layer: those of the streams over the
    /// largest engine in use. Zero once no reroute waits and no stream is left on a lost engine.
    pub fn tokens(&self, now: Instant, engines: &Engines, waiting_reroutes: usize) -> f64 {
        let has_streams =
            |engine: BackendServerKey| engines.get(engine).is_some_and(|e| e.streams > 0);
        let mut lost = self.lost.iter();
        let is_moving = lost.any(|(engine, until)| *until > now && has_streams(*engine));
        if !is_moving && waiting_reroutes == 0 {
            return 0.0;
        }
        let in_use = engines.iter().filter(|(_, e)| engines.is_usable(e, now));
        let tokens = in_use.map(|(_, e)| e.reserved / f64::from(e.layers.count().max(1)));
        tokens.fold(0.0, f64::max)
    }
}
