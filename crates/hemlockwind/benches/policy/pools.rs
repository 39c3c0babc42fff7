//! The design under test: a home for each pool, and the drivers' side of each pool
//! in each instance.

use std::time::Duration;

use hemlockwind::core::names::DataCentreKey;
use hemlockwind::core::names::InstanceKey;
use hemlockwind::core::names::Names;
use hemlockwind::core::names::Rank;
use hemlockwind::core::time::Instant;
use hemlockwind::queueing::Driver;
use hemlockwind::queueing::Home;
use hemlockwind::queueing::Spill;
use hemlockwind::queueing::driver;
use hemlockwind::queueing::home;
use hemlockwind::queueing::spill;

use crate::deployment::DATA_CENTRES;
use crate::deployment::Deployment;
use crate::deployment::INSTANCES;
use crate::deployment::RANKS;
use crate::engines::BETWEEN_DATA_CENTRES;

/// The wait after which another data centre's pool is looked at.
const SPILL_TARGET: Duration = Duration::from_millis(10);
/// What another pool must save.
const SPILL_GAIN: Duration = Duration::from_millis(5);

/// `Pools` holds the decision code of all instances.
pub struct Pools {
    pub instances: Vec<InstanceKey>,
    pub homes: Vec<Home>,
    pub drivers: Vec<Vec<Driver>>,
    spills: Vec<Spill>,
}

impl Pools {
    pub fn new(deployment: &Deployment, capacities: &[u32]) -> Self {
        let mut names = Names::<InstanceKey>::default();
        let instances: Vec<_> = (0..INSTANCES.len())
            .map(|i| names.intern(&i.to_string()))
            .collect();
        let options = home::Options {
            floors: deployment.ranks.iter().map(|r| r.floor).collect(),
            headroom: deployment.headroom,
            ..home::Options::default()
        };
        let now = Instant::ZERO;
        let home = |dc: usize| {
            let mut home = Home::new(options.clone(), 1, now);
            let live = instances.iter().zip(INSTANCES);
            let live = live.filter(|(_, at)| *at == dc).map(|(&i, _)| i).collect();
            home.on_event(now, home::Event::Drivers(live));
            home.on_event(now, home::Event::Capacity(capacities[dc]));
            home
        };
        let driver = |_| Driver::new(driver::Options::default(), 1, now);
        let spill = Spill::new(spill::Options {
            targets: vec![SPILL_TARGET; RANKS],
            gain: SPILL_GAIN,
        });
        Self {
            homes: (0..DATA_CENTRES).map(home).collect(),
            drivers: instances
                .iter()
                .map(|_| (0..DATA_CENTRES).map(driver).collect())
                .collect(),
            spills: vec![spill; instances.len()],
            instances,
        }
    }

    /// The instance that is the home of a pool.
    pub fn home_of(&self, pool: usize) -> InstanceKey {
        let at = INSTANCES.iter().position(|&dc| dc == pool);
        self.instances[at.expect("each data centre has instances")]
    }

    pub fn index(&self, instance: InstanceKey) -> usize {
        let at = self.instances.iter().position(|&k| k == instance);
        at.expect("the key is of this run")
    }

    /// The pool that a new request goes to.
    pub fn choose(&mut self, instance: usize, rank: usize, keys: &[DataCentreKey]) -> usize {
        let local = INSTANCES[instance];
        let drivers = &self.drivers[instance];
        let waits: Vec<_> = (0..RANKS)
            .map(|r| drivers[local].wait(Rank(r as u8)))
            .collect();
        let spill = &mut self.spills[instance];
        for pool in (0..DATA_CENTRES).filter(|&p| p != local) {
            let driver = &drivers[pool];
            let view = spill::View {
                round_trip: 2 * BETWEEN_DATA_CENTRES,
                waits: (0..RANKS).map(|r| driver.wait(Rank(r as u8))).collect(),
                free: driver.credits(),
            };
            spill.update(keys[pool], Some(view));
        }
        let chosen = spill.choose(Rank(rank as u8), &waits);
        let at = chosen.and_then(|c| keys.iter().position(|&k| k == c));
        at.unwrap_or(local)
    }

    /// Another pool that a refused request may still try.
    pub fn retry(
        &self,
        instance: usize,
        rank: usize,
        tried: [bool; DATA_CENTRES],
        left: Duration,
    ) -> Option<usize> {
        let wait = |p: usize| self.drivers[instance][p].wait(Rank(rank as u8));
        let open = (0..DATA_CENTRES).filter(|&p| !tried[p] && wait(p) < left);
        open.min_by_key(|&p| wait(p))
    }
}
