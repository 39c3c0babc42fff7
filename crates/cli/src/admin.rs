//! The admin ports of a deployment's instances.

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

/// The header by which operators name themselves to each other.
const OPERATOR_HEADER: &str = "x-hemlockwind-operator";
/// Time that one instance has for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The code of a conflict, see docs/ERRORS.md.
const CONFLICT: u64 = 4_002;
/// The code of a change whose outcome is unknown.
const UNKNOWN: u64 = 6_003;
/// The codes of a platform or instance that can't be reached or is not ready.
const UNREACHABLE: [u64; 3] = [6_001, 2_005, 4_005];

/// `Admin` reaches the instances of a deployment.
pub struct Admin {
    /// The settings of the deployment.
    pub settings: Settings,
    connections: Connections,
}

/// `Ask` is one request to an admin port.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: &'a str,
    /// The version that a change replaces.
    pub base: Option<u64>,
    /// The body.
    pub body: Bytes,
}

impl Ask<'_> {
    /// A request that reads `path`.
    pub fn read(path: &str) -> Ask<'_> {
        Ask {
            method: Method::GET,
            path,
            base: None,
            body: Bytes::new(),
        }
    }
}

impl Admin {
    /// The deployment whose settings stand in `file`.
    ///
    /// # Errors
    ///
    /// `Error::Settings` with every fault.
    pub fn open(file: &str) -> Result<Self> {
        let text = read_file(file)?;
        let settings = Settings::parse(&text).map_err(|found| faults::error(&found))?;
        Ok(Self {
            settings,
            connections: Connections::new(Protocol::Http1),
        })
    }

    /// Asks one instance.
    ///
    /// # Errors
    ///
    /// `Error::PeerUnreachable` when it does not answer, with what may have run.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        ask: &Ask<'_>,
    ) -> Result<Response<Bytes>, (Attempt, Error)> {
        let token = format!("Bearer {}", self.settings.admin_token);
        let mut req = Request::builder()
            .method(ask.method.clone())
            .uri(format!("http://{addr}{}", ask.path))
            .header(AUTHORIZATION, token)
            .header(OPERATOR_HEADER, std::env::var("USER").unwrap_or_default());
        if let Some(base) = ask.base {
            req = req.header(IF_MATCH, format!("\"{base}\""));
        }
        let req = req.body(Full::from(ask.body.clone()));
        let req = req.map_err(|e| (Attempt::Unsent, Error::usage(e.to_string())))?;
        self.connections.exchange(addr, req, TIMEOUT).await
    }

    /// Asks one instance after the other until one can be reached. A change that
    /// may have been read by an instance is not given to a second one.
    ///
    /// # Errors
    ///
    /// The outcome that tells why there is no answer.
    pub async fn ask_any(&self, ask: &Ask<'_>) -> Result<Response<Bytes>, Outcome> {
        let mut last = Error::usage("the settings name no instance");
        for instance in &self.settings.instances {
            match self.ask(instance.admin, ask).await {
                Ok(response) if response.status().is_success() => return Ok(response),
                Ok(response) => return Err(refused(&response)),
                Err((attempt, error)) => {
                    if attempt != Attempt::Unsent && ask.method != Method::GET {
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

/// The outcome of a refusal.
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
/// `Error::Usage` when it can't be read.
pub fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| Error::usage(format!("{file}: {e}")))
}

/// The version in a response's entity tag.
pub fn version(response: &Response<Bytes>) -> Option<u64> {
    let tag = response.headers().get("etag")?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}
