//! All records of an instance, and which requests it may dispatch.

use std::time::Duration;

use hemlockwind_core::collections::SeededHashMap;
use hemlockwind_core::time::Instant;

use crate::key::EngineRun;
use crate::key::PartKey;
use crate::key::ServiceKey;
use crate::record::Confirmation;
use crate::record::Crash;
use crate::record::RECENT_BEGIN;
use crate::record::RETENTION;
use crate::record::Record;

/// Maximum number of records.
pub const MAX_RECORDS: usize = 256;
/// Maximum number of parts whose last begin is kept.
const MAX_RECENT: usize = 4_096;
/// Maximum number of services.
const MAX_SERVICES: usize = 256;
/// Number of crashes since the last begin from which one request at a time is dispatched.
const CRASHES_TO_LIMIT: usize = 2;
/// Number of crashes since the last begin that quarantine a part while other answers begin.
const CRASHES_TO_CONFIRM: usize = 3;
/// Number of crashes that quarantine a part while no answer of the service begins. That may be
/// due to another cause, or to the crashes themselves where each one ends all paths.
const CRASHES_TO_CONFIRM_ALONE: usize = 5;
/// Time after which a request that alone was dispatched no longer keeps the others back.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);
/// When to retry while another request with the part is being tried.
const TRIAL_RETRY: Duration = Duration::from_millis(500);
/// After the hold, one instance at a time may try a request, each for this long: longer than a
/// result takes to reach all instances.
const TURN: Duration = Duration::from_secs(6);

/// `Admission` says whether a request may be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be dispatched.
    Admitted,
    /// The part at this index of the request's parts is withheld.
    Withheld {
        /// The index of the part.
        index: usize,
        /// When a retry may succeed.
        retry_at: Instant,
    },
}

/// `Standing` says what a request with a part may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It may be dispatched.
    Free,
    /// It may be dispatched, and no other until then.
    Trial {
        /// The end of the trial, unless an answer begins or an engine crashes before.
        until: Instant,
    },
    /// It may not be dispatched.
    Withheld {
        /// When a retry may succeed.
        retry_at: Instant,
    },
}

/// `Quarantine` holds the records of one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: SeededHashMap<PartKey, Record>,
    /// Until when a request with the part keeps the others back at this instance.
    trials: SeededHashMap<PartKey, Instant>,
    /// When answers on the parts last began at this instance.
    recent: SeededHashMap<PartKey, Instant>,
    /// When any answer of the service last began at this instance.
    services: SeededHashMap<ServiceKey, Instant>,
    /// The parts whose records other instances don't have yet.
    changed: Vec<PartKey>,
    /// The parts that were quarantined here and not returned by
    /// [`Quarantine::take_quarantined`] yet.
    quarantined: Vec<PartKey>,
}

impl Quarantine {
    /// Decides on a new request, or on one that is to be sent again after it lost its engine.
    /// After the hold of a quarantined part, `is_on_turn` decides whether this instance may try a
    /// request in the turn with this number.
    pub fn admit(
        &mut self,
        now: Instant,
        parts: &[PartKey],
        is_on_turn: impl Fn(PartKey, u64) -> bool,
    ) -> Admission {
        if self.records.is_empty() {
            return Admission::Admitted;
        }
        let mut trials = Vec::new();
        for (index, part) in parts.iter().enumerate() {
            let Some(service) = self.records.get(part).map(|r| r.service) else {
                continue;
            };
            self.confirm(now, service);
            match self.standing(now, *part, parts, &is_on_turn) {
                Standing::Free => {}
                Standing::Trial { until } => trials.push((*part, until)),
                Standing::Withheld { retry_at } => {
                    return Admission::Withheld { index, retry_at };
                }
            }
        }
        self.trials.extend(trials);
        Admission::Admitted
    }

    /// Whether the crashes of a quarantined part may be due to another part, which a request with
    /// `parts` doesn't have. That request then shows which of the two is at fault.
    fn is_doubtful(&self, now: Instant, record: &Record, parts: &[PartKey]) -> bool {
        let is_held = record
            .confirmation
            .is_some_and(|c| c.failed_trials == 0 && now < c.hold_until());
        let may_be_at_fault = |other: &Record| {
            let is_less_likely = record.begun_at.is_none() && other.begun_at.is_some();
            record.is_covered_by(other) && !is_less_likely && !parts.contains(&other.part)
        };
        is_held && !record.crashes.is_empty() && self.records.values().any(may_be_at_fault)
    }

    /// Returns what a request with these parts may do as far as one of them is concerned.
    fn standing(
        &self,
        now: Instant,
        part: PartKey,
        parts: &[PartKey],
        is_on_turn: impl Fn(PartKey, u64) -> bool,
    ) -> Standing {
        let Some(record) = self.records.get(&part) else {
            return Standing::Free;
        };
        let trial_until = self.trials.get(&part).copied();
        let is_tried = trial_until.is_some_and(|until| until > now);
        if let Some(confirmation) = record.confirmation
            && !self.is_doubtful(now, record, parts)
        {
            let hold_until = confirmation.hold_until();
            if now < hold_until {
                return Standing::Withheld {
                    retry_at: hold_until,
                };
            }
            let turn = now.since(hold_until).as_micros() / TURN.as_micros();
            let until = now + TURN;
            return match !is_tried && is_on_turn(part, turn as u64) {
                true => Standing::Trial { until },
                false => Standing::Withheld { retry_at: until },
            };
        }
        let is_limited = record.confirmation.is_some()
            || (self.unexplained(record) >= CRASHES_TO_LIMIT && self.others_begin(record));
        match (is_limited, is_tried) {
            (false, _) => Standing::Free,
            (true, false) => Standing::Trial {
                until: now + TRIAL_TIMEOUT,
            },
            (true, true) => Standing::Withheld {
                retry_at: now + TRIAL_RETRY,
            },
        }
    }

    /// Checks a request that was admitted once more, as a part may have been quarantined while it
    /// waited. Unlike [`Quarantine::admit`] it may be called any number of times.
    pub fn recheck(&self, now: Instant, parts: &[PartKey]) -> Admission {
        let withheld = parts.iter().enumerate().find_map(|(index, part)| {
            let record = self.records.get(part)?;
            let retry_at = record.confirmation?.hold_until();
            let is_withheld = now < retry_at && !self.is_doubtful(now, record, parts);
            is_withheld.then_some(Admission::Withheld { index, retry_at })
        });
        withheld.unwrap_or(Admission::Admitted)
    }

    /// Records that the answer to a request with these parts began.
    pub fn on_begin(&mut self, now: Instant, service: ServiceKey, parts: &[PartKey]) {
        insert_bounded(&mut self.services, MAX_SERVICES, service, now);
        for part in parts {
            insert_bounded(&mut self.recent, MAX_RECENT, *part, now);
            self.trials.remove(part);
            let Some(record) = self.records.get_mut(part) else {
                continue;
            };
            let was_recorded = record.confirmation.is_some() || !record.crashes.is_empty();
            record.set_begun(now);
            if was_recorded {
                mark(&mut self.changed, *part);
            }
        }
    }

    /// Records that an engine crashed on which a request with these parts had not begun.
    pub fn on_crash(
        &mut self,
        now: Instant,
        service: ServiceKey,
        run: EngineRun,
        parts: &[PartKey],
    ) {
        for (depth, part) in parts.iter().enumerate() {
            self.trials.remove(part);
            let begun_at = self.recent.get(part).copied();
            if begun_at.is_some_and(|at| now.since(at) < RECENT_BEGIN) {
                continue;
            }
            self.make_room(now, *part);
            let record = self
                .records
                .entry(*part)
                .or_insert_with(|| Record::new(*part, service));
            record.depth = record.depth.max(depth as u16);
            if let Some(begun_at) = begun_at {
                record.add_begin(begun_at);
            }
            let is_new = record.add_crash(Crash { run, at: now });
            if let Some(confirmation) = &mut record.confirmation
                && now >= confirmation.hold_until()
            {
                *confirmation = Confirmation {
                    at: now,
                    failed_trials: confirmation.failed_trials + 1,
                };
                mark(&mut self.changed, *part);
            } else if is_new {
                mark(&mut self.changed, *part);
            }
        }
        self.confirm(now, service);
    }

    /// Adds the records of another instance. Returns whether anything was new.
    pub fn merge(&mut self, now: Instant, records: &[Record]) -> bool {
        let mut is_changed = false;
        let mut services = Vec::new();
        for theirs in records.iter().take(MAX_RECORDS) {
            if theirs.expires_at() <= now {
                continue;
            }
            self.make_room(now, theirs.part);
            let record = self
                .records
                .entry(theirs.part)
                .or_insert_with(|| Record::new(theirs.part, theirs.service));
            if record.merge(theirs) {
                is_changed = true;
                services.push(theirs.service);
            }
            // The others don't know when the part began at this instance.
            if let Some(begun_at) = self.recent.get(&theirs.part)
                && record.needs_begin(*begun_at)
            {
                record.add_begin(*begun_at);
                mark(&mut self.changed, theirs.part);
                services.push(theirs.service);
            }
        }
        services.sort_unstable();
        services.dedup();
        for service in services {
            self.confirm(now, service);
        }
        is_changed
    }

    /// Quarantines the parts of a service whose crashes suffice.
    ///
    /// All parts of a request are recorded for its crash. So the parts are taken in order: those on
    /// which no answer is known to have begun first, and of these the latest in the prompts. A
    /// crash counts for the first quarantined part alone.
    fn confirm(&mut self, now: Instant, service: ServiceKey) {
        let of_service = self.records.values().filter(|r| r.service == service);
        let mut ordered: Vec<&Record> = of_service
            .filter(|r| r.confirmation.is_some() || r.count(&[]) >= CRASHES_TO_CONFIRM)
            .collect();
        let order = |r: &Record| (r.begun_at.is_none(), r.depth, r.crashes.len(), r.part);
        ordered.sort_by_key(|r| std::cmp::Reverse(order(r)));
        let mut explained: Vec<EngineRun> = Vec::new();
        let mut confirmed = Vec::new();
        let mut released = Vec::new();
        for record in ordered {
            let count = record.count(&explained);
            let is_explained = count < record.count(&[]) && count < CRASHES_TO_CONFIRM;
            let suffices = count >= CRASHES_TO_CONFIRM_ALONE
                || (count >= CRASHES_TO_CONFIRM && self.others_begin(record));
            match record.confirmation {
                None if suffices => confirmed.push(record.part),
                None => continue,
                Some(c) if is_explained && c.failed_trials == 0 => {
                    released.push(record.part);
                    continue;
                }
                Some(_) => {}
            }
            explained.extend(record.crashes.iter().map(|c| c.run));
        }
        for part in released {
            if let Some(record) = self.records.get_mut(&part) {
                record.confirmation = None;
            }
        }
        for part in &confirmed {
            if let Some(record) = self.records.get_mut(part) {
                record.confirmation = Some(Confirmation {
                    at: now,
                    failed_trials: 0,
                });
                mark(&mut self.changed, *part);
                mark(&mut self.quarantined, *part);
            }
        }
    }

    /// Returns the number of crashes of a record that no quarantined part explains.
    fn unexplained(&self, record: &Record) -> usize {
        let confirmed = self.records.values().filter(|r| r.confirmation.is_some());
        let crashes = confirmed.flat_map(|r| &r.crashes);
        let explained: Vec<EngineRun> = crashes.map(|c| c.run).collect();
        record.count(&explained)
    }

    /// Whether answers of other requests have begun since the first crash of a record.
    fn others_begin(&self, record: &Record) -> bool {
        let begun_at = self.services.get(&record.service);
        let first = record.crashes.first();
        first.is_some_and(|first| begun_at.is_some_and(|at| *at > first.at))
    }

    /// Removes expired records, and the least useful one if there is no room for another.
    fn make_room(&mut self, now: Instant, part: PartKey) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&part) {
            return;
        }
        self.expire(now);
        while self.records.len() >= MAX_RECORDS {
            let order = |r: &Record| (r.confirmation.is_some(), r.count(&[]), r.expires_at());
            let least = self.records.values().min_by_key(|r| order(r));
            let Some(least) = least.map(|r| r.part) else {
                return;
            };
            self.records.remove(&least);
        }
    }

    /// Removes what is over.
    pub fn expire(&mut self, now: Instant) {
        self.records.retain(|_, r| r.expires_at() > now);
        self.trials.retain(|_, until| *until > now);
        self.recent.retain(|_, at| now.since(*at) < RETENTION);
    }

    /// Whether there are changes to push.
    pub fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns the records that have changed here since the last call.
    pub fn take_changed(&mut self) -> Vec<Record> {
        let changed = std::mem::take(&mut self.changed);
        let records = changed.iter().filter_map(|part| self.records.get(part));
        records.cloned().collect()
    }

    /// Returns the parts that this instance itself has quarantined since the last call: by a crash,
    /// by records of another instance, or when it admitted a request.
    pub fn take_quarantined(&mut self) -> Vec<PartKey> {
        std::mem::take(&mut self.quarantined)
    }

    /// Returns all records.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// Returns the number of quarantined parts.
    pub fn quarantined_parts(&self) -> usize {
        let confirmed = self.records.values().filter(|r| r.confirmation.is_some());
        confirmed.count()
    }

    /// Returns a hash of all records, by which two instances find out whether theirs differ.
    pub fn digest(&self) -> u64 {
        let digests = self.records.values().map(Record::digest);
        digests.fold(0, |sum, digest| sum ^ digest)
    }
}

/// Adds a part to those that have changed.
fn mark(changed: &mut Vec<PartKey>, part: PartKey) {
    if !changed.contains(&part) && changed.len() < MAX_RECORDS {
        changed.push(part);
    }
}

/// Inserts a time. If the map is full, those that are not recent are removed first, and the new
/// one is left out if that does not suffice.
fn insert_bounded<K: Eq + std::hash::Hash>(
    map: &mut SeededHashMap<K, Instant>,
    max: usize,
    key: K,
    now: Instant,
) {
    if map.len() >= max && !map.contains_key(&key) {
        map.retain(|_, at| now.since(*at) < RECENT_BEGIN);
    }
    if map.len() < max || map.contains_key(&key) {
        map.insert(key, now);
    }
}
