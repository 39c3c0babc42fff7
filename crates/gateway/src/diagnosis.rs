//! Examines why an engine refuses to be part of paths although its entry says ready.
//!
//! While the store is unavailable, no entry shows that an engine leaves or has lost its
//! layers.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::info;

use hemlockwind_core::servers::BackendServer;
use hemlockwind_platform::engine;

use crate::gateway::Gateway;
use crate::streams;

/// Share of an engine's memory in use from which a refusal is due to lack of memory.
const FULL_SHARE: f64 = 0.8;

/// Examines the engine at `addr` and reports what it finds.
pub async fn examine(gateway: &Arc<Gateway>, addr: SocketAddr) {
    let report = match gateway.reports.get(&gateway.http, addr).await {
        Ok(report) => report,
        Err(e) => {
            info!(gateway.log, "engine examined"; "engine" => %addr, "error" => %e);
            streams::report_dead(gateway, addr);
            return;
        }
    };
    gateway
        .queue_owners
        .update_memory(gateway.now(), addr, &report);
    let is_full = report.waiting > 0 || report.capacity_used >= report.capacity * FULL_SHARE;
    info!(gateway.log, "engine examined"; "engine" => %addr, "room" => report.capacity,
        "room_used" => report.capacity_used, "waiting" => report.waiting,
        "layers" => report.layers.map(|l| l.to_string()), "is_full" => is_full);
    let entry = {
        let directory = gateway.directory.read();
        directory.at(addr).cloned()
    };
    let Some(entry) = entry else { return };
    if report.layers != entry.layers {
        gateway
            .queue_owners
            .update_layers(gateway, &entry.id, report.layers)
            .await;
        if report.layers.is_none() {
            // The engine has restarted, so the streams on it are stalled.
            streams::report_dead(gateway, addr);
        }
    } else if !is_full && !report.is_changing && !reports_healthy(gateway, &entry).await {
        streams::report_leaving(gateway, addr);
    }
}

/// Whether an engine that has memory and still refuses reports itself as healthy. A
/// report is a few hundred milliseconds old, so it alone does not show that an engine
/// leaves.
async fn reports_healthy(gateway: &Gateway, server: &BackendServer) -> bool {
    let routes = gateway.routes.load();
    let Some(service) = routes.service(&server.service) else {
        return true;
    };
    let healthy = engine::is_healthy(&gateway.http, server.addr, &service.health_path).await;
    info!(gateway.log, "engine's health"; "engine" => %server.addr,
        "healthy" => format!("{healthy:?}"));
    healthy.unwrap_or(false)
}
