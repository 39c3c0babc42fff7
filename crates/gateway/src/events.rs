//! Splits a stream of server-sent events into whole events and reads their ids.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest size of one event, which holds a few tokens as text. Each stream may buffer this much.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// `Event` holds one whole event, with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Its id, if it is a number.
    pub id: Option<u64>,
    /// Whether it carries data; comments don't.
    pub has_data: bool,
}

/// `Splitter` buffers bytes until events are complete.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    /// Number of bytes that were searched before.
    searched: usize,
}

impl Splitter {
    /// Appends `bytes`. Returns whether the buffer is within the size limit of one event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        let id = id(&bytes);
        let has_data = bytes.split(|b| *b == b'\n').any(|l| l.starts_with(b"data"));
        Some(Event {
            bytes,
            id,
            has_data,
        })
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(self) -> Bytes {
        self.buf.freeze()
    }

    /// Returns the position after the next blank line.
    fn end(&mut self) -> Option<usize> {
        let mut at = self.searched;
        while let Some(found) = self.buf[at..].iter().position(|b| *b == b'\n') {
            let line_end = at + found;
            let after = &self.buf[line_end + 1..];
            match after {
                [b'\n', ..] => return Some(line_end + 2),
                [b'\r', b'\n', ..] => return Some(line_end + 3),
                // The next bytes decide whether this is a blank line.
                [] | [b'\r'] => {
                    self.searched = line_end;
                    return None;
                }
                _ => at = line_end + 1,
            }
        }
        self.searched = at;
        None
    }
}

/// Returns the id of an event: the value of its last `id` field, if it is a number. The other
/// fields may hold any bytes.
fn id(event: &[u8]) -> Option<u64> {
    let mut lines = event.rsplit(|b| *b == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
