//! Compares a pipeline of engines with the reference answers, and tests refusals and faults.

use std::ops::Range;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_protocol::engine::Input;
use hemlockwind_protocol::engine::KvCache;
use hemlockwind_protocol::engine::KvImport;
use hemlockwind_protocol::engine::Load;
use hemlockwind_protocol::engine::Order;
use hemlockwind_protocol::engine::Output;
use hemlockwind_protocol::engine::Refusal;
use hemlockwind_protocol::engine::Step;
use hemlockwind_protocol::engine::StepId;
use hemlockwind_protocol::engine::StepsAnswer;
use hemlockwind_protocol::engine::StepsRequest;
use hemlockwind_protocol::engine::StreamRequest;
use hemlockwind_standin::engine;
use hemlockwind_standin::engine::Engine;
use hemlockwind_standin::engine::Faults;
use hemlockwind_standin::engine::LateAnswers;
use hemlockwind_standin::engine::Options;
use hemlockwind_standin::engine::RunRecord;
use hemlockwind_standin::model;
use hemlockwind_standin::model::Layers;
use hemlockwind_standin::oracle;
use hemlockwind_standin::server::Handle;
use http::Method;
use http::StatusCode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use uuid::Uuid;

use crate::client::Client;

const MODEL_LAYERS: u16 = 12;
const MAX_TOKENS: u32 = 16;
const REQUEST: Uuid = Uuid::from_u128(7);
const PROMPT: &str = "taa haichaji shuleni";

/// `Stage` is an engine and a client of it.
struct Stage {
    engine: Handle<Engine>,
    client: Client,
    layers: Range<u16>,
}

impl Stage {
    async fn new(layers: Range<u16>, change: impl Fn(&mut Options)) -> Self {
        let range = LayerRange::new(layers.start, layers.end).unwrap();
        let mut options = Options::new(MODEL_LAYERS, range);
        change(&mut options);
        let engine = engine::start(options).await.unwrap();
        let client = Client::new(engine.addr);
        Self {
            engine,
            client,
            layers,
        }
    }

    fn step(&self, incarnation: u32, token: u32, prefill: bool, input: Input) -> Step {
        let id = StepId {
            request: REQUEST,
            incarnation,
            token,
            start: self.layers.start,
            end: self.layers.end,
        };
        Step {
            id,
            rank: 0,
            prefill,
            input,
        }
    }

    async fn run(&self, step: &Step) -> Output {
        let steps = vec![step.clone()];
        let req = StepsRequest { steps };
        let answer = self.client.json(Method::POST, "/v1/steps", &req).await;
        let answer: StepsAnswer = serde_json::from_slice(&answer.unwrap().1).unwrap();
        let result = answer.results.into_iter().next_back().unwrap();
        assert_eq!(result.id, step.id);
        result.output
    }

    async fn move_kv(&self, to: &Stage, incarnation: u32) {
        let req = StreamRequest { request: REQUEST };
        let cache = self.client.json(Method::POST, "/v1/kv/export", &req).await;
        let cache: KvCache = serde_json::from_slice(&cache.unwrap().1).unwrap();
        let import = KvImport {
            request: REQUEST,
            incarnation,
            cache,
        };
        let done = to.client.json(Method::POST, "/v1/kv/import", &import).await;
        assert_eq!(done.unwrap().0, StatusCode::NO_CONTENT);
    }
}

/// Generates one token with all stages.
async fn token(
    stages: &[Stage],
    incarnation: u32,
    token: u32,
    prefill: bool,
    first: Input,
) -> Output {
    let mut input = first;
    for stage in stages {
        let step = stage.step(incarnation, token, prefill, input);
        match stage.run(&step).await {
            Output::Activation(data) => input = Input::Activation(data),
            output => return output,
        }
    }
    panic!("the last stage returned no token");
}

fn prompt(generated: &[u32]) -> Input {
    Input::Prompt {
        text: PROMPT.into(),
        generated: generated.to_vec(),
    }
}

/// Generates an answer of at most [`MAX_TOKENS`] and replaces the second stage before token
/// `lost_at`, or never if it is 0. The new stage imports the KV cache of the lost one if
/// `import` is set; otherwise all stages run a new prefill.
async fn generate(cuts: [u16; 2], lost_at: u32, import: bool) -> Vec<u32> {
    let ranges = [0..cuts[0], cuts[0]..cuts[1], cuts[1]..MODEL_LAYERS];
    let mut stages = Vec::new();
    for range in &ranges {
        stages.push(Stage::new(range.clone(), |_| ()).await);
    }
    let mut incarnation = 1;
    let mut ids = Vec::new();
    for at in 0..MAX_TOKENS {
        let mut prefill = at == 0;
        if at == lost_at && at > 0 {
            incarnation = 2;
            let fresh = Stage::new(ranges[1].clone(), |_| ()).await;
            let lost = std::mem::replace(&mut stages[1], fresh);
            if import {
                lost.move_kv(&stages[1], incarnation).await;
                // The import of its own KV cache moves a stage to the new incarnation.
                stages[0].move_kv(&stages[0], incarnation).await;
                stages[2].move_kv(&stages[2], incarnation).await;
            }
            prefill = !import;
        }
        let first = match ids.last() {
            Some(&last) if !prefill => Input::Token(last),
            _ => prompt(&ids),
        };
        let Output::Token { id, end, .. } = token(&stages, incarnation, at, prefill, first).await
        else {
            panic!("a stage refused the step");
        };
        ids.push(id);
        if end {
            break;
        }
    }
    ids
}

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261),
        failure_persistence: None,
        cases: std::env::var("PROPTEST_CASES").map_or(24, |n| n.parse().unwrap()),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn answer_three_stages_equals_oracle(
        first in 1..6u16,
        second in 6..MODEL_LAYERS,
        lost_at in 0..MAX_TOKENS / 2,
        import: bool,
    ) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let ids = runtime.block_on(generate([first, second], lost_at, import));
        let expected = oracle::answer(MODEL_LAYERS, PROMPT, MAX_TOKENS);
        prop_assert!(expected.len() > 8, "the answer is too short to lose a stage in it");
        let expected: Vec<u32> = expected.iter().map(|token| token.id).collect();
        prop_assert_eq!(ids, expected);
    }

    #[test]
    fn layers_any_fault_changes_output(
        inputs in prop::collection::vec(any::<u64>(), 2..8),
        cut in 1..MODEL_LAYERS - 1,
    ) {
        let run = |ranges: &[Range<u16>], inputs: &[u64]| {
            let mut stages: Vec<_> = ranges.iter().cloned().map(Layers::new).collect();
            let mut out = 0;
            for &input in inputs {
                out = stages.iter_mut().fold(input, |x, stage| stage.run(x));
            }
            out
        };
        let right = run(&[0..cut, cut..MODEL_LAYERS], &inputs);
        prop_assert_eq!(right, run(std::slice::from_ref(&(0..MODEL_LAYERS)), &inputs));
        prop_assert_ne!(right, run(&[0..cut, cut + 1..MODEL_LAYERS], &inputs));
        prop_assert_ne!(right, run(&[0..cut + 1, cut..MODEL_LAYERS], &inputs));
        prop_assert_ne!(right, run(&[cut..MODEL_LAYERS, 0..cut], &inputs));
        prop_assert_ne!(right, run(&[0..cut, cut..MODEL_LAYERS], &inputs[1..]));
        let mut doubled = inputs.clone();
        doubled.insert(0, inputs[0]);
        prop_assert_ne!(right, run(&[0..cut, cut..MODEL_LAYERS], &doubled));
    }
}

#[test]
fn answer_many_prompts_end_at_expected_rate() {
    let ends = (0..200).filter(|n| {
        let answer = oracle::answer(MODEL_LAYERS, &n.to_string(), 64);
        answer.last().is_some_and(|token| token.end)
    });
    // One in 64 tokens ends an answer, so about 63% of 200 end within 64 tokens.
    assert!((90..170).contains(&ends.count()));
    assert_eq!(model::decode_token(5), model::decode_token(5));
}

#[tokio::test]
async fn step_repeated_runs_once() {
    let stage = Stage::new(0..4, |_| ()).await;
    let step = stage.step(1, 0, true, prompt(&[]));
    let once = stage.run(&step).await;
    assert!(matches!(once, Output::Activation(_)));
    assert_eq!(stage.run(&step).await, once);
    let ran: RunRecord = stage.client.get("/_standin/ran").await;
    let counts: Vec<u64> = ran.runs.iter().map(|run| run.count).collect();
    assert_eq!(counts, [1]);
}

#[tokio::test]
async fn step_without_its_cache_refused() {
    let stage = Stage::new(0..4, |options| options.limit = 1).await;
    let decode = |incarnation, token| stage.step(incarnation, token, false, Input::Token(9));
    let missing = Output::Refused(Refusal::MissingCache);
    let stale = Output::Refused(Refusal::StaleIncarnation);
    assert_eq!(stage.run(&decode(1, 0)).await, missing);
    stage.run(&stage.step(2, 0, true, prompt(&[]))).await;
    assert_eq!(stage.run(&decode(2, 2)).await, missing);
    assert_eq!(stage.run(&decode(3, 1)).await, missing);
    assert_eq!(stage.run(&decode(1, 1)).await, stale);
    let ran = stage.run(&decode(2, 1)).await;
    assert!(matches!(ran, Output::Activation(_)));
    // A prefill that later steps have overtaken must not reset the stream.
    let late = stage.step(2, 0, true, prompt(&[]));
    assert_eq!(stage.run(&late).await, stale);

    let mut other = stage.step(1, 0, true, prompt(&[]));
    other.id.request = Uuid::from_u128(8);
    assert_eq!(stage.run(&other).await, Output::Refused(Refusal::Busy));
    other.id.end = 5;
    assert_eq!(
        stage.run(&other).await,
        Output::Refused(Refusal::WrongLayers)
    );

    let cancel = StreamRequest { request: REQUEST };
    let done = stage.client.json(Method::POST, "/v1/cancel", &cancel).await;
    assert_eq!(done.unwrap().0, StatusCode::NO_CONTENT);
    assert!(stage.engine.state.streams().is_empty());
    assert_eq!(stage.run(&late).await, stale);
    other.id.end = 4;
    stage.engine.state.set_faults(Faults {
        leaving: true,
        ..Faults::default()
    });
    assert_eq!(stage.run(&other).await, Output::Refused(Refusal::Leaving));
}

#[tokio::test]
async fn order_with_old_fencing_refused() {
    for ignore in [false, true] {
        let stage = Stage::new(0..4, |options| options.ignore_fencing = ignore).await;
        let mut statuses = Vec::new();
        for fencing in [5, 4] {
            let order = Order {
                model: "model".into(),
                start: 4,
                end: 8,
                fencing,
            };
            let done = stage.client.json(Method::POST, "/v1/orders", &order).await;
            statuses.push(done.unwrap().0);
        }
        let second = match ignore {
            true => StatusCode::NO_CONTENT,
            false => StatusCode::CONFLICT,
        };
        assert_eq!(statuses, [StatusCode::NO_CONTENT, second]);
        assert_eq!(
            stage.engine.state.run_record().orders.len(),
            1 + usize::from(ignore)
        );
    }
}

#[tokio::test]
async fn batch_urgent_rank_first() {
    let stage = Stage::new(0..4, |options| options.limit = 1).await;
    stage.run(&stage.step(1, 0, true, prompt(&[]))).await;
    let first = stage.step(1, 1, false, Input::Token(1));
    let mut slow = stage.step(1, 2, false, Input::Token(2));
    slow.rank = 2;
    let urgent = stage.step(1, 3, false, Input::Token(3));
    let steps = vec![first, slow, urgent];
    let answer = stage
        .client
        .json(Method::POST, "/v1/steps", &StepsRequest { steps })
        .await;
    let answer: StepsAnswer = serde_json::from_slice(&answer.unwrap().1).unwrap();
    let output = |index: usize| &answer.results[index].output;
    // The urgent step ran before the slow one, so the stream had not reached its token yet.
    assert!(matches!(output(1), Output::Activation(_)));
    assert_eq!(*output(2), Output::Refused(Refusal::MissingCache));
}

#[tokio::test]
async fn answer_late_contains_extra_results() {
    let stage = Stage::new(0..4, |_| ()).await;
    stage.engine.state.set_faults(Faults {
        late: Some(LateAnswers {
            every: 2,
            delay_ms: 1,
            duplicate: true,
            crossed: true,
        }),
        ..Faults::default()
    });
    stage.run(&stage.step(1, 0, true, prompt(&[]))).await;
    let step = stage.step(1, 1, false, Input::Token(1));
    let req = StepsRequest { steps: vec![step] };
    let answer = stage.client.json(Method::POST, "/v1/steps", &req).await;
    let answer: StepsAnswer = serde_json::from_slice(&answer.unwrap().1).unwrap();
    let tokens: Vec<u32> = answer
        .results
        .iter()
        .map(|result| result.id.token)
        .collect();
    assert_eq!(tokens, [0, 1, 1]);
}

#[tokio::test]
async fn connection_silent_others_work() {
    let stage = Stage::new(0..4, |options| options.load_lag_ms = 60_000).await;
    stage.run(&stage.step(1, 0, true, prompt(&[]))).await;
    let silent = Faults {
        silent: true,
        ..Faults::default()
    };
    let control = Client::new(stage.engine.addr);
    let set = control.json(Method::PUT, "/_standin/faults", &silent).await;
    assert_eq!(set.unwrap().0, StatusCode::NO_CONTENT);
    let request = stage.client.get::<Load>("/v1/load");
    let wait = std::time::Duration::from_millis(200);
    assert!(tokio::time::timeout(wait, request).await.is_err());
    // The load lags by a minute, so it doesn't count the stream yet.
    let load: Load = Client::new(stage.engine.addr).get("/v1/load").await;
    assert_eq!(load.streams, 0);
    assert_eq!(stage.engine.state.streams().len(), 1);
}

#[tokio::test]
async fn set_faults_crash_on_a_prompt() {
    let stage = Stage::new(0..MODEL_LAYERS, |_| ()).await;
    stage.engine.state.set_faults(Faults {
        die_on: Some("haichaji".into()),
        ..Faults::default()
    });
    let other = Input::Prompt {
        text: "nyingine".into(),
        generated: Vec::new(),
    };
    let answer = stage.run(&stage.step(1, 0, true, other)).await;
    assert!(matches!(answer, Output::Token { .. }), "{answer:?}");
    let steps = vec![stage.step(2, 0, true, prompt(&[]))];
    let crash = stage
        .client
        .json(Method::POST, "/v1/steps", &StepsRequest { steps })
        .await;
    assert!(crash.is_err());
    let client = Client::new(stage.engine.addr);
    let load = client.json(Method::GET, "/v1/load", &());
    assert!(load.await.is_err());
}
