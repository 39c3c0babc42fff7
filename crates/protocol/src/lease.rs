//! The content of the platform's objects for leases and claims, as JSON.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;

/// Maximum duration of a lease that is accepted as valid, in milliseconds.
const MAX_LEASE_DURATION_MS: u64 = 600_000;

/// `Lease` is the wire form of [`hemlockwind_lease::Value`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// The name of the instance that holds it.
    pub holder: String,
    /// The nonce of the write that stored this value.
    pub nonce: Nonce,
    /// The duration of the lease, in milliseconds.
    pub duration_ms: u64,
    /// Whether the holder released it.
    pub released: bool,
    /// The newest era of the platform that the holder had seen, absent if it is 0.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub era: u16,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "the signature that serde calls"
)]
const fn is_zero(era: &u16) -> bool {
    *era == 0
}

/// `Claim` permits one execution of the request with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The nonce of the write; only the writer may run the request.
    pub nonce: Nonce,
}

/// `Nonce` is the wire form of [`hemlockwind_lease::Nonce`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Nonce {
    /// The random number that the writing process generated at its start.
    pub process: Uuid,
    /// The number of the write among the process's writes to this lease, or among its claims.
    pub write: u64,
}

impl From<hemlockwind_lease::Nonce> for Nonce {
    fn from(nonce: hemlockwind_lease::Nonce) -> Self {
        Self {
            process: Uuid::from_u128(nonce.process),
            write: nonce.write,
        }
    }
}

impl From<Nonce> for hemlockwind_lease::Nonce {
    fn from(nonce: Nonce) -> Self {
        Self {
            process: nonce.process.as_u128(),
            write: nonce.write,
        }
    }
}

impl From<hemlockwind_lease::Value> for Lease {
    fn from(value: hemlockwind_lease::Value) -> Self {
        Self {
            holder: value.holder.to_string(),
            nonce: value.nonce.into(),
            duration_ms: u64::try_from(value.duration.as_millis()).unwrap_or(u64::MAX),
            released: value.released,
            era: value.era,
        }
    }
}

impl TryFrom<Lease> for hemlockwind_lease::Value {
    type Error = Error;

    fn try_from(lease: Lease) -> Result<Self> {
        if lease.duration_ms > MAX_LEASE_DURATION_MS {
            let why = format!("a lease of {} ms is too long", lease.duration_ms);
            return Err(Error::platform_answer(why));
        }
        Ok(Self {
            holder: lease.holder.into(),
            nonce: lease.nonce.into(),
            duration: Duration::from_millis(lease.duration_ms),
            released: lease.released,
            era: lease.era,
        })
    }
}
