//! Which instance of a data centre does what for all.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;

use hemlockwind_core::directory::Directory;
use hemlockwind_core::names::DataCentreKey;
use hemlockwind_core::names::InstanceKey;
use hemlockwind_membership::Duty;
use hemlockwind_membership::score;
use hemlockwind_settings::Settings;

/// `Member` is an instance that may hold duties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its key.
    pub key: InstanceKey,
    /// Its name.
    pub name: Arc<str>,
    /// Its data centre.
    pub data_centre: DataCentreKey,
    /// Its address for peers.
    pub addr: SocketAddr,
}

/// `Duties` finds the holders of duties by rendezvous hashing over the instances
/// that are believed to be live. Two instances may believe in different holders
/// for a moment; nothing that must be right depends on it.
pub struct Duties {
    me: InstanceKey,
    members: ArcSwap<Vec<Member>>,
}

impl Duties {
    /// Duties over all instances of the settings, until better is known.
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

    /// The key of this instance.
    pub fn me(&self) -> InstanceKey {
        self.me
    }

    /// Takes over who is believed to be live.
    pub fn set(&self, members: Vec<Member>) {
        if *self.members.load_full() != members {
            self.members.store(Arc::new(members));
        }
    }

    /// All instances that are believed to be live.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// The live instances of a data centre.
    pub fn of(&self, data_centre: DataCentreKey) -> Vec<InstanceKey> {
        let members = self.members.load();
        let near = members.iter().filter(|m| m.data_centre == data_centre);
        near.map(|member| member.key).collect()
    }

    /// The other data centres that have instances.
    pub fn other_centres(&self, own: DataCentreKey) -> Vec<DataCentreKey> {
        let members = self.members.load();
        let mut centres: Vec<_> = members.iter().map(|m| m.data_centre).collect();
        centres.retain(|&centre| centre != own);
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    /// The instance that holds `duty` for a data centre.
    pub fn holder(&self, duty: Duty<'_>, data_centre: DataCentreKey) -> Option<Member> {
        let members = self.members.load();
        let near = members.iter().filter(|m| m.data_centre == data_centre);
        near.max_by_key(|m| score(duty, &m.name)).cloned()
    }

    /// The `n` instances that hold `duty` for a data centre, by their place.
    pub fn holders(
        &self,
        duty: Duty<'_>,
        data_centre: DataCentreKey,
        n: usize,
    ) -> Vec<InstanceKey> {
        let members = self.members.load();
        let near = members.iter().filter(|m| m.data_centre == data_centre);
        let mut near: Vec<_> = near.map(|m| (score(duty, &m.name), m.key)).collect();
        near.sort_unstable();
        let first = near.into_iter().rev().take(n);
        first.map(|(_, key)| key).collect()
    }

    /// Whether this instance is one of the `n` holders of `duty` for a data centre.
    pub fn holds(&self, duty: Duty<'_>, data_centre: DataCentreKey, n: usize) -> bool {
        self.holders(duty, data_centre, n).contains(&self.me)
    }

    /// The address of an instance.
    pub fn addr(&self, key: InstanceKey) -> Option<SocketAddr> {
        let members = self.members.load();
        members.iter().find(|m| m.key == key).map(|m| m.addr)
    }
}
