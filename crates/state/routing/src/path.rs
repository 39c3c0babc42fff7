//! A chain of backend servers that covers every layer of a model once.

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;

/// `Stage` holds one backend server of a path and the layers that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stage {
    /// The backend server.
    pub server: BackendServerKey,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// `Path` is a chain of stages in the order of their layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    /// The stages, the one with layer 0 first.
    pub stages: Vec<Stage>,
}

impl Path {
    /// Returns the path of these stages through a model of `model_layers` layers.
    ///
    /// # Errors
    ///
    /// Returns `Error::Layers` when the stages leave a gap, overlap, or don't reach from
    /// layer 0 to the last.
    pub fn new(stages: Vec<Stage>, model_layers: u16) -> Result<Self> {
        let path = Self { stages };
        if path.covers(model_layers) {
            return Ok(path);
        }
        let ranges: Vec<String> = path.stages.iter().map(|s| s.layers.to_string()).collect();
        let ranges = ranges.join(", ");
        Err(Error::layers(format!(
            "the stages {ranges} don't cover the layers 0..{model_layers} once and in order"
        )))
    }

    /// Returns whether the stages cover every layer of a model once and in order.
    pub fn covers(&self, model_layers: u16) -> bool {
        let end = self.stages.iter().try_fold(0, |end, stage| {
            (stage.layers.start() == end).then_some(stage.layers.end())
        });
        end == Some(model_layers) && !self.stages.is_empty()
    }

    /// Returns whether `server` is one of the stages.
    pub fn contains(&self, server: BackendServerKey) -> bool {
        self.stages.iter().any(|stage| stage.server == server)
    }
}
