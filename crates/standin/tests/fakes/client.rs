//! A client with connections of its own, and a pipeline of engines.

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

/// How long a fake may take on a busy machine.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// `Client` speaks HTTP/2 with prior knowledge.
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    to: SocketAddr,
}

impl Client {
    pub fn new(to: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = Http::builder(TokioExecutor::new())
            .http2_only(true)
            .build(connector);
        Self { http, to }
    }

    /// The status and body of an answer; an error when none arrived.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), String> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.to))
            .header("content-type", "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::from(body)).unwrap();
        let res = tokio::time::timeout(WAIT_LIMIT, self.http.request(req)).await;
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
