//! Validated requests and their admission to a pool.

use std::sync::Arc;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::engine::RequestId;
use hemlockwind_core::names::ModelKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;
use hemlockwind_queueing::QueueEntry;

use crate::instance::Instance;
use crate::pool;
use crate::pool::Slot;

/// Estimated number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// `Work` is a validated request with the limits that apply to it.
#[derive(Clone, Debug)]
pub struct Work {
    /// The request's id.
    pub id: RequestId,
    /// The organisation's name, a label of the histograms.
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
    /// Maximum number of generated tokens.
    pub max_tokens: u32,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// The latest useful start.
    pub start_by: Instant,
    /// When the whole answer must have been generated.
    pub deadline: Instant,
}

impl Work {
    /// Returns the estimated number of the prompt's tokens.
    pub fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN) as u64
    }
}

/// Waits for a slot in one of the model's pools.
///
/// # Errors
///
/// `Error::NoPath` when the servers of no data centre form a whole path, and the errors of
/// [`pool::acquire`]. `Error::Stopping` when only the end of this process keeps the request from a
/// start in time.
pub async fn admit(instance: &Arc<Instance>, work: &Work) -> Result<Slot> {
    if instance.fleet.centres(work.model).is_empty() {
        return Err(Error::no_path(format!("layers 0..{}", work.model_layers)));
    }
    let layers = u64::from(work.model_layers);
    let tokens = u64::from(work.max_tokens) + work.prompt_tokens();
    let start_by = work.start_by.min(work.deadline);
    let ends_at = instance.ends_at.get().copied();
    let deadline = ends_at.map_or(start_by, |ends_at| start_by.min(ends_at));
    let queue_entry = QueueEntry {
        request: work.id,
        organisation: work.organisation_key,
        share: work.share,
        rank: work.rank,
        cost: tokens * layers,
        deadline,
        running: false,
    };
    let slot = pool::acquire(instance, work.model, queue_entry).await;
    slot.map_err(|error| match error {
        Error::DeadlineUnmeetable(_) | Error::DeadlinePassed if deadline < start_by => {
            Error::Stopping
        }
        error => error,
    })
}
