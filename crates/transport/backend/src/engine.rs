//! The client of engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::Engine;
use hemlockwind_core::edges::KvExport;
use hemlockwind_core::edges::Order;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::LoadReport;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::engine::StepResult;
use hemlockwind_core::time::Instant;
use hemlockwind_protocol::engine as wire;

use crate::connection::Connections;
use crate::connection::Failure;
use crate::connection::Protocol;
use crate::connection::get;
use crate::connection::json_request;
use crate::json;

/// Timeout of calls other than steps.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the export or import of a KV cache.
const KV_TRANSFER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// `HttpEngine` calls engines with JSON over HTTP/2.
pub struct HttpEngine {
    clock: Arc<dyn Clock>,
    connections: Connections,
}

impl HttpEngine {
    /// Returns a client without connections.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        let connections = Connections::new(Protocol::Http2);
        Self { clock, connections }
    }

    /// Posts `body` and parses the response as `T`.
    async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<T, Failure> {
        let bytes = self.post_raw(addr, path, body, timeout).await?;
        parse(&bytes).map_err(|e| (Attempt::Answered, e))
    }

    /// Posts `body` and returns the response body.
    async fn post_raw<B: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<Bytes, Failure> {
        let body = serde_json::to_vec(body);
        let body = body.map_err(|e| (Attempt::Unsent, Error::body(e.to_string())))?;
        let req = json_request(Method::POST, addr, path, body).map_err(|e| (Attempt::Unsent, e))?;
        self.send(addr, req, timeout).await
    }

    /// Sends `req` and returns the response body if the status is a success.
    async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Bytes, Failure> {
        let response = self.connections.exchange(addr, req, timeout).await?;
        let status = response.status();
        if status.is_success() {
            return Ok(response.into_body());
        }
        let reason = format!("{addr} answered {status}");
        Err(match status {
            StatusCode::CONFLICT => (Attempt::Refused, Error::backend_refused(reason)),
            _ => (Attempt::Sent, Error::backend_failed(reason)),
        })
    }
}

/// Parses JSON from an engine.
fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|e| Error::backend_answer(e.to_string()))
}

/// Returns the results in the answer to a batch of steps. One that is malformed is left out, so that it
/// affects no other stream.
fn results(answer: &[u8]) -> Result<Vec<StepResult>> {
    /// The results, each decoded by itself.
    #[derive(Deserialize)]
    struct Results {
        results: Vec<Box<RawValue>>,
    }

    let results = match parse::<wire::StepsAnswer>(answer) {
        Ok(answer) => answer.results,
        Err(e) => {
            let answer: Results = json::split(answer).map_err(|_| e)?;
            let results = answer.results.iter();
            results.filter_map(|result| json::decode(result)).collect()
        }
    };
    let results = results.into_iter();
    Ok(results
        .filter_map(|r| StepResult::try_from(r).ok())
        .collect())
}

/// Drops the `Attempt` of a failure, which doesn't matter for a call that may be repeated.
fn without_attempt<T>(result: Result<T, Failure>) -> Result<T> {
    result.map_err(|(_, error)| error)
}

#[async_trait]
impl Engine for HttpEngine {
    async fn steps(
        &self,
        to: SocketAddr,
        steps: Vec<Step>,
        deadline: Instant,
    ) -> Result<Vec<StepResult>, Failure> {
        let timeout = deadline.since(self.clock.now());
        if timeout.is_zero() {
            return Err((Attempt::Unsent, Error::DeadlinePassed));
        }
        let body = wire::StepsRequest {
            steps: steps.into_iter().map(wire::Step::from).collect(),
        };
        let answer = self.post_raw(to, "/v1/steps", &body, timeout).await?;
        results(&answer).map_err(|e| (Attempt::Answered, e))
    }

    async fn cancel(&self, to: SocketAddr, request: RequestId) -> Result<()> {
        let request = wire::StreamRequest { request: request.0 };
        let answer = self.post_raw(to, "/v1/cancel", &request, CALL_TIMEOUT);
        without_attempt(answer.await).map(drop)
    }

    async fn export(&self, from: SocketAddr, request: RequestId) -> Result<KvExport> {
        let request = wire::StreamRequest { request: request.0 };
        let cache =
            self.post::<_, wire::KvCache>(from, "/v1/kv/export", &request, KV_TRANSFER_TIMEOUT);
        without_attempt(cache.await)?.try_into()
    }

    async fn import(
        &self,
        to: SocketAddr,
        request: RequestId,
        incarnation: Incarnation,
        cache: KvExport,
    ) -> Result<()> {
        let body = wire::KvImport {
            request: request.0,
            incarnation: incarnation.0,
            cache: cache.into(),
        };
        let answer = self.post_raw(to, "/v1/kv/import", &body, KV_TRANSFER_TIMEOUT);
        without_attempt(answer.await).map(drop)
    }

    async fn load(&self, at: SocketAddr, fresh: bool) -> Result<LoadReport> {
        let req = get(at, "/v1/load")?;
        let answer = if fresh {
            let connections = Connections::new(Protocol::Http2);
            let answer = connections.exchange(at, req, CALL_TIMEOUT).await;
            // The shared connection may be dead; the next call opens a new one.
            self.connections.reset(at);
            answer.map(http::Response::into_body)
        } else {
            self.send(at, req, CALL_TIMEOUT).await
        };
        let load: wire::Load = parse(&without_attempt(answer)?)?;
        Ok(load.into())
    }

    async fn order(&self, to: SocketAddr, order: Order) -> Result<()> {
        let order = wire::Order::from(order);
        let answer = self.post_raw(to, "/v1/orders", &order, CALL_TIMEOUT);
        without_attempt(answer.await).map(drop)
    }
}
