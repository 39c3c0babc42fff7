//! Ranges of a model's layers.

use std::fmt;

use crate::Error;
use crate::Result;

/// `LayerRange` is the half-open range of layers that one backend server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LayerRange {
    start: u16,
    end: u16,
}

impl LayerRange {
    /// Returns the range from `start` up to, but not including, `end`.
    ///
    /// # Errors
    ///
    /// [`Error::Layers`] if the range is empty or reversed.
    pub fn new(start: u16, end: u16) -> Result<Self> {
        if start >= end {
            return Err(Error::layers(format!(
                "{start}..{end} is empty or reversed"
            )));
        }
        Ok(Self { start, end })
    }

    /// Returns the first layer.
    pub const fn start(self) -> u16 {
        self.start
    }

    /// Returns the layer after the last one.
    pub const fn end(self) -> u16 {
        self.end
    }

    /// Returns the number of layers, at least one.
    pub const fn count(self) -> u16 {
        self.end - self.start
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.start, self.end)
    }
}
