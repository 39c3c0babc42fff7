//! Statuses of responses.

use std::net::SocketAddr;

use http::StatusCode;

use hemlockwind_core::Error;
use hemlockwind_core::attempt::Attempt;

use crate::connection::Failure;

/// The final statuses of HTTP. The library also reads statuses up to 999, which have no meaning, and
/// returns 101, which no request asks for.
const FINAL: std::ops::RangeInclusive<u16> = 200..=599;

/// Checks that a response of `addr` has a final status. Any other one is a failure of the server
/// and must not reach a caller.
///
/// # Errors
///
/// Returns `Sent`, as the server may have run the request.
pub fn check(addr: SocketAddr, status: StatusCode) -> Result<(), Failure> {
    match FINAL.contains(&status.as_u16()) {
        true => Ok(()),
        false => {
            let error = format!(
                "{addr} answered with the invalid status {}",
                status.as_u16()
            );
            Err((Attempt::Sent, Error::backend_answer(error)))
        }
    }
}
