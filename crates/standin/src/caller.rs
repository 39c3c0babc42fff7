//! A caller with a connection for each request.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;

use crate::oracle;
use crate::sample;

/// How long a caller waits for an answer or the next event of one.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// `Caller` sends requests to one address with one bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    to: SocketAddr,
    token: String,
}

/// `Failure` is why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about, so nothing was sent.
    Refused,
    /// The connection was cut before an answer.
    Cut(String),
    /// The answer is an error.
    Status(StatusCode, Bytes),
}

/// `StreamEnd` is how a streamed answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With `[DONE]`.
    Done,
    /// With an error that the caller was told.
    Error(Value),
    /// The connection was cut, or gave nothing for a minute.
    Cut,
}

/// `Connection` is an open connection for one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    connection: Task,
    token: String,
}

/// `StreamedAnswer` is what was read of a streamed answer. The connection ends with it.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// The text.
    pub text: String,
    /// When each token arrived.
    pub token_times: Vec<Instant>,
    events: UnboundedReceiver<(Instant, Event)>,
    _reader: Task,
}

/// `Event` is a part of a streamed answer.
#[derive(Debug)]
enum Event {
    Token(String),
    End(StreamEnd),
}

/// `Reader` reads events as they arrive.
struct Reader {
    body: Incoming,
    rest: Vec<u8>,
    _connection: Task,
}

/// `Task` is a task that ends when it is dropped.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Caller {
    /// A caller of `to`.
    pub fn new(to: SocketAddr, token: &str) -> Self {
        let token = token.into();
        Self { to, token }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `Failure::Refused` when none comes about.
    pub async fn connect(&self) -> Result<Connection, Failure> {
        let io = TcpStream::connect(self.to).await;
        let io = io.map_err(|_| Failure::Refused)?;
        // Without it only latency suffers.
        let _ = io.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(io)).await.map_err(cut)?;
        let connection = Task(tokio::spawn(async {
            // The request's own result tells how it ended.
            let _ = conn.await;
        }));
        let token = self.token.clone();
        Ok(Connection {
            sender,
            connection,
            token,
        })
    }

    /// The status and whole body of an answer.
    ///
    /// # Errors
    ///
    /// `Failure::Refused` or `Failure::Cut`.
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
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn json(&self, method: &str, path: &str, body: Vec<u8>) -> Result<Bytes, Failure> {
        let (status, body) = self.call(method, path, &[], body).await?;
        match status.is_success() {
            true => Ok(body),
            false => Err(Failure::Status(status, body)),
        }
    }

    /// The whole text of an answer that is not streamed.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn complete(&self, prompt: &str, tokens: u32) -> Result<String, Failure> {
        let body = completion_request(prompt, tokens, false);
        let body = self.json("POST", "/v1/completions", body).await?;
        let body: Value = serde_json::from_slice(&body).map_err(cut)?;
        let text = body["choices"][0]["text"].as_str();
        text.map(String::from).ok_or_else(|| cut("no text"))
    }

    /// Opens a streamed answer.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn stream(&self, prompt: &str, tokens: u32) -> Result<StreamedAnswer, Failure> {
        let body = completion_request(prompt, tokens, true);
        let open = self.connect().await?;
        let (res, connection) = open.send("POST", "/v1/completions", &[], body).await?;
        let status = res.status();
        if !status.is_success() {
            return Err(Failure::Status(status, collect(res).await?));
        }
        let reader = Reader {
            body: res.into_body(),
            rest: Vec::new(),
            _connection: connection,
        };
        let (tx, events) = mpsc::unbounded_channel();
        Ok(StreamedAnswer {
            text: String::new(),
            token_times: Vec::new(),
            events,
            _reader: Task(tokio::spawn(reader.read(tx))),
        })
    }
}

impl Connection {
    /// The status and whole body of an answer.
    ///
    /// # Errors
    ///
    /// `Failure::Cut`.
    pub async fn call(
        self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let (res, _connection) = self.send(method, path, headers, body).await?;
        Ok((res.status(), collect(res).await?))
    }

    /// Sends one request, and gives the head of its answer.
    async fn send(
        mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(Response<Incoming>, Task), Failure> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "hemlockwind")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(Bytes::from(body))).map_err(cut)?;
        let res = tokio::time::timeout(WAIT_LIMIT, self.sender.send_request(req)).await;
        let res = res.map_err(cut)?.map_err(cut)?;
        Ok((res, self.connection))
    }
}

impl StreamedAnswer {
    /// Reads until `tokens` tokens have arrived.
    ///
    /// # Errors
    ///
    /// The end, when it comes earlier.
    pub async fn read_tokens(&mut self, tokens: usize) -> Result<(), StreamEnd> {
        while self.token_times.len() < tokens {
            if let Some(ended) = self.event().await {
                return Err(ended);
            }
        }
        Ok(())
    }

    /// Reads to the end.
    pub async fn finish(&mut self) -> StreamEnd {
        loop {
            if let Some(ended) = self.event().await {
                return ended;
            }
        }
    }

    /// The longest time between two tokens from the one at `from` on.
    pub fn longest_gap(&self, from: usize) -> Duration {
        let pairs = self.token_times[from..].windows(2);
        let gaps = pairs.map(|pair| pair[1].duration_since(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// Takes in one event; gives the end when it was one.
    async fn event(&mut self) -> Option<StreamEnd> {
        match tokio::time::timeout(WAIT_LIMIT, self.events.recv()).await {
            Ok(Some((at, Event::Token(text)))) => {
                self.text.push_str(&text);
                self.token_times.push(at);
                None
            }
            Ok(Some((_, Event::End(ended)))) => Some(ended),
            Ok(None) | Err(_) => Some(StreamEnd::Cut),
        }
    }
}

impl Reader {
    /// Reads to the end and notes when each event arrived.
    async fn read(mut self, tx: UnboundedSender<(Instant, Event)>) {
        loop {
            let event = match self.line().await {
                None => Event::End(StreamEnd::Cut),
                Some(line) => match parse(&line) {
                    Some(event) => event,
                    None => continue,
                },
            };
            let is_end = matches!(event, Event::End(_));
            // The caller may have seen enough.
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
                return Some(String::from_utf8_lossy(&line).trim_end().into());
            }
            let frame = self.body.frame().await?.ok()?;
            self.rest.extend_from_slice(frame.data_ref()?);
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("no connection"),
            Self::Cut(why) => write!(f, "cut: {why}"),
            Self::Status(status, body) => write!(f, "{status}: {}", String::from_utf8_lossy(body)),
        }
    }
}

impl std::error::Error for Failure {}

/// The event of a line, unless it holds none.
fn parse(line: &str) -> Option<Event> {
    let data = line.strip_prefix("data: ")?;
    if data == "[DONE]" {
        return Some(Event::End(StreamEnd::Done));
    }
    let mut event: Value = serde_json::from_str(data).ok()?;
    if !event["error"].is_null() {
        return Some(Event::End(StreamEnd::Error(event["error"].take())));
    }
    let text = event["choices"][0]["text"].as_str().unwrap_or_default();
    (!text.is_empty()).then(|| Event::Token(text.into()))
}

fn cut(why: impl ToString) -> Failure {
    Failure::Cut(why.to_string())
}

async fn collect(res: Response<Incoming>) -> Result<Bytes, Failure> {
    let body = res.into_body().collect().await;
    Ok(body.map_err(cut)?.to_bytes())
}

/// The body of a request for a completion.
pub fn completion_request(prompt: &str, tokens: u32, stream: bool) -> Vec<u8> {
    let model = sample::PIPELINE;
    let request = json!({"model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream});
    request.to_string().into_bytes()
}

/// The text that the oracle gives.
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    oracle::text(&oracle::answer(sample::MODEL_LAYERS, prompt, tokens))
}
