//! The platform's HTTP handlers.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::Method;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use tokio::sync::broadcast::Receiver;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;

use hemlockwind_protocol::platform;
use hemlockwind_protocol::platform::InstanceList;
use hemlockwind_protocol::platform::Object;
use hemlockwind_protocol::platform::ObjectList;
use hemlockwind_protocol::platform::WatchLine;
use hemlockwind_protocol::platform::Write;

use super::Calls;
use super::Faults;
use super::Outage;
use super::Platform;
use super::WriteOutcome;
use crate::server::ConnectionControl;

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of lines that are queued for the reader of a watch.
const MAX_QUEUED_LINES: usize = 16;

/// `ObjectQuery` selects objects by the start of their name. A watch omits objects up to the
/// version `from`.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct ObjectQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    from: u64,
}

/// Applies the rate limits and the faults that affect every call.
pub async fn inject_faults(
    State(platform): State<Arc<Platform>>,
    Extension(control): Extension<Arc<ConnectionControl>>,
    req: Request,
    next: Next,
) -> Response {
    let allowed = platform.count_call(req.method() == Method::PUT);
    // In a task of its own, a call takes effect even if its caller disconnects.
    let answering = tokio::spawn(async move {
        let faults = platform.faults();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        match platform.faults().outage {
            Some(Outage::Refuse) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Some(Outage::Reset) => lost_answer(),
            None if allowed => next.run(req).await,
            None => StatusCode::TOO_MANY_REQUESTS.into_response(),
        }
    });
    let answer = answering.await;
    let answer = answer.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response());
    if answer.extensions().get::<LostAnswer>().is_some() {
        control.cut();
        std::future::pending::<()>().await;
    }
    answer
}

/// Adds the era to an answer. An answer to a call during which a snapshot was restored may be of
/// either era, so it becomes an error.
pub async fn add_era(State(platform): State<Arc<Platform>>, req: Request, next: Next) -> Response {
    let before = platform.era();
    let mut answer = next.run(req).await;
    let era = platform.era();
    if era != before && answer.status().is_success() {
        answer = StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    if let Some(era) = era {
        answer
            .headers_mut()
            .insert(platform::ERA_HEADER, era.into());
    }
    answer
}

/// `Restore` is the request for a drill.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Restore {
    /// The age of the snapshot.
    versions: u64,
}

pub async fn restore(
    State(platform): State<Arc<Platform>>,
    Json(restore): Json<Restore>,
) -> StatusCode {
    platform.restore(restore.versions);
    StatusCode::NO_CONTENT
}

/// `LostAnswer` marks an answer that is not sent; the connection is cut instead.
#[derive(Clone, Copy, Debug)]
struct LostAnswer;

/// Returns an answer that makes [`inject_faults`] cut the connection.
fn lost_answer() -> Response {
    (Extension(LostAnswer), StatusCode::SERVICE_UNAVAILABLE).into_response()
}

pub async fn get(State(platform): State<Arc<Platform>>, Path(name): Path<String>) -> Response {
    match platform.get(&name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub async fn list(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<ObjectQuery>,
) -> Json<ObjectList> {
    let objects = platform.list(&query.prefix);
    Json(ObjectList { objects })
}

pub async fn write(
    State(platform): State<Arc<Platform>>,
    Path(name): Path<String>,
    Json(write): Json<Write>,
) -> Response {
    match STANDARD.decode(&write.value) {
        Ok(value) if value.len() > MAX_VALUE_BYTES => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Ok(_) => match platform.write(&name, write) {
            WriteOutcome::Applied(version) => Json(platform::Written { version }).into_response(),
            WriteOutcome::AnswerLost => lost_answer(),
            WriteOutcome::Conflict => StatusCode::CONFLICT.into_response(),
        },
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}

pub async fn watch(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<ObjectQuery>,
) -> Response {
    let (objects, changes) = platform.watch(&query.prefix, query.from);
    let (tx, rx) = mpsc::channel(MAX_QUEUED_LINES);
    tokio::spawn(async move {
        // Ends when the reader disconnects or lags too far behind, or in an outage.
        let _ = send_watch(&platform, &query.prefix, objects, changes, &tx).await;
        let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
        platform.watch_closed();
    });
    Body::from_stream(ReceiverStream::new(rx)).into_response()
}

/// The sending side of the body of a watch.
type LineSender = mpsc::Sender<io::Result<Bytes>>;

/// Sends the existing objects and then changes and bookmarks to a watch, until a line can't be
/// sent, the watch lags too far behind, or an outage begins.
async fn send_watch(
    platform: &Platform,
    prefix: &str,
    objects: Vec<Object>,
    mut changes: Receiver<Object>,
    tx: &LineSender,
) -> Option<()> {
    for object in objects {
        send_line(tx, WatchLine::Put(object)).await?;
    }
    let mut bookmarks = tokio::time::interval(Duration::from_millis(platform.bookmark_ms.max(1)));
    loop {
        let line = tokio::select! {
            _ = bookmarks.tick() => WatchLine::Bookmark,
            change = changes.recv() => match change.ok()? {
                object if object.name.starts_with(prefix) => WatchLine::Put(object),
                _ => continue,
            },
        };
        if platform.faults().outage.is_some() {
            return None;
        }
        send_line(tx, line).await?;
    }
}

async fn send_line(tx: &LineSender, line: WatchLine) -> Option<()> {
    let mut text = serde_json::to_vec(&line).ok()?;
    text.push(b'\n');
    tx.send(Ok(text.into())).await.ok()
}

pub async fn instances(State(platform): State<Arc<Platform>>) -> Json<InstanceList> {
    Json(platform.instances())
}

pub async fn set_faults(
    State(platform): State<Arc<Platform>>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    platform.set_faults(faults);
    StatusCode::NO_CONTENT
}

pub async fn set_instances(
    State(platform): State<Arc<Platform>>,
    Json(list): Json<InstanceList>,
) -> StatusCode {
    platform.set_instances(list);
    StatusCode::NO_CONTENT
}

pub async fn calls(State(platform): State<Arc<Platform>>) -> Json<Calls> {
    Json(platform.calls())
}
