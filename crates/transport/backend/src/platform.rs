//! The client of the platform: its objects, watches of them and its list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use futures::TryStreamExt;
use futures::stream::BoxStream;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use serde::de::DeserializeOwned;
use tokio_stream::Elapsed;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LinesCodec;
use tokio_util::codec::LinesCodecError;
use tokio_util::io::StreamReader;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::edges::ListEntry;
use hemlockwind_core::edges::Object;
use hemlockwind_core::edges::ObjectVersion;
use hemlockwind_core::edges::Platform;
use hemlockwind_core::edges::Precondition;
use hemlockwind_core::edges::PutOutcome;
use hemlockwind_core::edges::WatchEvent;
use hemlockwind_protocol::platform as wire;

use crate::connection::Connections;
use crate::connection::Protocol;
use crate::connection::get;
use crate::connection::json;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a line after which a watch ends with an error, so that it is opened anew.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Maximum length of a line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 2 << 20;

/// `HttpPlatform` calls the platform with JSON over HTTP/1.1.
pub struct HttpPlatform {
    addr: SocketAddr,
    connections: Connections,
}

impl HttpPlatform {
    /// Returns a client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let connections = Connections::new(Protocol::Http1);
        Self { addr, connections }
    }

    /// Reads `path`; returns `None` if the platform responds with 404.
    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let req = get(self.addr, path);
        let response = self.connections.exchange(self.addr, req, CALL_TIMEOUT);
        let response = response.await.map_err(|(_, e)| unavailable(&e))?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        parse(response.body()).map(Some)
    }
}

/// Wraps a connection error as `Error::PlatformUnavailable`.
fn unavailable(error: &Error) -> Error {
    Error::platform_unavailable(error.to_string())
}

/// Returns the error for a response with `status`.
fn unexpected_status(status: StatusCode) -> Error {
    Error::platform_unavailable(format!("status {status}"))
}

/// Parses JSON from the platform.
fn parse<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    serde_json::from_slice(bytes).map_err(|e| Error::platform_answer(e.to_string()))
}

/// Returns the outcome of a write by its response.
fn put_outcome(response: &Response<Bytes>) -> PutOutcome {
    match response.status() {
        StatusCode::CONFLICT => PutOutcome::Conflict,
        status if status.is_success() => match parse::<wire::Written>(response.body()) {
            Ok(written) => PutOutcome::Done(ObjectVersion(written.version)),
            Err(e) => PutOutcome::Unknown(e),
        },
        status if status == 429 || status == 503 || status.is_client_error() => {
            PutOutcome::Refused(unexpected_status(status))
        }
        status => PutOutcome::Unknown(Error::platform_unknown(format!("status {status}"))),
    }
}

/// Parses one line of a watch. A line that doesn't arrive in time is an error.
fn parse_event(line: Result<Result<String, LinesCodecError>, Elapsed>) -> Result<WatchEvent> {
    let line = line.map_err(|_| Error::platform_unavailable("the watch timed out"))?;
    let line = line.map_err(|e| Error::platform_unavailable(e.to_string()))?;
    parse::<wire::WatchLine>(line.as_bytes())?.try_into()
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Object>> {
        let path = format!("/v1/objects/{name}");
        let object: Option<wire::Object> = self.read(&path).await?;
        object.map(Object::try_from).transpose()
    }

    async fn put(&self, name: &str, value: Bytes, when: Precondition) -> PutOutcome {
        let object = wire::Object::from(Object {
            name: name.into(),
            version: ObjectVersion(0),
            value,
        });
        let write = wire::Write {
            value: object.value,
            when: when.into(),
        };
        let body = match serde_json::to_vec(&write) {
            Ok(body) => body,
            Err(e) => return PutOutcome::Refused(Error::body(e.to_string())),
        };
        let path = format!("/v1/objects/{name}");
        let req = json(Method::PUT, self.addr, &path, body);
        let response = self.connections.exchange(self.addr, req, CALL_TIMEOUT);
        match response.await {
            Ok(response) => put_outcome(&response),
            Err((Attempt::Unsent, e)) => PutOutcome::Refused(unavailable(&e)),
            Err((_, e)) => PutOutcome::Unknown(Error::platform_unknown(e.to_string())),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let path = format!("/v1/objects?prefix={prefix}");
        let list: Option<wire::ObjectList> = self.read(&path).await?;
        let list = list.map(|list| list.objects).unwrap_or_default();
        list.into_iter().map(Object::try_from).collect()
    }

    async fn watch(
        &self,
        prefix: &str,
        from: ObjectVersion,
    ) -> Result<BoxStream<'static, Result<WatchEvent>>> {
        let path = format!("/v1/watch?prefix={prefix}&from={}", from.0);
        let req = get(self.addr, &path);
        let response = self.connections.open(self.addr, req);
        let response = tokio::time::timeout(CALL_TIMEOUT, response).await;
        let response = response
            .map_err(|_| Error::platform_unavailable("the request for a watch timed out"))?;
        let response = response.map_err(|(_, e)| unavailable(&e))?;
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        let body = response.into_body().into_data_stream();
        let reader = StreamReader::new(body.map_err(std::io::Error::other));
        let lines = FramedRead::new(reader, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        let lines = tokio_stream::StreamExt::timeout(lines, WATCH_IDLE_TIMEOUT);
        Ok(lines.map(parse_event).boxed())
    }

    async fn instances(&self) -> Result<Vec<ListEntry>> {
        let list: Option<wire::InstanceList> = self.read("/v1/instances").await?;
        let list = list.map(|list| list.instances).unwrap_or_default();
        Ok(list.into_iter().map(ListEntry::from).collect())
    }
}
