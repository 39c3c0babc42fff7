//! Calls to plain services: straight when they may be repeated or carry no key,
//! else through the owner of the key's slot.

use std::sync::Arc;

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
use hemlockwind_membership::Duty;
use hemlockwind_protocol::peer;
use hemlockwind_protocol::peer::claims::Dispatch;

use crate::callers::body;
use crate::callers::caller::Caller;
use crate::duties::Member;
use crate::instance::Instance;
use crate::problem::Failure;
use crate::slots;

/// The header with the request's id.
const REQUEST_HEADER: &str = "x-request-id";
/// The header that says that an answer belongs to an earlier request.
const REPLAYED_HEADER: &str = "x-hemlockwind-replayed";
/// The header with the caller's key.
const KEY_HEADER: &str = "idempotency-key";
/// The path before the service's name.
const PREFIX: &str = "/v1/services/";
/// Tries of a call that may be repeated, while it did not reach a service's work.
const TRIES: usize = 2;
/// Instances that are asked in turn for a slot's owner.
const HOPS: usize = 3;

/// `Target` is what a call asks for.
struct Target {
    service: ServiceKey,
    name: Arc<str>,
    may_repeat: bool,
    home: DataCentreKey,
}

/// Any method on `/v1/services/{service}/…`.
pub async fn call(
    State(instance): State<Arc<Instance>>,
    Path((service, _)): Path<(String, String)>,
    req: Request,
) -> Response {
    let id = Uuid::now_v7();
    let mut response = match serve(&instance, &service, req, id).await {
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
    response
}

/// Reads and checks a call, and has it run.
async fn serve(
    instance: &Arc<Instance>,
    service: &str,
    req: Request,
    id: Uuid,
) -> Result<Response, Failure> {
    if instance.stopping.is_cancelled() {
        return Err(Error::Stopping.into());
    }
    let (parts, body) = req.into_parts();
    let now = instance.edges.clock.now();
    let caller = Caller::new(&parts.headers, &instance.config.load(), now)?;
    let target = target(instance, service, parts.method.as_str(), &caller)?;
    let key = key(&parts.headers)?;
    let whole = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let path = whole
        .strip_prefix(PREFIX)
        .and_then(|path| path.find('/').map(|at| &path[at..]));
    let call = Call {
        method: parts.method.to_string(),
        path: path.unwrap_or("/").into(),
        headers: passed_on(&parts.headers, id),
        body: body::read(body, &instance.settings.limits).await?,
    };
    let work = Arc::clone(instance);
    // The call goes on when the caller's connection breaks, so that its outcome is known.
    let reply = instance.requests.spawn(async move {
        match key.filter(|_| !target.may_repeat) {
            Some((key, text)) => {
                let dispatch = dispatch(&caller, &target, &text, call, id);
                Ok(through_owner(&work, &target, &caller, &key, dispatch).await)
            }
            None => {
                let tries = if target.may_repeat { TRIES } else { 1 };
                straight(&work, &target, call, caller.deadline, tries).await
            }
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
        home: organisation.ok_or(Error::ApiKey)?.home,
    })
}

/// The caller's key with its text.
fn key(headers: &HeaderMap) -> Result<Option<(Key, String)>> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let text = value.to_str();
    let text = text.map_err(|_| Error::idempotency_key("a key holds only visible ASCII"))?;
    Ok(Some((Key::parse(text)?, text.into())))
}

/// The headers that the service sees.
fn passed_on(headers: &HeaderMap, id: Uuid) -> Vec<(String, Bytes)> {
    let names = [
        CONTENT_TYPE.as_str(),
        ACCEPT.as_str(),
        ACCEPT_LANGUAGE.as_str(),
        KEY_HEADER,
    ];
    let passed = names.into_iter().filter_map(|name| {
        let value = headers.get(name)?;
        Some((name.into(), Bytes::copy_from_slice(value.as_bytes())))
    });
    let id = (REQUEST_HEADER.into(), Bytes::from(id.to_string()));
    passed.chain([id]).collect()
}

/// The message for the slot's owner. Its time is set when it is sent.
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

/// Sends a call to a server of the service. It is tried again only while it did not
/// reach the service's work.
async fn straight(
    instance: &Instance,
    target: &Target,
    call: Call,
    deadline: Instant,
    tries: usize,
) -> Result<Reply, Failure> {
    let servers = instance.fleet.service(target.service);
    if servers.is_empty() {
        return Err(Error::no_path(format!("the service {}", target.name)).into());
    }
    let mut attempts = Attempts::default();
    let mut last = Error::DeadlinePassed;
    for &(_, to) in servers.iter().cycle().take(tries) {
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
            Err((known, error)) => {
                attempts.record(attempt, known);
                last = error;
            }
        }
        if attempts.not_run().is_none() {
            break;
        }
    }
    Err(Failure::new(last, attempts.ran(), ""))
}

/// Hands a request to the owner of its key's slot, which is asked of the instances
/// that have the duty of it. A copy that got no answer is no harm: whoever owns the
/// slot runs the key once. But "not run" can't be said any more then.
async fn through_owner(
    instance: &Arc<Instance>,
    target: &Target,
    caller: &Caller,
    key: &Key,
    dispatch: Dispatch,
) -> Reply {
    let slot = u32::from(key.slot(&caller.name, slots::COUNT));
    let duties = &instance.duties;
    let mut next = duties.holders(Duty::Slot(slot), target.home, slots::CANDIDATES);
    let mut asked = Vec::new();
    let mut error = no_owner();
    let mut attempts = Attempts::default();
    while asked.len() < HOPS && !next.is_empty() {
        let to = next.remove(0);
        let members = duties.members();
        let member = members.iter().find(|m| m.key == to && !asked.contains(&to));
        let Some(member) = member else {
            continue;
        };
        asked.push(to);
        let attempt = attempts.open();
        let dispatch = Dispatch {
            deadline_ms: remaining_ms(instance, caller.deadline),
            ..dispatch.clone()
        };
        match ask(instance, member, dispatch).await {
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
            Err((known, why)) => {
                attempts.record(attempt, known);
                error = why;
            }
        }
    }
    // An earlier request with this key may have run, so this is no "not run".
    match attempts.not_run() {
        Some(_) => Reply::Unknown(Error::claim_unavailable(error.to_string())),
        None => Reply::Unknown(Error::outcome_unknown(error.to_string())),
    }
}

/// What one instance says to a dispatch. The error's attempt tells whether it may
/// have read it.
async fn ask(
    instance: &Arc<Instance>,
    member: &Member,
    dispatch: Dispatch,
) -> Result<Reply, (Attempt, Error)> {
    if member.key == instance.duties.me() {
        let reply = slots::dispatch(instance, dispatch).await;
        return reply.map_err(|e| (Attempt::Unsent, e));
    }
    let req = peer::Request::Dispatch(dispatch);
    match instance.edges.peer.call(member.addr, req).await? {
        peer::Reply::Dispatch(dispatched) => Ok(dispatched.into()),
        _ => {
            let error = Error::peer_frame("the answer is not one to a dispatch");
            Err((Attempt::Sent, error))
        }
    }
}

fn remaining_ms(instance: &Instance, deadline: Instant) -> u32 {
    let remaining = deadline.since(instance.edges.clock.now());
    u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX)
}

fn no_owner() -> Error {
    Error::claim_unavailable("no instance owns the key's slot")
}

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
