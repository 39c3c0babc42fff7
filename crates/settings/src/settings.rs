//! The settings of the daemon.

use std::net::SocketAddr;

use serde::Deserialize;

use hemlockwind_core::collections::HashSet;

use crate::faults::Fault;
use crate::schema::Field;
use crate::schema::Kind;
use crate::schema::check;
use crate::schema::optional;
use crate::schema::required;
use crate::source::Source;

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// `Settings` holds the settings of all instances of one deployment.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Settings {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The shared key by which instances authenticate each other.
    pub peer_key: String,
    /// The bearer token of the admin port.
    pub admin_token: String,
    /// The address to which metrics are sent over UDP, in the statsd format.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Limits on requests of callers and calls to backend servers.
    #[serde(default)]
    pub limits: Limits,
    /// The share of each pool's capacity that is kept free for the most urgent rank,
    /// in percent.
    #[serde(default)]
    pub headroom_percent: u32,
    /// Offset of the planners' time zone from UTC, in minutes, positive if it is ahead of
    /// UTC. The day of a sheet is a day in this time zone.
    #[serde(default)]
    pub utc_offset_minutes: i32,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// `Instance` holds the name, data centre and addresses of one instance.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The instance's data centre.
    pub data_centre: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other instances.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// `Limits` holds the limits on requests of callers and calls to backend servers.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's headers and path, in bytes.
    pub header_bytes: usize,
    /// Time within which a caller must have sent its request, in milliseconds.
    pub receive_ms: u64,
    /// Maximum number of completions in progress at one instance. Calls to services are not
    /// counted.
    pub requests: usize,
    /// Timeout of one decode step on a backend server, in milliseconds.
    pub step_ms: u64,
    /// Timeout of one prefill on a backend server, in milliseconds.
    pub prefill_ms: u64,
    /// Time for which a stopping instance still accepts requests, so that the load balancer
    /// can notice that it is not ready, in milliseconds.
    pub notice_ms: u64,
    /// Time that requests in progress have to end at a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Memory that this process may use, in megabytes. A quarter of it is for what callers send.
    /// `None` is the memory of the machine.
    pub memory_mb: Option<usize>,
    /// Maximum number of open files of this process. `None` is the system's limit.
    pub open_files: Option<usize>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            header_bytes: 32 << 10,
            receive_ms: 5_000,
            requests: 4_096,
            step_ms: 1_000,
            prefill_ms: 5_000,
            notice_ms: 1_000,
            drain_ms: 60_000,
            memory_mb: None,
            open_files: None,
        }
    }
}

/// Maximum time in the settings, in milliseconds: one hour.
const MAX_TIME_MS: u64 = 3_600_000;

/// Smallest multiple of the largest body that the memory must be, so that the share for callers
/// has room for one.
const MIN_BODIES: usize = 8;

/// Keys of the limits.
const LIMITS: &[Field] = &[
    optional("body_bytes", Kind::Integer(1_024, 64 << 20)),
    optional("header_bytes", Kind::Integer(8_192, 1 << 20)),
    optional("receive_ms", Kind::Integer(10, MAX_TIME_MS)),
    optional("requests", Kind::Integer(1, 1_000_000)),
    optional("step_ms", Kind::Integer(1, MAX_TIME_MS)),
    optional("prefill_ms", Kind::Integer(1, MAX_TIME_MS)),
    optional("notice_ms", Kind::Integer(0, MAX_TIME_MS)),
    optional("drain_ms", Kind::Integer(0, MAX_TIME_MS)),
    optional("memory_mb", Kind::Integer(16, 16 << 20)),
    optional("open_files", Kind::Integer(128, 16 << 20)),
];

/// Keys of an instance.
const INSTANCE: &[Field] = &[
    required("name", Kind::Text),
    required("data_centre", Kind::Text),
    required("callers", Kind::Address),
    required("peers", Kind::Address),
    required("admin", Kind::Address),
];

/// Schema of the settings.
const SETTINGS: Kind = Kind::Object(&[
    required("platform", Kind::Address),
    required("peer_key", Kind::Text),
    required("admin_token", Kind::Text),
    optional("statsd", Kind::Address),
    optional("limits", Kind::Object(LIMITS)),
    optional("headroom_percent", Kind::Integer(0, 50)),
    optional("utc_offset_minutes", Kind::Signed(-720, 840)),
    required("instances", Kind::List(&Kind::Object(INSTANCE))),
]);

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// All faults of `text`.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let source = Source::parse(text).map_err(|fault| vec![fault])?;
        let faults = check(&source, SETTINGS);
        if !faults.is_empty() {
            return Err(faults);
        }
        // Parsed again, since the conversion consumes a source and the first one is still
        // needed for the positions of faults.
        let value = Source::parse(text).map_err(|fault| vec![fault])?.value();
        let settings: Self =
            serde_json::from_value(value).map_err(|e| vec![source.fault_at("", e.to_string())])?;
        let faults = settings.contradictions(&source);
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    /// Returns the instance named `name`. Without a name, returns the only instance, or
    /// `None` if there is not exactly one.
    pub fn instance(&self, name: Option<&str>) -> Option<&Instance> {
        match name {
            Some(name) => self.instances.iter().find(|i| i.name == name),
            None if self.instances.len() == 1 => self.instances.first(),
            None => None,
        }
    }

    /// Returns the faults that the schema can't express, such as contradicting values.
    fn contradictions(&self, source: &Source<'_>) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut names = HashSet::default();
        let mut addrs = HashSet::default();
        if self.instances.is_empty() {
            faults.push(source.fault_at("instances", "must name at least one instance"));
        }
        for (i, instance) in self.instances.iter().enumerate() {
            if !names.insert(instance.name.as_str()) {
                let text = format!("the name {} is used twice", instance.name);
                faults.push(source.fault_at(&format!("instances[{i}].name"), text));
            }
            for (field, addr) in [
                ("callers", instance.callers),
                ("peers", instance.peers),
                ("admin", instance.admin),
            ] {
                if addr.port() != 0 && !addrs.insert(addr) {
                    let text = format!("the address {addr} is used twice");
                    faults.push(source.fault_at(&format!("instances[{i}].{field}"), text));
                }
            }
            if instance.peers.ip().is_unspecified() {
                let text = "must be the address by which other instances reach this one";
                faults.push(source.fault_at(&format!("instances[{i}].peers"), text));
            }
        }
        for (field, secret) in [
            ("peer_key", &self.peer_key),
            ("admin_token", &self.admin_token),
        ] {
            if secret.len() < MIN_SECRET_BYTES {
                let text = format!("must be at least {MIN_SECRET_BYTES} bytes long");
                faults.push(source.fault_at(field, text));
            }
        }
        if self.peer_key == self.admin_token {
            let text = "must differ from peer_key";
            faults.push(source.fault_at("admin_token", text));
        }
        if self.limits.prefill_ms < self.limits.step_ms {
            let text = "must not be below step_ms";
            faults.push(source.fault_at("limits.prefill_ms", text));
        }
        let memory = self.limits.memory_mb.map(|mb| mb * 1_000_000);
        if memory.is_some_and(|memory| memory < MIN_BODIES * self.limits.body_bytes) {
            let text = format!("must be at least {MIN_BODIES} times body_bytes");
            faults.push(source.fault_at("limits.memory_mb", text));
        }
        faults.sort();
        faults
    }
}
