//! The engine's HTTP handlers.

use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;

use hemlockwind_core::edges::KvExport;
use hemlockwind_core::engine::Incarnation;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::engine::Step;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_protocol::engine::KvCache;
use hemlockwind_protocol::engine::KvImport;
use hemlockwind_protocol::engine::Load;
use hemlockwind_protocol::engine::Order;
use hemlockwind_protocol::engine::StepsAnswer;
use hemlockwind_protocol::engine::StepsRequest;
use hemlockwind_protocol::engine::StreamRequest;

use super::Engine;
use super::Faults;
use super::RunRecord;
use super::StreamState;
use crate::server::ConnectionControl;

/// Applies the faults that affect every request.
pub async fn inject_faults(
    State(engine): State<Arc<Engine>>,
    req: Request,
    next: Next,
) -> Response {
    let delay_ms = engine.faults.borrow().delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    block_if_frozen(&engine).await;
    let res = next.run(req).await;
    block_if_frozen(&engine).await;
    res
}

/// Never returns if the engine is frozen now, even if the fault is cleared later.
async fn block_if_frozen(engine: &Engine) {
    let frozen = engine.faults.borrow().freeze;
    if frozen {
        std::future::pending::<()>().await;
    }
}

pub async fn steps(State(engine): State<Arc<Engine>>, Json(req): Json<StepsRequest>) -> Response {
    let steps: Result<Vec<Step>, _> = req.steps.into_iter().map(Step::try_from).collect();
    let Ok(steps) = steps else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let results = engine.run_steps(steps).await;
    let (results, delay) = engine.apply_late_faults(results);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let results = results.into_iter().map(Into::into).collect();
    Json(StepsAnswer { results }).into_response()
}

pub async fn cancel(
    State(engine): State<Arc<Engine>>,
    Json(req): Json<StreamRequest>,
) -> StatusCode {
    engine.cancel(RequestId(req.request));
    StatusCode::NO_CONTENT
}

/// Never returns if the engine answers no requests to move KV cache.
async fn block_if_moves_are_silent(engine: &Engine) {
    let silent = engine.faults.borrow().silent_moves;
    if silent {
        std::future::pending::<()>().await;
    }
}

pub async fn export(State(engine): State<Arc<Engine>>, Json(req): Json<StreamRequest>) -> Response {
    block_if_moves_are_silent(&engine).await;
    match engine.export(RequestId(req.request)) {
        Some(cache) => Json(KvCache::from(cache)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

pub async fn import(State(engine): State<Arc<Engine>>, Json(req): Json<KvImport>) -> StatusCode {
    let Ok(cache) = KvExport::try_from(req.cache) else {
        return StatusCode::BAD_REQUEST;
    };
    block_if_moves_are_silent(&engine).await;
    let request = RequestId(req.request);
    match engine.import(request, Incarnation(req.incarnation), &cache) {
        Ok(()) => StatusCode::NO_CONTENT,
        Err(_) => StatusCode::CONFLICT,
    }
}

pub async fn load(State(engine): State<Arc<Engine>>) -> Json<Load> {
    let load = engine.reported_load();
    Json(Load {
        streams: load.streams,
        limit: load.limit,
        leaving: load.leaving,
    })
}

pub async fn order(State(engine): State<Arc<Engine>>, Json(order): Json<Order>) -> StatusCode {
    let Ok(layers) = LayerRange::new(order.start, order.end) else {
        return StatusCode::BAD_REQUEST;
    };
    match engine.accept_order(order, layers) {
        true => StatusCode::NO_CONTENT,
        false => StatusCode::CONFLICT,
    }
}

pub async fn set_faults(
    State(engine): State<Arc<Engine>>,
    Extension(control): Extension<Arc<ConnectionControl>>,
    Json(faults): Json<Faults>,
) -> StatusCode {
    engine.apply_faults(faults, &control);
    StatusCode::NO_CONTENT
}

pub async fn run_record(State(engine): State<Arc<Engine>>) -> Json<RunRecord> {
    Json(engine.run_record())
}

pub async fn streams(State(engine): State<Arc<Engine>>) -> Json<Vec<StreamState>> {
    Json(engine.streams())
}
