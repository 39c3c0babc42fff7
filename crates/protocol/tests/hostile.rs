//! Arbitrary input is converted or refused; it never causes a panic.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use hemlockwind_core::config::Version;
use hemlockwind_core::directory::Directory;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::WatchEvent;
use hemlockwind_core::engine;
use hemlockwind_protocol::compile::compile;
use hemlockwind_protocol::completions::ChatRequest;
use hemlockwind_protocol::completions::CompletionRequest;
use hemlockwind_protocol::completions::Job;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::engine as wire;
use hemlockwind_protocol::peer;
use hemlockwind_protocol::peer::Request;
use hemlockwind_protocol::peer::queueing::Report;
use hemlockwind_protocol::platform;

/// Returns a name that may or may not exist in the document.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![Just("m".to_string()), Just("x".to_string()), ".{0,8}"]
}

/// Parses and converts `text` as JSON of callers, engines, the platform and operators.
fn read_all(text: &[u8]) {
    if let Ok(req) = serde_json::from_slice::<CompletionRequest>(text) {
        let _ = Job::try_from(req);
    }
    if let Ok(req) = serde_json::from_slice::<ChatRequest>(text) {
        let _ = Job::try_from(req);
    }
    if let Ok(answer) = serde_json::from_slice::<wire::StepsAnswer>(text) {
        for result in answer.results {
            let _ = engine::StepResult::try_from(result);
        }
    }
    if let Ok(line) = serde_json::from_slice::<platform::WatchLine>(text) {
        let _ = WatchEvent::try_from(line);
    }
    if let Ok(object) = serde_json::from_slice::<platform::Object>(text) {
        let _ = Object::try_from(object);
    }
    if let Ok(document) = serde_json::from_slice::<Document>(text) {
        let _ = compile(&document, Version(1), &mut Directory::default());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn read_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        read_all(&bytes);
        let _ = peer::decode::<Request>(&bytes);
    }

    /// A truncated frame, or one longer than its message, is refused.
    #[test]
    fn decode_wrong_length(pool in ".{0,20}", cut in 0..12_usize, more in 1..12_usize) {
        let req = Request::QueueReport(Report {
            pool,
            withdrawn: vec![uuid::Uuid::nil()],
            ..Report::default()
        });
        let frame = peer::encode(&req).unwrap();
        prop_assert_eq!(peer::decode::<Request>(&frame).unwrap(), req);
        prop_assert!(peer::decode::<Request>(&frame[..cut.min(frame.len() - 1)]).is_err());
        let mut longer = frame.clone();
        longer.resize(frame.len() + more, 0);
        prop_assert!(peer::decode::<Request>(&longer).is_err());
    }

    /// A step's result is unchanged after a round trip through JSON, or is refused.
    #[test]
    fn result_round_trip(start in 0..9_u16, end in 0..9_u16, token: u32, data: Vec<u8>) {
        let id = wire::StepId {
            request: uuid::Uuid::nil(), incarnation: 1, token, start, end,
        };
        let text = format!("{data:?}");
        let output = wire::Output::Token { id: token, text: text.clone(), end: false };
        let json = serde_json::to_vec(&wire::StepResult { id, output }).unwrap();
        let result = serde_json::from_slice::<wire::StepResult>(&json).unwrap();
        match engine::StepResult::try_from(result) {
            Ok(result) => {
                prop_assert!(start < end);
                let engine::Output::Token(out) = result.output else {
                    panic!("the output must stay a token");
                };
                prop_assert_eq!(out.text, text);
            }
            Err(_) => prop_assert!(start >= end),
        }
    }

    /// A document is accepted if and only if its server has a model of the document, valid
    /// layers and a limit above 0; otherwise every fault has the path of a field of the server.
    #[test]
    fn compile_any_server(model in name(), start in 0..30_u16, end in 0..30_u16, limit in 0..3_u32) {
        let document = serde_json::json!({
            "models": [{"name": "m", "layers": 24}],
            "backend_servers": [{
                "name": "s", "data_centre": "d", "addr": "127.0.0.1:1",
                "model": model, "layers": [start, end], "limit": limit,
            }],
        });
        let document: Document = serde_json::from_value(document).unwrap();
        let is_good = model == "m" && start < end && end <= 24 && limit > 0;
        match compile(&document, Version(1), &mut Directory::default()) {
            Ok(config) => {
                prop_assert!(is_good);
                prop_assert_eq!(config.backend_servers.len(), 1);
            }
            Err(faults) => {
                prop_assert!(!is_good);
                prop_assert!(faults.iter().all(|f| f.path.starts_with("backend_servers[0].")));
            }
        }
    }
}
