//! The HTTP interface for operators. All routes but the health check need the bearer token.

use std::sync::Arc;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::extract::rejection::QueryRejection;
use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use axum::http::header::IF_MATCH;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use axum::routing::put;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use subtle::ConstantTimeEq;

use hemlockwind_configuration::MAX_AUTHOR_BYTES;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Version;
use hemlockwind_protocol::document::Document;
use hemlockwind_settings::settings::Limits;

use crate::caller_connections::Lease;
use crate::callers::body;
use crate::configuration;
use crate::instance::Instance;
use crate::problem::Failure;
use crate::sheet;

/// The header in which operators give their name.
const OPERATOR_HEADER: &str = "x-hemlockwind-operator";
/// Maximum size of a document or sheet, in bytes.
const MAX_DOCUMENT_BYTES: usize = 16 << 20;

/// Returns the routes for operators.
pub fn router(instance: Arc<Instance>) -> Router {
    let guarded = Router::new()
        .route("/metrics", get(metrics))
        .route("/v1/status", get(status))
        .route(
            "/v1/configuration",
            get(read_configuration).put(write_configuration),
        )
        .route("/v1/sheet", put(put_sheet))
        .route("/v1/drain", post(drain))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&instance),
            authorise,
        ));
    Router::new()
        .route("/healthz", get(|| async { "ok" }))
        .merge(guarded)
        .with_state(instance)
}

/// Rejects requests without the admin token.
async fn authorise(
    State(instance): State<Arc<Instance>>,
    req: Request,
    next: Next,
) -> Result<Response, Failure> {
    let value = req.headers().get(AUTHORIZATION);
    let token = value.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let expected = instance.settings.admin_token.as_bytes();
    let is_valid = token.is_some_and(|token| bool::from(token.ct_eq(expected)));
    if !is_valid {
        return Err(Error::AdminToken.into());
    }
    Ok(next.run(req).await)
}

/// Returns the histograms in the text format of Prometheus.
async fn metrics(State(instance): State<Arc<Instance>>) -> String {
    instance.histograms.render(|rank| instance.rank_name(rank))
}

/// Returns the state of this instance and its view of the others.
async fn status(State(instance): State<Arc<Instance>>) -> Json<Value> {
    let config = instance.config.load();
    let directory = instance.directory.read();
    let leaving: Vec<_> = instance
        .fleet
        .leaving()
        .into_iter()
        .map(|key| directory.backend_servers.name(key).to_string())
        .collect();
    let members = instance.assignments.members();
    let live: Vec<_> = members.iter().map(|member| &*member.name).collect();
    Json(json!({
        "instance": instance.me.name,
        "data_centre": instance.me.data_centre,
        "ready": instance.is_ready(),
        "stopping": instance.unready.is_cancelled(),
        "requests": instance.requests.len(),
        "config_version": config.version.0,
        "sheet_day": config.sheet_day,
        "backend_servers": config.backend_servers.len(),
        "leaving": leaving,
        "live_instances": live,
    }))
}

/// Returns the document in force here, with its version as the entity tag.
async fn read_configuration(State(instance): State<Arc<Instance>>) -> Result<Response, Failure> {
    let (version, body) = instance.config_replica.document().ok_or(Error::NoConfig)?;
    let tag = format!("\"{}\"", version.0);
    let headers = [("etag", tag), ("content-type", "application/json".into())];
    Ok((headers, body).into_response())
}

/// Replaces the document whose version `If-Match` names by a new one.
async fn write_configuration(
    State(instance): State<Arc<Instance>>,
    Extension(lease): Extension<Arc<Lease>>,
    headers: HeaderMap,
    req: Body,
) -> Result<Json<Value>, Failure> {
    let base_version = base_version(&headers)?;
    let limits = Limits {
        body_bytes: MAX_DOCUMENT_BYTES,
        ..instance.settings.limits
    };
    let req = body::read(req, &limits, &lease).await?;
    let document: Document = body::json(&req)?;
    let author = author(&headers);
    let version = configuration::accept(&instance, &document, base_version, author).await?;
    Ok(Json(json!({"version": version.0})))
}

/// `SheetQuery` holds the query parameters of an upload of a sheet.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct SheetQuery {
    dry_run: bool,
}

/// Applies the planners' sheet, or returns what it would change.
async fn put_sheet(
    State(instance): State<Arc<Instance>>,
    query: Result<Query<SheetQuery>, QueryRejection>,
    Extension(lease): Extension<Arc<Lease>>,
    headers: HeaderMap,
    req: Body,
) -> Result<Json<Value>, Failure> {
    let Query(query) = query.map_err(|e| Error::header(e.to_string()))?;
    let limits = Limits {
        body_bytes: MAX_DOCUMENT_BYTES,
        ..instance.settings.limits
    };
    let req = body::read(req, &limits, &lease).await?;
    let author = author(&headers);
    let outcome = sheet::apply(&instance, &req, author, query.dry_run).await?;
    let changes: Vec<_> = outcome.changes.iter().map(ToString::to_string).collect();
    Ok(Json(json!({
        "summary": outcome.summary,
        "version": outcome.version.0,
        "changes": changes,
    })))
}

/// Returns the version that `If-Match` names. Without the header this is 0, the version
/// before the first document.
fn base_version(headers: &HeaderMap) -> Result<Version> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(Version(0));
    };
    let text = value.to_str().unwrap_or_default().trim_matches('"');
    let version = text.parse().map(Version);
    version.map_err(|_| Error::header("If-Match must be a version"))
}

/// Returns the author of a change as named by the operator; the name isn't verified.
fn author(headers: &HeaderMap) -> &str {
    let value = headers.get(OPERATOR_HEADER).and_then(|v| v.to_str().ok());
    let is_valid = |name: &&str| !name.is_empty() && name.len() <= MAX_AUTHOR_BYTES;
    value.filter(is_valid).unwrap_or("an operator")
}

/// Starts a planned stop: the program waits for `unready` and then calls
/// [`Running::stop`](crate::Running::stop).
async fn drain(State(instance): State<Arc<Instance>>) -> Json<Value> {
    instance.unready.cancel();
    Json(json!({"stopping": true, "requests": instance.requests.len()}))
}
