//! Completions: reads the caller's request, starts its stream and returns the answer.

use std::sync::Arc;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::extract::Request;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::engine::RequestId;
use hemlockwind_protocol::completions::Api;
use hemlockwind_protocol::completions::ChatRequest;
use hemlockwind_protocol::completions::CompletionRequest;
use hemlockwind_protocol::completions::Job;
use hemlockwind_stream::Finish;

use crate::caller_connections::Lease;
use crate::caller_connections::Reservation;
use crate::callers::body;
use crate::callers::caller::Caller;
use crate::callers::events;
use crate::callers::events::Answer;
use crate::driver;
use crate::driver::Progress;
use crate::in_progress::RequestState;
use crate::instance::Instance;
use crate::problem::Failure;
use crate::transmission::Unsent;
use crate::work::Work;

/// The header with the request's id.
const REQUEST_HEADER: &str = "x-request-id";

/// Handles `POST /v1/completions`.
pub async fn text(
    State(instance): State<Arc<Instance>>,
    Extension(lease): Extension<Arc<Lease>>,
    req: Request,
) -> Response {
    answer(instance, req, &lease, Api::Text).await
}

/// Handles `POST /v1/chat/completions`.
pub async fn chat(
    State(instance): State<Arc<Instance>>,
    Extension(lease): Extension<Arc<Lease>>,
    req: Request,
) -> Response {
    answer(instance, req, &lease, Api::Chat).await
}

/// Answers one request and adds its id in a header.
async fn answer(instance: Arc<Instance>, req: Request, lease: &Lease, api: Api) -> Response {
    let id = RequestId(Uuid::now_v7());
    let unsent = req.extensions().get::<Unsent>().cloned();
    let entry = instance.in_progress.add(id.0);
    let answer = serve(&instance, req, api, lease, id).await;
    let mut response = answer.unwrap_or_else(|mut failure| {
        failure.request = id.0.to_string();
        slog::info!(instance.log, "a request failed"; "request" => %id.0, "code" => failure.error.code().number(), "error" => %failure.error);
        instance.metrics.count("requests.refused", 1);
        entry.set(RequestState::Answering);
        failure.into_response()
    });
    if let Ok(value) = id.0.to_string().parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    unsent.unwrap_or_default().track(response, entry)
}

/// Reads, validates and runs one request.
async fn serve(
    instance: &Arc<Instance>,
    req: Request,
    api: Api,
    lease: &Lease,
    id: RequestId,
) -> Result<Response, Failure> {
    if instance.stopping.is_cancelled() {
        return Err(Error::Stopping.into());
    }
    let now = instance.edges.clock.now();
    let (parts, body) = req.into_parts();
    let caller = Caller::new(&parts.headers, &instance.config.load(), now)?;
    let job = job(instance, body, lease, api).await?;
    let pipeline = job.pipeline.clone();
    let stream = job.stream;
    let work = work(instance, job, caller, id)?;
    let mut progress = start(instance, work, lease.reservation())?;
    // Before the first token, an error can still be returned with its HTTP status.
    let first = match progress.recv().await {
        Some(Progress::End(Finish::Failed(error, ran))) => {
            return Err(Failure::new(error, ran, id.0));
        }
        Some(first) => first,
        None => return Err(interrupted(id)),
    };
    let answer = Answer {
        api,
        id,
        pipeline,
        created: instance.edges.clock.wall().as_millis() / 1_000,
    };
    if stream {
        Ok(events::stream(answer, first, progress))
    } else {
        collect(answer, first, progress).await
    }
}

/// Returns the failure of a stream whose driver ended without a final result.
fn interrupted(id: RequestId) -> Failure {
    let mut attempts = Attempts::default();
    let open = attempts.open();
    attempts.record(open, hemlockwind_core::attempt::Attempt::Sent);
    let error = Error::outcome_unknown("the stream ended without a final result");
    Failure::new(error, attempts.ran(), id.0)
}

/// Reads and validates the body of a request.
async fn job(instance: &Instance, req: Body, lease: &Lease, api: Api) -> Result<Job> {
    let req = body::receive(instance, req, lease).await?;
    match api {
        Api::Text => body::json::<CompletionRequest>(&req)?.try_into(),
        Api::Chat => body::json::<ChatRequest>(&req)?.try_into(),
    }
}

/// Completes a job with the limits of its pipeline and caller.
fn work(instance: &Instance, job: Job, caller: Caller, id: RequestId) -> Result<Work> {
    let config = instance.config.load();
    let unknown = || Error::unknown_target(&job.pipeline);
    let key = config.pipeline_names.get(job.pipeline.as_str());
    let pipeline = key.and_then(|key| config.pipelines.get(key));
    let pipeline = pipeline.ok_or_else(unknown)?;
    let model = config.models.get(&pipeline.model).ok_or_else(unknown)?;
    Ok(Work {
        id,
        organisation: caller.name,
        organisation_key: caller.organisation,
        share: caller.share,
        rank: caller.rank,
        model: pipeline.model,
        model_layers: model.layers,
        max_tokens: job.max_tokens.min(pipeline.max_tokens),
        prompt: job.prompt,
        arrived_at: caller.arrived_at,
        start_by: caller.start_by,
        deadline: caller.deadline,
    })
}

/// Starts the driver of a stream, unless the limit of requests in progress is reached.
fn start(
    instance: &Arc<Instance>,
    work: Work,
    reservation: Arc<Reservation>,
) -> Result<UnboundedReceiver<Progress>> {
    let permit = Arc::clone(&instance.request_permits).try_acquire_owned();
    let permit = permit.map_err(|_| Error::QueueFull(std::time::Duration::from_secs(1)))?;
    // The pipeline's `max_tokens` bounds the answer and thereby the channel's length.
    let (tx, rx) = mpsc::unbounded_channel();
    let driven = driver::drive(Arc::clone(instance), work, tx);
    instance.requests.spawn(async move {
        driven.await;
        // The driver keeps the prompt if the caller leaves.
        drop(reservation);
        drop(permit);
    });
    Ok(rx)
}

/// Waits for the whole answer and returns it in one response.
async fn collect(
    answer: Answer,
    first: Progress,
    mut progress: UnboundedReceiver<Progress>,
) -> Result<Response, Failure> {
    let mut text = String::new();
    let mut tokens = 0;
    let mut ended = false;
    let mut next = Some(first);
    while let Some(update) = next {
        match update {
            Progress::Token(token) => {
                text.push_str(&token.text);
                tokens += 1;
                ended = token.end;
            }
            Progress::End(Finish::Complete { .. }) => {
                let body = answer.completion(text, false, Some(ended), Some(tokens));
                return Ok(Json(body).into_response());
            }
            Progress::End(Finish::Failed(error, ran)) => {
                return Err(Failure::new(error, ran, answer.id.0));
            }
            Progress::End(Finish::Cancelled) => break,
        }
        next = progress.recv().await;
    }
    Err(interrupted(answer.id))
}
