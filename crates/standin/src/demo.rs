//! The demo of the README's first command: a whole deployment on loopback in one process.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;

use hemlockwind::daemon;
use hemlockwind::daemon::Running;
use hemlockwind::settings::Settings;
use hemlockwind::settings::faults;
use hemlockwind_core::layers::LayerRange;

use crate::caller::Caller;
use crate::caller::StreamEnd;
use crate::caller::StreamedAnswer;
use crate::caller::expected_text;
use crate::engine;
use crate::engine::Engine;
use crate::platform;
use crate::sample;
use crate::sample::SampleServer;
use crate::server::Handle;
use crate::service;
use crate::service::Service;

/// Number of tokens of each answer.
const ANSWER_TOKENS: u32 = 60;
/// Tokens that arrive before the stage is killed.
const TOKENS_BEFORE_KILL: usize = 20;
/// Duration of one iteration of an engine's batch, in milliseconds.
const ITERATION_MS: f64 = 5.0;
/// How long the instances may take to apply the configuration and to answer the first loan.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the readiness of an instance is polled and a refused loan is sent again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LOAN_PATH: &str = "/v1/services/ledger/loans";
const LOAN_KEY: &str = "loan-of-lamp-17";

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// `Row` is one line of the demo's table of results.
#[derive(Clone, Debug)]
pub struct Row {
    /// The action that the demo took.
    pub action: &'static str,
    /// The outcome of the action.
    pub outcome: String,
    /// Whether the outcome is the required one.
    pub is_correct: bool,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.is_correct { "ok" } else { "WRONG" };
        write!(f, "{:<5}  {:<53}  {}", mark, self.action, self.outcome)
    }
}

/// `Site` is the running deployment.
struct Site {
    _platform: Handle<platform::Platform>,
    engines: Vec<(SampleServer, Handle<Engine>)>,
    service: Handle<Service>,
    instances: Vec<Running>,
    callers: Vec<Caller>,
}

/// Runs the demo and returns a row for each action.
///
/// # Errors
///
/// When a part of the deployment can't be started or a request fails.
pub async fn run() -> Result<Vec<Row>> {
    let mut site = Site::start().await?;
    Ok(vec![
        site.stream().await?,
        site.send_loan_twice().await?,
        site.kill_stage().await?,
        site.stop_instance().await?,
    ])
}

impl Site {
    async fn start() -> Result<Self> {
        let platform = platform::start(platform::Options::default()).await?;
        let service = service::start(service::Options::default()).await?;
        let engines = engines().await?;
        let sample_instances = instances()?;
        let text = sample::settings(platform.addr, &sample_instances, &json!({"step_ms": 300}));
        let mut instances = Vec::new();
        for instance in &sample_instances {
            let settings = Settings::parse(&text).map_err(|found| faults::error(&found))?;
            let log = Logger::root(Discard, o!());
            instances.push(daemon::start(settings, Some(&instance.name), log).await?);
        }
        let callers = sample_instances.iter();
        let callers = callers.map(|instance| Caller::new(instance.callers, sample::API_KEY));
        let site = Self {
            _platform: platform,
            engines,
            service,
            instances,
            callers: callers.collect(),
        };
        site.configure(sample_instances[0].admin).await?;
        Ok(site)
    }

    /// Submits the configuration and waits until every instance is ready.
    async fn configure(&self, admin: SocketAddr) -> Result<()> {
        let servers = self.engines.iter().map(|(server, _)| server.clone());
        let ledger = SampleServer {
            data_centre: sample::DATA_CENTRES[0],
            addr: self.service.addr,
            layers: None,
        };
        let servers: Vec<_> = servers.chain([ledger]).collect();
        let document = serde_json::to_vec(&sample::document(&servers))?;
        let admin = Caller::new(admin, sample::ADMIN_TOKEN);
        admin.json("PUT", "/v1/configuration", document).await?;
        let deadline = Instant::now() + START_TIMEOUT;
        for caller in &self.callers {
            while caller.json("GET", "/readyz", vec![]).await.is_err() {
                if Instant::now() >= deadline {
                    return Err("an instance did not become ready in time".into());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Streams an answer from three stages.
    async fn stream(&self) -> Result<Row> {
        let prompt = sample::long_prompt("taa haichaji", ANSWER_TOKENS);
        let sent_at = Instant::now();
        let mut streamed = self.callers[0].stream(&prompt, ANSWER_TOKENS).await?;
        let ended = streamed.finish().await;
        let first_token_time = streamed
            .token_times
            .first()
            .map(|at| at.duration_since(sent_at));
        let is_correct = is_correct_answer(&streamed, ended, &prompt);
        Ok(Row {
            action: "streamed completion over 3 stages",
            outcome: format!(
                "{}, first token after {} ms",
                describe(&streamed, is_correct),
                first_token_time.unwrap_or_default().as_millis(),
            ),
            is_correct,
        })
    }

    /// Sends one loan through both instances with the same idempotency key.
    async fn send_loan_twice(&self) -> Result<Row> {
        let mut statuses = Vec::new();
        let deadline = Instant::now() + START_TIMEOUT;
        for caller in &self.callers {
            let mut status = send_loan(caller).await?;
            // Just after the start, the key's slot may have no owner yet.
            while status == StatusCode::SERVICE_UNAVAILABLE && Instant::now() < deadline {
                tokio::time::sleep(POLL_INTERVAL).await;
                status = send_loan(caller).await?;
            }
            statuses.push(status.as_u16());
        }
        let recorded = self.service.state.run_record().total;
        Ok(Row {
            action: "one loan sent twice, through two instances",
            outcome: format!("answered {statuses:?}, recorded {recorded} times"),
            is_correct: recorded == 1 && statuses.iter().all(|&status| status == 200),
        })
    }

    /// Kills the engine of a stage in the middle of a streamed answer.
    async fn kill_stage(&mut self) -> Result<Row> {
        let prompt = sample::long_prompt("rudisha taa", ANSWER_TOKENS);
        let mut streamed = self.callers[0].stream(&prompt, ANSWER_TOKENS).await?;
        if streamed.read_tokens(TOKENS_BEFORE_KILL).await.is_err() {
            return Err("the stream ended before the stage was killed".into());
        }
        let in_use = |(server, engine): &(SampleServer, Handle<Engine>)| {
            server.layers.as_ref() == Some(&sample::STAGES[1]) && !engine.state.streams().is_empty()
        };
        let index = self.engines.iter().position(in_use);
        let (_, engine) = self
            .engines
            .swap_remove(index.ok_or("no engine of the second stage has a stream")?);
        let from = streamed.token_times.len() - 1;
        engine.stop().await;
        let ended = streamed.finish().await;
        let is_correct = is_correct_answer(&streamed, ended, &prompt);
        Ok(Row {
            action: "a stage killed in the middle of a stream",
            outcome: format!(
                "{}, longest gap {} ms",
                describe(&streamed, is_correct),
                streamed.longest_gap(from).as_millis(),
            ),
            is_correct,
        })
    }

    /// Stops an instance as planned in the middle of a streamed answer.
    async fn stop_instance(&mut self) -> Result<Row> {
        let prompt = sample::long_prompt("kwaheri", ANSWER_TOKENS);
        let mut streamed = self.callers[0].stream(&prompt, ANSWER_TOKENS).await?;
        let stopping = self.instances.remove(0).stop();
        let (cut, ended) = tokio::join!(stopping, streamed.finish());
        let is_correct = is_correct_answer(&streamed, ended, &prompt);
        Ok(Row {
            action: "planned stop of an instance in the middle of a stream",
            outcome: format!("{}, {cut} requests cut", describe(&streamed, is_correct)),
            is_correct: is_correct && cut == 0,
        })
    }
}

/// Sends the loan once.
async fn send_loan(caller: &Caller) -> Result<StatusCode> {
    let headers = [("idempotency-key", LOAN_KEY)];
    let body = json!({"lamp": 17, "pupil": "Neema"}).to_string();
    let answer = caller.call("POST", LOAN_PATH, &headers, body.into()).await;
    Ok(answer?.0)
}

/// Returns whether an answer ended normally and matches the reference answer.
fn is_correct_answer(streamed: &StreamedAnswer, ended: StreamEnd, prompt: &str) -> bool {
    ended == StreamEnd::Done && streamed.text == expected_text(prompt, ANSWER_TOKENS)
}

/// Describes an answer for the table.
fn describe(streamed: &StreamedAnswer, is_correct: bool) -> String {
    let tokens = streamed.token_times.len();
    let verdict = if is_correct {
        "as expected"
    } else {
        "not as expected"
    };
    format!("{tokens} tokens {verdict}")
}

/// Starts an engine for each stage in each data centre.
async fn engines() -> Result<Vec<(SampleServer, Handle<Engine>)>> {
    let mut engines = Vec::new();
    for data_centre in sample::DATA_CENTRES {
        for layers in sample::STAGES {
            let range = LayerRange::new(layers.start, layers.end)?;
            let engine = engine::start(engine::Options {
                limit: sample::MAX_IN_FLIGHT,
                step_ms: ITERATION_MS,
                ..engine::Options::new(sample::MODEL_LAYERS, range)
            });
            let engine = engine.await?;
            let server = SampleServer {
                data_centre,
                addr: engine.addr,
                layers: Some(layers),
            };
            engines.push((server, engine));
        }
    }
    Ok(engines)
}

/// Returns an instance for each data centre, on free ports.
fn instances() -> Result<Vec<sample::Instance>> {
    let mut sockets = Vec::new();
    for _ in 0..3 * sample::DATA_CENTRES.len() {
        // All sockets stay open until the end, so that the ports differ.
        sockets.push(TcpListener::bind(("127.0.0.1", 0))?);
    }
    let addrs = sockets.iter().map(TcpListener::local_addr);
    let addrs: Vec<SocketAddr> = addrs.collect::<std::io::Result<_>>()?;
    let (triples, _) = addrs.as_chunks::<3>();
    let pairs = sample::DATA_CENTRES.into_iter().zip(triples);
    let instances = pairs.map(|(data_centre, &[callers, peers, admin])| sample::Instance {
        name: format!("{data_centre}-a"),
        data_centre,
        callers,
        peers,
        admin,
    });
    Ok(instances.collect())
}
