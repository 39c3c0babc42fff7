//! The CPU time and memory of a version of the configuration in each instance.

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
use crate::table::bytes_per_value;
use crate::table::nanos_per_run;

/// Backend servers per organisation at the target size: 10,000 and 23,000.
const SERVERS_PER_ORGANISATION: f64 = 10.0 / 23.0;

/// Measures versions of several sizes.
pub fn measure(table: &mut Table) {
    let sizes = [1_000, 10_000, 23_000];
    let bytes = sizes.map(|count| {
        let text = to_json(&document(count));
        (count, text.len() as f64 / 1_024.0)
    });
    table.add_row(
        "the document as JSON",
        "KB",
        "organisations",
        23_000,
        bytes.to_vec(),
    );
    let times = sizes.map(|count| {
        let document = document(count);
        let mut directory = Directory::default();
        let time = nanos_per_run(|| {
            let config = compile(&document, Version(1), &mut directory);
            std::hint::black_box(config.is_ok());
        });
        (count, time / 1e6)
    });
    table.add_row(
        "check and conversion of a version",
        "ms",
        "organisations",
        23_000,
        times.to_vec(),
    );
    let chunk_times = sizes.map(|count| {
        let body = Bytes::from(to_json(&document(count)));
        let time = nanos_per_run(|| {
            std::hint::black_box(Tree::new(&body).root);
        });
        (count, time / 1e6)
    });
    table.add_row(
        "cutting a document into chunks",
        "ms",
        "organisations",
        23_000,
        chunk_times.to_vec(),
    );
    let memory_sizes = sizes.map(|count| {
        let document = document(count);
        let bytes = bytes_per_value(|| {
            let mut directory = Directory::default();
            let config = compile(&document, Version(1), &mut directory);
            assert!(config.is_ok(), "the document is valid");
            (config, directory)
        });
        (count, bytes / 1_048_576.0)
    });
    table.add_row(
        "a version in force, with its names",
        "MB",
        "organisations",
        23_000,
        memory_sizes.to_vec(),
    );
}

/// Returns a document as JSON.
fn to_json(document: &Document) -> Vec<u8> {
    serde_json::to_vec(document).expect("a document converts to JSON")
}

/// Returns a document with this many organisations and backend servers in proportion.
fn document(organisations: usize) -> Document {
    let organisation_list = (0..organisations).map(|i| Organisation {
        name: format!("organisation-{i:05}"),
        share: 1.0,
        rank: "urgent".into(),
        home: format!("data-centre-{}", i % 9),
        api_keys_sha256: vec![format!("{i:064x}")],
    });
    let servers = (organisations as f64 * SERVERS_PER_ORGANISATION) as usize;
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
        organisations: organisation_list.collect(),
        services: Vec::new(),
        backend_servers: backend_servers.collect(),
        sheet_day: None,
    }
}
