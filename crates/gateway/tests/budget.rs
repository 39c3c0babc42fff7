//! The shares of the retry budget that the instances take stay below the whole budget.

use std::sync::Arc;

use hemlockwind_gateway::Gateway;
use hemlockwind_gateway::peers::Instance;
use hemlockwind_platform::settings::Settings;
use hemlockwind_telemetry::logs;

/// The published bounds: 0.2 of the requests and 200 in ten seconds.
const SETTINGS: &str = r#"{"nodeName":"front-a-1","zone":"a","listen":{"frontend":"127.0.0.1:1",
  "readyAddress":"127.0.0.1:2"},"internalPortRange":[3,4],"bounds":{"retryBudgetRatio":0.2,
  "retryBudgetSlack":200,"budgetWindowS":10},"platform":{"address":"127.0.0.1:5"}}"#;

fn gateway() -> Gateway {
    Gateway::new(Settings::parse(SETTINGS).unwrap(), logs::discard())
}

/// Returns the retries that one instance allows in a window without any request.
fn slack(gateway: &Gateway) -> f64 {
    let policy = gateway.retry_policy();
    policy.burst as f64 + policy.per_second as f64 / 1_000.0 * 10.0
}

#[test]
fn retry_policy_before_the_others_are_known() {
    // All 8 instances restart at once and have no list of instances yet.
    assert!(8.0 * slack(&gateway()) < 200.0);
}

#[test]
fn retry_policy_shared_by_the_listed_instances() {
    let gateway = gateway();
    let others = (0..7).map(|i| Instance {
        name: format!("front-{i}").into(),
        data_centre: Arc::from("a"),
        addr: "127.0.0.1:9".parse().unwrap(),
        processor_share: 0.25,
        process: 1,
    });
    gateway.peers.replace(gateway.now(), others.collect());
    let all = 8.0 * slack(&gateway);
    assert!(all < 200.0 && all > 80.0, "{all}");
}

#[test]
fn retry_budget_used_up() {
    let gateway = gateway();
    let service: Arc<str> = "drafts".into();
    let allowed = (0..100).filter(|_| gateway.may_retry(&service)).count();
    assert!((1..=25).contains(&allowed), "{allowed}");
}
