//! `hemlockwind drain`: drains an instance or a backend server.

use bytes::Bytes;
use http::Method;
use serde_json::json;

use hemlockwind::core::Error;
use hemlockwind::protocol::document::Document;

use crate::admin::Admin;
use crate::admin::AdminRequest;
use crate::admin::refused;
use crate::admin::version;
use crate::apply;
use crate::args::Drain;
use crate::outcome::Exit;
use crate::outcome::Outcome;

/// Drains an instance or a backend server: it finishes its work and accepts no more.
pub async fn run(command: &Drain) -> Outcome {
    let admin = match Admin::open(&command.settings) {
        Ok(admin) => admin,
        Err(e) => return Outcome::failed(Exit::Usage, &e),
    };
    let name = command.name.as_str();
    match admin.settings.instance(Some(name)).map(|i| i.admin) {
        Some(addr) => drain_instance(&admin, name, addr).await,
        None => drain_backend_server(&admin, name).await,
    }
}

/// Starts the planned stop of an instance.
async fn drain_instance(admin: &Admin, name: &str, addr: std::net::SocketAddr) -> Outcome {
    let req = AdminRequest {
        method: Method::POST,
        path: "/v1/drain",
        base: None,
        body: Bytes::new(),
    };
    match admin.send(addr, &req).await {
        Ok(response) if response.status().is_success() => {
            Outcome::done(format!("{name} is stopping"), json!({"stopping": name}))
        }
        Ok(response) => refused(&response),
        Err((_, e)) => Outcome::failed(Exit::Unreachable, &Error::peer_unreachable(e.to_string())),
    }
}

/// Marks a backend server as leaving in the configuration.
async fn drain_backend_server(admin: &Admin, name: &str) -> Outcome {
    let response = match admin.send_any(&AdminRequest::read(apply::PATH)).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    let mut document: Document = match serde_json::from_slice(response.body()) {
        Ok(document) => document,
        Err(e) => return Outcome::failed(Exit::Refused, &Error::config(e.to_string())),
    };
    let servers = document.backend_servers.iter_mut();
    let Some(server) = servers.into_iter().find(|server| server.name == name) else {
        let error = Error::unknown_target(name);
        return Outcome::failed(Exit::Refused, &error);
    };
    server.leaving = true;
    let outcome = apply::send(admin, version(&response), &document).await;
    if outcome.exit != Exit::Done {
        return outcome;
    }
    Outcome::done(format!("{name} is leaving"), outcome.json)
}
