//! An HTTP client for the tests.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper_util::client::legacy::Client as Http;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time limit of an answer, long enough for a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// `Client` speaks HTTP/2 with prior knowledge, on connections of its own.
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .http2_only(true)
            .build(connector);
        Self { http, addr }
    }

    /// Returns the status and body of an answer, or an error if none arrived.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), String> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr))
            .header("content-type", "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body)).unwrap();
        let res = tokio::time::timeout(ANSWER_TIMEOUT, self.http.request(req)).await;
        let res = res
            .map_err(|e| e.to_string())?
            .map_err(|e| format!("{e:?}"))?;
        let status = res.status();
        let body = res.into_body().collect().await;
        Ok((status, body.map_err(|e| e.to_string())?.to_bytes()))
    }

    pub async fn json<B: Serialize>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<(StatusCode, Bytes), String> {
        let body = serde_json::to_vec(body).unwrap();
        self.send(method, path, &[], body).await
    }

    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> A {
        let (status, body) = self.send(Method::GET, path, &[], vec![]).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{path}");
        serde_json::from_slice(&body).unwrap()
    }
}
