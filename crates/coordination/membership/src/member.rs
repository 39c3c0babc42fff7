//! The state of one instance, and which of two updates supersedes the other.

use std::net::SocketAddr;
use std::sync::Arc;

/// `Incarnation` orders the updates of one instance. An instance starts with the wall
/// time in milliseconds and raises it to refute an update by others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// `State` is the state of an instance in the local view. Within one incarnation, a later
/// variant supersedes an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It answers.
    Live,
    /// It did not answer and may refute the suspicion.
    Suspect,
    /// It is stopping and may not hold assignments.
    Leaving,
    /// It is gone.
    Dead,
}

/// `Identity` holds the name and location of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The name.
    pub name: Arc<str>,
    /// The data centre.
    pub data_centre: Arc<str>,
    /// The address for peers.
    pub addr: SocketAddr,
}

/// `MemberUpdate` is the state of one instance in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The instance.
    pub identity: Identity,
    /// The incarnation to which the state applies.
    pub incarnation: Incarnation,
    /// The state.
    pub state: State,
}

impl MemberUpdate {
    /// Whether this supersedes `other`, an update of the same instance.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state) > (other.incarnation, other.state)
    }
}
