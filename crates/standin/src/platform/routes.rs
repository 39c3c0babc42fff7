//! The platform's HTTP.

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

/// The size of a value at most, in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Lines of a watch that wait for its reader.
const WATCH_LINES: usize = 16;

/// `Prefix` selects objects by the start of their name.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct Prefix {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    from: u64,
}

/// Applies the switches that concern every call.
pub async fn interfere(
    State(platform): State<Arc<Platform>>,
    Extension(gate): Extension<Arc<ConnectionControl>>,
    req: Request,
    next: Next,
) -> Response {
    let allowed = platform.count(req.method() == Method::PUT);
    // A call that arrived takes effect, even when its caller goes meanwhile.
    let answering = tokio::spawn(async move {
        let faults = platform.faults();
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        match platform.faults().outage {
            Some(Outage::Refuse) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
            Some(Outage::Reset) => lost(),
            None if allowed => next.run(req).await,
            None => StatusCode::TOO_MANY_REQUESTS.into_response(),
        }
    });
    let answer = answering.await;
    let answer = answer.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response());
    if answer.extensions().get::<Lost>().is_some() {
        gate.cut();
        std::future::pending::<()>().await;
    }
    answer
}

/// `Lost` marks an answer that must not arrive, since its connection is cut.
#[derive(Clone, Copy, Debug)]
struct Lost;

fn lost() -> Response {
    (Extension(Lost), StatusCode::SERVICE_UNAVAILABLE).into_response()
}

pub async fn get(State(platform): State<Arc<Platform>>, Path(name): Path<String>) -> Response {
    match platform.get(&name) {
        Some(object) => Json(object).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub async fn list(
    State(platform): State<Arc<Platform>>,
    Query(query): Query<Prefix>,
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
        Ok(value) if value.len() > VALUE_LIMIT => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        Ok(_) => match platform.write(&name, write) {
            WriteOutcome::Applied(version) => Json(platform::Written { version }).into_response(),
            WriteOutcome::AnswerLost => lost(),
            WriteOutcome::Conflict => StatusCode::CONFLICT.into_response(),
        },
        Err(_) => StatusCode::BAD_REQUEST.into_response(),
    }
}

pub async fn watch(State(platform): State<Arc<Platform>>, Query(query): Query<Prefix>) -> Response {
    let (objects, changes) = platform.watch(&query.prefix, query.from);
    let (tx, rx) = mpsc::channel(WATCH_LINES);
    tokio::spawn(async move {
        // It ends when its reader goes or the platform becomes unavailable.
        let _ = tell(&platform, &query.prefix, objects, changes, &tx).await;
        let _ = tx.send(Err(io::ErrorKind::ConnectionReset.into())).await;
        platform.watch_closed();
    });
    Body::from_stream(ReceiverStream::new(rx)).into_response()
}

type Lines = mpsc::Sender<io::Result<Bytes>>;

/// Tells a watch what there is and what changes, until it can't.
async fn tell(
    platform: &Platform,
    prefix: &str,
    objects: Vec<Object>,
    mut changes: Receiver<Object>,
    tx: &Lines,
) -> Option<()> {
    for object in objects {
        send(tx, WatchLine::Put(object)).await?;
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
        send(tx, line).await?;
    }
}

async fn send(tx: &Lines, line: WatchLine) -> Option<()> {
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
