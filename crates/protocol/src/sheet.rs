//! Applies the planners' daily sheet to the operators' document.
//!
//! A sheet replaces all entries of each kind that it has a row of, and leaves the other
//! kinds unchanged. An entry that it leaves out is removed. A backend server that it leaves
//! out is marked as leaving first and removed with the sheet of a later day. An organisation
//! keeps the API keys that are stored under its name.

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::config::Version;
use hemlockwind_core::directory::Directory;
use hemlockwind_sheet as domain;
use hemlockwind_sheet::Date;
use hemlockwind_sheet::Difference;
use hemlockwind_sheet::Fault;
use hemlockwind_sheet::Role;
use hemlockwind_sheet::Sheet;

use crate::compile;
use crate::document::BackendServer;
use crate::document::Document;
use crate::document::Organisation;
use crate::document::Pipeline;
use crate::document::Rank;

/// `Plan` describes the effect of applying a sheet.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The document after the sheet is applied.
    pub document: Document,
    /// The changes; empty if the sheet has no effect, as when it was applied before.
    pub differences: Vec<Difference>,
}

/// Checks a complete sheet and returns the effect of applying it to `document` on the day
/// `today`.
///
/// # Errors
///
/// Returns `Error::Sheet` with every fault by row and column, or `Error::SheetDay`.
pub fn plan(bytes: &[u8], document: &Document, today: Date) -> Result<Plan> {
    let sheet = domain::read(bytes).map_err(|faults| domain::error(&faults))?;
    let last = document.sheet_day.as_ref().and_then(|day| day.parse().ok());
    domain::admit(sheet.day, today, last).map_err(|e| Error::sheet_day(e.to_string()))?;
    let after = apply(&sheet, document);
    check(&sheet, &after)?;
    let differences = domain::differences(&extract(document), &extract(&after));
    Ok(Plan {
        document: after,
        differences,
    })
}

/// Returns `document` with `sheet` applied.
pub fn apply(sheet: &Sheet, document: &Document) -> Document {
    let mut after = document.clone();
    if !sheet.pipelines.is_empty() {
        after.pipelines = sheet.pipelines.iter().map(Pipeline::from).collect();
    }
    if !sheet.ranks.is_empty() {
        after.ranks = sheet.ranks.iter().map(Rank::from).collect();
    }
    if !sheet.organisations.is_empty() {
        after.organisations = organisations(sheet, document);
    }
    if !sheet.backend_servers.is_empty() {
        after.backend_servers = backend_servers(sheet, document);
    }
    after.sheet_day = Some(sheet.day.to_string());
    after
}

fn organisations(sheet: &Sheet, document: &Document) -> Vec<Organisation> {
    let old = document.organisations.iter();
    let keys: SeededHashMap<_, _> = old.map(|o| (&o.name, &o.api_keys_sha256)).collect();
    let new = sheet.organisations.iter().map(|organisation| Organisation {
        name: organisation.name.clone(),
        share: organisation.share,
        rank: organisation.rank.clone(),
        home: organisation.home.clone(),
        api_keys_sha256: keys
            .get(&organisation.name)
            .map(|keys| keys.to_vec())
            .unwrap_or_default(),
    });
    new.collect()
}

fn backend_servers(sheet: &Sheet, document: &Document) -> Vec<BackendServer> {
    let same_day = document.sheet_day == Some(sheet.day.to_string());
    let new = sheet.backend_servers.iter();
    let names: SeededHashMap<_, _> = new.map(|server| (&server.name, ())).collect();
    let old = document.backend_servers.iter();
    let left_out = old.filter(|old| !names.contains_key(&old.name));
    let leaving = left_out.filter(|old| same_day || !old.leaving);
    let leaving = leaving.map(|old| BackendServer {
        leaving: true,
        ..old.clone()
    });
    let new = sheet.backend_servers.iter().map(BackendServer::from);
    new.chain(leaving).collect()
}

/// Checks what requires the complete document, and reports faults by the sheet's rows.
fn check(sheet: &Sheet, after: &Document) -> Result<()> {
    let compiled = compile::compile(after, Version(0), &mut Directory::default());
    let Err(faults) = compiled else {
        return Ok(());
    };
    let mut faults: Vec<_> = faults.into_iter().map(|f| locate(sheet, f)).collect();
    faults.sort();
    Err(domain::error(&faults))
}

/// Converts a fault in the document to one in the sheet. A fault that belongs to no row is
/// reported at row 1.
fn locate(sheet: &Sheet, fault: compile::Fault) -> Fault {
    let row = fault.path.split_once('[').and_then(|(kind, rest)| {
        let (index, _) = rest.split_once(']')?;
        row(sheet, kind, index.parse().ok()?)
    });
    let text = match row {
        Some(_) => fault.text,
        None => format!(
            "with the rest of the configuration, {}: {}",
            fault.path, fault.text
        ),
    };
    Fault {
        row: row.unwrap_or(1),
        column: None,
        text,
    }
}

fn row(sheet: &Sheet, kind: &str, index: usize) -> Option<usize> {
    match kind {
        "pipelines" => sheet.pipelines.get(index).map(|entry| entry.row),
        "ranks" => sheet.ranks.get(index).map(|entry| entry.row),
        "organisations" => sheet.organisations.get(index).map(|entry| entry.row),
        "backend_servers" => sheet.backend_servers.get(index).map(|entry| entry.row),
        _ => None,
    }
}

/// Returns the sheet that would produce `document`. Backend servers that serve nothing are
/// left out.
pub fn extract(document: &Document) -> Sheet {
    let ranks = document.ranks.iter().zip(1..);
    Sheet {
        day: Date::ZERO,
        pipelines: document.pipelines.iter().map(pipeline).collect(),
        ranks: ranks.map(|(entry, urgency)| rank(entry, urgency)).collect(),
        organisations: document.organisations.iter().map(organisation).collect(),
        backend_servers: document
            .backend_servers
            .iter()
            .filter_map(backend_server)
            .collect(),
    }
}

fn pipeline(entry: &Pipeline) -> domain::Pipeline {
    domain::Pipeline {
        row: 0,
        name: entry.name.clone(),
        model: entry.model.clone(),
        max_tokens: entry.max_tokens,
    }
}

fn rank(entry: &Rank, urgency: u32) -> domain::Rank {
    domain::Rank {
        row: 0,
        name: entry.name.clone(),
        urgency,
        first_token_ms: entry.first_token_ms,
        between_tokens_ms: entry.between_tokens_ms,
        deadline_ms: entry.deadline_ms,
        floor: entry.floor,
    }
}

fn organisation(entry: &Organisation) -> domain::Organisation {
    domain::Organisation {
        row: 0,
        name: entry.name.clone(),
        share: entry.share,
        rank: entry.rank.clone(),
        home: entry.home.clone(),
    }
}

fn backend_server(entry: &BackendServer) -> Option<domain::BackendServer> {
    let role = match (&entry.service, &entry.model, entry.layers) {
        (Some(service), ..) => Role::Service(service.clone()),
        (None, Some(model), Some((start, end))) => Role::Engine {
            model: model.clone(),
            first_layer: start,
            last_layer: end.saturating_sub(1),
        },
        (None, None, _) | (None, _, None) => return None,
    };
    Some(domain::BackendServer {
        row: 0,
        name: entry.name.clone(),
        data_centre: entry.data_centre.clone(),
        address: entry.addr,
        role,
        limit: entry.limit,
        checks_fencing: entry.checks_fencing,
        leaving: entry.leaving,
    })
}

impl From<&domain::Pipeline> for Pipeline {
    fn from(entry: &domain::Pipeline) -> Self {
        Self {
            name: entry.name.clone(),
            model: entry.model.clone(),
            max_tokens: entry.max_tokens,
        }
    }
}

impl From<&domain::Rank> for Rank {
    fn from(entry: &domain::Rank) -> Self {
        Self {
            name: entry.name.clone(),
            first_token_ms: entry.first_token_ms,
            between_tokens_ms: entry.between_tokens_ms,
            deadline_ms: entry.deadline_ms,
            floor: entry.floor,
        }
    }
}

impl From<&domain::BackendServer> for BackendServer {
    fn from(entry: &domain::BackendServer) -> Self {
        let (model, layers, service) = match &entry.role {
            Role::Engine {
                model,
                first_layer,
                last_layer,
            } => (
                Some(model.clone()),
                Some((*first_layer, last_layer + 1)),
                None,
            ),
            Role::Service(service) => (None, None, Some(service.clone())),
        };
        Self {
            name: entry.name.clone(),
            data_centre: entry.data_centre.clone(),
            addr: entry.address,
            model,
            layers,
            service,
            limit: entry.limit,
            checks_fencing: entry.checks_fencing,
            leaving: entry.leaving,
        }
    }
}
