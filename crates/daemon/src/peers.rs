//! Handles requests from other instances.

use std::sync::Arc;

use async_trait::async_trait;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;

use crate::configuration;
use crate::instance::Instance;
use crate::members;
use crate::pool;
use crate::slots;

/// `PeerHandler` answers the requests of other instances.
pub struct PeerHandler {
    /// The instance.
    pub instance: Arc<Instance>,
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(&self, from: &str, req: Request) -> Reply {
        match req {
            Request::QueueReport(report) => done(pool::on_report(&self.instance, from, report)),
            Request::Grants(grants) => done(pool::on_grants(&self.instance, from, grants)),
            Request::Configuration(message) => {
                let reply = configuration::on_message(&self.instance, from, message);
                reply.unwrap_or_else(|e| refused(&e))
            }
            Request::Dispatch(dispatch) => match slots::dispatch(&self.instance, dispatch).await {
                Ok(reply) => Reply::Dispatch(reply.into()),
                Err(error) => refused(&error),
            },
            Request::Membership(message) => {
                let reply = members::on_message(&self.instance, from, message);
                reply.unwrap_or_else(|e| refused(&e))
            }
            Request::Paths(_) | Request::Store(_) | Request::Quarantine(_) => {
                refused(&Error::peer_frame("it is a message for the gateway"))
            }
        }
    }
}

/// Returns the reply to a message that is only acknowledged or refused.
fn done(result: Result<()>) -> Reply {
    match result {
        Ok(()) => Reply::Done,
        Err(e) => refused(&e),
    }
}

/// Returns a refusal with the number and text of `error`.
pub fn refused(error: &Error) -> Reply {
    Reply::Refused(error.code().number(), error.to_string())
}
