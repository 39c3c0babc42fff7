//! Which backend servers of one layer range are left out after failures.
//!
//! Never more than a part of the servers is out at once: when most of them seem
//! to fail, the fault is more likely in what watches them.

use std::time::Duration;

use hemlockwind_core::collections::HashMap;
use hemlockwind_core::names::BackendServerKey;
use hemlockwind_core::time::Instant;

/// `Policy` is when servers are left out, and how many.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Failures in a row after which a server is ejected.
    pub failures: u32,
    /// The time that a first ejection lasts; each further one lasts twice as long.
    pub first: Duration,
    /// The time that an ejection lasts at most.
    pub longest: Duration,
    /// The part of the servers that may be out at once, 0 to 1.
    pub most: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            failures: 3,
            first: Duration::from_secs(1),
            longest: Duration::from_secs(60),
            most: 0.5,
        }
    }
}

/// `Standing` is whether a server may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It may be used.
    Admitted,
    /// It may not be used before this time.
    Ejected {
        /// When a trial may begin.
        until: Instant,
    },
    /// One request tries it; nothing else may use it.
    Trial,
}

/// `Ejection` holds the standing of the servers of one layer range.
#[derive(Clone, Debug)]
pub struct Ejection {
    policy: Policy,
    members: HashMap<BackendServerKey, Member>,
    out: usize,
}

/// `Member` is one server with its failures.
#[derive(Clone, Copy, Debug)]
struct Member {
    standing: Standing,
    failures: u32,
    lasts: Duration,
}

impl Ejection {
    /// A range without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            members: HashMap::default(),
            out: 0,
        }
    }

    /// Adds a server; one that is known keeps its standing.
    pub fn add(&mut self, key: BackendServerKey) {
        let member = Member {
            standing: Standing::Admitted,
            failures: 0,
            lasts: self.policy.first,
        };
        self.members.entry(key).or_insert(member);
    }

    /// Removes a server. Returns the servers that are admitted again since fewer
    /// may be out.
    pub fn remove(&mut self, key: BackendServerKey) -> Vec<BackendServerKey> {
        let Some(member) = self.members.remove(&key) else {
            return Vec::new();
        };
        if member.standing != Standing::Admitted {
            self.out -= 1;
        }
        let mut admitted = Vec::new();
        while self.out > self.most_out() {
            let Some(first) = self.first_out() else {
                break;
            };
            self.admit(first);
            admitted.push(first);
        }
        admitted
    }

    /// The standing of a server, `None` when it is not one of the range.
    pub fn standing(&self, key: BackendServerKey) -> Option<Standing> {
        self.members.get(&key).map(|member| member.standing)
    }

    /// The number of servers that are ejected or on trial.
    pub fn out(&self) -> usize {
        self.out
    }

    /// The number of servers that may be out at once.
    pub fn most_out(&self) -> usize {
        // The product is at most the number of members.
        (self.members.len() as f64 * self.policy.most.clamp(0.0, 1.0)) as usize
    }

    /// Begins the trial of a server whose ejection is over. Returns whether this
    /// request is the one that may try it.
    pub fn try_again(&mut self, now: Instant, key: BackendServerKey) -> bool {
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

    /// Takes a success: a trial admits its server again. A late success of an
    /// ejected server says nothing of now.
    pub fn on_success(&mut self, key: BackendServerKey) {
        match self.standing(key) {
            Some(Standing::Trial) => self.admit(key),
            Some(Standing::Admitted) => self.reset(key),
            Some(Standing::Ejected { .. }) | None => {}
        }
    }

    /// Takes a failure. Returns whether the server is ejected by it.
    pub fn on_failure(&mut self, now: Instant, key: BackendServerKey) -> bool {
        let room = self.out < self.most_out();
        let Some(member) = self.members.get_mut(&key) else {
            return false;
        };
        match member.standing {
            Standing::Admitted => {
                member.failures = member.failures.saturating_add(1);
                let eject = room && member.failures >= self.policy.failures;
                if eject {
                    member.eject(now, &self.policy);
                    self.out += 1;
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

    /// The ejected server whose trial is due first.
    fn first_out(&self) -> Option<BackendServerKey> {
        let out = self.members.iter().filter_map(|(&key, member)| {
            let until = match member.standing {
                Standing::Admitted => return None,
                Standing::Trial => Instant::ZERO,
                Standing::Ejected { until } => until,
            };
            Some((until, key))
        });
        out.min().map(|(_, key)| key)
    }

    fn admit(&mut self, key: BackendServerKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.standing = Standing::Admitted;
            self.out -= 1;
        }
        self.reset(key);
    }

    fn reset(&mut self, key: BackendServerKey) {
        if let Some(member) = self.members.get_mut(&key) {
            member.failures = 0;
            member.lasts = self.policy.first;
        }
    }
}

impl Member {
    fn eject(&mut self, now: Instant, policy: &Policy) {
        let until = now + self.lasts.min(policy.longest);
        self.standing = Standing::Ejected { until };
        self.lasts = (2 * self.lasts).min(policy.longest);
    }
}
