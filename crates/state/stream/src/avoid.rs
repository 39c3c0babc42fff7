//! Backend servers that a stream wants no path over.

use hemlockwind_core::names::BackendServerKey;

/// `Avoid` holds the backend servers that failed a stream or are leaving.
#[derive(Clone, Debug, Default)]
pub struct Avoid {
    failed: Vec<BackendServerKey>,
    leaving: Vec<BackendServerKey>,
}

impl Avoid {
    /// Avoids a backend server that failed or refused a step, until it is forgiven.
    pub fn add_failed(&mut self, server: BackendServerKey) {
        if !self.failed.contains(&server) {
            self.failed.push(server);
        }
    }

    /// Avoids a leaving backend server for good. Returns whether that is new.
    pub fn add_leaving(&mut self, server: BackendServerKey) -> bool {
        let new = !self.leaving.contains(&server);
        if new {
            self.leaving.push(server);
        }
        new
    }

    /// Whether `server` is known to be leaving.
    pub fn is_leaving(&self, server: BackendServerKey) -> bool {
        self.leaving.contains(&server)
    }

    /// Allows the servers that failed again. Used when no path is left without
    /// them: whether they are dead is for the probe to judge, not for one stream.
    pub fn forgive(&mut self) {
        self.failed.clear();
    }

    /// Whether a path over `server` is unwanted.
    pub fn contains(&self, server: BackendServerKey) -> bool {
        self.failed.contains(&server) || self.is_leaving(server)
    }

    /// All unwanted servers.
    pub fn list(&self) -> Vec<BackendServerKey> {
        let servers = self.failed.iter().chain(&self.leaving);
        servers.copied().collect()
    }
}
