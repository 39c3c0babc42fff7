//! A client of the instances' admin ports.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::IF_MATCH;
use http_body_util::Full;
use serde_json::Value;

use hemlockwind::backend::connection::Connections;
use hemlockwind::backend::connection::Protocol;
use hemlockwind::core::Error;
use hemlockwind::core::Result;
use hemlockwind::core::attempt::Attempt;
use hemlockwind::settings::Settings;
use hemlockwind::settings::faults;

use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Header with the operator's user name, which is shown to other operators.
const OPERATOR_HEADER: &str = "x-hemlockwind-operator";
/// Timeout of a request to one instance.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Error code of a conflict, see docs/ERRORS.md.
const CONFLICT: u64 = 4_002;
/// Error code of a change whose outcome is unknown.
const UNKNOWN: u64 = 6_003;
/// Error codes of a platform or instance that is unreachable or not ready.
const UNREACHABLE: [u64; 3] = [6_001, 2_005, 4_005];

/// `Admin` sends requests to the admin ports of a deployment's instances.
pub struct Admin {
    /// The settings of the deployment.
    pub settings: Settings,
    connections: Connections,
}

/// `AdminRequest` holds a request to an admin port.
#[derive(Clone, Debug)]
pub struct AdminRequest<'a> {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: &'a str,
    /// The configuration version that a change replaces.
    pub base: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl AdminRequest<'_> {
    /// Returns a GET request for `path`.
    pub fn read(path: &str) -> AdminRequest<'_> {
        AdminRequest {
            method: Method::GET,
            path,
            base: None,
            body: Bytes::new(),
        }
    }
}

impl Admin {
    /// Returns a client of the deployment whose settings are in `file`.
    ///
    /// # Errors
    ///
    /// Returns `Error::Usage` if the file can't be read, or `Error::Settings` with every
    /// fault in it.
    pub fn open(file: &str) -> Result<Self> {
        let text = read_file(file)?;
        let settings = Settings::parse(&text).map_err(|found| faults::error(&found))?;
        Ok(Self {
            settings,
            connections: Connections::new(Protocol::Http1),
        })
    }

    /// Sends a request to one instance.
    ///
    /// # Errors
    ///
    /// Returns the error of [`Connections::exchange`] if there is no response, and whether the
    /// request may have run; `Error::Usage` if the request can't be built.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: &AdminRequest<'_>,
    ) -> Result<Response<Bytes>, (Attempt, Error)> {
        let token = format!("Bearer {}", self.settings.admin_token);
        let mut req = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{addr}{}", request.path))
            .header(AUTHORIZATION, token)
            .header(OPERATOR_HEADER, std::env::var("USER").unwrap_or_default());
        if let Some(base) = request.base {
            req = req.header(IF_MATCH, format!("\"{base}\""));
        }
        let req = req.body(Full::from(request.body.clone()));
        let req = req.map_err(|e| (Attempt::Unsent, Error::usage(e.to_string())))?;
        self.connections.exchange(addr, req, TIMEOUT).await
    }

    /// Tries the instances in order until one can be reached. A change that an instance may
    /// have read is not sent to a second one.
    ///
    /// # Errors
    ///
    /// Returns the outcome to report if there is no successful response.
    pub async fn send_any(&self, request: &AdminRequest<'_>) -> Result<Response<Bytes>, Outcome> {
        let mut last = Error::usage("the settings name no instance");
        for instance in &self.settings.instances {
            match self.send(instance.admin, request).await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => return Err(refused(&response)),
                Err((attempt, error)) => {
                    if attempt != Attempt::Unsent && request.method != Method::GET {
                        let error = Error::platform_unknown(error.to_string());
                        return Err(Outcome::failed(Exit::Unknown, &error));
                    }
                    last = Error::peer_unreachable(error.to_string());
                }
            }
        }
        Err(Outcome::failed(Exit::Unreachable, &last))
    }
}

/// Returns the outcome to report for an error response.
pub fn refused(response: &Response<Bytes>) -> Outcome {
    let json: Value = serde_json::from_slice(response.body()).unwrap_or_default();
    let code = json["code"].as_u64().unwrap_or_default();
    let exit = match code {
        CONFLICT => Exit::Conflict,
        UNKNOWN => Exit::Unknown,
        code if UNREACHABLE.contains(&code) => Exit::Unreachable,
        _ => Exit::Refused,
    };
    let title = json["title"].as_str().unwrap_or("no reason given");
    Outcome {
        exit,
        text: format!("error {code}: {title}"),
        json,
    }
}

/// Reads a file as text.
///
/// # Errors
///
/// Returns `Error::Usage` if it can't be read.
pub fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| Error::usage(format!("{file}: {e}")))
}

/// Returns the version in a response's entity tag.
pub fn version(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get("etag")?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
