//! Keeps requests in progress until their answers are transmitted.
//!
//! The end of an answer may still be buffered when its body was read whole. HTTP/1 flushes a
//! connection only when that buffer is empty, so the flush is the end of the answer.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use axum::body::Body;
use axum::body::Bytes;
use axum::response::Response;
use hyper::body::Frame;
use hyper::body::SizeHint;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::caller_connections::Connection;
use crate::in_progress::Entry;

/// `Unsent` holds the request whose answer was read whole but may not be written to its
/// connection. Each connection has one, which its requests carry as an extension.
#[derive(Clone, Debug, Default)]
pub struct Unsent {
    entry: Arc<Mutex<Option<Entry>>>,
}

impl Unsent {
    fn set(&self, entry: Option<Entry>) {
        let old = std::mem::replace(&mut *self.entry.lock(), entry);
        drop(old);
    }

    /// Returns `response`, which keeps its request in progress until it is transmitted.
    pub fn track(self, response: Response, entry: Entry) -> Response {
        response.map(|body| {
            Body::new(TrackedBody {
                body,
                entry: Some(entry),
                unsent: self,
            })
        })
    }
}

/// `TrackedBody` is the body of an answer whose request is in progress.
struct TrackedBody {
    body: Body,
    entry: Option<Entry>,
    unsent: Unsent,
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.unsent.set(self.entry.take());
    }
}

/// `TrackedStream` is a connection that ends the request of its [`Unsent`] when it is flushed. It
/// records what the caller sends and reads.
pub struct TrackedStream {
    stream: TcpStream,
    unsent: Unsent,
    caller: Arc<Connection>,
}

impl TrackedStream {
    /// Returns the connection over `stream`.
    pub fn new(stream: TcpStream, unsent: Unsent, caller: Arc<Connection>) -> Self {
        Self {
            stream,
            unsent,
            caller,
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        match buf.filled().get(before..) {
            None | Some([]) => result,
            Some(data) => Poll::Ready(self.caller.receive(data)),
        }
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.caller.write(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.caller.write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.unsent.set(None);
            self.caller.flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
