//! Who starts when the engines' memory is short: the load of a burst.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use slotmap::SlotMap;

use hemlockwind_core::names::InstanceKey;
use hemlockwind_core::names::OrganisationKey;
use hemlockwind_core::names::Rank;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_paths::Home;
use hemlockwind_paths::Ticket;
use hemlockwind_paths::TicketId;
use hemlockwind_paths::engines::Stage;
use hemlockwind_paths::home::Crossing;
use hemlockwind_paths::home::Detour;
use hemlockwind_paths::home::Held;
use hemlockwind_paths::ticket::Decision;
use hemlockwind_paths::ticket::Reason;

use support::copy;
use support::engines;
use support::server;

/// Tokens of each request of these tests; a copy has room for about a hundred of them.
const TOKENS: u32 = 900;

struct World {
    home: Home,
    instance: InstanceKey,
    organisations: Vec<OrganisationKey>,
    number: u64,
}

fn world() -> World {
    let mut instances: SlotMap<InstanceKey, ()> = SlotMap::with_key();
    let mut organisations: SlotMap<OrganisationKey, ()> = SlotMap::with_key();
    World {
        home: Home::new(engines(&copy("a", 0))),
        instance: instances.insert(()),
        organisations: (0..4).map(|_| organisations.insert(())).collect(),
        number: 0,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

impl World {
    fn ticket(&mut self, now: Instant, rank: u8, organisation: usize) -> Ticket {
        self.number += 1;
        Ticket {
            id: TicketId {
                instance: self.instance,
                number: self.number,
            },
            near: None,
            organisation: self.organisations[organisation],
            rank: Rank(rank),
            tokens: TOKENS,
            on_time_by: now + Duration::from_millis(400),
            latest: now + Duration::from_millis(1_800),
            may_wait: true,
        }
    }

    /// Starts requests of a rank until the memory is full.
    fn fill(&mut self, now: Instant, rank: u8) -> Vec<TicketId> {
        let mut started = Vec::new();
        loop {
            let ticket = Ticket {
                may_wait: false,
                ..self.ticket(now, rank, 0)
            };
            match self.home.ask(now, ticket) {
                Some(Decision::Granted(_)) => started.push(ticket.id),
                Some(Decision::Refused(..)) | None => return started,
            }
        }
    }
}

fn granted(decisions: &[(TicketId, Decision)]) -> Vec<TicketId> {
    let granted = decisions
        .iter()
        .filter(|(_, d)| matches!(d, Decision::Granted(_)));
    granted.map(|(id, _)| *id).collect()
}

#[test]
fn ask_starts_while_there_is_room() {
    let mut w = world();
    assert!(w.fill(at(0), 1).len() > 60);
}

#[test]
fn ask_urgent_rank_first() {
    let mut w = world();
    let running = w.fill(at(0), 2);
    let late = w.ticket(at(1), 2, 1);
    assert_eq!(w.home.ask(at(1), late), None);
    let urgent = w.ticket(at(2), 0, 2);
    assert_eq!(w.home.ask(at(2), urgent), None);
    w.home.done(at(3), running[0]);
    assert_eq!(granted(&w.home.poll(at(3))), [urgent.id]);
}

#[test]
fn ask_does_not_pass_those_who_wait() {
    let mut w = world();
    let running = w.fill(at(0), 1);
    let first = w.ticket(at(1), 1, 1);
    assert_eq!(w.home.ask(at(1), first), None);
    w.home.done(at(2), running[0]);
    let second = w.ticket(at(2), 1, 2);
    assert_eq!(
        w.home.ask(at(2), second),
        None,
        "the first one waits longer"
    );
    assert_eq!(granted(&w.home.poll(at(2))), [first.id]);
}

#[test]
fn ask_small_organisation_before_a_large_one() {
    let mut w = world();
    let running = w.fill(at(0), 1);
    let large = w.ticket(at(1), 1, 0);
    assert_eq!(w.home.ask(at(1), large), None);
    let small = w.ticket(at(2), 1, 3);
    assert_eq!(w.home.ask(at(2), small), None);
    w.home.done(at(3), running[0]);
    assert_eq!(granted(&w.home.poll(at(3))), [small.id]);
}

#[test]
fn ask_on_time_before_late() {
    let mut w = world();
    let running = w.fill(at(0), 1);
    let late = w.ticket(at(1), 1, 1);
    assert_eq!(w.home.ask(at(1), late), None);
    let fresh = w.ticket(at(600), 1, 1);
    assert_eq!(w.home.ask(at(600), fresh), None);
    w.home.done(at(601), running[0]);
    assert_eq!(granted(&w.home.poll(at(601))), [fresh.id]);
}

#[test]
fn ask_refused_at_once_when_the_wait_is_of_no_use() {
    let mut w = world();
    w.fill(at(0), 1);
    let mut waiting = 0;
    // Nothing ends; each further ticket waits behind more of them.
    let refused = (0..200).find_map(|_| {
        let ticket = w.ticket(at(1), 1, 1);
        match w.home.ask(at(1), ticket) {
            None => {
                waiting += 1;
                None
            }
            decision => decision,
        }
    });
    assert!(waiting > 0);
    let Some(Decision::Refused(Reason::WaitTooLong, retry)) = refused else {
        panic!("{refused:?}");
    };
    assert!(retry > Duration::from_millis(200) && retry < Duration::from_secs(10));
}

#[test]
fn ask_refused_without_a_path() {
    let mut w = world();
    let mut servers = copy("a", 0);
    servers.remove(2);
    w.home.engines.update(servers.iter());
    let ticket = w.ticket(at(0), 0, 0);
    let decision = w.home.ask(at(0), ticket);
    assert!(matches!(
        decision,
        Some(Decision::Refused(Reason::NoPath, _))
    ));
}

#[test]
fn poll_expires_what_waited_in_vain() {
    let mut w = world();
    w.fill(at(0), 1);
    let ticket = w.ticket(at(1), 1, 1);
    assert_eq!(w.home.ask(at(1), ticket), None);
    let decisions = w.home.poll(at(1_802));
    assert!(
        matches!(decisions[..], [(id, Decision::Refused(Reason::Expired, _))] if id == ticket.id)
    );
    assert_eq!(w.home.waiting(), 0);
}

#[test]
fn running_at_forgets_what_its_instance_does_not_report() {
    let mut w = world();
    let running = w.fill(at(0), 1);
    let unknown = w
        .home
        .running_at(at(1_000), w.instance, &[running[0].number, 99_999]);
    assert_eq!(unknown, [99_999]);
    assert_eq!(w.home.running(), 1);
}

#[test]
fn adopt_takes_the_memory_of_another_homes_stream() {
    let mut w = world();
    let full = w.fill(at(0), 1).len();
    let mut other = world();
    let path = match other.home.ask(
        at(0),
        Ticket {
            tokens: TOKENS,
            ..w.ticket(at(0), 1, 0)
        },
    ) {
        Some(Decision::Granted(path)) => path,
        decision => panic!("{decision:?}"),
    };
    let mut fresh = world();
    for number in 1_000..1_010 {
        let id = TicketId {
            instance: fresh.instance,
            number,
        };
        let held = Held {
            tokens: TOKENS,
            path: path.clone(),
        };
        fresh.home.adopt(at(0), id, held);
    }
    assert_eq!(fresh.fill(at(1), 1).len(), full - 10);
}

const MUST_FIT: Detour = Detour {
    must_fit: true,
    keeps_first: false,
    crossing: Crossing::Free,
};
const ANY: Detour = Detour {
    must_fit: false,
    ..MUST_FIT
};
const KEEPS_FIRST: Detour = Detour {
    keeps_first: true,
    ..MUST_FIT
};

/// Two copies in two data centres, and the engines that a request started on.
fn two_copies() -> (World, Vec<BackendServer>) {
    let mut servers = copy("a", 0);
    servers.extend(copy("b", 10));
    let w = World {
        home: Home::new(engines(&servers)),
        ..world()
    };
    (w, servers)
}

/// Marks the engine of the `stage`th stage of a running request as leaving.
fn leave(w: &mut World, servers: &mut [BackendServer], path: &[Stage], stage: usize) {
    let id = &w.home.engines.get(path[stage].engine).unwrap().id;
    let server = servers.iter_mut().find(|s| s.id == *id).unwrap();
    server.state = ServerState::Leaving;
    w.home.engines.update(servers.iter());
}

fn start(w: &mut World) -> (TicketId, Vec<Stage>) {
    let ticket = w.ticket(at(0), 1, 0);
    match w.home.ask(at(0), ticket) {
        Some(Decision::Granted(path)) => (ticket.id, path),
        decision => panic!("{decision:?}"),
    }
}

#[test]
fn detour_only_where_it_must_fit() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    w.fill(at(0), 1);
    leave(&mut w, &mut servers, &path, 4);
    assert_eq!(w.home.detour(at(1), id, MUST_FIT), None);
    assert!(w.home.detour(at(1), id, ANY).is_some());
}

/// All that ran in one data centre moves to the other one, which is full already.
#[test]
fn detour_overbooks_no_engine_far() {
    let (mut w, mut servers) = two_copies();
    let mut running = w.fill(at(0), 1);
    running.sort_unstable();
    for server in servers.iter_mut().filter(|s| *s.data_centre == *"a") {
        server.state = ServerState::Leaving;
    }
    w.home.engines.update(servers.iter());
    let moved = running
        .iter()
        .filter(|id| w.home.detour(at(1), **id, ANY).is_some());
    assert!(moved.count() > running.len() / 2, "some find room");
    for (_, engine) in w.home.engines.iter() {
        assert!(
            engine.used <= engine.room * 1.18,
            "{} of {}",
            engine.used,
            engine.room
        );
    }
}

#[test]
fn detour_keeps_the_first_stage_and_what_it_holds() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    leave(&mut w, &mut servers, &path, 4);
    let detour = w.home.detour(at(1), id, KEEPS_FIRST).unwrap();
    assert_eq!(detour[0], path[0]);
    let kept = detour.iter().filter(|s| path.contains(s)).count();
    assert!(kept >= 4, "what lies before the lost stage stays: {kept}");
    assert!(!detour.contains(&path[4]));
}

#[test]
fn detour_crosses_only_where_it_may() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    leave(&mut w, &mut servers, &path, 4);
    let stays = Detour {
        crossing: Crossing::NoMore,
        ..KEEPS_FIRST
    };
    assert_eq!(w.home.detour(at(1), id, stays), None);
    // A replacement has come.
    let lost = path[4].layers;
    servers.push(server(50, "a", (lost.start(), lost.end())));
    servers.push(server(51, "b", (lost.start(), lost.end())));
    w.home.engines.update(servers.iter());
    assert!(w.home.detour(at(2), id, stays).is_some());
}

#[test]
fn detour_within_a_data_centre_when_links_have_failed() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    leave(&mut w, &mut servers, &path, 4);
    let crossing = w.home.detour(at(1), id, KEEPS_FIRST).unwrap();
    assert!(w.home.engines.crossings(&crossing) > 0);
    let stays = Detour {
        must_fit: false,
        crossing: Crossing::None,
        ..KEEPS_FIRST
    };
    assert_eq!(w.home.detour(at(2), id, stays), None);
    let lost = path[4].layers;
    let name = servers
        .iter()
        .find(|s| s.layers == Some(path[0].layers))
        .unwrap();
    let name = std::sync::Arc::clone(&name.data_centre);
    servers.push(server(50, &name, (lost.start(), lost.end())));
    w.home.engines.update(servers.iter());
    let within = w.home.detour(at(3), id, stays).unwrap();
    assert_eq!(w.home.engines.crossings(&within), 0);
}

#[test]
fn detour_none_when_the_first_stage_leaves() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    leave(&mut w, &mut servers, &path, 0);
    assert_eq!(w.home.detour(at(1), id, KEEPS_FIRST), None);
    assert!(w.home.detour(at(1), id, MUST_FIT).is_some());
}

#[test]
fn detour_none_changes_no_memory() {
    let (mut w, mut servers) = two_copies();
    let (id, path) = start(&mut w);
    leave(&mut w, &mut servers, &path, 0);
    let used = |w: &World| -> f64 { w.home.engines.iter().map(|(_, e)| e.used).sum() };
    let before = used(&w);
    assert_eq!(w.home.detour(at(1), id, KEEPS_FIRST), None);
    assert!((used(&w) - before).abs() < 1.0);
    w.home.done(at(2), id);
    assert!(used(&w) < 1.0);
}

#[test]
fn ask_starts_in_the_callers_data_centre() {
    let (mut w, _) = two_copies();
    for name in ["a", "b"] {
        let near = w.home.engines.data_centre(name);
        let ticket = Ticket {
            near,
            ..w.ticket(at(0), 1, 0)
        };
        let Some(Decision::Granted(path)) = w.home.ask(at(0), ticket) else {
            panic!("there is room");
        };
        let first = w.home.engines.get(path[0].engine).unwrap();
        assert_eq!(Some(first.data_centre), near);
    }
}

#[test]
fn ask_nothing_over_a_data_centre_that_is_cut_off() {
    let (mut w, _) = two_copies();
    w.home.engines.set_cut_off(&["a".into()]);
    let b = w.home.engines.data_centre("b").unwrap();
    for _ in 0..20 {
        let (_, path) = start(&mut w);
        for stage in path {
            assert_eq!(w.home.engines.get(stage.engine).unwrap().data_centre, b);
        }
    }
}

#[test]
fn ask_no_more_than_an_engine_reports_free() {
    let mut w = world();
    let full = w.fill(at(0), 1);
    for id in full {
        w.home.done(at(1), id);
    }
    // Another home has filled this engine; the ledger here does not know.
    let (_, engine) = w.home.engines.iter().next().unwrap();
    let (addr, room) = (engine.addr, engine.room);
    w.home.engines.report(at(2), addr, room, room);
    assert_eq!(w.fill(at(3), 1).len(), 0);
    // The report is old after a while.
    assert!(w.fill(at(10_000), 1).len() > 60);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Against a simple oracle: each ticket is decided once, and when all have ended no
    /// memory is taken.
    #[test]
    fn home_any_history(steps in vec((0u8..5, 0u8..3, 0usize..4), 1..300)) {
        let mut w = world();
        let mut open: HashMap<TicketId, bool> = HashMap::new();
        let mut now = at(0);
        for (what, rank, organisation) in steps {
            now = now + Duration::from_millis(37);
            match what {
                0..=2 => {
                    let ticket = w.ticket(now, rank, organisation);
                    match w.home.ask(now, ticket) {
                        Some(Decision::Granted(_)) => { open.insert(ticket.id, true); }
                        None => { open.insert(ticket.id, false); }
                        Some(Decision::Refused(..)) => {}
                    }
                }
                3 => {
                    if let Some(id) = open.keys().min().copied() {
                        open.remove(&id);
                        w.home.done(now, id);
                    }
                }
                _ => {
                    for (id, decision) in w.home.poll(now) {
                        let was_running = open.remove(&id);
                        prop_assert_eq!(was_running, Some(false), "decided twice");
                        if matches!(decision, Decision::Granted(_)) {
                            open.insert(id, true);
                        }
                    }
                }
            }
            let running = open.values().filter(|r| **r).count();
            prop_assert!(w.home.running() <= running, "more runs than was granted");
        }
        for id in open.keys() {
            w.home.done(now, *id);
        }
        prop_assert_eq!(w.home.running(), 0);
        prop_assert_eq!(w.home.waiting(), 0);
        for (_, engine) in w.home.engines.iter() {
            prop_assert!(engine.used < 1.0 && engine.streams == 0 && engine.first == 0);
        }
    }
}
