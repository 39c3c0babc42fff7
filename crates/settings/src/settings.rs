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

/// Characters that a secret must have at least.
const SECRET_LENGTH: usize = 16;

/// `Settings` is what one deployment's instances need to start.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Settings {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The key that instances prove to each other.
    pub peer_key: String,
    /// The bearer token of the admin port.
    pub admin_token: String,
    /// Where metrics go, in statsd's form over UDP.
    #[serde(default)]
    pub statsd: Option<SocketAddr>,
    /// Bounds of what callers and backend servers may ask of an instance.
    #[serde(default)]
    pub limits: Limits,
    /// Share of each pool's capacity kept free for the most urgent rank, in percent.
    #[serde(default)]
    pub headroom_percent: u32,
    /// Minutes by which the planners' day is ahead of UTC; the sheet's day is theirs.
    #[serde(default)]
    pub utc_offset_minutes: i32,
    /// The instances.
    pub instances: Vec<Instance>,
}

/// `Instance` is one instance with its addresses.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub struct Instance {
    /// The instance's name.
    pub name: String,
    /// The data centre it stands in.
    pub data_centre: String,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
}

/// `Limits` bounds what callers and backend servers may ask of an instance.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Bytes of a request's headers.
    pub header_bytes: usize,
    /// Milliseconds in which a caller must have sent its request.
    pub receive_ms: u64,
    /// Requests in progress at one instance.
    pub requests: usize,
    /// Milliseconds that one decode step may take at a backend server.
    pub step_ms: u64,
    /// Milliseconds that one prefill may take at a backend server.
    pub prefill_ms: u64,
    /// Milliseconds for which a stopping instance still takes requests, so that
    /// the balancer hears that it is not ready.
    pub notice_ms: u64,
    /// Milliseconds that requests in flight have at a planned stop.
    pub drain_ms: u64,
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
        }
    }
}

/// The longest time that a setting may give, in milliseconds.
const TIME_LIMIT_MS: u64 = 3_600_000;

const LIMITS: &[Field] = &[
    optional("body_bytes", Kind::Integer(1_024, 64 << 20)),
    optional("header_bytes", Kind::Integer(8_192, 1 << 20)),
    optional("receive_ms", Kind::Integer(10, TIME_LIMIT_MS)),
    optional("requests", Kind::Integer(1, 1_000_000)),
    optional("step_ms", Kind::Integer(1, TIME_LIMIT_MS)),
    optional("prefill_ms", Kind::Integer(1, TIME_LIMIT_MS)),
    optional("notice_ms", Kind::Integer(0, TIME_LIMIT_MS)),
    optional("drain_ms", Kind::Integer(0, TIME_LIMIT_MS)),
];

const INSTANCE: &[Field] = &[
    required("name", Kind::Text),
    required("data_centre", Kind::Text),
    required("callers", Kind::Address),
    required("peers", Kind::Address),
    required("admin", Kind::Address),
];

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
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Every fault of `text`.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let source = Source::parse(text).map_err(|fault| vec![fault])?;
        let faults = check(&source, SETTINGS);
        if !faults.is_empty() {
            return Err(faults);
        }
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

    /// The instance named `name`, or the only one.
    pub fn instance(&self, name: Option<&str>) -> Option<&Instance> {
        match name {
            Some(name) => self.instances.iter().find(|i| i.name == name),
            None if self.instances.len() == 1 => self.instances.first(),
            None => None,
        }
    }

    /// What no single value shows to be wrong.
    fn contradictions(&self, source: &Source<'_>) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut names = HashSet::default();
        let mut addrs = HashSet::default();
        if self.instances.is_empty() {
            faults.push(source.fault_at("instances", "must name at least one instance"));
        }
        for (i, instance) in self.instances.iter().enumerate() {
            if !names.insert(instance.name.as_str()) {
                let text = format!("the name {} stands twice", instance.name);
                faults.push(source.fault_at(&format!("instances[{i}].name"), text));
            }
            for (field, addr) in [
                ("callers", instance.callers),
                ("peers", instance.peers),
                ("admin", instance.admin),
            ] {
                if addr.port() != 0 && !addrs.insert(addr) {
                    let text = format!("the address {addr} stands twice");
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
            if secret.len() < SECRET_LENGTH {
                let text = format!("must have at least {SECRET_LENGTH} characters");
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
        faults.sort();
        faults
    }
}
