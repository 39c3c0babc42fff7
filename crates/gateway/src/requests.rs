//! One request of a caller: its route, its organisation, its deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::Uri;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use slog::info;
use tokio::time::Instant;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::names::Rank;
use hemlockwind_core::routes::Repeat;
use hemlockwind_core::routes::Route;
use hemlockwind_platform::headers::Asked;

use crate::answers;
use crate::answers::Body;
use crate::calls;
use crate::gateway::Gateway;
use crate::streams;

/// Time that a caller waits who does not say.
const WAIT_DEFAULT: Duration = Duration::from_secs(30);
/// When to come back to an instance that knows no routes yet or is stopping: another
/// one takes the next connection.
const ELSEWHERE_RETRY: Duration = Duration::from_millis(100);
/// The name under which requests of public routes are counted.
const PUBLIC: &str = "public";

/// `Accepted` is a request whose route allows it.
pub struct Accepted {
    /// What the caller's headers say.
    pub asked: Asked,
    /// The id of the caller's attempt.
    pub attempt: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The version of the routes that decided.
    pub version: u64,
    /// The service that takes it.
    pub service: Arc<str>,
    /// Who asks, `None` on a public route.
    pub organisation: Option<Arc<str>>,
    /// The rank.
    pub rank: Rank,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller's or the route's time is over, whichever is first.
    pub deadline: Instant,
    /// The same by the clock that goes on while the machine is suspended.
    pub expires_at: hemlockwind_core::time::Instant,
    /// That clock.
    pub clock: SystemClock,
}

impl Accepted {
    /// The name of the organisation, for fair shares and histograms.
    pub fn organisation_name(&self) -> Arc<str> {
        self.organisation.clone().unwrap_or_else(|| PUBLIC.into())
    }

    /// The time that is left.
    pub fn left(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.min(self.expires_at.since(self.clock.now()))
    }
}

/// Answers one request.
pub async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<Body> {
    let token = gateway.requests.token();
    let asked = Asked::read(req.headers());
    let attempt = asked.attempt.clone();
    let response = match accept(&gateway, req, asked).await {
        Ok(accepted) => dispatch(&gateway, accepted).await,
        Err(e) => refuse(&gateway, attempt.as_deref(), &e),
    };
    // A stream holds a token of its own.
    drop(token);
    response
}

async fn dispatch(gateway: &Arc<Gateway>, accepted: Accepted) -> Response<Body> {
    gateway.count_request(&accepted.service);
    match accepted.route.repeat {
        Repeat::Safe | Repeat::Unsafe => calls::serve(gateway, accepted).await,
        Repeat::Stream { .. } => streams::serve(gateway, accepted).await,
    }
}

/// The answer to a request that is not accepted.
fn refuse(gateway: &Gateway, attempt: Option<&str>, e: &Error) -> Response<Body> {
    gateway.counters.add("requests_rejected");
    if let Some(left_out) = gateway.lines.take(gateway.now(), "rejected") {
        info!(gateway.log, "rejected"; "id" => attempt, "code" => e.code().number(),
            "error" => %e, "routes" => gateway.routes.load().version, "left_out" => left_out);
    }
    let retry = matches!(e, Error::NoConfig | Error::Stopping).then_some(ELSEWHERE_RETRY);
    answers::failure(e, attempt, retry)
}

/// Reads a request and finds its route and organisation.
async fn accept(gateway: &Gateway, req: Request<Incoming>, asked: Asked) -> Result<Accepted> {
    let arrived = Instant::now();
    let (parts, body) = req.into_parts();
    let limits = gateway.routes.load().limits;
    let body = read(body, limits.body_bytes).await?;
    // The routes are looked up when the whole request is there, by the newest version.
    let routes = gateway.routes.load_full();
    if routes.version == 0 {
        return Err(Error::NoConfig);
    }
    let host = host(&parts.headers, &parts.uri);
    let route = routes.route(host, parts.uri.path());
    let route =
        route.ok_or_else(|| Error::unknown_target(format!("{host}{}", parts.uri.path())))?;
    let attempt = asked.attempt.clone();
    let attempt = attempt.ok_or_else(|| Error::header("the attempt has no id"))?;
    let mut organisation = None;
    if routes.has_keys && !route.is_public {
        let key = asked.key.as_deref().ok_or(Error::ApiKey)?;
        organisation = Some(routes.organisation(key).ok_or(Error::ApiKey)?);
    }
    let service = route.pick(rand::random::<f64>());
    let service = service.ok_or_else(|| Error::no_path(&*route.name))?;
    let rank = organisation.and_then(|o| o.rank).unwrap_or(route.rank);
    let wait = asked.wait.unwrap_or(WAIT_DEFAULT).min(route.timeout);
    // What may outlast this process would be cut; another instance can take it now.
    if gateway
        .ends_at
        .get()
        .is_some_and(|end| arrived + wait > *end)
    {
        return Err(Error::Stopping);
    }
    Ok(Accepted {
        attempt,
        headers: parts.headers,
        method: parts.method,
        uri: parts.uri,
        body,
        version: routes.version,
        service: Arc::clone(service),
        organisation: organisation.map(|o| Arc::clone(&o.name)),
        rank,
        arrived,
        deadline: arrived + wait,
        expires_at: gateway.now() + wait.saturating_sub(arrived.elapsed()),
        clock: gateway.clock,
        route: Arc::clone(route),
        asked,
    })
}

/// The whole body, within the limit.
async fn read(body: Incoming, limit: usize) -> Result<Bytes> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(Error::TooLarge(limit)),
        Err(e) => Err(Error::body(e.to_string())),
    }
}

/// The host that a request names, without a port.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let named = headers.get(header::HOST).and_then(|v| v.to_str().ok());
    let host = named.or(uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
