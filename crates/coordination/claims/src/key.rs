//! Idempotency keys and the slots that they belong to.

use std::sync::Arc;

use uuid::Uuid;
use uuid::Variant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::time::WallTime;

/// Bytes in a key at most.
const KEY_LIMIT_BYTES: usize = 255;

/// Bits after the time in a UUIDv7 (RFC 9562, section 5.7).
const BITS_AFTER_TIME: u32 = 80;

/// `Key` is a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A UUIDv7, which tells when it was made.
    Timed(Uuid),
    /// Any other string.
    Text(Arc<str>),
}

impl Key {
    /// Reads a key.
    ///
    /// # Errors
    ///
    /// `Error::IdempotencyKey` when it is empty, over-long or not visible ASCII.
    pub fn parse(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > KEY_LIMIT_BYTES {
            let limit = format!("a key has 1 to {KEY_LIMIT_BYTES} bytes");
            return Err(Error::idempotency_key(limit));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::idempotency_key("a key holds only visible ASCII"));
        }
        Ok(match Uuid::parse_str(text) {
            Ok(uuid) if time_of(uuid).is_some() => Self::Timed(uuid),
            Ok(_) | Err(_) => Self::Text(text.into()),
        })
    }

    /// When the key was made, by the clock of whoever made it.
    pub fn time(&self) -> Option<WallTime> {
        match self {
            Self::Timed(uuid) => time_of(*uuid),
            Self::Text(_) => None,
        }
    }

    /// The slot of this key among `count` slots, the same on every instance.
    pub fn slot(&self, organisation: &str, count: u16) -> u16 {
        let hash = xxh3_64(&self.scoped(organisation));
        u16::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
    }

    /// The last part of the name of the claim's object in the platform. Different
    /// keys have different names.
    pub fn claim_name(&self, organisation: &str) -> String {
        let bytes = self.scoped(organisation);
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// The organisation, a byte that no name holds, and the key.
    fn scoped(&self, organisation: &str) -> Vec<u8> {
        let mut bytes = organisation.as_bytes().to_vec();
        bytes.push(0);
        match self {
            Self::Timed(uuid) => bytes.extend_from_slice(uuid.as_bytes()),
            Self::Text(text) => bytes.extend_from_slice(text.as_bytes()),
        }
        bytes
    }
}

/// The time in a UUIDv7, `None` for any other UUID.
pub fn time_of(uuid: Uuid) -> Option<WallTime> {
    let is_v7 = uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122;
    let ms = u64::try_from(uuid.as_u128() >> BITS_AFTER_TIME).ok()?;
    is_v7.then_some(WallTime::from_millis(ms))
}

/// A digest of what a request asks for, to tell apart two requests with one key.
pub fn digest(service: &str, method: &str, path: &str, body: &[u8]) -> u128 {
    let mut bytes = Vec::with_capacity(service.len() + method.len() + path.len() + body.len() + 24);
    for part in [service, method, path] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes.extend_from_slice(body);
    xxh3_128(&bytes)
}
