//! The handling of step results in one stream.

use criterion::Criterion;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use uuid::Uuid;

use hemlockwind::core::engine::Output;
use hemlockwind::core::engine::RequestId;
use hemlockwind::core::engine::StepResult;
use hemlockwind::core::engine::Token;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::routing::Path;
use hemlockwind::stream::Action;
use hemlockwind::stream::Event;
use hemlockwind::stream::Options;
use hemlockwind::stream::Stream;

use crate::LAYERS;
use crate::SEED;
use crate::SERVER_COUNTS;
use crate::STEP_TIME;
use crate::fleet::graph;
use crate::fleet::keys;
use crate::table::Table;

/// Returns a result for the step that the stream sent, if it sent one.
fn step_result(actions: Vec<Action>) -> Option<StepResult> {
    actions.into_iter().find_map(|action| {
        let Action::Send { step, .. } = action else {
            return None;
        };
        let output = if step.id.layers.end() < LAYERS {
            Output::Activation(Default::default())
        } else {
            Output::Token(Token {
                id: 7,
                text: "taa".into(),
                end: false,
            })
        };
        let id = step.id;
        Some(StepResult { id, output })
    })
}

/// Returns a stream on `path` and the result that it waits for.
fn stream(path: Path) -> (Stream, StepResult) {
    let options = Options {
        request: RequestId(Uuid::from_u128(1)),
        rank: Rank(0),
        prompt: "nani amekopa taa".into(),
        max_tokens: u32::MAX,
        model_layers: LAYERS,
        deadline: Instant::NEVER,
        step_timeout: STEP_TIME,
        prefill_timeout: STEP_TIME,
        max_prefills: 2,
    };
    let (mut stream, _) = Stream::new(options, Instant::ZERO);
    let actions = stream.on_event(Instant::ZERO, Event::Path(path));
    let result = step_result(actions).expect("the first step is sent");
    (stream, result)
}

/// Measures the handling of one result up to sending the next step.
pub fn handle_result(c: &mut Criterion, table: &mut Table) {
    for size in SERVER_COUNTS {
        let keys = keys(size);
        let graph = graph(&keys);
        let mut rng = SmallRng::seed_from_u64(SEED);
        let path = graph.choose(Instant::ZERO, &mut rng, &[], &[]);
        let (mut stream, first) = stream(path.expect("the layer ranges form a path"));
        let mut next = Some(first);
        table.measure(c, "stream: step result", size, || {
            let event = Event::Result(next.take().expect("a step is outstanding"));
            next = step_result(stream.on_event(Instant::ZERO, event));
        });
    }
}
