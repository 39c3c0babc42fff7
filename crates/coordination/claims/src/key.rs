//! Idempotency keys and their assignment to slots.

use std::sync::Arc;

use uuid::Uuid;
use uuid::Variant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::time::WallTime;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Bits below the timestamp of a UUIDv7 (RFC 9562, section 5.7).
const UUID_V7_TIME_SHIFT: u32 = 80;

/// `Key` holds a caller's idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A UUIDv7, which contains its creation time.
    Timed(Uuid),
    /// Any other string.
    Text(Arc<str>),
}

impl Key {
    /// Parses a key.
    ///
    /// # Errors
    ///
    /// Returns `Error::IdempotencyKey` if the key is empty, longer than 255 bytes or
    /// not visible ASCII.
    pub fn parse(text: &str) -> Result<Self> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            let message = format!("a key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(Error::idempotency_key(message));
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Error::idempotency_key("a key holds only visible ASCII"));
        }
        Ok(match Uuid::parse_str(text) {
            Ok(uuid) if time_of(uuid).is_some() => Self::Timed(uuid),
            Ok(_) | Err(_) => Self::Text(text.into()),
        })
    }

    /// Returns the creation time of a UUIDv7 key, by the clock of its creator.
    pub fn time(&self) -> Option<WallTime> {
        match self {
            Self::Timed(uuid) => time_of(*uuid),
            Self::Text(_) => None,
        }
    }

    /// Returns the slot of this key among `count` slots, the same on every instance.
    pub fn slot(&self, organisation: &str, count: u16) -> u16 {
        let hash = xxh3_64(&self.scoped_bytes(organisation));
        u16::try_from(hash % u64::from(count.max(1))).unwrap_or(0)
    }

    /// Returns the last part of the name of the claim's object in the platform.
    /// Different keys have different names.
    pub fn claim_name(&self, organisation: &str) -> String {
        let bytes = self.scoped_bytes(organisation);
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Returns the organisation's name, a NUL byte, which no name contains, and the key.
    fn scoped_bytes(&self, organisation: &str) -> Vec<u8> {
        let mut bytes = organisation.as_bytes().to_vec();
        bytes.push(0);
        match self {
            Self::Timed(uuid) => bytes.extend_from_slice(uuid.as_bytes()),
            Self::Text(text) => bytes.extend_from_slice(text.as_bytes()),
        }
        bytes
    }
}

/// Returns the timestamp of a UUIDv7, `None` for any other UUID.
pub fn time_of(uuid: Uuid) -> Option<WallTime> {
    let is_v7 = uuid.get_version_num() == 7 && uuid.get_variant() == Variant::RFC4122;
    let ms = u64::try_from(uuid.as_u128() >> UUID_V7_TIME_SHIFT).ok()?;
    is_v7.then_some(WallTime::from_millis(ms))
}

/// Returns a digest of a request's content, which detects the use of one key for two
/// different requests.
pub fn digest(service: &str, method: &str, path: &str, body: &[u8]) -> u128 {
    let mut bytes = Vec::with_capacity(service.len() + method.len() + path.len() + body.len() + 24);
    for part in [service, method, path] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part.as_bytes());
    }
    bytes.extend_from_slice(body);
    xxh3_128(&bytes)
}
