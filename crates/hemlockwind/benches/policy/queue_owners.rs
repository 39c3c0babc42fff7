//! The policy under test: a queue owner for each pool, and each instance's side of the
//! pools.

use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::InstanceKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::time::Instant;
use hemlockwind::queueing::Pools;
use hemlockwind::queueing::QueueOwner;
use hemlockwind::queueing::Spill;
use hemlockwind::queueing::driver;
use hemlockwind::queueing::pools;
use hemlockwind::queueing::queue_owner;
use hemlockwind::queueing::spill;

use crate::deployment::Deployment;
use crate::deployment::INSTANCE_DATA_CENTRES;
use crate::deployment::RANKS;
use crate::engines::INTER_DATA_CENTRE_DELAY;

/// `QueueOwners` holds the queueing state of all instances.
pub struct QueueOwners {
    pub instances: Vec<InstanceKey>,
    /// The queue owner of each pool.
    pub queue_owners: Vec<QueueOwner>,
    /// Each instance's side of all pools.
    pub pools: Vec<Pools>,
    centres: Vec<DataCentreKey>,
}

impl QueueOwners {
    pub fn new(deployment: &Deployment, centres: &[DataCentreKey], capacities: &[u32]) -> Self {
        let mut names = Names::<InstanceKey>::default();
        let instances = (0..INSTANCE_DATA_CENTRES.len()).map(|i| names.intern(&i.to_string()));
        let instances: Vec<_> = instances.collect();
        let queue_owner =
            |(dc, slots): (usize, &u32)| new_queue_owner(deployment, &instances, dc, *slots);
        Self {
            queue_owners: capacities.iter().enumerate().map(queue_owner).collect(),
            pools: INSTANCE_DATA_CENTRES
                .iter()
                .map(|&dc| new_pools(centres, dc))
                .collect(),
            centres: centres.to_vec(),
            instances,
        }
    }

    /// Returns the instance that is the queue owner of a pool.
    pub fn queue_owner_of(&self, pool: usize) -> InstanceKey {
        let at = INSTANCE_DATA_CENTRES.iter().position(|&dc| dc == pool);
        self.instances[at.expect("each data centre has instances")]
    }

    /// Returns the index of the instance with this key.
    pub fn index_of(&self, instance: InstanceKey) -> usize {
        let at = self.instances.iter().position(|&k| k == instance);
        at.expect("the key belongs to this run")
    }

    /// Returns the index of the pool in this data centre.
    pub fn pool_of(&self, centre: DataCentreKey) -> usize {
        let at = self.centres.iter().position(|&k| k == centre);
        at.expect("the key belongs to this run")
    }
}

fn new_queue_owner(
    deployment: &Deployment,
    instances: &[InstanceKey],
    data_centre: usize,
    slots: u32,
) -> QueueOwner {
    let options = queue_owner::Options {
        floors: deployment.ranks.iter().map(|r| r.floor).collect(),
        headroom: deployment.headroom,
        ..queue_owner::Options::default()
    };
    let now = Instant::ZERO;
    let mut queue_owner = QueueOwner::new(options, 1, now);
    let live = instances.iter().zip(INSTANCE_DATA_CENTRES);
    let live = live.filter(|(_, at)| *at == data_centre).map(|(&i, _)| i);
    queue_owner.on_event(now, queue_owner::Event::Drivers(live.collect()));
    queue_owner.on_event(now, queue_owner::Event::Capacity(slots));
    queue_owner
}

fn new_pools(centres: &[DataCentreKey], data_centre: usize) -> Pools {
    let spill = Spill::new(spill::Options::new(RANKS));
    let options = pools::Options {
        local: centres[data_centre],
        ranks: RANKS as u8,
        driver: driver::Options::default(),
    };
    let now = Instant::ZERO;
    let mut pools = Pools::new(options, spill, 1, now);
    for &centre in centres {
        pools.insert(now, centre, 2 * INTER_DATA_CENTRE_DELAY);
    }
    pools
}
