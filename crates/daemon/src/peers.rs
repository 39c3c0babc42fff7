//! Answers to other instances.

use std::sync::Arc;

use async_trait::async_trait;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;

use crate::instance::Instance;
use crate::pool;

/// `Peers` answers other instances for this one.
pub struct Peers {
    /// The instance.
    pub instance: Arc<Instance>,
}

#[async_trait]
impl Handler for Peers {
    async fn handle(&self, from: &str, req: Request) -> Reply {
        match req {
            Request::Tickets(tickets) => done(pool::on_tickets(&self.instance, from, tickets)),
            Request::Grants(grants) => done(pool::on_grants(&self.instance, from, grants)),
            Request::Membership(_) | Request::Configuration(_) | Request::Dispatch(_) => {
                refused(&Error::Stopping)
            }
        }
    }
}

/// The reply to a message that needs no answer.
fn done(result: Result<()>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(e) => refused(&e),
    }
}

/// The refusal with `error`.
pub fn refused(error: &Error) -> Reply {
    Reply::Refused(error.code().number(), error.to_string())
}
