//! A caller with a connection for each request.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hemlockwind_standin::oracle;
use hemlockwind_standin::sample;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

/// How long a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(60);

/// `Caller` sends requests to one address.
#[derive(Clone)]
pub struct Caller {
    to: SocketAddr,
    token: String,
}

/// `Failure` is why there is no answer.
#[derive(Debug)]
pub enum Failure {
    /// No connection came about, so nothing was sent.
    Refused,
    /// The connection was cut before an answer.
    Cut(String),
}

/// `Ended` is how a stream ended.
#[derive(Debug, PartialEq)]
pub enum Ended {
    /// With `[DONE]`.
    Done,
    /// With an error that the caller was told.
    Told(Value),
    /// The connection was cut.
    Cut,
}

/// `Streamed` is what was read of a streamed answer.
pub struct Streamed {
    pub text: String,
    /// When each token arrived.
    pub at: Vec<Instant>,
    events: UnboundedReceiver<(Instant, Event)>,
    _reader: Connection,
}

/// `Event` is a part of a streamed answer.
enum Event {
    Token(String),
    End(Ended),
}

/// `Reader` reads events as they arrive.
struct Reader {
    body: Incoming,
    rest: Vec<u8>,
    _connection: Connection,
}

/// `Open` is an open connection for one request.
pub struct Open {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection,
    token: String,
}

/// `Connection` is a task that ends when it is dropped.
struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Caller {
    pub fn new(to: SocketAddr, token: &str) -> Self {
        let token = token.into();
        Self { to, token }
    }

    /// Opens a connection.
    pub async fn connect(&self) -> Result<Open, Failure> {
        let io = TcpStream::connect(self.to).await;
        let io = io.map_err(|_| Failure::Refused)?;
        io.set_nodelay(true).unwrap();
        let shaken = hyper::client::conn::http1::handshake(TokioIo::new(io)).await;
        let (sender, conn) = shaken.map_err(|e| Failure::Cut(e.to_string()))?;
        let connection = Connection(tokio::spawn(async {
            // The request's own result tells how it ended.
            let _ = conn.await;
        }));
        let token = self.token.clone();
        Ok(Open {
            sender,
            connection,
            token,
        })
    }

    /// The status and whole body of an answer.
    pub async fn call(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let open = self.connect().await?;
        open.call(method, path, headers, body).await
    }

    /// The body of a success.
    pub async fn json(&self, method: &str, path: &str, body: Vec<u8>) -> Option<Bytes> {
        let answer = self.call(method, path, &[], body).await;
        let (status, body) = answer.ok()?;
        status.is_success().then_some(body)
    }

    /// The whole text of an answer that is not streamed.
    pub async fn complete(&self, prompt: &str, tokens: u32) -> Result<String, String> {
        let body = request(prompt, tokens, false);
        let answer = self.call("POST", "/v1/completions", &[], body).await;
        let (status, body) = answer.map_err(|e| format!("{e:?}"))?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        match body["choices"][0]["text"].as_str() {
            Some(text) if status.is_success() => Ok(text.into()),
            _ => Err(format!("{status}: {body}")),
        }
    }

    /// Opens a streamed answer.
    pub async fn stream(&self, prompt: &str, tokens: u32) -> Result<Streamed, Failure> {
        let body = request(prompt, tokens, true);
        let open = self.connect().await?;
        let (res, connection) = open.send("POST", "/v1/completions", &[], body).await?;
        let status = res.status();
        if !status.is_success() {
            let body = res.into_body().collect().await;
            let body = body.map(|body| body.to_bytes());
            panic!("{status}: {body:?}");
        }
        let reader = Reader {
            body: res.into_body(),
            rest: Vec::new(),
            _connection: connection,
        };
        let (tx, events) = mpsc::unbounded_channel();
        Ok(Streamed {
            text: String::new(),
            at: Vec::new(),
            events,
            _reader: Connection(tokio::spawn(reader.read(tx))),
        })
    }
}

impl Open {
    /// Sends one request, and gives the head of its answer.
    async fn send(
        mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "hemlockwind")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body))).unwrap();
        match tokio::time::timeout(PATIENCE, self.sender.send_request(req)).await {
            Ok(res) => Ok((
                res.map_err(|e| Failure::Cut(e.to_string()))?,
                self.connection,
            )),
            Err(_) => Err(Failure::Cut("no answer for too long".into())),
        }
    }

    /// The status and whole body of an answer.
    pub async fn call(
        self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let (res, _connection) = self.send(method, path, headers, body).await?;
        let status = res.status();
        let body = res.into_body().collect().await;
        let body = body.map_err(|e| Failure::Cut(e.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

impl Streamed {
    /// Reads until `tokens` tokens have arrived.
    pub async fn read_tokens(&mut self, tokens: usize) {
        while self.at.len() < tokens {
            let ended = self.event().await;
            assert_eq!(ended, None, "the stream ended early");
        }
    }

    /// Reads to the end.
    pub async fn finish(&mut self) -> Ended {
        loop {
            if let Some(ended) = self.event().await {
                return ended;
            }
        }
    }

    /// The longest time between two tokens from the one at `from` on.
    pub fn longest_gap(&self, from: usize) -> Duration {
        let pairs = self.at[from..].windows(2);
        let gaps = pairs.map(|pair| pair[1].duration_since(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// Takes in one event; gives the end when it was one.
    async fn event(&mut self) -> Option<Ended> {
        let event = tokio::time::timeout(PATIENCE, self.events.recv()).await;
        let event = event.expect("a stream that hangs is a failure");
        match event.expect("nothing is read after the end") {
            (at, Event::Token(text)) => {
                self.text.push_str(&text);
                self.at.push(at);
                None
            }
            (_, Event::End(ended)) => Some(ended),
        }
    }
}

impl Reader {
    /// Reads to the end and notes when each event arrived.
    async fn read(mut self, tx: UnboundedSender<(Instant, Event)>) {
        loop {
            let event = match self.line().await {
                None => Event::End(Ended::Cut),
                Some(line) => match parse(&line) {
                    Some(event) => event,
                    None => continue,
                },
            };
            let is_end = matches!(event, Event::End(_));
            // The test may have seen enough.
            let _ = tx.send((Instant::now(), event));
            if is_end {
                return;
            }
        }
    }

    /// The next line, or nothing when the connection ended.
    async fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.rest.drain(..=end).collect();
                return Some(String::from_utf8(line).unwrap().trim_end().into());
            }
            let frame = self.body.frame().await?.ok()?;
            self.rest.extend_from_slice(frame.data_ref()?);
        }
    }
}

/// The event of a line, unless it holds none.
fn parse(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data: ")?;
    if data == "[DONE]" {
        return Some(Event::End(Ended::Done));
    }
    let mut event: Value = serde_json::from_str(data).unwrap();
    if !event["error"].is_null() {
        return Some(Event::End(Ended::Told(event["error"].take())));
    }
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    (!text.is_empty()).then(|| Event::Token(text.into()))
}

/// The body of a request for a completion.
pub fn request(prompt: &str, tokens: u32, stream: bool) -> Vec<u8> {
    let model = sample::PIPELINE;
    let request = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream});
    request.to_string().into_bytes()
}

/// The text that the oracle gives.
pub fn expected(prompt: &str, tokens: u32) -> String {
    oracle::text(&oracle::answer(sample::MODEL_LAYERS, prompt, tokens))
}
