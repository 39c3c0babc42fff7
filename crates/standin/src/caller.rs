//! A caller that opens a new connection for each request.

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

/// How long a caller waits for an answer or for the next event of a streamed one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// `Caller` sends requests to one address with one bearer token.
#[derive(Clone, Debug)]
pub struct Caller {
    addr: SocketAddr,
    token: String,
}

/// `Failure` is the reason why a request got no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection was established, so nothing was sent.
    Refused,
    /// The connection was cut or timed out before a complete answer, or the answer was malformed.
    Cut(String),
    /// The answer is an error.
    Status(StatusCode, Bytes),
}

/// `StreamEnd` describes how a streamed answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// With `[DONE]`.
    Done,
    /// With an error event.
    Error(Value),
    /// The connection was cut, or no event arrived for a minute.
    Cut,
}

/// `Connection` is an open connection for one request.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortOnDrop,
    token: String,
}

/// `StreamedAnswer` holds what was read of a streamed answer. Dropping it closes the connection.
#[derive(Debug)]
pub struct StreamedAnswer {
    /// The text so far.
    pub text: String,
    /// When each token arrived.
    pub token_times: Vec<Instant>,
    events: UnboundedReceiver<(Instant, Event)>,
    _reader: AbortOnDrop,
}

/// `Event` is a part of a streamed answer.
#[derive(Debug)]
enum Event {
    Token(String),
    End(StreamEnd),
}

/// `Reader` reads the events of a streamed answer as they arrive.
struct Reader {
    body: Incoming,
    buffer: Vec<u8>,
    _task: AbortOnDrop,
}

/// `AbortOnDrop` is a task that is aborted when this value is dropped.
#[derive(Debug)]
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Caller {
    /// Returns a caller of `addr`.
    pub fn new(addr: SocketAddr, token: &str) -> Self {
        let token = token.into();
        Self { addr, token }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// `Failure::Refused` if none is established, `Failure::Cut` if HTTP can't be set up on it.
    pub async fn connect(&self) -> Result<Connection, Failure> {
        let io = TcpStream::connect(self.addr).await;
        let io = io.map_err(|_| Failure::Refused)?;
        // A failure only costs latency.
        let _ = io.set_nodelay(true);
        let (sender, conn) = http1::handshake(TokioIo::new(io))
            .await
            .map_err(cut_failure)?;
        let task = AbortOnDrop(tokio::spawn(async {
            // The result of the request reports a failed connection.
            let _ = conn.await;
        }));
        let token = self.token.clone();
        Ok(Connection {
            sender,
            task,
            token,
        })
    }

    /// Sends a request and returns the status and the whole body of its answer.
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
        let connection = self.connect().await?;
        connection.call(method, path, headers, body).await
    }

    /// Sends a request and returns the body of its answer, if the status is a success.
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

    /// Returns the text of an answer that is not streamed.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn complete(&self, prompt: &str, max_tokens: u32) -> Result<String, Failure> {
        let body = completion_request(prompt, max_tokens, false);
        let body = self.json("POST", "/v1/completions", body).await?;
        let body: Value = serde_json::from_slice(&body).map_err(cut_failure)?;
        let text = body["choices"][0]["text"].as_str();
        text.map(String::from)
            .ok_or_else(|| cut_failure("the answer has no text"))
    }

    /// Opens a streamed answer.
    ///
    /// # Errors
    ///
    /// Any [`Failure`].
    pub async fn stream(&self, prompt: &str, max_tokens: u32) -> Result<StreamedAnswer, Failure> {
        let body = completion_request(prompt, max_tokens, true);
        let connection = self.connect().await?;
        let (res, task) = connection
            .send("POST", "/v1/completions", &[], body)
            .await?;
        let status = res.status();
        if !status.is_success() {
            return Err(Failure::Status(status, read_body(res).await?));
        }
        let reader = Reader {
            body: res.into_body(),
            buffer: Vec::new(),
            _task: task,
        };
        let (tx, events) = mpsc::unbounded_channel();
        Ok(StreamedAnswer {
            text: String::new(),
            token_times: Vec::new(),
            events,
            _reader: AbortOnDrop(tokio::spawn(reader.read(tx))),
        })
    }
}

impl Connection {
    /// Sends a request and returns the status and the whole body of its answer.
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
        let (res, _task) = self.send(method, path, headers, body).await?;
        Ok((res.status(), read_body(res).await?))
    }

    /// Sends one request and returns its answer, with the body unread, and the connection's task.
    async fn send(
        mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<(Response<Incoming>, AbortOnDrop), Failure> {
        let mut req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "hemlockwind")
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .map_err(cut_failure)?;
        let res = tokio::time::timeout(ANSWER_TIMEOUT, self.sender.send_request(req)).await;
        let res = res.map_err(cut_failure)?.map_err(cut_failure)?;
        Ok((res, self.task))
    }
}

impl StreamedAnswer {
    /// Reads until `tokens` tokens have arrived.
    ///
    /// # Errors
    ///
    /// The end of the answer, if it comes earlier.
    pub async fn read_tokens(&mut self, tokens: usize) -> Result<(), StreamEnd> {
        while self.token_times.len() < tokens {
            if let Some(ended) = self.read_event().await {
                return Err(ended);
            }
        }
        Ok(())
    }

    /// Reads to the end of the answer.
    pub async fn finish(&mut self) -> StreamEnd {
        loop {
            if let Some(ended) = self.read_event().await {
                return ended;
            }
        }
    }

    /// Returns the longest time between two tokens, starting with the token at index `from`.
    pub fn longest_gap(&self, from: usize) -> Duration {
        let pairs = self.token_times[from..].windows(2);
        let gaps = pairs.map(|pair| pair[1].duration_since(pair[0]));
        gaps.max().unwrap_or_default()
    }

    /// Reads one event; returns the end of the answer if the event is one.
    async fn read_event(&mut self) -> Option<StreamEnd> {
        match tokio::time::timeout(ANSWER_TIMEOUT, self.events.recv()).await {
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
    /// Reads to the end and sends each event with its time of arrival.
    async fn read(mut self, tx: UnboundedSender<(Instant, Event)>) {
        loop {
            let event = match self.read_line().await {
                None => Event::End(StreamEnd::Cut),
                Some(line) => match parse_event(&line) {
                    Some(event) => event,
                    None => continue,
                },
            };
            let is_end = matches!(event, Event::End(_));
            // The receiver may have been dropped.
            let _ = tx.send((Instant::now(), event));
            if is_end {
                return;
            }
        }
    }

    /// Returns the next line, or `None` if the connection ended.
    async fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().into());
            }
            let frame = self.body.frame().await?.ok()?;
            self.buffer.extend_from_slice(frame.data_ref()?);
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("could not connect"),
            Self::Cut(reason) => write!(f, "no complete answer: {reason}"),
            Self::Status(status, body) => write!(f, "{status}: {}", String::from_utf8_lossy(body)),
        }
    }
}

impl std::error::Error for Failure {}

/// Returns the event in a line, or `None` if it contains none.
fn parse_event(line: &str) -> Option<Event> {
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

fn cut_failure(reason: impl ToString) -> Failure {
    Failure::Cut(reason.to_string())
}

async fn read_body(res: Response<Incoming>) -> Result<Bytes, Failure> {
    let body = res.into_body().collect().await;
    Ok(body.map_err(cut_failure)?.to_bytes())
}

/// Returns the body of a completion request.
pub fn completion_request(prompt: &str, max_tokens: u32, stream: bool) -> Vec<u8> {
    let model = sample::PIPELINE;
    let request =
        json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": stream});
    request.to_string().into_bytes()
}

/// Returns the text of the reference answer to `prompt`.
pub fn expected_text(prompt: &str, max_tokens: u32) -> String {
    oracle::text(&oracle::answer(sample::MODEL_LAYERS, prompt, max_tokens))
}
