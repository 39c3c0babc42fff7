//! Bounds the memory of all responses that are being buffered at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use hemlockwind_core::Error;
use hemlockwind_core::Result;

/// The size, in bytes, up to which a response needs no reservation: a server that sends endless
/// responses must not keep usual ones of other servers from being read.
pub const FREE_BYTES: usize = 16 << 10;

/// `BufferBudget` is the number of bytes that all responses may use together.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: usize,
    reserved: Arc<AtomicUsize>,
}

impl Default for BufferBudget {
    /// Returns a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferBudget {
    /// Returns a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            reserved: Arc::default(),
        }
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Reads the whole body of a response of `addr`.
    ///
    /// # Errors
    ///
    /// Returns `Error::BackendAnswer` if the body exceeds `limit` bytes or the budget, and
    /// `Error::BackendFailed` if it breaks off.
    pub async fn read(&self, addr: SocketAddr, mut body: Incoming, limit: usize) -> Result<Bytes> {
        let mut buf = Vec::new();
        let mut reservation = self.reservation();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Error::backend_failed(format!("{addr}: {e}")))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let size = buf.len() + data.len();
            if size > limit {
                let error = format!("{addr} responded with more than {limit} bytes");
                return Err(Error::backend_answer(error));
            }
            if size > buf.capacity() {
                // Memory is reserved before it is used.
                let capacity = size.max(buf.capacity() * 2).min(limit);
                if !reservation.grow_to(capacity) {
                    let error = format!("no memory for more than {} bytes of {addr}", buf.len());
                    return Err(Error::backend_answer(error));
                }
                buf.reserve_exact(capacity - buf.len());
            }
            buf.extend_from_slice(&data);
        }
        Ok(buf.into())
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// `Reservation` is the part of a budget that one response uses. It is returned when the
/// reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

impl Reservation {
    /// Raises the reservation to what a buffer of `size` bytes needs. Returns whether the budget
    /// suffices; if not, nothing changes.
    pub fn grow_to(&mut self, size: usize) -> bool {
        let needed = size.saturating_sub(FREE_BYTES);
        let more = needed.saturating_sub(self.bytes);
        if more == 0 {
            return true;
        }
        let limit = self.budget.limit;
        let fits = |reserved: usize| reserved.checked_add(more).filter(|sum| *sum <= limit);
        let reserved = &self.budget.reserved;
        let is_reserved = reserved
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits)
            .is_ok();
        if is_reserved {
            self.bytes = needed;
        }
        is_reserved
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let reserved = &self.budget.reserved;
        reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
