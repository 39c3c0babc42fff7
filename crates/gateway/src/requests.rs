//! Reads a caller's request and determines its route, organisation and deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http::request::Parts;
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use slog::info;
use tokio::time::Instant;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Organisation;
use hemlockwind_core::routes::Repeat;
use hemlockwind_core::routes::Route;
use hemlockwind_core::routes::Routes;
use hemlockwind_platform::headers::ClientHeaders;

use crate::answers;
use crate::answers::Body;
use crate::callers::CallerConnection;
use crate::calls;
use crate::gateway::Gateway;
use crate::in_progress::Phase;
use crate::in_progress::RequestGuard;
use crate::in_progress::TrackedBody;
use crate::quarantine::PromptParts;
use crate::streams;

/// How long a request whose caller gives no time limit may take.
const DEFAULT_WAIT: Duration = Duration::from_secs(30);
/// When to retry after a refusal by an instance that has no routes yet or is stopping:
/// another one takes the next connection.
pub const OTHER_INSTANCE_RETRY: Duration = Duration::from_millis(100);
/// The organisation name under which requests of public routes are counted.
const PUBLIC_ORGANISATION: &str = "public";

/// `Accepted` is a request that was read whole and that its route permits.
pub struct Accepted {
    /// The caller's headers that the gateway evaluates, decoded.
    pub client: ClientHeaders,
    /// The id of the caller's attempt.
    pub attempt: String,
    /// All headers of the caller, which are passed on.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The version of the routes that were applied.
    pub version: u64,
    /// The service that handles it.
    pub service: Arc<str>,
    /// The caller's organisation, `None` on a public route.
    pub organisation: Option<Arc<str>>,
    /// The parts of its prompt that other requests may share.
    pub parts: PromptParts,
    /// The rank of its urgency.
    pub rank: Rank,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller's or the route's time limit is over, whichever is first.
    pub deadline: Instant,
    /// The deadline by the clock that also runs while the machine is suspended.
    pub expires_at: hemlockwind_core::time::Instant,
    /// The clock of `expires_at`.
    pub clock: SystemClock,
    /// Its entry among the requests in progress.
    pub progress: Arc<RequestGuard>,
}

impl Accepted {
    /// Returns the name of the organisation, for fair shares and histograms.
    pub fn organisation_name(&self) -> Arc<str> {
        self.organisation
            .clone()
            .unwrap_or_else(|| PUBLIC_ORGANISATION.into())
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.min(self.expires_at.since(self.clock.now()))
    }
}

/// Answers one request of `caller`.
pub async fn handle(
    gateway: Arc<Gateway>,
    caller: &Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Response<Body> {
    let client = ClientHeaders::read(req.headers());
    let attempt = client.attempt.clone();
    let progress = Arc::new(gateway.requests.begin(attempt.clone()));
    let response = match accept(&gateway, caller, req, client, &progress).await {
        Ok(accepted) => dispatch(&gateway, accepted).await,
        Err(e) => refuse(&gateway, attempt.as_deref(), &e),
    };
    let mut response = response;
    // The relay of a stream sets its phases.
    if let Some(size) = response.body().size_hint().exact() {
        progress.set_phase(Phase::Answering);
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if let Err(e) = caller.reserve_answer(size) {
            // The request may have run, so this is not a refusal.
            let error = Error::outcome_unknown(format!("its answer is not kept: {e}"));
            response = answers::failure(&error, attempt.as_deref(), None);
        }
    }
    // The request is in progress until its answer has been read.
    let guards = (progress, caller.answer());
    response.map(|body| TrackedBody::new(body, guards).boxed_unsync())
}

async fn dispatch(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    gateway.count_request(&accepted.service);
    match accepted.route.repeat {
        Repeat::Safe | Repeat::Unsafe => calls::serve(gateway, accepted).await,
        Repeat::Stream { .. } => streams::serve(gateway, accepted).await,
    }
}

/// Returns the answer to a request that is not accepted.
fn refuse(gateway: &Gateway, attempt: Option<&str>, e: &Error) -> Response<Body> {
    gateway.counters.add("requests_rejected");
    if let Some(left_out) = gateway.lines.take(gateway.now(), "rejected") {
        info!(gateway.log, "rejected"; "id" => attempt, "code" => e.code().number(),
            "error" => %e, "routes" => gateway.routes.load().version, "left_out" => left_out);
    }
    let retry = matches!(e, Error::NoConfig | Error::Stopping).then_some(OTHER_INSTANCE_RETRY);
    answers::failure(e, attempt, retry)
}

/// `Permitted` is what the routes say about a request.
struct Permitted {
    route: Arc<Route>,
    /// The organisation, `None` on a public route.
    organisation: Option<Arc<Organisation>>,
}

/// Reads a request and finds its route and organisation.
async fn accept(
    gateway: &Gateway,
    caller: &CallerConnection,
    req: Request<Incoming>,
    client: ClientHeaders,
    progress: &Arc<RequestGuard>,
) -> Result<Accepted> {
    let arrived = Instant::now();
    let (parts, mut body) = req.into_parts();
    caller.begin(parts.headers.len(), &body).await?;
    // A body is only read if the request can be served.
    let mut routes = gateway.routes.load_full();
    let mut permitted = match permit(&routes, &parts, &client) {
        Ok(permitted) => permitted,
        Err(e) => {
            // The caller sends the rest only if it is asked to.
            if !parts.headers.contains_key(header::EXPECT) {
                caller.discard(&mut body).await;
            }
            return Err(e);
        }
    };
    let limits = routes.limits;
    let body = caller.read(&mut body, limits.body_bytes, limits.header_bytes);
    let body = body.await?;
    // The newest routes are used once the whole request has arrived.
    let newest = gateway.routes.load();
    if !Arc::ptr_eq(&newest, &routes) {
        routes = Arc::clone(&newest);
        permitted = permit(&routes, &parts, &client)?;
    }
    let Permitted {
        route,
        organisation,
    } = permitted;
    let attempt = client.attempt.clone();
    let attempt = attempt.ok_or_else(|| Error::header("the attempt has no id"))?;
    let service = route.pick(rand::random::<f64>());
    let service = service.ok_or_else(|| Error::no_path(&*route.name))?;
    let rank = organisation.as_ref().and_then(|o| o.rank);
    let wait = client.wait.unwrap_or(DEFAULT_WAIT).min(route.timeout);
    if gateway.may_be_cut(&route, arrived + wait) {
        return Err(Error::Stopping);
    }
    progress.set_phase(Phase::Waiting);
    Ok(Accepted {
        attempt,
        headers: parts.headers,
        method: parts.method,
        uri: parts.uri,
        body,
        version: routes.version,
        parts: PromptParts::new(service, &client.shared_parts),
        service: Arc::clone(service),
        organisation: organisation.map(|o| Arc::clone(&o.name)),
        rank: rank.unwrap_or(route.rank),
        arrived,
        deadline: arrived + wait,
        expires_at: gateway.now() + wait.saturating_sub(arrived.elapsed()),
        clock: gateway.clock,
        progress: Arc::clone(progress),
        route,
        client,
    })
}

/// Finds the route and the organisation of a request.
fn permit(routes: &Routes, parts: &Parts, client: &ClientHeaders) -> Result<Permitted> {
    if routes.version == 0 {
        return Err(Error::NoConfig);
    }
    let host = host(&parts.headers, &parts.uri);
    let route = routes.route(host, parts.uri.path());
    let route =
        route.ok_or_else(|| Error::unknown_target(format!("{host}{}", parts.uri.path())))?;
    if client.attempt.is_none() {
        return Err(Error::header("the attempt has no id"));
    }
    let mut organisation = None;
    if routes.has_keys && !route.is_public {
        let key = client.key.as_deref().ok_or(Error::ApiKey)?;
        organisation = Some(routes.organisation(key).ok_or(Error::ApiKey)?);
    }
    Ok(Permitted {
        route: Arc::clone(route),
        organisation: organisation.cloned(),
    })
}

/// Returns the host that a request names, without the port.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let host_header = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = host_header.or(uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
