//! A chain of backend servers that holds every layer of a model once.

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::BackendServerKey;

/// `Stage` is one backend server of a path, with the layers that it runs.
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
    /// The path of these stages through a model of `model_layers` layers.
    ///
    /// # Errors
    ///
    /// `Error::Layers` when the stages leave a gap, overlap, or don't reach from
    /// layer 0 to the last.
    pub fn new(stages: Vec<Stage>, model_layers: u16) -> Result<Self> {
        let path = Self { stages };
        if path.joins(model_layers) {
            return Ok(path);
        }
        let ranges: Vec<String> = path.stages.iter().map(|s| s.layers.to_string()).collect();
        let ranges = ranges.join(", ");
        Err(Error::layers(format!(
            "{ranges} don't join from 0 to {model_layers}"
        )))
    }

    /// Whether the stages hold every layer of a model once and in order.
    pub fn joins(&self, model_layers: u16) -> bool {
        let end = self.stages.iter().try_fold(0, |end, stage| {
            (stage.layers.start() == end).then_some(stage.layers.end())
        });
        end == Some(model_layers) && !self.stages.is_empty()
    }

    /// Whether `server` is one of the stages.
    pub fn contains(&self, server: BackendServerKey) -> bool {
        self.stages.iter().any(|stage| stage.server == server)
    }
}
