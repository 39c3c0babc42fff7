//! Configuration documents as operators write them, in JSON with comments.

use hemlockwind_core::config::Version;
use hemlockwind_core::directory::Directory;
use hemlockwind_protocol::compile::compile;
use hemlockwind_protocol::document::Document;

use crate::faults::Fault;
use crate::schema::Field;
use crate::schema::Kind;
use crate::schema::check;
use crate::schema::optional;
use crate::schema::required;
use crate::source::Source;

/// Maximum time in a document, in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;
/// Maximum count in a document.
const MAX_COUNT: u64 = 1_000_000;

/// Keys of a model.
const MODEL: &[Field] = &[
    required("name", Kind::Text),
    required("layers", Kind::Integer(1, 10_000)),
];

/// Keys of a pipeline.
const PIPELINE: &[Field] = &[
    required("name", Kind::Text),
    required("model", Kind::Text),
    required("max_tokens", Kind::Integer(1, MAX_COUNT)),
];

/// Keys of a rank.
const RANK: &[Field] = &[
    required("name", Kind::Text),
    required("first_token_ms", Kind::Integer(1, MAX_TIME_MS)),
    required("between_tokens_ms", Kind::Integer(1, MAX_TIME_MS)),
    required("deadline_ms", Kind::Integer(1, MAX_TIME_MS)),
    optional("floor", Kind::Number),
];

/// Keys of an organisation.
const ORGANISATION: &[Field] = &[
    required("name", Kind::Text),
    required("share", Kind::Number),
    required("rank", Kind::Text),
    required("home", Kind::Text),
    optional("api_keys_sha256", Kind::List(&Kind::Text)),
];

/// Keys of a service.
const SERVICE: &[Field] = &[
    required("name", Kind::Text),
    optional("idempotent_methods", Kind::List(&Kind::Text)),
];

/// Keys of a backend server.
const BACKEND_SERVER: &[Field] = &[
    required("name", Kind::Text),
    required("data_centre", Kind::Text),
    required("addr", Kind::Address),
    optional("model", Kind::Text),
    optional("layers", Kind::List(&Kind::Integer(0, 10_000))),
    optional("service", Kind::Text),
    required("limit", Kind::Integer(1, MAX_COUNT)),
    optional("checks_fencing", Kind::Boolean),
    optional("leaving", Kind::Boolean),
];

/// Schema of a document.
const DOCUMENT: Kind = Kind::Object(&[
    required("models", Kind::List(&Kind::Object(MODEL))),
    required("pipelines", Kind::List(&Kind::Object(PIPELINE))),
    required("ranks", Kind::List(&Kind::Object(RANK))),
    required("organisations", Kind::List(&Kind::Object(ORGANISATION))),
    optional("services", Kind::List(&Kind::Object(SERVICE))),
    required("backend_servers", Kind::List(&Kind::Object(BACKEND_SERVER))),
    optional("sheet_day", Kind::Text),
]);

/// Parses and validates a document.
///
/// # Errors
///
/// All faults of `text`.
pub fn parse(text: &str) -> Result<Document, Vec<Fault>> {
    let source = Source::parse(text).map_err(|fault| vec![fault])?;
    let faults = check(&source, DOCUMENT);
    if !faults.is_empty() {
        return Err(faults);
    }
    // Parsed again, since the conversion consumes a source and the first one is still needed
    // for the positions of faults.
    let value = Source::parse(text).map_err(|fault| vec![fault])?.value();
    let document: Document =
        serde_json::from_value(value).map_err(|e| vec![source.fault_at("", e.to_string())])?;
    let mut directory = Directory::default();
    match compile(&document, Version(0), &mut directory) {
        Ok(_) => Ok(document),
        Err(faults) => Err(faults
            .into_iter()
            .map(|fault| source.fault_at(&fault.path, fault.text))
            .collect()),
    }
}
