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

/// The size of the pieces in which a response is buffered, in bytes. The allocator of the system maps
/// blocks of 128 KiB and more. Once one was freed, it keeps as much free memory for each thread as
/// twice the largest of them, so that responses which were refused would still use memory.
const PIECE_BYTES: usize = 64 << 10;

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
        let mut pieces = Pieces::default();
        let mut reservation = self.reservation();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| Error::backend_failed(format!("{addr}: {e}")))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let size = pieces.size + data.len();
            if size > limit {
                let error = format!("{addr} responded with more than {limit} bytes");
                return Err(Error::backend_answer(error));
            }
            // Memory is reserved before it is used.
            if !reservation.grow_to(pieces.capacity_for(size)) {
                let error = format!("no memory for more than {} bytes of {addr}", pieces.size);
                return Err(Error::backend_answer(error));
            }
            pieces.append(&data);
        }
        Ok(pieces.join().into())
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

/// `Pieces` holds the beginning of a response or of a request's body in pieces of [`PIECE_BYTES`]; the first one may be
/// smaller while it is the only one.
#[derive(Debug, Default)]
pub struct Pieces {
    pieces: Vec<Vec<u8>>,
    size: usize,
}

impl Pieces {
    /// Returns the number of bytes that were appended.
    pub const fn len(&self) -> usize {
        self.size
    }

    /// Whether nothing was appended.
    pub const fn is_empty(&self) -> bool {
        self.size == 0
    }

    /// Returns the number of bytes that are allocated once the response has `size` bytes. That
    /// includes a piece of its copy, as each piece is freed once it is copied.
    pub fn capacity_for(&self, size: usize) -> usize {
        match size <= PIECE_BYTES {
            true => self.first_capacity(size),
            false => size.next_multiple_of(PIECE_BYTES) + PIECE_BYTES,
        }
    }

    /// Returns the capacity of the first piece when it has to hold `size` bytes.
    fn first_capacity(&self, size: usize) -> usize {
        let capacity = self.pieces.first().map_or(0, Vec::capacity);
        match size <= capacity {
            true => capacity,
            false => size.max(capacity * 2).min(PIECE_BYTES),
        }
    }

    /// Appends a copy of `data`.
    pub fn append(&mut self, data: &[u8]) {
        let first_capacity = self.first_capacity(self.size + data.len());
        match self.pieces.first_mut() {
            None => self.pieces.push(Vec::with_capacity(first_capacity)),
            Some(first) => first.reserve_exact(first_capacity - first.len()),
        }
        self.size += data.len();
        let mut rest = data;
        while !rest.is_empty() {
            let has_room = |piece: &&mut Vec<u8>| piece.len() < piece.capacity();
            if self.pieces.last_mut().filter(has_room).is_none() {
                self.pieces.push(Vec::with_capacity(PIECE_BYTES));
            }
            let Some(last) = self.pieces.last_mut() else {
                return;
            };
            let (part, after) = rest.split_at(rest.len().min(last.capacity() - last.len()));
            last.extend_from_slice(part);
            rest = after;
        }
    }

    /// Returns the whole response.
    pub fn join(mut self) -> Vec<u8> {
        if self.pieces.len() <= 1 {
            return self.pieces.pop().unwrap_or_default();
        }
        let mut whole = Vec::with_capacity(self.size);
        for piece in self.pieces {
            whole.extend_from_slice(&piece);
        }
        whole
    }
}
