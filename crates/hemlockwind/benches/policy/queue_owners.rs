//! The design under test: a home for each pool, and the pools as each instance
//! sees them.

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
use crate::deployment::INSTANCES;
use crate::deployment::RANKS;
use crate::engines::BETWEEN_DATA_CENTRES;

/// `QueueOwners` holds the decision code of all instances.
pub struct QueueOwners {
    pub instances: Vec<InstanceKey>,
    pub queue_owners: Vec<QueueOwner>,
    pub pools: Vec<Pools>,
    centres: Vec<DataCentreKey>,
}

impl QueueOwners {
    pub fn new(deployment: &Deployment, centres: &[DataCentreKey], capacities: &[u32]) -> Self {
        let mut names = Names::<InstanceKey>::default();
        let instances = (0..INSTANCES.len()).map(|i| names.intern(&i.to_string()));
        let instances: Vec<_> = instances.collect();
        let queue_owner =
            |(dc, slots): (usize, &u32)| new_queue_owner(deployment, &instances, dc, *slots);
        Self {
            queue_owners: capacities.iter().enumerate().map(queue_owner).collect(),
            pools: INSTANCES.iter().map(|&dc| new_pools(centres, dc)).collect(),
            centres: centres.to_vec(),
            instances,
        }
    }

    /// The instance that is the home of a pool.
    pub fn queue_owner_of(&self, pool: usize) -> InstanceKey {
        let at = INSTANCES.iter().position(|&dc| dc == pool);
        self.instances[at.expect("each data centre has instances")]
    }

    pub fn index(&self, instance: InstanceKey) -> usize {
        let at = self.instances.iter().position(|&k| k == instance);
        at.expect("the key is of this run")
    }

    pub fn pool(&self, centre: DataCentreKey) -> usize {
        let at = self.centres.iter().position(|&k| k == centre);
        at.expect("the key is of this run")
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
    let live = instances.iter().zip(INSTANCES);
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
        pools.insert(now, centre, 2 * BETWEEN_DATA_CENTRES);
    }
    pools
}
