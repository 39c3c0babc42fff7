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
                let dispatch = dispatch(&caller, &target, &text, call, id, now);
                Ok(through_owner(&work, &target, &caller.name, &key, dispatch).await)
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

fn dispatch(
    caller: &Caller,
    target: &Target,
    key: &str,
    call: Call,
    id: Uuid,
    now: Instant,
) -> Dispatch {
    let headers = call.headers.into_iter();
    let time = caller.deadline.since(now).as_millis();
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
        deadline_ms: u32::try_from(time).unwrap_or(u32::MAX),
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

/// Hands a request to the owner of its key's slot, which is asked of the instance
/// that has the duty of it.
async fn through_owner(
    instance: &Arc<Instance>,
    target: &Target,
    organisation: &str,
    key: &Key,
    dispatch: Dispatch,
) -> Reply {
    let slot = u32::from(key.slot(organisation, slots::COUNT));
    let mut next = instance.duties.holder(Duty::Slot(slot), target.home);
    for _ in 0..HOPS {
        let Some(member) = next else {
            break;
        };
        match ask(instance, &member, dispatch.clone()).await {
            Reply::NotOwner(owner) => {
                let members = instance.duties.members();
                let is_owner = |m: &&Member| owner.as_deref() == Some(&*m.name);
                next = members.iter().find(is_owner).cloned();
            }
            reply @ (Reply::Answered { .. } | Reply::NotRun(_) | Reply::Unknown(_)) => {
                return reply;
            }
        }
    }
    // An earlier request with this key may have run, so this is no "not run".
    Reply::Unknown(no_owner())
}

/// What one instance says to a dispatch.
async fn ask(instance: &Arc<Instance>, member: &Member, dispatch: Dispatch) -> Reply {
    if member.key == instance.duties.me() {
        let reply = slots::dispatch(instance, dispatch).await;
        return reply.unwrap_or_else(Reply::Unknown);
    }
    let req = peer::Request::Dispatch(dispatch);
    match instance.edges.peer.call(member.addr, req).await {
        Ok(peer::Reply::Dispatch(dispatched)) => dispatched.into(),
        Err((Attempt::Unsent | Attempt::Refused, error)) => {
            Reply::Unknown(Error::claim_unavailable(error.to_string()))
        }
        Err((Attempt::Sent | Attempt::Answered, error)) => {
            Reply::Unknown(Error::outcome_unknown(error.to_string()))
        }
        Ok(_) => Reply::Unknown(Error::outcome_unknown("the peer's answer does not fit")),
    }
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
