//! What the platform's objects for leases and claims hold, as JSON.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use hemlockwind_core::Error;
use hemlockwind_core::Result;

/// The longest lease that is believed, in milliseconds.
const MAX_LEASE_DURATION_MS: u64 = 600_000;

/// `Lease` is the wire form of [`hemlockwind_lease::Value`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Lease {
    /// The name of the instance that holds it.
    pub holder: String,
    /// The write that left this value.
    pub nonce: Nonce,
    /// How long the lease lasts, in milliseconds.
    pub duration_ms: u64,
    /// Whether it was given up.
    pub released: bool,
}

/// `Claim` says that the request of one idempotency key may run, once.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Claim {
    /// The only write whose writer may run it.
    pub nonce: Nonce,
}

/// `Nonce` is the wire form of [`hemlockwind_lease::Nonce`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Nonce {
    /// The random number that the writing process drew at its start.
    pub process: Uuid,
    /// The count of its writes.
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
        }
    }
}

impl TryFrom<Lease> for hemlockwind_lease::Value {
    type Error = Error;

    fn try_from(lease: Lease) -> Result<Self> {
        if lease.duration_ms > MAX_LEASE_DURATION_MS {
            let why = format!("a lease of {} ms", lease.duration_ms);
            return Err(Error::platform_answer(why));
        }
        Ok(Self {
            holder: lease.holder.into(),
            nonce: lease.nonce.into(),
            duration: Duration::from_millis(lease.duration_ms),
            released: lease.released,
        })
    }
}
