//! The configuration in every instance: time and memory of a version.

use bytes::Bytes;

use hemlockwind::configuration::Tree;
use hemlockwind::core::config::Version;
use hemlockwind::core::directory::Directory;
use hemlockwind::protocol::compile::compile;
use hemlockwind::protocol::document::BackendServer;
use hemlockwind::protocol::document::Document;
use hemlockwind::protocol::document::Model;
use hemlockwind::protocol::document::Organisation;
use hemlockwind::protocol::document::Pipeline;
use hemlockwind::protocol::document::Rank;

use crate::table::Table;
use crate::table::memory;
use crate::table::nanos;

/// Organisations for each backend server at the target: 23,000 and 10,000.
const RATIO: f64 = 10.0 / 23.0;

/// Measures versions of growing size.
pub fn measure(table: &mut Table) {
    let sizes = [1_000, 10_000, 23_000];
    let bytes = sizes.map(|count| {
        let text = serde_json_of(&document(count));
        (count, text.len() as f64 / 1_024.0)
    });
    table.row(
        "the document as JSON",
        "KB",
        "organisations",
        23_000,
        bytes.to_vec(),
    );
    let times = sizes.map(|count| {
        let document = document(count);
        let mut directory = Directory::default();
        let time = nanos(|| {
            let config = compile(&document, Version(1), &mut directory);
            std::hint::black_box(config.is_ok());
        });
        (count, time / 1e6)
    });
    table.row(
        "check and conversion of a version",
        "ms",
        "organisations",
        23_000,
        times.to_vec(),
    );
    let cuts = sizes.map(|count| {
        let body = Bytes::from(serde_json_of(&document(count)));
        let time = nanos(|| {
            std::hint::black_box(Tree::new(&body).root);
        });
        (count, time / 1e6)
    });
    table.row(
        "cutting a document into chunks",
        "ms",
        "organisations",
        23_000,
        cuts.to_vec(),
    );
    let held = sizes.map(|count| {
        let document = document(count);
        let bytes = memory(|| {
            let mut directory = Directory::default();
            let config = compile(&document, Version(1), &mut directory);
            assert!(config.is_ok(), "the document has no faults");
            (config, directory)
        });
        (count, bytes / 1_048_576.0)
    });
    table.row(
        "a version in force, with its names",
        "MB",
        "organisations",
        23_000,
        held.to_vec(),
    );
}

/// A document as JSON.
fn serde_json_of(document: &Document) -> Vec<u8> {
    serde_json::to_vec(document).expect("a document is JSON")
}

/// A document with this many organisations, and backend servers to match.
fn document(organisations: usize) -> Document {
    let organisations_of = (0..organisations).map(|i| Organisation {
        name: format!("organisation-{i:05}"),
        share: 1.0,
        rank: "urgent".into(),
        home: format!("data-centre-{}", i % 9),
        api_keys_sha256: vec![format!("{i:064x}")],
    });
    let servers = (organisations as f64 * RATIO) as usize;
    let backend_servers = (0..servers).map(|i| {
        let stage = (i % 4) as u16;
        BackendServer {
            name: format!("runner-{i:05}"),
            data_centre: format!("data-centre-{}", i % 9),
            addr: ([10, 0, (i >> 8) as u8, i as u8], 9_000).into(),
            model: Some(format!("model-{}", i % 5)),
            layers: Some((stage * 8, (stage + 1) * 8)),
            service: None,
            limit: 64,
            checks_fencing: true,
            leaving: false,
        }
    });
    Document {
        models: (0..5)
            .map(|i| Model {
                name: format!("model-{i}"),
                layers: 32,
            })
            .collect(),
        pipelines: (0..5)
            .map(|i| Pipeline {
                name: format!("p-{i}"),
                model: format!("model-{i}"),
                max_tokens: 400,
            })
            .collect(),
        ranks: vec![Rank {
            name: "urgent".into(),
            first_token_ms: 1_500,
            between_tokens_ms: 52,
            deadline_ms: 60_000,
            floor: 0.0,
        }],
        organisations: organisations_of.collect(),
        services: Vec::new(),
        backend_servers: backend_servers.collect(),
        sheet_day: None,
    }
}
