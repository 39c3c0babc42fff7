//! Assignments: which instance of a data centre does a job for the whole data centre.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

use hemlockwind_core::directory::Directory;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_membership::Assignment;
use hemlockwind_membership::score;
use hemlockwind_settings::Settings;

/// `Member` is an instance that may have assignments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The instance's key.
    pub key: InstanceKey,
    /// The instance's name.
    pub name: Arc<str>,
    /// The instance's data centre.
    pub data_centre: DataCentreKey,
    /// The address at which peers reach the instance.
    pub addr: SocketAddr,
}

/// `Assignments` finds the holders of assignments by rendezvous hashing over the instances
/// that are recorded as live. Two instances may find different holders for a moment, so
/// correctness must not depend on a holder being the only one.
pub struct Assignments {
    me: InstanceKey,
    members: ArcSwap<Vec<Member>>,
}

impl Assignments {
    /// Creates assignments over all instances of the settings, until [`Self::set`] replaces
    /// these by the live ones.
    pub fn new(settings: &Settings, me: &str, directory: &mut Directory) -> Self {
        let members = settings.instances.iter().map(|instance| Member {
            key: directory.instances.intern(&instance.name),
            name: instance.name.as_str().into(),
            data_centre: directory.data_centres.intern(&instance.data_centre),
            addr: instance.peers,
        });
        let members = ArcSwap::from_pointee(members.collect());
        let me = directory.instances.intern(me);
        Self { me, members }
    }

    /// Returns the key of this instance.
    pub fn me(&self) -> InstanceKey {
        self.me
    }

    /// Replaces the instances that are recorded as live.
    pub fn set(&self, members: Vec<Member>) {
        if *self.members.load_full() != members {
            self.members.store(Arc::new(members));
        }
    }

    /// Returns all instances that are recorded as live.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the live instances of a data centre.
    pub fn members_of(&self, data_centre: DataCentreKey) -> Vec<InstanceKey> {
        let members = self.members.load();
        let local = members.iter().filter(|m| m.data_centre == data_centre);
        local.map(|member| member.key).collect()
    }

    /// Returns the data centres with live instances, without `own`.
    pub fn other_centres(&self, own: DataCentreKey) -> Vec<DataCentreKey> {
        let members = self.members.load();
        let mut centres: Vec<_> = members.iter().map(|m| m.data_centre).collect();
        centres.retain(|&centre| centre != own);
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    /// Returns the instance that holds `assignment` for a data centre.
    pub fn holder(&self, assignment: Assignment<'_>, data_centre: DataCentreKey) -> Option<Member> {
        let members = self.members.load();
        let local = members.iter().filter(|m| m.data_centre == data_centre);
        local.max_by_key(|m| score(assignment, &m.name)).cloned()
    }

    /// Returns the `n` instances with the highest scores for `assignment` in a data centre,
    /// the highest score first.
    pub fn holders(
        &self,
        assignment: Assignment<'_>,
        data_centre: DataCentreKey,
        n: usize,
    ) -> Vec<InstanceKey> {
        let members = self.members.load();
        let local = members.iter().filter(|m| m.data_centre == data_centre);
        let mut local: Vec<_> = local.map(|m| (score(assignment, &m.name), m.key)).collect();
        local.sort_unstable();
        let first = local.into_iter().rev().take(n);
        first.map(|(_, key)| key).collect()
    }

    /// Whether this instance is one of the `n` holders of `assignment` for a data centre.
    pub fn holds(&self, assignment: Assignment<'_>, data_centre: DataCentreKey, n: usize) -> bool {
        self.holders(assignment, data_centre, n).contains(&self.me)
    }

    /// Returns the address of an instance; `None` if it is not recorded as live.
    pub fn addr(&self, key: InstanceKey) -> Option<SocketAddr> {
        let members = self.members.load();
        members.iter().find(|m| m.key == key).map(|m| m.addr)
    }
}
