//! The waiting entries of one level, by organisation, in the order of start-time fair queueing.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::OrganisationKey;

use crate::admission::Candidate;
use crate::queue_entry::QueueEntryId;

/// The tokens by which an organisation may be ahead of the others while its new callers still come
/// before their returning ones: about two seconds of its share at 24 organisations. Without it, the
/// new callers of an organisation that floods would take all capacity.
const MAX_LEAD: f64 = 16_384.0;
/// The number of organisations above which those that have nothing waiting and no lead are
/// removed.
const MAX_IDLE_FLOWS: usize = 256;

/// `Flow` holds the waiting entries of one organisation.
#[derive(Debug, Default)]
struct Flow {
    /// The start tag of its next entry: tokens that its requests were started with, in the virtual
    /// time of all organisations.
    tag: f64,
    /// Entries that can be in time.
    new: VecDeque<Candidate>,
    /// Entries whose callers return after a refusal, so that their answers are late.
    returning: VecDeque<Candidate>,
    new_tokens: f64,
    returning_tokens: f64,
}

impl Flow {
    fn tokens(&self) -> f64 {
        self.returning_tokens + self.new_tokens
    }
}

/// `Flows` holds the waiting entries of one level.
#[derive(Debug, Default)]
pub(super) struct Flows {
    flows: HashMap<OrganisationKey, Flow>,
    /// The virtual time: the least tag of the organisations with waiting entries.
    virtual_time: f64,
    /// Tokens of all waiting entries.
    tokens: f64,
    /// Tokens of those whose callers were not refused before.
    new_tokens: f64,
}

/// `Next` is the next entry of an organisation while the order is computed, the least first.
#[derive(PartialEq)]
struct Next<'a> {
    tag: f64,
    arrival: u64,
    flow: &'a Flow,
    /// The number of its new and returning entries that stand in the order already.
    done: (usize, usize),
}

impl Eq for Next<'_> {}

impl PartialEq for Flow {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::eq(self, other)
    }
}

impl Ord for Next<'_> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let tags = self.tag.total_cmp(&other.tag);
        tags.then(self.arrival.cmp(&other.arrival))
    }
}

impl PartialOrd for Next<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<'a> Next<'a> {
    /// Returns the entry that stands next, a new one first.
    fn candidate(&self) -> Option<&'a Candidate> {
        let new = self.flow.new.get(self.done.0);
        new.or_else(|| self.flow.returning.get(self.done.1))
    }

    /// Moves on to the following entry, if there is one.
    fn advance(mut self, candidate: &Candidate) -> Option<Self> {
        match candidate.was_refused {
            false => self.done.0 += 1,
            true => self.done.1 += 1,
        }
        self.tag += candidate.tokens();
        self.arrival = self.candidate()?.arrival;
        Some(self)
    }
}

impl Flows {
    /// Returns the tokens of all waiting entries.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the tokens of the waiting entries whose callers were not refused before.
    pub fn new_tokens(&self) -> f64 {
        self.new_tokens
    }

    /// Records an arrival: an organisation without waiting entries gains nothing from the time in
    /// which it was idle.
    pub fn arrive(&mut self, organisation: OrganisationKey) {
        if self.flows.len() > MAX_IDLE_FLOWS {
            let virtual_time = self.virtual_time;
            self.flows
                .retain(|_, f| f.tokens() > 0.0 || f.tag > virtual_time);
        }
        let flow = self.flows.entry(organisation).or_default();
        if flow.tokens() <= 0.0 {
            flow.tag = flow.tag.max(self.virtual_time);
        }
    }

    /// Adds a waiting entry.
    pub fn push(&mut self, candidate: Candidate) {
        let tokens = candidate.tokens();
        let organisation = candidate.entry.organisation;
        let flow = self.flows.entry(organisation).or_default();
        match candidate.was_refused {
            true => {
                flow.returning.push_back(candidate);
                flow.returning_tokens += tokens;
            }
            false => {
                flow.new.push_back(candidate);
                flow.new_tokens += tokens;
                self.new_tokens += tokens;
            }
        }
        self.tokens += tokens;
    }

    /// Removes a waiting entry.
    pub fn remove(&mut self, organisation: OrganisationKey, id: QueueEntryId) {
        let Some(flow) = self.flows.get_mut(&organisation) else {
            return;
        };
        let found = |queue: &VecDeque<Candidate>| queue.iter().position(|c| c.entry.id == id);
        let mut removed = 0.0;
        if let Some(at) = found(&flow.returning) {
            removed = flow.returning.remove(at).map_or(0.0, |c| c.tokens());
            flow.returning_tokens -= removed;
        } else if let Some(at) = found(&flow.new) {
            removed = flow.new.remove(at).map_or(0.0, |c| c.tokens());
            flow.new_tokens -= removed;
            self.new_tokens -= removed;
        }
        self.tokens -= removed;
    }

    /// Counts a start towards the share of its organisation.
    pub fn charge(&mut self, organisation: OrganisationKey, tokens: f64) {
        let flow = self.flows.entry(organisation).or_default();
        let tag = flow.tag;
        flow.tag += tokens;
        let waiting = self.flows.values().filter(|f| f.tokens() > 0.0);
        let least = waiting.map(|f| f.tag).fold(tag, f64::min);
        self.virtual_time = self.virtual_time.max(least);
    }

    /// Returns whether the new callers of an organisation come before returning ones, by its tag
    /// and the least tag of the others.
    fn has_precedence(tag: f64, least: f64) -> bool {
        tag <= least + MAX_LEAD
    }

    /// Returns the least tag of the organisations with waiting entries.
    fn least_tag(&self) -> f64 {
        let waiting = self.flows.values().filter(|f| f.tokens() > 0.0);
        let least = waiting.map(|f| f.tag).fold(f64::INFINITY, f64::min);
        least.max(self.virtual_time)
    }

    /// Returns the tokens of the waiting entries that start before `candidate` if it waits too.
    pub fn ahead(&self, candidate: &Candidate) -> f64 {
        let least = match self.tokens > 0.0 {
            true => self.least_tag(),
            false => return 0.0,
        };
        let own = self.flows.get(&candidate.entry.organisation);
        let (tag, returning, new) = own.map_or((self.virtual_time, 0.0, 0.0), |f| {
            (f.tag, f.returning_tokens, f.new_tokens)
        });
        let comes_first = !candidate.was_refused && Self::has_precedence(tag, least);
        let own_ahead = match candidate.was_refused {
            false => new,
            true => returning + new,
        };
        let start = tag + own_ahead;
        let others = self
            .flows
            .iter()
            .filter(|(key, f)| **key != candidate.entry.organisation && f.tokens() > 0.0);
        let others = others.map(|(_, f)| match comes_first {
            true => (start - f.tag).clamp(0.0, f.new_tokens),
            false => {
                let first = match Self::has_precedence(f.tag, least) {
                    true => f.new_tokens,
                    false => 0.0,
                };
                (start - f.tag).clamp(first, f.tokens().max(first))
            }
        });
        own_ahead + others.sum::<f64>()
    }

    /// Appends waiting entries to `order` in the order in which they start, until it has `limit`.
    pub fn append_order(&self, order: &mut Vec<Candidate>, limit: usize) {
        if self.tokens <= 0.0 {
            return;
        }
        // Organisations without new callers don't advance before those have started.
        let mut rest: BinaryHeap<Reverse<Next<'_>>> = BinaryHeap::new();
        let mut first: BinaryHeap<Reverse<Next<'_>>> = BinaryHeap::new();
        let mut least = f64::INFINITY;
        for flow in self.flows.values() {
            let next = Next {
                tag: flow.tag,
                arrival: 0,
                flow,
                done: (0, 0),
            };
            let Some(candidate) = next.candidate() else {
                continue;
            };
            let next = Next {
                arrival: candidate.arrival,
                ..next
            };
            match candidate.was_refused {
                false => first.push(Reverse(next)),
                true => {
                    least = least.min(flow.tag);
                    rest.push(Reverse(next));
                }
            }
        }
        while let Some(Reverse(next)) = first.pop() {
            let was_refused = next.candidate().is_some_and(|c| c.was_refused);
            if was_refused || !Self::has_precedence(next.tag, least.min(next.tag)) {
                least = least.min(next.tag);
                rest.push(Reverse(next));
                continue;
            }
            Self::take(next, order, limit, &mut first);
        }
        while let Some(Reverse(next)) = rest.pop() {
            Self::take(next, order, limit, &mut rest);
        }
    }

    /// Appends the next entry of an organisation to `order`, and puts the organisation back.
    fn take<'a>(
        next: Next<'a>,
        order: &mut Vec<Candidate>,
        limit: usize,
        heap: &mut BinaryHeap<Reverse<Next<'a>>>,
    ) {
        if order.len() >= limit {
            heap.clear();
            return;
        }
        if let Some(candidate) = next.candidate() {
            order.push(*candidate);
            heap.extend(next.advance(candidate).map(Reverse));
        }
    }
}
