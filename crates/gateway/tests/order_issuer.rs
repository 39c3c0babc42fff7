//! Which orders are due while engines load, execute another order, or change.

use std::sync::Arc;
use std::time::Duration;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::Card;
use hemlockwind_core::servers::EngineModel;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_gateway::orders::order_issuer::OrderIssuer;
use hemlockwind_placement::Order;

/// Nine tenths of an engine's 21.6 GB may hold weights: eleven layers of 1.75 GB.
fn model() -> EngineModel {
    let card = Card {
        memory_bytes: 21.6e9,
        step_factor: 16.0,
        prefill_factor: 8.2,
    };
    let mut cards: SeededHashMap<Arc<str>, Card> = SeededHashMap::default();
    cards.insert("l4".into(), card);
    EngineModel {
        layers: 80,
        layer_bytes: 1.75e9,
        kv_token_bytes: 590_000.0,
        activation_bytes: 29_500.0,
        link_bits_per_s: 9e9,
        step_ms: 0.85,
        step_request_ms: 0.003_82,
        step_context_ms: 0.005_12,
        prefill_tokens_per_s: 196_000.0,
        load_time: Duration::from_secs(14),
        loads_at_once: 6,
        mean_prompt_tokens: 772.0,
        mean_answer_tokens: 172.0,
        cards,
    }
}

fn server(number: u16, layers: Option<(u16, u16)>) -> Arc<BackendServer> {
    Arc::new(BackendServer {
        id: format!("e{number:02}").into(),
        service: "drafts".into(),
        addr: format!("10.0.0.{}:80", number + 1).parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        state: ServerState::Ready,
        slots: 192,
        card: Some("l4".into()),
        layers: layers.and_then(|(start, end)| LayerRange::new(start, end).ok()),
        born_ms: 1,
    })
}

/// Returns one copy: ten engines of eight layers each.
fn copy() -> Vec<Arc<BackendServer>> {
    (0..10)
        .map(|i| server(i, Some((i * 8, i * 8 + 8))))
        .collect()
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(100_000 + ms)
}

fn due(order_issuer: &mut OrderIssuer, now: Instant, servers: &[Arc<BackendServer>]) -> Vec<Order> {
    let due = order_issuer.due(now, &model(), servers, |_| false, true);
    due.into_iter().map(|(_, order)| order).collect()
}

#[test]
fn due_nothing_for_a_whole_copy() {
    let mut order_issuer = OrderIssuer::default();
    assert!(due(&mut order_issuer, at(0), &copy()).is_empty());
    assert!(due(&mut order_issuer, at(10_000), &copy()).is_empty());
}

#[test]
fn due_gap_only_when_it_lasts() {
    let mut order_issuer = OrderIssuer::default();
    let mut servers = copy();
    servers.remove(4);
    assert!(due(&mut order_issuer, at(0), &servers).is_empty());
    assert!(!due(&mut order_issuer, at(200), &servers).is_empty());
}

#[test]
fn due_once_while_an_engine_loads() {
    let mut order_issuer = OrderIssuer::default();
    let mut servers = copy();
    servers.remove(4);
    due(&mut order_issuer, at(0), &servers);
    let first = due(&mut order_issuer, at(200), &servers);
    let again = due(&mut order_issuer, at(300), &servers);
    let repeated = again.iter().any(|o| first.iter().any(|f| f.id == o.id));
    assert!(!repeated, "{first:?} then {again:?}");
}

#[test]
fn due_not_for_an_engine_that_is_busy() {
    let mut order_issuer = OrderIssuer::default();
    let mut servers = copy();
    servers.remove(4);
    due(&mut order_issuer, at(0), &servers);
    for order in due(&mut order_issuer, at(200), &servers) {
        let server = servers.iter().find(|s| s.id == order.id).unwrap();
        order_issuer.busy(at(200), server);
        let soon = due(&mut order_issuer, at(300), &servers);
        assert!(soon.iter().all(|o| o.id != order.id), "{soon:?}");
    }
}

#[test]
fn due_new_engine_kept_for_the_one_that_it_replaces() {
    let mut order_issuer = OrderIssuer::default();
    let mut servers = copy();
    due(&mut order_issuer, at(0), &servers);
    servers.push(server(50, None));
    assert!(due(&mut order_issuer, at(1_000), &servers).is_empty());
    let leaving = Arc::make_mut(&mut servers[4]);
    leaving.state = ServerState::Leaving;
    let orders = due(&mut order_issuer, at(2_000), &servers);
    assert_eq!(&*orders[0].id, "e50");
    assert!(orders[0].layers.start() <= 32 && orders[0].layers.end() >= 40);
}
