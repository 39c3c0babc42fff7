//! A load generator that requests completions from instances or directly from engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use futures::TryStreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LinesCodec;
use tokio_util::io::StreamReader;
use uuid::Uuid;

use hemlockwind::backend::clock::SystemClock;
use hemlockwind::backend::engine::HttpEngine;
use hemlockwind::core::edges::Clock;
use hemlockwind::core::edges::Engine;
use hemlockwind::core::engine::Incarnation;
use hemlockwind::core::engine::Input;
use hemlockwind::core::engine::Output;
use hemlockwind::core::engine::RequestId;
use hemlockwind::core::engine::Step;
use hemlockwind::core::engine::StepId;
use hemlockwind::core::layers::LayerRange;
use hemlockwind::core::names::Rank;

/// Time limit of one request to an instance, or of one step of an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// `Options` describes the load to generate.
#[derive(Clone, Debug)]
pub struct Options {
    /// The pipeline.
    pub pipeline: String,
    /// The API key.
    pub key: String,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Number of requests of each stream, one after the other.
    pub requests: usize,
    /// Maximum number of tokens of each answer.
    pub max_tokens: u32,
}

/// `Report` holds the measurements of a load.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Times from a request to its first token.
    pub first_token: Vec<Duration>,
    /// Times between tokens.
    pub between_tokens: Vec<Duration>,
    /// Number of complete answers.
    pub complete: usize,
    /// Number of answers that failed or were incomplete.
    pub failed: usize,
    /// Duration of the whole load.
    pub elapsed: Duration,
}

/// Returns the given quantile of `times`, or zero if there are none.
pub fn quantile(times: &[Duration], quantile: f64) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    let last = times.len().saturating_sub(1);
    let at = (last as f64 * quantile).round() as usize;
    times.get(at).copied().unwrap_or_default()
}

impl Report {
    /// Returns the number of tokens.
    pub fn tokens(&self) -> usize {
        self.first_token.len() + self.between_tokens.len()
    }

    /// Adds the measurements of another report, except its duration.
    fn merge(&mut self, other: Self) {
        self.first_token.extend(other.first_token);
        self.between_tokens.extend(other.between_tokens);
        self.complete += other.complete;
        self.failed += other.failed;
    }

    /// Records a token that arrived now.
    fn record_token(&mut self, started_at: Instant, last: &mut Option<Instant>) {
        let now = Instant::now();
        match last.replace(now) {
            None => self.first_token.push(now - started_at),
            Some(last) => self.between_tokens.push(now - last),
        }
    }
}

/// Runs the load against instances, with the streams spread round-robin.
pub async fn through_instances(instances: &[SocketAddr], options: &Options) -> Report {
    let mut streams = JoinSet::new();
    for i in 0..options.streams {
        let addr = instances[i % instances.len()];
        let options = options.clone();
        streams.spawn(async move {
            let client = Client::builder(TokioExecutor::new()).build_http();
            let mut report = Report::default();
            for n in 0..options.requests {
                let completion = request_completion(&client, addr, &options, i, n, &mut report);
                match tokio::time::timeout(REQUEST_TIMEOUT, completion).await {
                    Ok(true) => report.complete += 1,
                    Ok(false) | Err(_) => report.failed += 1,
                }
            }
            report
        });
    }
    merge_reports(streams).await
}

/// Waits for all streams and merges their reports.
async fn merge_reports(mut streams: JoinSet<Report>) -> Report {
    let started_at = Instant::now();
    let mut all = Report::default();
    while let Some(report) = streams.join_next().await {
        match report {
            Ok(report) => all.merge(report),
            Err(_) => all.failed += 1,
        }
    }
    all.elapsed = started_at.elapsed();
    all
}

/// Requests one completion and returns whether it arrived complete.
async fn request_completion(
    client: &Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
    options: &Options,
    stream: usize,
    n: usize,
    report: &mut Report,
) -> bool {
    let body = serde_json::json!({
        "model": options.pipeline,
        "prompt": format!("prompt {n} of stream {stream}"),
        "max_tokens": options.max_tokens,
        "stream": true,
    });
    let req = Request::post(format!("http://{addr}/v1/completions"))
        .header("authorization", format!("Bearer {}", options.key))
        .body(Full::from(body.to_string()));
    let started_at = Instant::now();
    let Ok(req) = req else {
        return false;
    };
    let Ok(response) = client.request(req).await else {
        return false;
    };
    let body = response.into_body().into_data_stream();
    let reader = StreamReader::new(body.map_err(std::io::Error::other));
    let mut lines = FramedRead::new(reader, LinesCodec::new());
    let mut last = None;
    while let Some(Ok(line)) = lines.next().await {
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return true;
        }
        if data.contains("\"finish_reason\":null") {
            report.record_token(started_at, &mut last);
        }
    }
    false
}

/// Runs the load directly against a chain of engines, without a router.
pub async fn direct_to_engines(stages: &[(SocketAddr, LayerRange)], options: &Options) -> Report {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    let engine = Arc::new(HttpEngine::new(Arc::clone(&clock)));
    let mut streams = JoinSet::new();
    for i in 0..options.streams {
        let stages = stages.to_vec();
        let options = options.clone();
        let engine = Arc::clone(&engine);
        let clock = Arc::clone(&clock);
        streams.spawn(async move {
            let mut report = Report::default();
            for n in 0..options.requests {
                let prompt = format!("prompt {n} of stream {i}");
                let max_tokens = options.max_tokens;
                let answer = run_chain(&*engine, &*clock, &stages, prompt, max_tokens, &mut report);
                match answer.await {
                    Some(()) => report.complete += 1,
                    None => report.failed += 1,
                }
            }
            report
        });
    }
    merge_reports(streams).await
}

/// Generates one answer on a chain of engines; returns `None` if a step failed.
async fn run_chain(
    engine: &dyn Engine,
    clock: &dyn Clock,
    stages: &[(SocketAddr, LayerRange)],
    prompt: String,
    max_tokens: u32,
    report: &mut Report,
) -> Option<()> {
    let request = RequestId(Uuid::now_v7());
    let started_at = Instant::now();
    let mut last = None;
    let mut input = Input::Prompt {
        text: prompt,
        generated: Vec::new(),
    };
    for token in 0..max_tokens {
        let mut end = false;
        for &(addr, layers) in stages {
            let id = StepId {
                request,
                incarnation: Incarnation(1),
                token,
                layers,
            };
            let step = Step {
                id,
                rank: Rank(0),
                prefill: token == 0,
                input,
            };
            let deadline = clock.now() + REQUEST_TIMEOUT;
            let results = engine.steps(addr, vec![step], deadline).await.ok()?;
            match results.into_iter().next()?.output {
                Output::Activation(data) => input = Input::Activation(data),
                Output::Token(token) => {
                    report.record_token(started_at, &mut last);
                    end = token.end;
                    input = Input::Token(token.id);
                }
                Output::Refused(_) => return None,
            }
        }
        if end {
            break;
        }
    }
    for &(addr, _) in stages {
        // A failure does no harm: the next request doesn't use this one's KV cache.
        let _ = engine.cancel(addr, request).await;
    }
    Some(())
}
