//! Backend servers that the path of a stream must avoid.

use hemlockwind_core::names::BackendServerKey;

/// `Avoid` holds the backend servers that failed a stream or are leaving.
#[derive(Clone, Debug, Default)]
pub struct Avoid {
    failed: Vec<BackendServerKey>,
    leaving: Vec<BackendServerKey>,
}

impl Avoid {
    /// Avoids a backend server that failed or refused a step, until
    /// [`Avoid::clear_failed`].
    pub fn add_failed(&mut self, server: BackendServerKey) {
        if !self.failed.contains(&server) {
            self.failed.push(server);
        }
    }

    /// Avoids a leaving backend server permanently. Returns whether it was not recorded
    /// before.
    pub fn add_leaving(&mut self, server: BackendServerKey) -> bool {
        let is_new = !self.leaving.contains(&server);
        if is_new {
            self.leaving.push(server);
        }
        is_new
    }

    /// Returns whether `server` is recorded as leaving.
    pub fn is_leaving(&self, server: BackendServerKey) -> bool {
        self.leaving.contains(&server)
    }

    /// Allows paths over the failed servers again, for when there is no path without them.
    /// Whether a server is down is decided by a probe, not by one stream.
    pub fn clear_failed(&mut self) {
        self.failed.clear();
    }

    /// Returns whether a path must avoid `server`.
    pub fn contains(&self, server: BackendServerKey) -> bool {
        self.failed.contains(&server) || self.is_leaving(server)
    }

    /// Returns all servers to avoid.
    pub fn list(&self) -> Vec<BackendServerKey> {
        let servers = self.failed.iter().chain(&self.leaving);
        servers.copied().collect()
    }
}
