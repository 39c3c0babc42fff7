//! The stages that a stream runs on, each with the incarnation of its KV cache.

use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::names::BackendServerKey;

use crate::Path;
use crate::Stage;

/// `Hop` is a stage with the incarnation of its KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop {
    /// The stage.
    pub stage: Stage,
    /// The incarnation in the ids of the stage's steps.
    pub incarnation: Incarnation,
}

/// `Route` is the path of a stream, empty until the first path is chosen.
#[derive(Clone, Debug, Default)]
pub struct Route {
    hops: Vec<Hop>,
}

impl Route {
    /// Returns the route over `path`, whose KV caches all belong to `incarnation`.
    pub fn new(path: Path, incarnation: Incarnation) -> Self {
        let stages = path.stages.into_iter();
        let hops = stages.map(|stage| Hop { stage, incarnation }).collect();
        Self { hops }
    }

    /// Returns the hop at `index`.
    ///
    /// # Panics
    ///
    /// If the route has no such hop.
    pub fn hop(&self, index: usize) -> Hop {
        self.hops[index]
    }

    /// Returns whether the hop at `index` runs the last layer.
    pub fn is_last(&self, index: usize) -> bool {
        index + 1 == self.hops.len()
    }

    /// Returns the stages, starting with the one that runs layer 0.
    pub fn stages(&self) -> impl Iterator<Item = Stage> {
        self.hops.iter().map(|hop| hop.stage)
    }

    /// Returns the index of the hop on `from` and the server that replaces it in `path`,
    /// if the route and `path` differ in nothing else.
    pub fn replacement(
        &self,
        from: BackendServerKey,
        path: &Path,
    ) -> Option<(usize, BackendServerKey)> {
        let index = self.stages().position(|stage| stage.server == from)?;
        let to = path.stages.get(index)?.server;
        let mut other = path.stages.clone();
        other[index].server = from;
        (to != from && self.stages().eq(other)).then_some((index, to))
    }

    /// Replaces the server of the hop at `index` by `to`, whose KV cache belongs to
    /// `incarnation`. Returns the replaced server.
    ///
    /// # Panics
    ///
    /// If the route has no such hop.
    pub fn replace(
        &mut self,
        index: usize,
        to: BackendServerKey,
        incarnation: Incarnation,
    ) -> BackendServerKey {
        let hop = &mut self.hops[index];
        hop.incarnation = incarnation;
        std::mem::replace(&mut hop.stage.server, to)
    }
}
