//! Compiles the operators' document to a configuration, completely or not at all.

use std::time::Duration;

use hemlockwind_core::Error;
use hemlockwind_core::collections::HashMap;
use hemlockwind_core::config::BackendServer;
use hemlockwind_core::config::Config;
use hemlockwind_core::config::Fencing;
use hemlockwind_core::config::Model;
use hemlockwind_core::config::Organisation;
use hemlockwind_core::config::Pipeline;
use hemlockwind_core::config::RankTarget;
use hemlockwind_core::config::Role;
use hemlockwind_core::config::Service;
use hemlockwind_core::config::Version;
use hemlockwind_core::directory::Directory;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::names::Rank;

use crate::document;
use crate::document::Document;

/// Maximum size of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Maximum number of ranks in a document.
const MAX_RANKS: usize = 16;

/// `Fault` describes one fault in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The path of the field or entry, such as `backend_servers[3].model`.
    pub path: String,
    /// What is wrong or must be changed.
    pub text: String,
}

/// Returns one error with all faults.
pub fn error(faults: &[Fault]) -> Error {
    let lines = faults.iter().map(|f| format!("{}: {}", f.path, f.text));
    Error::config(lines.collect::<Vec<_>>().join("; "))
}

/// Validates `document` and returns it as a configuration. Interns its names in `directory`, so
/// that a name has the same key in each version.
///
/// # Errors
///
/// Returns every fault of the document.
pub fn compile(
    document: &Document,
    version: Version,
    directory: &mut Directory,
) -> Result<Config, Vec<Fault>> {
    let mut compiler = Compiler {
        directory,
        ranks: HashMap::default(),
        faults: Vec::new(),
        config: Config {
            version,
            sheet_day: document.sheet_day.clone(),
            ..Config::default()
        },
    };
    compiler.models(&document.models);
    compiler.pipelines(&document.pipelines);
    compiler.ranks(&document.ranks);
    compiler.organisations(&document.organisations);
    compiler.services(&document.services);
    compiler.backend_servers(&document.backend_servers);
    if compiler.faults.is_empty() {
        Ok(compiler.config)
    } else {
        Err(compiler.faults)
    }
}

/// `Compiler` builds a configuration and collects faults.
struct Compiler<'a> {
    directory: &'a mut Directory,
    ranks: HashMap<String, Rank>,
    faults: Vec<Fault>,
    config: Config,
}

impl Compiler<'_> {
    /// Records a fault.
    fn report_fault(&mut self, path: String, text: impl Into<String>) {
        let text = text.into();
        self.faults.push(Fault { path, text });
    }

    /// Checks that `value` lies in `range`.
    fn check_range(&mut self, path: String, value: f64, range: std::ops::RangeInclusive<f64>) {
        if !range.contains(&value) {
            let text = format!("must lie between {} and {}", range.start(), range.end());
            self.report_fault(path, text);
        }
    }

    /// Checks a name; `is_new` is whether no earlier entry of its kind has it.
    fn check_name(&mut self, path: String, name: &str, is_new: bool) {
        let is_plain = |c: char| c.is_alphanumeric() || "-_. ".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
            let text = format!(
                "a name has 1 to {MAX_NAME_BYTES} bytes of letters, digits, spaces, `-`, `_` and `.`"
            );
            self.report_fault(path, text);
        } else if !is_new {
            self.report_fault(path, format!("the name {name} is used twice"));
        }
    }

    fn models(&mut self, models: &[document::Model]) {
        for (i, model) in models.iter().enumerate() {
            let key = self.directory.models.intern(&model.name);
            let entry = Model {
                name: model.name.as_str().into(),
                layers: model.layers,
            };
            let is_new = self.config.models.insert(key, entry).is_none();
            self.check_name(format!("models[{i}].name"), &model.name, is_new);
            if model.layers == 0 {
                self.report_fault(format!("models[{i}].layers"), "must be at least 1");
            }
        }
    }

    fn pipelines(&mut self, pipelines: &[document::Pipeline]) {
        for (i, pipeline) in pipelines.iter().enumerate() {
            let key = self.directory.pipelines.intern(&pipeline.name);
            let model = self.directory.models.intern(&pipeline.model);
            if !self.config.models.contains_key(&model) {
                let text = format!("there is no model {}", pipeline.model);
                self.report_fault(format!("pipelines[{i}].model"), text);
            }
            if pipeline.max_tokens == 0 {
                self.report_fault(format!("pipelines[{i}].max_tokens"), "must be at least 1");
            }
            let entry = Pipeline {
                name: pipeline.name.as_str().into(),
                model,
                max_tokens: pipeline.max_tokens,
            };
            let name = entry.name.clone();
            let is_new = self.config.pipelines.insert(key, entry).is_none();
            self.config.pipeline_names.insert(name, key);
            self.check_name(format!("pipelines[{i}].name"), &pipeline.name, is_new);
        }
    }

    fn ranks(&mut self, ranks: &[document::Rank]) {
        if ranks.len() > MAX_RANKS {
            let text = format!(
                "there are {} ranks, at most {MAX_RANKS} are allowed",
                ranks.len()
            );
            self.report_fault("ranks".into(), text);
            return;
        }
        for (i, rank) in ranks.iter().enumerate() {
            let place = Rank(u8::try_from(i).unwrap_or(u8::MAX));
            let is_new = self.ranks.insert(rank.name.clone(), place).is_none();
            self.check_name(format!("ranks[{i}].name"), &rank.name, is_new);
            self.check_range(format!("ranks[{i}].floor"), rank.floor, 0.0..=1.0);
            if rank.deadline_ms < rank.first_token_ms {
                let text = "must not be below first_token_ms";
                self.report_fault(format!("ranks[{i}].deadline_ms"), text);
            }
            self.config.ranks.push(RankTarget {
                name: rank.name.as_str().into(),
                first_token: Duration::from_millis(rank.first_token_ms.into()),
                between_tokens: Duration::from_millis(rank.between_tokens_ms.into()),
                deadline: Duration::from_millis(rank.deadline_ms.into()),
                floor: rank.floor,
            });
        }
        let floors: f64 = ranks.iter().map(|rank| rank.floor).sum();
        if floors > 1.0 {
            self.report_fault(
                "ranks".into(),
                format!("the floors add up to {floors}, above 1"),
            );
        }
    }

    fn organisations(&mut self, organisations: &[document::Organisation]) {
        for (i, organisation) in organisations.iter().enumerate() {
            let path = |field: &str| format!("organisations[{i}].{field}");
            let key = self.directory.organisations.intern(&organisation.name);
            let rank = self.ranks.get(&organisation.rank).copied();
            if rank.is_none() {
                self.report_fault(
                    path("rank"),
                    format!("there is no rank {}", organisation.rank),
                );
            }
            self.check_range(path("share"), organisation.share, 0.001..=1_000_000.0);
            for (j, hash) in organisation.api_keys_sha256.iter().enumerate() {
                let path = format!("organisations[{i}].api_keys_sha256[{j}]");
                match parse_digest(hash) {
                    None => self.report_fault(path, "must be 64 hexadecimal digits"),
                    Some(hash) => {
                        if self.config.api_keys.insert(hash, key).is_some() {
                            self.report_fault(path, "this API key is used twice");
                        }
                    }
                }
            }
            let entry = Organisation {
                name: organisation.name.as_str().into(),
                share: organisation.share,
                rank: rank.unwrap_or_default(),
                home: self.directory.data_centres.intern(&organisation.home),
            };
            let is_new = self.config.organisations.insert(key, entry).is_none();
            self.check_name(path("name"), &organisation.name, is_new);
        }
    }

    fn services(&mut self, services: &[document::Service]) {
        for (i, service) in services.iter().enumerate() {
            let key = self.directory.services.intern(&service.name);
            let methods = service.idempotent_methods.iter();
            let entry = Service {
                name: service.name.as_str().into(),
                idempotent_methods: methods.map(|m| m.to_ascii_uppercase()).collect(),
            };
            let name = entry.name.clone();
            let is_new = self.config.services.insert(key, entry).is_none();
            self.config.service_names.insert(name, key);
            self.check_name(format!("services[{i}].name"), &service.name, is_new);
        }
    }

    fn backend_servers(&mut self, servers: &[document::BackendServer]) {
        for (i, server) in servers.iter().enumerate() {
            let role = self.role(i, server);
            if server.limit == 0 {
                self.report_fault(format!("backend_servers[{i}].limit"), "must be at least 1");
            }
            let key = self.directory.backend_servers.intern(&server.name);
            let data_centre = self.directory.data_centres.intern(&server.data_centre);
            let mut is_new = !self.config.backend_servers.contains_key(&key);
            if let Some(role) = role {
                let entry = BackendServer {
                    name: server.name.as_str().into(),
                    data_centre,
                    addr: server.addr,
                    role,
                    limit: server.limit,
                    fencing: if server.checks_fencing {
                        Fencing::Checked
                    } else {
                        Fencing::Ignored
                    },
                    leaving: server.leaving,
                };
                is_new = self.config.backend_servers.insert(key, entry).is_none();
            }
            self.check_name(format!("backend_servers[{i}].name"), &server.name, is_new);
        }
    }

    /// Returns what a backend server serves, or `None` if its role is missing or ambiguous or
    /// its model or layers are invalid. Records a fault then, and for an unknown service.
    fn role(&mut self, i: usize, server: &document::BackendServer) -> Option<Role> {
        let path = |field: &str| format!("backend_servers[{i}].{field}");
        match (&server.model, server.layers, &server.service) {
            (Some(model), Some((start, end)), None) => {
                let model_key = self.directory.models.intern(model);
                let Some(entry) = self.config.models.get(&model_key) else {
                    self.report_fault(path("model"), format!("there is no model {model}"));
                    return None;
                };
                let count = entry.layers;
                let range = LayerRange::new(start, end).ok();
                let Some(layers) = range.filter(|range| range.end() <= count) else {
                    let text = format!("{start}..{end} is not a range of {model}'s {count} layers");
                    self.report_fault(path("layers"), text);
                    return None;
                };
                Some(Role::Engine {
                    model: model_key,
                    layers,
                })
            }
            (None, None, Some(service)) => {
                let key = self.directory.services.intern(service);
                if !self.config.services.contains_key(&key) {
                    self.report_fault(path("service"), format!("there is no service {service}"));
                }
                Some(Role::Service { service: key })
            }
            _ => {
                let text = "give either `model` and `layers`, or `service`";
                self.report_fault(format!("backend_servers[{i}]"), text);
                None
            }
        }
    }
}

/// Parses a SHA-256 digest in hexadecimal.
fn parse_digest(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.bytes().all(|b| b.is_ascii_hexdigit()) {
        return None;
    }
    let mut digest = [0; 32];
    for (i, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(digest)
}
