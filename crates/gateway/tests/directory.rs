//! The directory of backend servers: outages of the store, and entries that name one address.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::*;

use hemlockwind_core::layers::LayerRange;
use hemlockwind_core::servers::BackendServer;
use hemlockwind_core::servers::ServerState;
use hemlockwind_core::time::Instant;
use hemlockwind_gateway::directory::Directory;

fn server(id: &str, addr: &str) -> BackendServer {
    BackendServer {
        id: id.into(),
        service: "drafts".into(),
        addr: addr.parse().unwrap(),
        data_centre: "a".into(),
        version: "v1".into(),
        state: ServerState::Ready,
        slots: 6,
        card: None,
        layers: None,
        born_ms: 1,
    }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(10_000 + ms)
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.put(server("one", "10.0.0.1:80"));
    directory.put(server("two", "10.0.0.2:80"));
    directory
}

#[test]
fn remove_at_once_without_an_outage() {
    let mut directory = directory();
    directory.remove(at(0), "one");
    assert!(directory.get("one").is_none());
}

#[test]
fn remove_waits_after_an_outage() {
    let mut directory = directory();
    directory.mark_store_lost();
    directory.mark_store_regained(at(0));
    directory.replace(at(10), vec![server("two", "10.0.0.2:80")]);
    assert!(
        directory.get("one").is_some(),
        "the entry may reappear within two seconds"
    );
    assert!(!directory.expire(at(2_000)));
    assert!(directory.expire(at(2_400)));
    assert!(directory.get("one").is_none());
}

#[test]
fn remove_undone_when_the_entry_comes_back() {
    let mut directory = directory();
    directory.mark_store_lost();
    directory.mark_store_regained(at(0));
    directory.remove(at(10), "one");
    directory.put(server("one", "10.0.0.1:80"));
    assert!(!directory.expire(at(5_000)));
    assert!(directory.get("one").is_some());
}

#[test]
fn put_address_of_another_server() {
    let mut directory = directory();
    directory.put(server("new", "10.0.0.1:80"));
    assert!(
        directory.get("one").is_none(),
        "an address belongs to one server"
    );
    assert_eq!(directory.of("drafts").count(), 2);
}

#[test]
fn set_layers_by_report() {
    let mut directory = directory();
    let layers = LayerRange::new(0, 8).ok();
    assert!(directory.set_layers("one", layers));
    assert!(!directory.set_layers("one", layers));
    assert!(!directory.set_layers("unknown", layers));
    assert_eq!(directory.get("one").unwrap().layers, layers);
}

/// Guards against removing all servers at once when an error answer shows the new era and the store
/// stays unavailable for longer than the settling time: no server could write its entry meanwhile.
#[test]
fn replace_after_a_restore_during_a_long_outage() {
    let mut directory = directory();
    directory.mark_store_lost();
    directory.mark_store_restored(at(0));
    directory.mark_store_regained(at(5_000));
    directory.replace(at(5_010), Vec::new());
    assert!(!directory.expire(at(7_200)));
    assert_eq!(directory.iter().count(), 2);
    assert!(directory.expire(at(7_400)));
    assert_eq!(directory.iter().count(), 0);
}

/// Guards against taking a removed server from the first list of the era if the store became
/// available late.
#[test]
fn replace_skips_removed_after_a_restore_during_a_long_outage() {
    let mut directory = directory();
    directory.remove(at(0), "one");
    directory.mark_store_lost();
    directory.mark_store_restored(at(100));
    directory.mark_store_regained(at(5_000));
    let listed = vec![server("one", "10.0.0.1:80"), server("two", "10.0.0.2:80")];
    directory.replace(at(5_010), listed);
    assert!(directory.get("one").is_none());
}

/// Guards against a shorter settling time when the store is regained than another instance reported.
#[test]
fn mark_store_regained_keeps_a_later_time() {
    let mut directory = directory();
    directory.mark_store_lost();
    directory.extend_settling(at(4_000));
    directory.mark_store_regained(at(0));
    directory.remove(at(10), "one");
    assert!(!directory.expire(at(3_900)));
    assert!(directory.expire(at(4_000)));
}

fn one_and_two() -> Vec<BackendServer> {
    vec![server("one", "10.0.0.1:80"), server("two", "10.0.0.2:80")]
}

/// Guards against never using a listed server whose write after the restore was in the list already.
#[test]
fn expire_takes_skipped_entries_that_are_still_listed() {
    let mut directory = directory();
    directory.remove(at(0), "one");
    directory.mark_store_restored(at(100));
    directory.replace(at(200), one_and_two());
    assert!(directory.get("one").is_none());
    assert!(!directory.expire(at(2_300)));
    assert!(directory.next_deadline() <= at(2_400));
    assert!(directory.expire(at(2_400)));
    assert!(directory.get("one").is_some());
    assert!(!directory.expire(at(2_500)));
    assert_eq!(directory.next_deadline(), Instant::NEVER);
}

/// Guards against bringing back a server that the store has removed since the list, or whose address
/// belongs to another one.
#[test]
fn expire_leaves_skipped_entries_that_are_out_of_date() {
    let mut directory = directory();
    directory.remove(at(0), "one");
    directory.remove(at(0), "two");
    directory.mark_store_restored(at(100));
    directory.replace(at(200), one_and_two());
    directory.remove(at(300), "one");
    directory.put(server("new", "10.0.0.2:80"));
    assert!(!directory.expire(at(2_400)));
    assert!(directory.get("one").is_none());
    assert!(directory.get("two").is_none());
    assert!(directory.get("new").is_some());
}

/// Guards against removing or bringing back servers at the end of the first restore's settling time
/// if there was another restore in it.
#[test]
fn expire_after_two_restores() {
    let mut directory = directory();
    directory.put(server("three", "10.0.0.3:80"));
    directory.remove(at(0), "one");
    directory.mark_store_restored(at(100));
    directory.replace(at(200), one_and_two());
    directory.mark_store_restored(at(1_100));
    assert!(!directory.expire(at(2_400)));
    assert!(directory.get("one").is_none());
    assert!(
        directory.get("three").is_some(),
        "it may write its entry until the later time"
    );
    directory.replace(at(2_500), vec![server("two", "10.0.0.2:80")]);
    assert!(directory.expire(at(3_400)));
    assert!(
        directory.get("one").is_none(),
        "the second list lacks its entry"
    );
    assert!(directory.get("three").is_none());
    assert!(directory.get("two").is_some());
}

/// The address of the entries below.
const ADDR: &str = "10.0.0.9:80";

/// Returns the entry of a process that started at `born_ms`.
fn process(id: &str, born_ms: u64) -> BackendServer {
    BackendServer {
        born_ms,
        ..server(id, ADDR)
    }
}

/// Returns an entry that another writer left: of a service that no route uses, without a start.
fn foreign(id: &str) -> BackendServer {
    BackendServer {
        service: "monitoring".into(),
        ..process(id, 0)
    }
}

/// Returns a directory that knows the service of the routes.
fn routed() -> Directory {
    let mut directory = Directory::default();
    directory.set_services([&"drafts".into()].into_iter());
    directory
}

/// Checks that `used` is in use at the address with the entries `used` and `other`, in whatever order
/// they come.
#[track_caller]
fn assert_used(used: &BackendServer, other: &BackendServer) {
    let both = [used.clone(), other.clone()];
    for order in [[0, 1], [1, 0]] {
        let entries = order.map(|i| both[i].clone());
        let mut changed = routed();
        entries.iter().for_each(|e| changed.put(e.clone()));
        let mut listed = routed();
        listed.replace(at(0), entries.to_vec());
        for directory in [changed, listed] {
            assert!(directory.get(&used.id).is_some(), "{order:?}");
            assert!(directory.get(&other.id).is_none(), "{order:?}");
            let addr = ADDR.parse().unwrap();
            assert_eq!(directory.at(addr).unwrap().id, used.id);
            assert_eq!(directory.iter().count(), 1);
            assert_eq!(directory.superseded().count(), 1);
        }
    }
}

/// Guards against the fault of `docs/incidents/hidden-server.md`: the entry that was taken last hid the
/// server, whatever it was.
#[test]
fn put_foreign_entry_hides_no_server() {
    assert_used(&process("server", 5), &foreign("z-foreign"));
    assert_used(&process("server", 5), &foreign("a-foreign"));
    // Nor one that claims a start in the future.
    let future = BackendServer {
        born_ms: 9_999,
        ..foreign("a-foreign")
    };
    assert_used(&process("server", 5), &future);
}

/// The same for the entry of a process that crashed, which stands until it expires.
#[test]
fn put_former_entry_hides_no_later_process() {
    assert_used(&process("a-later", 5), &process("z-former", 4));
    assert_used(&process("z-later", 5), &process("a-former", 4));
}

/// Guards against losing the entry that was not used when the other one goes.
#[test]
fn remove_entry_brings_the_other_one_back() {
    let mut directory = routed();
    directory.replace(at(0), vec![process("former", 4), process("later", 5)]);
    directory.remove(at(10), "later");
    assert!(directory.get("former").is_some());
    directory.put(process("later", 5));
    directory.remove(at(20), "former");
    assert!(directory.get("later").is_some());
    assert_eq!(directory.superseded().count(), 0);
}

/// Guards against a server that stays hidden when its service is added to the routes, or that the
/// routes come after the servers.
#[test]
fn set_services_chooses_again() {
    let mut directory = Directory::default();
    let late = BackendServer {
        born_ms: 7,
        ..foreign("late")
    };
    directory.replace(at(0), vec![process("server", 5), late]);
    directory.set_services([&"drafts".into()].into_iter());
    assert!(directory.get("server").is_some());
    directory.set_services([&"drafts".into(), &"monitoring".into()].into_iter());
    assert!(directory.get("late").is_some(), "the later process");
}

/// Guards against hiding a server whose clock was set back before it started: the server itself says
/// that it is not the one with the later time.
#[test]
fn refute_entry_uses_the_other_one() {
    let (former, later) = (process("former", 9), process("later", 5));
    let mut directory = routed();
    directory.replace(at(0), vec![former.clone(), later.clone()]);
    assert!(directory.get("former").is_some());
    assert!(directory.refute(&former));
    assert!(directory.get("later").is_some());
    directory.replace(at(10), vec![former.clone(), later]);
    assert!(directory.get("later").is_some(), "an entry as before");
    directory.put(process("former", 10));
    assert!(directory.get("former").is_some(), "it was written again");
    assert!(!directory.refute(&former), "that was the process before");
    assert!(directory.get("former").is_some());
}

/// Guards against a server without use: there is no other one at its address.
#[test]
fn refute_only_entry_is_used_on() {
    let mut directory = routed();
    directory.put(process("server", 5));
    assert!(!directory.refute(&process("server", 5)));
    assert!(directory.get("server").is_some());
}

/// Guards against marking a server as leaving for good by a notice about the process before it, which
/// had the same id: the notice of another instance may come late.
#[test]
fn announce_leaving_concerns_one_process() {
    let mut directory = routed();
    directory.put(process("server", 4));
    directory.put(process("server", 5));
    assert!(!directory.announce_leaving("server", 4));
    assert_eq!(directory.get("server").unwrap().state, ServerState::Ready);
    assert!(directory.announce_leaving("server", 5));
    assert!(!directory.announce_leaving("server", 5), "known");
    directory.put(process("server", 6));
    assert_eq!(directory.get("server").unwrap().state, ServerState::Ready);
    // The notice may come before the entry of its process.
    assert!(!directory.announce_leaving("server", 7));
    assert_eq!(directory.get("server").unwrap().state, ServerState::Ready);
    // One about the process before it may come between the two.
    assert!(directory.announce_leaving("server", 6));
    directory.put(process("server", 7));
    assert_eq!(directory.get("server").unwrap().state, ServerState::Leaving);
}

/// `Step` is what happens to the store, or to what the directory receives of it.
#[derive(Clone, Debug)]
enum Step {
    /// An entry is written, and the change is received.
    Put(BackendServer),
    /// An entry is removed, and the change is received.
    Remove(usize),
    /// The same, while changes are lost.
    PutUnseen(BackendServer),
    RemoveUnseen(usize),
    /// All entries are received.
    List(bool),
    /// The instance is started again and receives all entries.
    Restart(bool),
    /// The store is unavailable and comes back.
    Outage,
    /// The store goes back by up to this many steps and raises the era.
    Restore(usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

fn any_server() -> impl Strategy<Value = BackendServer> {
    let service = prop_oneof![Just("drafts"), Just("ledger"), Just("monitoring")];
    (0..6_usize, 0..3_u16, service, 0..4_u64).prop_map(|(id, port, service, born_ms)| {
        BackendServer {
            service: service.into(),
            born_ms,
            ..server(&format!("id-{id}"), &format!("10.0.0.1:{}", 80 + port))
        }
    })
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => any_server().prop_map(Step::Put),
        3 => (0..6_usize).prop_map(Step::Remove),
        2 => any_server().prop_map(Step::PutUnseen),
        1 => (0..6_usize).prop_map(Step::RemoveUnseen),
        2 => any::<bool>().prop_map(Step::List),
        1 => any::<bool>().prop_map(Step::Restart),
        1 => Just(Step::Outage),
        1 => (1..5_usize).prop_map(Step::Restore),
        2 => (1..3_000_u64).prop_map(Step::Wait),
    ]
}

type Entries = BTreeMap<Arc<str>, BackendServer>;

/// `Model` applies the steps to a store and to a directory.
struct Model {
    directory: Directory,
    store: Entries,
    history: Vec<Entries>,
    now_ms: u64,
    /// Whether the directory has missed a change since the last list.
    is_behind: bool,
}

impl Model {
    /// Returns the listed entries in one of two orders.
    fn listed(&self, is_reversed: bool) -> Vec<BackendServer> {
        let entries = self.store.values().cloned();
        match is_reversed {
            true => entries.rev().collect(),
            false => entries.collect(),
        }
    }

    fn step(&mut self, step: Step) {
        let now = at(self.now_ms);
        let id = |i: usize| Arc::<str>::from(format!("id-{i}"));
        if !matches!(step, Step::Restore(_)) {
            self.history.push(self.store.clone());
        }
        match step {
            Step::Put(server) => {
                self.store.insert(Arc::clone(&server.id), server.clone());
                self.directory.put(server);
            }
            Step::Remove(i) => {
                self.store.remove(&id(i));
                self.directory.remove(now, &id(i));
            }
            Step::PutUnseen(server) => {
                self.is_behind = true;
                self.store.insert(Arc::clone(&server.id), server);
            }
            Step::RemoveUnseen(i) => {
                self.is_behind = true;
                self.store.remove(&id(i));
            }
            Step::List(is_reversed) => {
                self.is_behind = false;
                self.directory.replace(now, self.listed(is_reversed));
            }
            Step::Restart(is_reversed) => {
                self.is_behind = false;
                self.directory = directory_of_two();
                self.directory.replace(now, self.listed(is_reversed));
            }
            Step::Outage => {
                self.directory.mark_store_lost();
                self.directory.mark_store_regained(now);
            }
            Step::Restore(steps) => {
                self.is_behind = false;
                let back_to = self.history.len().saturating_sub(steps);
                if let Some(before) = self.history.get(back_to).cloned() {
                    self.history.truncate(back_to);
                    self.store = before;
                }
                self.directory.mark_store_restored(now);
                self.directory.replace(now, self.listed(false));
            }
            Step::Wait(ms) => self.now_ms += ms,
        }
        self.directory.expire(at(self.now_ms));
    }
}

/// Returns a directory for routes to two services.
fn directory_of_two() -> Directory {
    let mut directory = Directory::default();
    directory.set_services([&"drafts".into(), &"ledger".into()].into_iter());
    directory
}

/// Returns the id that is to be in use at each address.
fn expected(store: &Entries) -> BTreeMap<SocketAddr, Arc<str>> {
    let mut used: BTreeMap<SocketAddr, &BackendServer> = BTreeMap::new();
    let is_routed = |s: &BackendServer| *s.service != *"monitoring";
    for server in store.values() {
        let current = used.entry(server.addr).or_insert(server);
        let rank = |s: &BackendServer| (is_routed(s), s.born_ms);
        // Of equal ones the first by name, which comes first here.
        if rank(server) > rank(current) {
            *current = server;
        }
    }
    used.into_iter()
        .map(|(addr, s)| (addr, Arc::clone(&s.id)))
        .collect()
}

fn used(directory: &Directory) -> BTreeMap<SocketAddr, Arc<str>> {
    let used = directory.iter().map(|s| (s.addr, Arc::clone(&s.id)));
    used.collect()
}

proptest! {
    /// Guards against an outcome that depends on the way and the order in which entries were received:
    /// changes, lists, a restart, an outage, a store that was restored.
    #[test]
    fn any_order_uses_the_same_servers(steps in vec(any_step(), 1..40), is_reversed: bool) {
        let mut model = Model {
            directory: directory_of_two(),
            store: Entries::new(),
            history: Vec::new(),
            now_ms: 0,
            is_behind: false,
        };
        for step in steps {
            model.step(step);
            let directory = &model.directory;
            prop_assert_eq!(used(directory).len(), directory.iter().count(), "one for each address");
            for server in directory.iter() {
                prop_assert_eq!(&directory.at(server.addr).unwrap().id, &server.id);
                prop_assert!(directory.get(&server.id).is_some());
            }
        }
        if model.is_behind {
            model.step(Step::List(is_reversed));
        }
        // Removed entries may reappear until then.
        model.step(Step::Wait(120_000));
        prop_assert_eq!(used(&model.directory), expected(&model.store));
    }
}
