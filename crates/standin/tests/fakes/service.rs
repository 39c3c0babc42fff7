//! The service's record of its runs, and the relay in front of a service.

use std::time::Duration;

use hemlockwind_standin::relay::Mode;
use hemlockwind_standin::relay::Modes;
use hemlockwind_standin::relay::Relay;
use hemlockwind_standin::service;
use hemlockwind_standin::service::Faults;
use hemlockwind_standin::service::Options;
use hemlockwind_standin::service::RunRecord;
use http::Method;
use http::StatusCode;

use crate::client::Client;

const KEY: &[(&str, &str)] = &[("idempotency-key", "k1")];

#[tokio::test]
async fn call_answer_lost_runs() {
    let service = service::start(Options::default()).await.unwrap();
    let client = Client::new(service.addr);
    service.state.set_faults(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let lost = client
        .send(Method::POST, "/loans?x=1", KEY, b"lamp".to_vec())
        .await;
    assert!(lost.is_err(), "{lost:?}");
    let again = client
        .send(Method::POST, "/loans?x=1", KEY, b"lamp".to_vec())
        .await;
    assert_eq!(again.unwrap().0, StatusCode::OK);
    service.state.set_faults(Faults {
        refuse: true,
        ..Faults::default()
    });
    let refused = client.send(Method::POST, "/loans", KEY, vec![]).await;
    assert_eq!(refused.unwrap().0, StatusCode::SERVICE_UNAVAILABLE);
    let ran: RunRecord = client.get("/_standin/ran").await;
    assert_eq!((ran.total, ran.calls.len(), ran.calls[0].count), (2, 1, 2));
    assert_eq!(ran.calls[0].call.key.as_deref(), Some("k1"));
}

#[tokio::test]
async fn relay_silent_new_connection_works() {
    let service = service::start(Options::default()).await.unwrap();
    let relay = Relay::start(service.addr).await.unwrap();
    let client = Client::new(relay.addr);
    let call = || client.send(Method::GET, "/", &[], vec![]);
    let short = Duration::from_millis(200);
    assert!(call().await.is_ok());
    // The call arrives, but its answer is lost.
    relay.set_open(Modes {
        from_target: Mode::Silence,
        ..Modes::default()
    });
    assert!(tokio::time::timeout(short, call()).await.is_err());
    assert_eq!(service.state.run_record().total, 2);
    let fresh = Client::new(relay.addr);
    assert!(fresh.send(Method::GET, "/", &[], vec![]).await.is_ok());

    relay.set(Modes::both(Mode::Delay(Duration::from_millis(50))));
    let begin = std::time::Instant::now();
    assert!(fresh.send(Method::GET, "/", &[], vec![]).await.is_ok());
    assert!(begin.elapsed() >= Duration::from_millis(100));
    relay.set_refusing(true);
    relay.cut();
    assert!(fresh.send(Method::GET, "/", &[], vec![]).await.is_err());
}
