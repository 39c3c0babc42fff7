//! Looks why an engine refuses to be part of paths although its entry says ready.
//!
//! While the store is away no entry tells that an engine leaves or has lost its layers.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;

use hemlockwind_core::servers::BackendServer;
use hemlockwind_platform::engine;

use crate::gateway::Gateway;
use crate::streams;

/// The part of an engine's memory beyond which a refusal is for want of memory.
const FULL: f64 = 0.8;

/// Examines the engine at `addr` and tells what it finds.
pub async fn examine(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let report = match gateway.reports.get(&gateway.http, addr).await {
        Ok(report) => report,
        Err(e) => {
            info!(gateway.log, "engine examined"; "engine" => %addr, "error" => %e);
            streams::dead(gateway, addr);
            return;
        }
    };
    gateway.homes.report_memory(gateway.now(), addr, &report);
    let is_full = report.waiting > 0 || report.room_used >= report.room * FULL;
    info!(gateway.log, "engine examined"; "engine" => %addr, "room" => report.room,
        "room_used" => report.room_used, "waiting" => report.waiting,
        "layers" => report.layers.map(|l| l.to_string()), "is_full" => is_full);
    let known = {
        let directory = gateway.directory.read();
        directory.iter().find(|s| s.addr == addr).cloned()
    };
    let Some(known) = known else { return };
    if report.layers != known.layers {
        gateway.homes.holds(gateway, &known.id, report.layers).await;
        if report.layers.is_none() {
            // It has started anew: what ran over it stands still.
            streams::dead(gateway, addr);
        }
    } else if !is_full && !report.is_changing && !is_staying(gateway, &known).await {
        streams::leaves(gateway, addr);
    }
}

/// Whether an engine that has memory and still refuses counts itself as healthy. A report
/// is some hundred milliseconds old, so it alone does not tell that an engine leaves.
async fn is_staying(gateway: &Gateway, server: &BackendServer) -> bool {
    let routes = gateway.routes.load();
    let Some(service) = routes.service(&server.service) else {
        return true;
    };
    let healthy = engine::is_healthy(&gateway.http, server.addr, &service.health_path).await;
    info!(gateway.log, "engine's health"; "engine" => %server.addr,
        "healthy" => format!("{healthy:?}"));
    healthy.unwrap_or(false)
}
