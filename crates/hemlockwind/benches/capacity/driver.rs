//! The driver of streams: the memory of a stream and the time to choose a path.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use hemlockwind::core::engine::RequestId;
use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::BackendServerKey;
use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::routing::Graph;
use hemlockwind::routing::Server;
use hemlockwind::stream::Options;
use hemlockwind::stream::Stream;

use crate::table::Table;
use crate::table::bytes_per_value;
use crate::table::nanos_per_run;

/// The number of layers of the model.
const LAYERS: u16 = 32;
/// The number of stages of a path.
const STAGES: u16 = 4;
/// The size of a prompt, in bytes.
const PROMPT_BYTES: usize = 2_000;

/// Measures streams, paths and graphs.
pub fn measure(table: &mut Table) {
    let streams = [100, 1_000, 10_000].map(|count| {
        let bytes = bytes_per_value(|| (0..count).map(stream).collect::<Vec<_>>());
        (count, bytes / 1_024.0)
    });
    table.add_row(
        "streams, prompt of 2 KB",
        "KB",
        "streams",
        330,
        streams.to_vec(),
    );
    let choices = [40, 1_111, 10_000].map(|count| {
        let graph = graph(count);
        let mut rng = SmallRng::seed_from_u64(1);
        let now = Instant::from_millis(1_000);
        let time = nanos_per_run(|| {
            std::hint::black_box(graph.choose(now, &mut rng, &[], &[]));
        });
        (count, time)
    });
    table.add_row(
        "choice of a path",
        "ns",
        "backend servers",
        1_111,
        choices.to_vec(),
    );
    let bounds = [40, 1_111, 10_000].map(|count| {
        let graph = graph(count);
        let time = nanos_per_run(|| {
            std::hint::black_box(graph.bound_streams());
        });
        (count, time / 1_000.0)
    });
    table.add_row(
        "capacity of a pool (max-flow)",
        "us",
        "backend servers",
        1_111,
        bounds.to_vec(),
    );
    let graphs = [40, 1_111, 10_000].map(|count| {
        let bytes = bytes_per_value(|| graph(count));
        (count, bytes / 1_024.0)
    });
    table.add_row(
        "graph of a model",
        "KB",
        "backend servers",
        1_111,
        graphs.to_vec(),
    );
}

/// Returns a stream that waits for its first path.
fn stream(number: usize) -> Stream {
    let options = Options {
        request: RequestId(Uuid::from_u128(number as u128)),
        rank: Rank(0),
        prompt: "x".repeat(PROMPT_BYTES),
        max_tokens: 400,
        model_layers: LAYERS,
        deadline: Instant::from_millis(60_000),
        step_timeout: Duration::from_millis(1_000),
        prefill_timeout: Duration::from_millis(5_000),
        max_prefills: 8,
    };
    Stream::new(options, Instant::from_millis(1_000)).0
}

/// Returns a graph with `count` servers, spread evenly over the stages.
fn graph(count: usize) -> Graph {
    let mut names: Names<BackendServerKey> = Names::default();
    let mut graph = Graph::new(LAYERS);
    let stage_layers = LAYERS / STAGES;
    for i in 0..count {
        let stage = (i % usize::from(STAGES)) as u16;
        let layers = LayerRange::new(stage * stage_layers, (stage + 1) * stage_layers);
        let layers = layers.expect("a stage has layers");
        graph.insert(Server {
            step_time: Duration::from_millis(5 + (i % 7) as u64),
            limit: 64,
            ..Server::new(
                names.intern(&i.to_string()),
                layers,
                DataCentreKey::default(),
            )
        });
    }
    graph
}
