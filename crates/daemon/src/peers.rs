//! Answers to other instances.

use std::sync::Arc;

use async_trait::async_trait;

use hemlockwind_core::Error;
use hemlockwind_protocol::peer::Handler;
use hemlockwind_protocol::peer::Reply;
use hemlockwind_protocol::peer::Request;

use crate::instance::Instance;
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
            Request::Tickets(tickets) => {
                pool::on_tickets(&self.instance, from, tickets);
                Reply::Done
            }
            Request::Grants(grants) => {
                pool::on_grants(&self.instance, from, grants);
                Reply::Done
            }
            Request::Dispatch(dispatch) => match slots::dispatch(&self.instance, dispatch).await {
                Ok(reply) => Reply::Dispatch(reply.into()),
                Err(error) => refused(&error),
            },
            Request::Membership(_) | Request::Configuration(_) => refused(&Error::Stopping),
        }
    }
}

/// The refusal with `error`.
pub fn refused(error: &Error) -> Reply {
    Reply::Refused(error.code().number(), error.to_string())
}
