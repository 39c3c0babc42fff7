//! The selection of a plain server when some are loaded, slow, failing or leaving.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_gateway::servers::CallOutcome;
use hemlockwind_gateway::servers::Servers;

const NOW: Instant = Instant::from_millis(5_000);

fn three() -> Vec<Arc<BackendServer>> {
    let servers = (1..=3).map(|i| {
        Arc::new(BackendServer {
            id: format!("s{i}").into(),
            service: "ledger".into(),
            addr: format!("10.0.0.{i}:80").parse().unwrap(),
            data_centre: "a".into(),
            version: "v1".into(),
            state: ServerState::Ready,
            slots: 6,
            card: None,
            layers: None,
            born_ms: 1,
        })
    });
    servers.collect()
}

/// Returns how many of 100 calls each server gets if its calls take `ms` milliseconds.
fn spread(servers: &Servers, candidates: &[Arc<BackendServer>], ms: [u64; 3]) -> [u32; 3] {
    let mut counts = [0; 3];
    for _ in 0..100 {
        let chosen = servers.begin(NOW, candidates, "a", &[]).unwrap();
        let which = candidates
            .iter()
            .position(|s| s.addr == chosen.addr)
            .unwrap();
        counts[which] += 1;
        let time = Duration::from_millis(ms[which]);
        servers.end(NOW, chosen.addr, CallOutcome::Answered(time));
    }
    counts
}

#[test]
fn begin_least_loaded() {
    let servers = Servers::default();
    let candidates = three();
    let first = servers.begin(NOW, &candidates, "a", &[]).unwrap();
    let second = servers.begin(NOW, &candidates, "a", &[]).unwrap();
    assert_ne!(first.addr, second.addr);
}

#[test]
fn begin_slow_server_gets_little() {
    let servers = Servers::default();
    let counts = spread(&servers, &three(), [300, 60, 60]);
    assert!(counts[0] <= 10, "{counts:?}");
}

#[test]
fn begin_failing_server_is_avoided() {
    let servers = Servers::default();
    let candidates = three();
    let failing = candidates[0].addr;
    for _ in 0..10 {
        servers.end(NOW, failing, CallOutcome::Failed);
    }
    let later = NOW + Duration::from_millis(1_000);
    let chosen = servers.begin(later, &candidates, "a", &[]).unwrap();
    assert_ne!(chosen.addr, failing);
}

#[test]
fn begin_never_a_leaving_server() {
    let servers = Servers::default();
    let mut candidates = three();
    for server in &mut candidates {
        Arc::make_mut(server).state = ServerState::Leaving;
    }
    assert!(servers.begin(NOW, &candidates, "a", &[]).is_none());
}

#[test]
fn begin_not_again_where_it_was_tried() {
    let servers = Servers::default();
    let candidates = three();
    let tried = [candidates[0].addr, candidates[1].addr];
    let chosen = servers.begin(NOW, &candidates, "a", &tried).unwrap();
    assert_eq!(chosen.addr, candidates[2].addr);
}
