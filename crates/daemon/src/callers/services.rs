//! Calls to plain HTTP services. A call whose method is idempotent, or that has no
//! idempotency key, is sent directly; any other goes through the owner of its key's slot.

use std::sync::Arc;

use axum::Extension;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::HeaderValue;
use axum::http::StatusCode;
use axum::http::header::ACCEPT;
use axum::http::header::ACCEPT_LANGUAGE;
use axum::http::header::CONTENT_TYPE;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use uuid::Uuid;

use hemlockwind_claims::Key;
use hemlockwind_claims::Reply;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::attempt::Attempts;
use hemlockwind_core::attempt::Ran;
use hemlockwind_core::edges::Answer;
use hemlockwind_core::edges::Call;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::ServiceKey;
use hemlockwind_core::time::Instant;
use hemlockwind_membership::Assignment;
use hemlockwind_protocol::peer;
use hemlockwind_protocol::peer::claims::Dispatch;

use crate::assignments::Member;
use crate::caller_connections::Lease;
use crate::callers::body;
use crate::callers::caller::Caller;
use crate::in_progress::Entry;
use crate::in_progress::RequestState;
use crate::instance::Instance;
use crate::problem::Failure;
use crate::slots;
use crate::transmission::Unsent;

/// The header with the request's id.
const REQUEST_HEADER: &str = "x-request-id";
/// The header that marks the answer to an earlier request with the same key.
const REPLAYED_HEADER: &str = "x-hemlockwind-replayed";
/// The header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// The prefix of the path before the service's name.
const PREFIX: &str = "/v1/services/";
/// Maximum number of attempts of an idempotent call. A further attempt is made only if none of
/// the earlier ones can have been run.
const MAX_ATTEMPTS: usize = 2;
/// Maximum number of instances to which a request is dispatched, one after the other, to
/// find the owner of its key's slot.
const MAX_DISPATCHES: usize = 3;

/// `Target` describes the service of a call, and whether the call may be repeated.
struct Target {
    service: ServiceKey,
    name: Arc<str>,
    may_repeat: bool,
    /// The home data centre of the caller's organisation.
    home_centre: DataCentreKey,
}

/// Handles all methods on `/v1/services/{service}/…`.
pub async fn call(
    State(instance): State<Arc<Instance>>,
    Path((service, _)): Path<(String, String)>,
    Extension(lease): Extension<Arc<Lease>>,
    req: Request,
) -> Response {
    let id = Uuid::now_v7();
    let unsent = req.extensions().get::<Unsent>().cloned();
    let entry = instance.in_progress.add(id);
    let mut response = match serve(&instance, &service, req, &lease, id, &entry).await {
        Ok(response) => response,
        Err(mut failure) => {
            failure.request = id.to_string();
            slog::info!(instance.log, "a request failed"; "request" => %id, "code" => failure.error.code().number(), "error" => %failure.error);
            failure.into_response()
        }
    };
    if let Ok(value) = id.to_string().parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    entry.set(RequestState::Answering);
    unsent.unwrap_or_default().track(response, entry)
}

/// Reads, validates and runs a call.
async fn serve(
    instance: &Arc<Instance>,
    service: &str,
    req: Request,
    lease: &Lease,
    id: Uuid,
    entry: &Entry,
) -> Result<Response, Failure> {
    if instance.stopping.is_cancelled() {
        return Err(Error::Stopping.into());
    }
    let (parts, body) = req.into_parts();
    let now = instance.edges.clock.now();
    let caller = Caller::new(&parts.headers, &instance.config.load(), now)?;
    let target = target(instance, service, parts.method.as_str(), &caller)?;
    // A call that may outlast this process would be cut with an unknown outcome.
    let outlasts = instance
        .ends_at
        .get()
        .is_some_and(|end| caller.deadline > *end);
    if outlasts && !target.may_repeat {
        return Err(Error::Stopping.into());
    }
    let key = key(&parts.headers)?;
    let whole = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let path = whole
        .strip_prefix(PREFIX)
        .and_then(|path| path.find('/').map(|at| &path[at..]));
    let call = Call {
        method: parts.method.to_string(),
        path: path.unwrap_or("/").into(),
        headers: forwarded_headers(&parts.headers, id),
        body: body::receive(instance, body, lease).await?,
    };
    let cx = Arc::clone(instance);
    let entry = entry.clone();
    let reservation = lease.reservation();
    entry.set(RequestState::Running);
    // Runs in a task of its own, so that the call's outcome is recorded even if the caller's
    // connection breaks.
    let reply = instance.requests.spawn(async move {
        let _entry = entry;
        // The call keeps its body if the caller leaves.
        let _reservation = reservation;
        let reply = async {
            match key.filter(|_| !target.may_repeat) {
                Some((key, text)) => {
                    let dispatch = dispatch(&caller, &target, &text, call, id);
                    Ok(call_through_owner(&cx, &target, &caller, &key, dispatch).await)
                }
                None => {
                    let max_attempts = if target.may_repeat { MAX_ATTEMPTS } else { 1 };
                    call_directly(&cx, &target, call, caller.deadline, max_attempts).await
                }
            }
        };
        tokio::select! {
            reply = reply => reply,
            () = cx.ending.cancelled() => Ok(Reply::Unknown(slots::stopped())),
        }
    });
    let reply = reply.await.unwrap_or_else(|e| {
        let error = Error::outcome_unknown(e.to_string());
        Err(Failure::new(error, Ran::Unknown, id))
    });
    match reply? {
        Reply::Answered { answer, replayed } => Ok(response(answer, replayed)),
        Reply::NotRun(error) => Err(error.into()),
        Reply::Unknown(error) => Err(Failure::new(error, Ran::Unknown, id)),
        Reply::NotOwner(_) => Err(Failure::new(no_owner(), Ran::Unknown, id)),
    }
}

/// Returns the target of a call.
fn target(instance: &Instance, name: &str, method: &str, caller: &Caller) -> Result<Target> {
    let config = instance.config.load();
    let unknown = || Error::unknown_target(name);
    let &key = config.service_names.get(name).ok_or_else(unknown)?;
    let service = config.services.get(&key).ok_or_else(unknown)?;
    let organisation = config.organisations.get(&caller.organisation);
    Ok(Target {
        service: key,
        name: Arc::clone(&service.name),
        may_repeat: service.idempotent_methods.iter().any(|m| m == method),
        home_centre: organisation.ok_or(Error::ApiKey)?.home,
    })
}

/// Returns the caller's idempotency key with its text.
fn key(headers: &HeaderMap) -> Result<Option<(Key, String)>> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| Error::idempotency_key("a key holds only visible ASCII"))?;
    Ok(Some((Key::parse(text)?, text.into())))
}

/// Returns the headers that are forwarded to the service.
fn forwarded_headers(headers: &HeaderMap, id: Uuid) -> Vec<(String, Bytes)> {
    let names = [
        CONTENT_TYPE.as_str(),
        ACCEPT.as_str(),
        ACCEPT_LANGUAGE.as_str(),
        KEY_HEADER,
    ];
    let forwarded = names.into_iter().filter_map(|name| {
        let value = headers.get(name)?;
        Some((name.into(), Bytes::copy_from_slice(value.as_bytes())))
    });
    let id = (REQUEST_HEADER.into(), Bytes::from(id.to_string()));
    forwarded.chain([id]).collect()
}

/// Creates the message for the slot's owner. Its deadline is set when it is sent.
fn dispatch(caller: &Caller, target: &Target, key: &str, call: Call, id: Uuid) -> Dispatch {
    let headers = call.headers.into_iter();
    Dispatch {
        request: id,
        organisation: caller.name.to_string(),
        key: key.into(),
        service: target.name.to_string(),
        method: call.method,
        path: call.path,
        headers: headers
            .map(|(name, value)| (name, value.to_vec()))
            .collect(),
        body: call.body.into(),
        deadline_ms: 0,
    }
}

/// Sends a call to a server of the service. It is sent again only as long as no attempt can
/// have been run.
async fn call_directly(
    instance: &Instance,
    target: &Target,
    call: Call,
    deadline: Instant,
    max_attempts: usize,
) -> Result<Reply, Failure> {
    let servers = instance.fleet.service_servers(target.service);
    if servers.is_empty() {
        return Err(Error::no_path(format!("the service {}", target.name)).into());
    }
    let mut attempts = Attempts::default();
    let mut last = Error::DeadlinePassed;
    for &(_, to) in servers.iter().cycle().take(max_attempts) {
        let attempt = attempts.open();
        match instance
            .edges
            .service
            .call(to, call.clone(), deadline)
            .await
        {
            Ok(answer) => {
                let replayed = false;
                return Ok(Reply::Answered { answer, replayed });
            }
            Err((state, error)) => {
                attempts.record(attempt, state);
                last = error;
            }
        }
        if attempts.not_run().is_none() {
            break;
        }
    }
    Err(Failure::new(last, attempts.ran(), ""))
}

/// Sends a request to the owner of its key's slot. The request is dispatched to the candidates
/// for the slot one after the other. One that isn't the owner replies with the owner that it
/// has recorded, if any, which is tried next. A dispatch that gets no answer does no harm,
/// since the owner of the slot runs each key once. After it, however, the request can't be
/// reported as not run.
async fn call_through_owner(
    instance: &Arc<Instance>,
    target: &Target,
    caller: &Caller,
    key: &Key,
    dispatch: Dispatch,
) -> Reply {
    let slot = u32::from(key.slot(&caller.name, slots::COUNT));
    let assignments = &instance.assignments;
    let mut next = assignments.holders(
        Assignment::Slot(slot),
        target.home_centre,
        slots::CANDIDATES,
    );
    let mut tried = Vec::new();
    let mut error = no_owner();
    let mut attempts = Attempts::default();
    while tried.len() < MAX_DISPATCHES && !next.is_empty() {
        let to = next.remove(0);
        let members = assignments.members();
        let member = members.iter().find(|m| m.key == to && !tried.contains(&to));
        let Some(member) = member else {
            continue;
        };
        tried.push(to);
        let attempt = attempts.open();
        let dispatch = Dispatch {
            deadline_ms: remaining_ms(instance, caller.deadline),
            ..dispatch.clone()
        };
        match dispatch_to(instance, member, dispatch).await {
            Ok(Reply::NotOwner(owner)) => {
                let owner = members.iter().find(|m| owner.as_deref() == Some(&*m.name));
                next.splice(0..0, owner.map(|m| m.key));
            }
            Ok(Reply::NotRun(error)) if attempts.not_run().is_none() => {
                return Reply::Unknown(error);
            }
            Ok(reply @ (Reply::Answered { .. } | Reply::NotRun(_) | Reply::Unknown(_))) => {
                return reply;
            }
            Err((state, e)) => {
                attempts.record(attempt, state);
                error = e;
            }
        }
    }
    // An earlier request with this key may have run, so this one is never reported as not run.
    match attempts.not_run() {
        Some(_) => Reply::Unknown(Error::claim_unavailable(error.to_string())),
        None => Reply::Unknown(Error::outcome_unknown(error.to_string())),
    }
}

/// Sends a dispatch to one instance and returns its reply. The attempt in an error states
/// whether the instance may have received the dispatch.
async fn dispatch_to(
    instance: &Arc<Instance>,
    member: &Member,
    dispatch: Dispatch,
) -> Result<Reply, (Attempt, Error)> {
    if member.key == instance.assignments.me() {
        let reply = slots::dispatch(instance, dispatch).await;
        return reply.map_err(|e| (Attempt::Unsent, e));
    }
    let req = peer::Request::Dispatch(dispatch);
    match instance.edges.peer.call(member.addr, req).await? {
        peer::Reply::Dispatch(dispatched) => Ok(dispatched.into()),
        _ => {
            let error = Error::peer_frame("it is not a reply to a dispatch");
            Err((Attempt::Sent, error))
        }
    }
}

/// Returns the time until `deadline`, in milliseconds.
fn remaining_ms(instance: &Instance, deadline: Instant) -> u32 {
    let remaining = deadline.since(instance.edges.clock.now());
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

/// Returns the error of a call for whose slot no owner was found.
fn no_owner() -> Error {
    Error::claim_unavailable("no instance owns the key's slot")
}

/// Converts a service's answer to a response.
fn response(answer: Answer, replayed: bool) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, answer.body).into_response();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    if replayed {
        let value = HeaderValue::from_static("true");
        response.headers_mut().insert(REPLAYED_HEADER, value);
    }
    response
}
