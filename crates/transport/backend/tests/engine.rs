//! One odd result of an engine affects no other stream of the batch.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use hemlockwind_backend::clock::SystemClock;
use hemlockwind_backend::engine::HttpEngine;
use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;
use hemlockwind_core::edges::Clock;
use hemlockwind_core::edges::Engine;
use hemlockwind_core::engine::StepResult;

/// Starts an engine that answers each call with `body`.
async fn serve(body: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let body = Bytes::from(body);
    tokio::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let body = body.clone();
            let service = service_fn(move |_| {
                let body = body.clone();
                async move { Ok::<_, Infallible>(Response::new(Full::new(body))) }
            });
            let connection = http2::Builder::new(TokioExecutor::new());
            tokio::spawn(connection.serve_connection(TokioIo::new(tcp), service));
        }
    });
    addr
}

/// Returns the results that a client reads from `body`.
async fn read(body: Vec<u8>) -> Result<Vec<StepResult>, (Attempt, Error)> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock::default());
    let engine = HttpEngine::new(Arc::clone(&clock));
    let deadline = clock.now() + Duration::from_secs(5);
    engine.steps(serve(body).await, Vec::new(), deadline).await
}

/// Returns a result with these layers and this output.
fn result(token: u32, end: u16, output: &str) -> Vec<u8> {
    let id = format!(
        r#"{{"request":"00000000-0000-0000-0000-000000000001","incarnation":1,"token":{token},"start":0,"end":{end}}}"#
    );
    format!(r#"{{"id":{id},"output":{output}}}"#).into_bytes()
}

#[tokio::test]
async fn steps_odd_results_are_skipped() {
    let token = r#"{"token":{"id":7,"text":"a","end":false}}"#;
    let mut unreadable = result(5, 4, token);
    let text = unreadable.windows(3).position(|w| w == b"\"a\"").unwrap();
    unreadable[text + 1] = 0xFF;
    let results = [
        result(1, 4, token),
        b"null".to_vec(),
        result(2, 0, token),
        result(3, 4, r#"{"lamp":1}"#),
        result(4, 4, r#"{"activation":"%"}"#),
        unreadable,
        result(6, 4, token),
    ];
    let body = [b"{\"results\":[", &results.join(&b","[..])[..], b"]}"].concat();
    let found = read(body).await.unwrap();
    let tokens: Vec<u32> = found.iter().map(|r| r.id.token).collect();
    assert_eq!(tokens, [1, 6]);
}

#[tokio::test]
async fn steps_without_results_are_an_error() {
    for body in ["", "{}", "[]", r#"{"results":7}"#] {
        let read = read(body.into()).await;
        assert!(matches!(read, Err((Attempt::Answered, _))), "{read:?}");
    }
}
