//! The HTTP interface for callers.

use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::Version;
use axum::http::header::CONNECTION;
use axum::middleware;
use axum::middleware::Next;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use serde_json::Value;
use serde_json::json;

use hemlockwind_core::Error;

use crate::instance::Instance;
use crate::problem::Failure;

pub mod body;
pub mod caller;
pub mod completions;
pub mod events;
pub mod services;

/// Returns the routes for callers and the load balancer.
pub fn router(instance: Arc<Instance>) -> Router {
    Router::new()
        .route("/v1/completions", post(completions::text))
        .route("/v1/chat/completions", post(completions::chat))
        .route("/v1/models", get(models))
        .route("/v1/services/{service}/{*path}", any(services::call))
        .route("/healthz", get(|| async { "ok" }))
        .route("/readyz", get(ready))
        .fallback(not_found)
        .layer(middleware::from_fn_with_state(
            Arc::clone(&instance),
            limit_headers,
        ))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&instance),
            close_when_stopping,
        ))
        .with_state(instance)
}

/// Rejects requests whose headers and path together exceed the limit.
async fn limit_headers(
    State(instance): State<Arc<Instance>>,
    req: Request,
    next: Next,
) -> Result<Response, Failure> {
    let limit = instance.settings.limits.header_bytes;
    let fields = req.headers().iter();
    let size: usize = fields.map(|(k, v)| k.as_str().len() + v.len()).sum();
    if size + req.uri().path().len() > limit {
        return Err(Error::header(format!("they have {size} bytes, the limit is {limit}")).into());
    }
    Ok(next.run(req).await)
}

/// Closes HTTP/1 connections once a planned stop has begun, so that callers send their next
/// request to another instance.
async fn close_when_stopping(
    State(instance): State<Arc<Instance>>,
    req: Request,
    next: Next,
) -> Response {
    let is_http1 = req.version() < Version::HTTP_2;
    let mut response = next.run(req).await;
    if is_http1 && instance.unready.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Reports to the load balancer whether to send requests here.
async fn ready(State(instance): State<Arc<Instance>>) -> StatusCode {
    if instance.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Lists the pipelines in the format of the OpenAI API, which common clients expect.
async fn models(State(instance): State<Arc<Instance>>) -> Json<Value> {
    let config = instance.config.load();
    let names = config.pipeline_names.keys();
    let models: Vec<_> = names
        .map(|name| json!({"id": &**name, "object": "model", "owned_by": "hemlockwind"}))
        .collect();
    Json(json!({"object": "list", "data": models}))
}

/// Answers requests for any other path with an error.
async fn not_found(uri: axum::http::Uri) -> Failure {
    Failure::from(Error::unknown_target(uri.path()))
}
