//! The organisation, rank and deadlines of a request, from its headers.

use std::sync::Arc;
use std::time::Duration;

use axum::http::HeaderMap;
use axum::http::header::AUTHORIZATION;
use sha2::Digest;
use sha2::Sha256;

use hemlockwind_core::Error;
use hemlockwind_core::Result;
use hemlockwind_core::config::Config;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::time::Instant;

/// The header that selects a rank.
const RANK_HEADER: &str = "x-hemlockwind-rank";
/// The header with the total time that a request may take, in milliseconds.
const DEADLINE_HEADER: &str = "x-hemlockwind-deadline-ms";
/// The longest deadline that a caller may set, in milliseconds: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// `Caller` holds the organisation, rank and deadlines of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The organisation's name.
    pub name: Arc<str>,
    /// The organisation's weight in fair queueing.
    pub share: f64,
    /// The rank of this request.
    pub rank: Rank,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// The latest useful start, by the rank's target for the first token or by the caller's
    /// own deadline if it sets one.
    pub start_by: Instant,
    /// When the whole answer must have been generated.
    pub deadline: Instant,
}

impl Caller {
    /// Reads the caller from a request's headers.
    ///
    /// # Errors
    ///
    /// `Error::NoConfig`, `Error::ApiKey`, `Error::Header` or `Error::Forbidden`.
    pub fn new(headers: &HeaderMap, config: &Config, now: Instant) -> Result<Self> {
        if config.version.0 == 0 {
            return Err(Error::NoConfig);
        }
        let key = organisation(headers, config)?;
        let organisation = config.organisations.get(&key).ok_or(Error::ApiKey)?;
        let rank = match header_text(headers, RANK_HEADER)? {
            None => organisation.rank,
            Some(name) => rank(name, organisation.rank, config)?,
        };
        let target = config.ranks.get(usize::from(rank.0));
        let target = target.ok_or(Error::NoConfig)?;
        let (start, time) = match header_text(headers, DEADLINE_HEADER)? {
            None => (target.first_token, target.deadline),
            Some(ms) => {
                let time = deadline(ms)?;
                (time, time)
            }
        };
        Ok(Self {
            organisation: key,
            name: Arc::clone(&organisation.name),
            share: organisation.share,
            rank,
            arrived_at: now,
            start_by: now + start,
            deadline: now + time,
        })
    }
}

/// Returns the text of a header.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let value = headers.get(name).map(|value| value.to_str());
    let value = value.transpose();
    value.map_err(|_| Error::header(format!("{name} is not plain text")))
}

/// Returns the organisation of an API key. Keys are compared by their SHA-256, so that the
/// time of the look-up reveals nothing about a key.
fn organisation(headers: &HeaderMap, config: &Config) -> Result<OrganisationKey> {
    let value = header_text(headers, AUTHORIZATION.as_str()).map_err(|_| Error::ApiKey)?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let digest: [u8; 32] = Sha256::digest(key.ok_or(Error::ApiKey)?).into();
    config.api_keys.get(&digest).copied().ok_or(Error::ApiKey)
}

/// Returns the rank of this name, if the organisation may use it.
fn rank(name: &str, most_urgent: Rank, config: &Config) -> Result<Rank> {
    let index = config.ranks.iter().position(|rank| &*rank.name == name);
    let index = index.and_then(|index| u8::try_from(index).ok());
    let rank = index.map(Rank);
    let rank = rank.ok_or_else(|| Error::header(format!("there is no rank {name}")))?;
    if rank < most_urgent {
        return Err(Error::forbidden(format!("the rank {name}")));
    }
    Ok(rank)
}

/// Parses the value of a deadline header.
fn deadline(ms: &str) -> Result<Duration> {
    let ms = ms.parse::<u64>().ok();
    let ms = ms.filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
    let ms = ms.ok_or_else(|| {
        Error::header(format!(
            "{DEADLINE_HEADER} must be between 1 and {MAX_DEADLINE_MS}"
        ))
    })?;
    Ok(Duration::from_millis(ms))
}
