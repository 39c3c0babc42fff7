//! What is believed of one instance, and which of two beliefs wins.

use std::net::SocketAddr;
use std::sync::Arc;

/// `Incarnation` orders what is said of one instance. An instance starts with
/// the wall time and raises it to deny what others say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// `State` is what an instance is believed to be. In one incarnation a later
/// state wins over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers.
    Live,
    /// It did not answer and may deny its death.
    Suspect,
    /// It is stopping and takes no more duties.
    Leaving,
    /// It is gone.
    Dead,
}

/// `Identity` tells who an instance is and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name.
    pub name: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The address for peers.
    pub addr: SocketAddr,
}

/// `News` is what one instance believes of another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Of whom.
    pub identity: Identity,
    /// The incarnation that this is about.
    pub incarnation: Incarnation,
    /// The belief.
    pub state: State,
}

impl News {
    /// Whether this wins over `other`, a belief of the same instance.
    pub fn wins_over(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
