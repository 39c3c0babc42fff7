//! Ejects backend servers of one layer range after failures.
//!
//! Only a limited share of the servers is ejected at once: if most of them seem to
//! fail, the fault is more likely in the observer.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

/// `Policy` sets when servers are ejected, for how long, and how many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// The number of consecutive failures after which a server is ejected.
    pub failures: u32,
    /// The duration of the first ejection. Each further one lasts twice as long.
    pub first_duration: Duration,
    /// The maximum duration of an ejection.
    pub max_duration: Duration,
    /// The maximum share of the servers that is ejected or on trial at once, 0 to 1.
    pub max_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            failures: 3,
            first_duration: Duration::from_secs(1),
            max_duration: Duration::from_secs(60),
            max_share: 0.5,
        }
    }
}

/// `Standing` states whether a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The server may be used.
    Admitted,
    /// The server must not be used before `until`.
    Ejected {
        /// When a trial may begin.
        until: Instant,
    },
    /// One request tries the server; no other may use it.
    Trial,
}

/// `Ejection` tracks the standing of the servers of one layer range.
#[derive(Clone, Debug)]
pub struct Ejection {
    policy: Policy,
    members: HashMap<BackendServerKey, Member>,
    /// The number of members that are ejected or on trial.
    unavailable: usize,
}

/// `Member` is the state of one server.
#[derive(Clone, Copy, Debug)]
struct Member {
    standing: Standing,
    /// Consecutive failures.
    failures: u32,
    /// The duration of the next ejection.
    next_duration: Duration,
}

impl Ejection {
    /// Returns a range without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            members: HashMap::default(),
            unavailable: 0,
        }
    }

    /// Adds a server. One that was added before keeps its standing.
    pub fn add(&mut self, key: BackendServerKey) {
        let member = Member {
            standing: Standing::Admitted,
            failures: 0,
            next_duration: self.policy.first_duration,
        };
        self.members.entry(key).or_insert(member);
    }

    /// Removes a server. Returns the servers that are admitted again because fewer may
    /// now be ejected.
    pub fn remove(&mut self, key: BackendServerKey) -> Vec<BackendServerKey> {
        let Some(member) = self.members.remove(&key) else {
            return Vec::new();
        };
        if member.standing != Standing::Admitted {
            self.unavailable -= 1;
        }
        let mut admitted = Vec::new();
        while self.unavailable > self.max_unavailable() {
            let Some(first) = self.first_unavailable() else {
                break;
            };
            self.admit(first);
            admitted.push(first);
        }
        admitted
    }

    /// Returns the standing of a server, or `None` if the range does not contain it.
    pub fn standing(&self, key: BackendServerKey) -> Option<Standing> {
        self.members.get(&key).map(|member| member.standing)
    }

    /// Returns the number of servers that are ejected or on trial.
    pub fn unavailable(&self) -> usize {
        self.unavailable
    }

    /// Returns the maximum number of servers that are ejected or on trial at once.
    pub fn max_unavailable(&self) -> usize {
        // The product is at most the number of members, so the cast only truncates the
        // fraction.
        (self.members.len() as f64 * self.policy.max_share.clamp(0.0, 1.0)) as usize
    }

    /// Begins the trial of a server whose ejection is over. Returns whether the calling
    /// request may try the server.
    pub fn begin_trial(&mut self, now: Instant, key: BackendServerKey) -> bool {
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        match member.standing {
            Standing::Ejected { until } if now >= until => {
                member.standing = Standing::Trial;
                true
            }
            Standing::Ejected { .. } | Standing::Trial | Standing::Admitted => false,
        }
    }

    /// Records a success. A server on trial is admitted by it. A late success of an
    /// ejected server is ignored, since it does not show the server's present state.
    pub fn on_success(&mut self, key: BackendServerKey) {
        match self.standing(key) {
            Some(Standing::Trial) => self.admit(key),
            Some(Standing::Admitted) => self.reset(key),
            Some(Standing::Ejected { .. }) | None => {}
        }
    }

    /// Records a failure. Returns whether it ejects the server.
    pub fn on_failure(&mut self, now: Instant, key: BackendServerKey) -> bool {
        let may_eject = self.unavailable < self.max_unavailable();
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        match member.standing {
            Standing::Admitted => {
                member.failures = member.failures.saturating_add(1);
                let eject = may_eject && member.failures >= self.policy.failures;
                if eject {
                    member.eject(now, &self.policy);
                    self.unavailable += 1;
                }
                eject
            }
            Standing::Trial => {
                member.eject(now, &self.policy);
                true
            }
            Standing::Ejected { .. } => false,
        }
    }

    /// Returns the server to admit first: one on trial, else the one whose trial is due
    /// first.
    fn first_unavailable(&self) -> Option<BackendServerKey> {
        let unavailable = self.members.iter().filter_map(|(&key, member)| {
            let until = match member.standing {
                Standing::Admitted => return None,
                Standing::Trial => Instant::ZERO,
                Standing::Ejected { until } => until,
            };
            Some((until, key))
        });
        unavailable.min().map(|(_, key)| key)
    }

    fn admit(&mut self, key: BackendServerKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.standing = Standing::Admitted;
            self.unavailable -= 1;
        }
        self.reset(key);
    }

    fn reset(&mut self, key: BackendServerKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.failures = 0;
            member.next_duration = self.policy.first_duration;
        }
    }
}

impl Member {
    fn eject(&mut self, now: Instant, policy: &Policy) {
        let until = now + self.next_duration.min(policy.max_duration);
        self.standing = Standing::Ejected { until };
        self.next_duration = (2 * self.next_duration).min(policy.max_duration);
    }
}
