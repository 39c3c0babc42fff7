//! Requests that were read and checked, and their admission to a pool.

use std::sync::Arc;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::Ticket;

use crate::instance::Instance;
use crate::pool;
use crate::pool::Slot;

/// Bytes of a prompt that are taken for one token.
const TOKEN_BYTES: usize = 4;

/// `Work` is a request that was read and checked.
#[derive(Clone, Debug)]
pub struct Work {
    /// The request's id.
    pub id: RequestId,
    /// The organisation's name, for histograms.
    pub organisation: Arc<str>,
    /// The rank.
    pub rank: Rank,
    /// The model.
    pub model: ModelKey,
    /// The organisation.
    pub organisation_key: OrganisationKey,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// The number of the model's layers.
    pub model_layers: u16,
    /// The prompt.
    pub prompt: String,
    /// Tokens at most.
    pub max_tokens: u32,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// The latest start that is of use.
    pub start_by: Instant,
    /// When the whole answer must be there.
    pub deadline: Instant,
}

impl Work {
    /// The tokens that the prompt is taken for.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / TOKEN_BYTES) as u64
    }
}

/// Waits for a slot of one of the model's pools.
///
/// # Errors
///
/// `Error::NoPath` when no data centre's servers join, or those of [`pool::acquire`].
pub async fn admit(instance: &Arc<Instance>, work: &Work) -> Result<Slot> {
    if instance.fleet.centres(work.model).is_empty() {
        return Err(Error::no_path(format!("layers 0..{}", work.model_layers)));
    }
    let layers = u64::from(work.model_layers);
    let tokens = u64::from(work.max_tokens) + work.prompt_tokens();
    let ticket = Ticket {
        request: work.id,
        organisation: work.organisation_key,
        share: work.share,
        rank: work.rank,
        cost: tokens * layers,
        deadline: work.start_by.min(work.deadline),
        running: false,
    };
    pool::acquire(instance, work.model, ticket).await
}
