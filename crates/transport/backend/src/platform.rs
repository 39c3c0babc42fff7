//! The client of the platform: its objects, watches of them and its list of instances.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures::StreamExt;
use futures::TryStreamExt;
use futures::future::ready;
use futures::stream::BoxStream;
use http::HeaderMap;
use http::Method;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::PercentEncode;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use tokio_stream::Elapsed;
use tokio_util::codec::AnyDelimiterCodec;
use tokio_util::codec::AnyDelimiterCodecError;
use tokio_util::codec::FramedRead;
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
use crate::connection::json_request;
use crate::json;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time without a line after which a watch ends with an error, so that it is opened anew.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The characters of a name that are escaped in a URI: all but the unreserved ones and the slash.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b'_')
    .remove(b'~');
/// Maximum length of a line of a watch, in bytes.
const MAX_LINE_BYTES: usize = 2 << 20;

/// `Objects` is a list of objects, each decoded by itself.
#[derive(Deserialize)]
struct Objects {
    objects: Vec<Box<RawValue>>,
}

/// `Entries` is the list of instances and backend servers, each decoded by itself.
#[derive(Deserialize)]
struct Entries {
    instances: Vec<Box<RawValue>>,
}

/// `HttpPlatform` calls the platform with JSON over HTTP/1.1.
pub struct HttpPlatform {
    addr: SocketAddr,
    connections: Connections,
    /// The newest era that was seen.
    era: AtomicU16,
}

impl HttpPlatform {
    /// Returns a client of the platform at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let connections = Connections::new(Protocol::Http1);
        Self {
            addr,
            connections,
            era: AtomicU16::new(0),
        }
    }

    /// Records and returns the era of a response. A response of an older era than the newest one
    /// seen is an error, unless it reports a failure of the platform.
    fn observe(&self, status: StatusCode, headers: &HeaderMap) -> Result<u16> {
        let era = match headers.get(wire::ERA_HEADER) {
            None => 0,
            Some(value) => {
                let era = value.to_str().ok().and_then(|era| era.trim().parse().ok());
                era.ok_or_else(|| Error::platform_answer(format!("the era {value:?}")))?
            }
        };
        let newest = self.era.fetch_max(era, Ordering::AcqRel);
        let reports_failure = status.is_server_error() || status == 429;
        if era < newest && !reports_failure {
            let why = format!("answered by era {era} after {newest}");
            return Err(Error::platform_unavailable(why));
        }
        Ok(era)
    }

    /// Reads `path`; returns `None` if the platform responds with 404, else the content, split as by
    /// [`json::split`], and the era.
    async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<Option<(T, u16)>> {
        let req = get(self.addr, path)?;
        let response = self.connections.exchange(self.addr, req, CALL_TIMEOUT);
        let response = response.await.map_err(|(_, e)| unavailable(&e))?;
        let era = self.observe(response.status(), response.headers())?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        let content = json::split(response.body());
        let content = content.map_err(|e| Error::platform_answer(e.to_string()))?;
        Ok(Some((content, era)))
    }
}

/// Returns a name as a part of a path or a query. Names hold those of data centres, which may have any
/// characters.
fn escape(name: &str) -> PercentEncode<'_> {
    utf8_percent_encode(name, ESCAPED)
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
fn put_outcome(response: &Response<Bytes>, when: Precondition, era: u16) -> PutOutcome {
    match (response.status(), when) {
        (StatusCode::CONFLICT, _) => PutOutcome::Conflict,
        // The object had the revision of another object of the older era.
        (status, Precondition::Version(v)) if status.is_success() && v.era() != era => {
            PutOutcome::Unknown(Error::platform_unknown("restored during a write"))
        }
        (status, _) if status.is_success() => {
            let written = parse::<wire::Written>(response.body());
            match written.and_then(|written| version(era, written.version)) {
                Ok(version) => PutOutcome::Done(version),
                Err(e) => PutOutcome::Unknown(e),
            }
        }
        (status, _) if status == 429 || status == 503 || status.is_client_error() => {
            PutOutcome::Refused(unexpected_status(status))
        }
        (status, _) => PutOutcome::Unknown(Error::platform_unknown(format!("status {status}"))),
    }
}

/// Returns the version of an answer.
fn version(era: u16, revision: u64) -> Result<ObjectVersion> {
    let version = ObjectVersion::new(era, revision);
    version.ok_or_else(|| Error::platform_answer(format!("version {revision} is too high")))
}

/// Returns an object as read in an era.
fn object(object: wire::Object, era: u16) -> Result<Object> {
    let mut object = Object::try_from(object)?;
    object.version = version(era, object.version.0)?;
    Ok(object)
}

/// Parses one line of a watch, `None` if it is malformed. A line that doesn't arrive in time is an
/// error.
fn parse_event(
    line: Result<Result<Bytes, AnyDelimiterCodecError>, Elapsed>,
    era: u16,
) -> Option<Result<WatchEvent>> {
    let line = match line {
        Ok(Ok(line)) => line,
        Ok(Err(e)) => return Some(Err(Error::platform_unavailable(e.to_string()))),
        Err(_) => return Some(Err(Error::platform_unavailable("the watch timed out"))),
    };
    let event = match serde_json::from_slice(&line).ok()? {
        wire::WatchLine::Put(put) => WatchEvent::Put(object(put, era).ok()?),
        line @ (wire::WatchLine::Delete(_) | wire::WatchLine::Bookmark) => line.try_into().ok()?,
    };
    Some(Ok(event))
}

#[async_trait]
impl Platform for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Option<Object>> {
        let path = format!("/v1/objects/{}", escape(name));
        let found: Option<(Box<RawValue>, u16)> = self.read(&path).await?;
        let Some((found, era)) = found else {
            return Ok(None);
        };
        object(parse(&json::bytes(&found))?, era).map(Some)
    }

    async fn put(&self, name: &str, value: Bytes, when: Precondition) -> PutOutcome {
        if let Precondition::Version(version) = when
            && version.era() != self.era()
        {
            return PutOutcome::Conflict;
        }
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
        let path = format!("/v1/objects/{}", escape(name));
        let req = match json_request(Method::PUT, self.addr, &path, body) {
            Ok(req) => req,
            Err(e) => return PutOutcome::Refused(e),
        };
        let response = self.connections.exchange(self.addr, req, CALL_TIMEOUT);
        match response.await {
            Ok(response) => match self.observe(response.status(), response.headers()) {
                Ok(era) => put_outcome(&response, when, era),
                Err(e) => PutOutcome::Unknown(e),
            },
            Err((Attempt::Unsent, e)) => PutOutcome::Refused(unavailable(&e)),
            Err((_, e)) => PutOutcome::Unknown(Error::platform_unknown(e.to_string())),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let path = format!("/v1/objects?prefix={}", escape(prefix));
        let list: Option<(Objects, u16)> = self.read(&path).await?;
        let Some((list, era)) = list else {
            return Ok(Vec::new());
        };
        let objects = list.objects.iter();
        let objects = objects.filter_map(|found| object(json::decode(found)?, era).ok());
        Ok(objects.collect())
    }

    async fn watch(
        &self,
        prefix: &str,
        from: ObjectVersion,
    ) -> Result<BoxStream<'static, Result<WatchEvent>>> {
        let is_lost = |era| from != ObjectVersion::default() && from.era() != era;
        if is_lost(self.era()) {
            return Err(Error::platform_unavailable("a watch from an older era"));
        }
        let (prefix, from_revision) = (escape(prefix), from.revision());
        let path = format!("/v1/watch?prefix={prefix}&from={from_revision}");
        let req = get(self.addr, &path)?;
        let response = self.connections.open(self.addr, req);
        let response = tokio::time::timeout(CALL_TIMEOUT, response).await;
        let response = response
            .map_err(|_| Error::platform_unavailable("the request for a watch timed out"))?;
        let response = response.map_err(|(_, e)| unavailable(&e))?;
        let era = self.observe(response.status(), response.headers())?;
        if !response.status().is_success() {
            return Err(unexpected_status(response.status()));
        }
        if is_lost(era) {
            return Err(Error::platform_unavailable("a watch from an older era"));
        }
        let body = response.into_body().into_data_stream();
        let reader = StreamReader::new(body.map_err(std::io::Error::other));
        let newline = || b"\n".to_vec();
        let codec = AnyDelimiterCodec::new_with_max_length(newline(), newline(), MAX_LINE_BYTES);
        let lines =
            tokio_stream::StreamExt::timeout(FramedRead::new(reader, codec), WATCH_IDLE_TIMEOUT);
        let events = lines.filter_map(move |line| ready(parse_event(line, era)));
        Ok(events.boxed())
    }

    fn era(&self) -> u16 {
        self.era.load(Ordering::Acquire)
    }

    async fn instances(&self) -> Result<Vec<ListEntry>> {
        let list: Option<(Entries, u16)> = self.read("/v1/instances").await?;
        let list = list.map(|(list, _)| list.instances).unwrap_or_default();
        let entries = list.iter().filter_map(|entry| json::decode(entry));
        Ok(entries.map(|entry: wire::ListEntry| entry.into()).collect())
    }
}
