//! The periodic exchange of configuration versions, and the push of new ones.

use serde::Deserialize;
use serde::Serialize;

/// `Exchange` tells which version an instance has, and may carry a document.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Exchange {
    /// The version in force at the sender.
    pub version: u64,
    /// The whole document, when the sender believes that the other lacks it.
    pub document: Option<Vec<u8>>,
}
