//! Answers to other instances.

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
            Request::Paths(_) | Request::Store(_) => {
                refused(&Error::peer_frame("a message of the gateway"))
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
