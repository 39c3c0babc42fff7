//! Which requests an instance dispatches after crashes, and what instances learn from each other.

use proptest::prelude::*;

use hemlockwind_core::time::Instant;
use hemlockwind_quarantine::Admission;
use hemlockwind_quarantine::EngineRun;
use hemlockwind_quarantine::PartKey;
use hemlockwind_quarantine::Quarantine;
use hemlockwind_quarantine::ServiceKey;
use hemlockwind_quarantine::quarantine::MAX_RECORDS;
use hemlockwind_quarantine::record::MAX_CRASHES;

const SERVICE: ServiceKey = ServiceKey(1);
/// The part that all requests share.
const SHARED: PartKey = PartKey(10);
/// The part that crashes engines.
const BAD: PartKey = PartKey(11);
/// A part of other requests.
const OTHER: PartKey = PartKey(12);

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

fn admit(q: &mut Quarantine, ms: u64, parts: &[PartKey]) -> bool {
    q.admit(at(ms), parts, |_, _| false) == Admission::Admitted
}

fn crash(q: &mut Quarantine, ms: u64, run: u64, parts: &[PartKey]) -> Vec<PartKey> {
    q.on_crash(at(ms), SERVICE, EngineRun(run), parts);
    q.take_quarantined()
}

/// Returns the state after three crashes of requests with [`BAD`], at 0, 500 and 1,000 ms, while
/// other requests with [`SHARED`] begin.
fn quarantined() -> Quarantine {
    let mut q = Quarantine::default();
    for i in 0..3 {
        crash(&mut q, i * 500, i, &[SHARED, BAD]);
        q.on_begin(at(i * 500 + 100), SERVICE, &[SHARED, OTHER]);
    }
    q
}

#[test]
fn admit_without_records() {
    assert!(admit(&mut Quarantine::default(), 0, &[SHARED, BAD]));
}

#[test]
fn crash_third_one_quarantines_the_part() {
    let mut q = quarantined();
    let refused = q.admit(at(1_200), &[SHARED, BAD], |_, _| true);
    let Admission::Withheld { index, retry_at } = refused else {
        panic!("admitted");
    };
    assert_eq!(index, 1);
    assert!(retry_at > at(30_000));
    assert_eq!(q.quarantined_parts(), 1);
    assert!(admit(&mut q, 1_200, &[SHARED, OTHER]));
}

#[test]
fn crash_of_one_run_counts_once() {
    let mut q = Quarantine::default();
    for i in 0..5 {
        crash(&mut q, i * 500, 7, &[BAD]);
        q.on_begin(at(i * 500 + 100), SERVICE, &[OTHER]);
    }
    assert_eq!(q.quarantined_parts(), 0);
}

// A rack or a data centre takes many engines at one moment.
#[test]
fn crash_of_many_engines_at_once_counts_once() {
    let mut q = Quarantine::default();
    for i in 0..10 {
        crash(&mut q, i * 2, i, &[SHARED, BAD]);
    }
    q.on_begin(at(100), SERVICE, &[OTHER]);
    assert_eq!(q.quarantined_parts(), 0);
    assert!(admit(&mut q, 200, &[SHARED, BAD]));
}

// While no answer begins at all, the cause may be another one.
#[test]
fn crash_needs_more_evidence_while_nothing_begins() {
    let mut q = Quarantine::default();
    for i in 0..4 {
        crash(&mut q, i * 500, i, &[SHARED, BAD]);
    }
    assert!(admit(&mut q, 2_000, &[SHARED, BAD]) && admit(&mut q, 2_000, &[SHARED, BAD]));
    crash(&mut q, 2_500, 4, &[SHARED, BAD]);
    assert!(!admit(&mut q, 2_600, &[SHARED, BAD]));
    assert!(admit(&mut q, 2_600, &[SHARED]));
}

// Crashes of another cause in series, beside requests whose parts begin now and then.
#[test]
fn crash_of_another_cause_quarantines_nothing() {
    let mut q = Quarantine::default();
    for i in 0..40 {
        crash(&mut q, i * 1_400, i, &[SHARED, OTHER]);
        q.on_begin(at(i * 1_400 + 300), SERVICE, &[SHARED]);
        if i % 2 == 1 {
            q.on_begin(at(i * 1_400 + 400), SERVICE, &[SHARED, OTHER]);
        }
        assert!(admit(&mut q, i * 1_400 + 500, &[SHARED, OTHER]));
    }
    assert_eq!(q.quarantined_parts(), 0);
}

#[test]
fn crash_just_after_a_begin_is_not_recorded() {
    let mut q = Quarantine::default();
    q.on_begin(at(0), SERVICE, &[SHARED]);
    crash(&mut q, 400, 1, &[SHARED]);
    assert!(q.records().is_empty());
}

#[test]
fn crash_second_one_limits_to_one_request_at_a_time() {
    let mut q = Quarantine::default();
    crash(&mut q, 0, 1, &[BAD]);
    q.on_begin(at(100), SERVICE, &[OTHER]);
    assert!(admit(&mut q, 150, &[BAD]) && admit(&mut q, 150, &[BAD]));
    crash(&mut q, 500, 2, &[BAD]);
    assert!(admit(&mut q, 600, &[BAD]));
    assert!(!admit(&mut q, 610, &[BAD]));
    // The answer begins, so the others go on.
    q.on_begin(at(700), SERVICE, &[BAD]);
    assert!(admit(&mut q, 710, &[BAD]) && admit(&mut q, 710, &[BAD]));
}

#[test]
fn crash_two_parts_quarantined_independently() {
    let mut q = Quarantine::default();
    let other_bad = PartKey(13);
    for i in 0..3 {
        crash(&mut q, i * 500, i, &[SHARED, BAD]);
        crash(&mut q, i * 500 + 200, 10 + i, &[SHARED, other_bad]);
        q.on_begin(at(i * 500 + 300), SERVICE, &[SHARED, OTHER]);
    }
    assert_eq!(q.quarantined_parts(), 2);
    assert!(!admit(&mut q, 1_400, &[SHARED, BAD]));
    assert!(!admit(&mut q, 1_400, &[SHARED, other_bad]));
    assert!(admit(&mut q, 1_400, &[SHARED, OTHER]));
}

// A first part that few requests share does not begin between the crashes of requests with both.
#[test]
fn crash_of_two_parts_together_quarantines_the_later_one() {
    let mut q = Quarantine::default();
    for i in 0..3 {
        crash(&mut q, i * 500, i, &[SHARED, BAD]);
        q.on_begin(at(i * 500 + 100), SERVICE, &[OTHER]);
    }
    assert_eq!(q.quarantined_parts(), 1);
    assert!(!admit(&mut q, 1_200, &[SHARED, BAD]));
    assert!(admit(&mut q, 1_200, &[SHARED]) && admit(&mut q, 1_200, &[SHARED]));
    // If that was wrong, the crashes go on without the later part.
    for i in 3..6 {
        crash(&mut q, i * 500, i, &[SHARED]);
        q.on_begin(at(i * 500 + 100), SERVICE, &[OTHER]);
    }
    assert!(!admit(&mut q, 3_000, &[SHARED]));
}

// Two instances come to different results from parts of the evidence.
#[test]
fn merge_of_two_parts_keeps_the_later_one() {
    let mut q = Quarantine::default();
    let mut other = Quarantine::default();
    for i in 0..3 {
        crash(&mut q, i * 500, i, &[SHARED]);
        crash(&mut other, i * 500, i, &[SHARED, BAD]);
        q.on_begin(at(i * 500 + 100), SERVICE, &[OTHER]);
        other.on_begin(at(i * 500 + 100), SERVICE, &[OTHER]);
    }
    assert!(!admit(&mut q, 1_200, &[SHARED]));
    q.merge(at(1_200), &other.records());
    other.merge(at(1_200), &q.records());
    for q in [&mut q, &mut other] {
        assert!(admit(q, 1_300, &[SHARED]));
        assert!(!admit(q, 1_300, &[SHARED, BAD]));
    }
}

// Guards against LOST of issue 36: five crashes between two sound requests, whose common part stands
// behind the one at fault, quarantined that part, too.
#[test]
fn crash_spares_a_part_that_began_before() {
    let mut q = Quarantine::default();
    q.on_begin(at(0), SERVICE, &[OTHER, SHARED]);
    for i in 0..5 {
        crash(&mut q, 4_000 + i * 60, i, &[BAD, SHARED]);
    }
    assert_eq!(q.quarantined_parts(), 1);
    assert!(admit(&mut q, 5_000, &[SHARED]) && admit(&mut q, 5_000, &[SHARED]));
    assert!(!admit(&mut q, 5_000, &[BAD]));
}

// The instance that sees the crashes learns from another one that the common part has begun.
#[test]
fn merge_spares_a_part_that_began_at_another_instance() {
    let mut q = Quarantine::default();
    let mut other = Quarantine::default();
    other.on_begin(at(0), SERVICE, &[OTHER, SHARED]);
    for i in 0..5 {
        crash(&mut q, 4_000 + i * 60, i, &[BAD, SHARED]);
    }
    assert!(other.merge(at(4_300), &q.take_changed()));
    assert!(other.has_changed());
    q.merge(at(4_310), &other.take_changed());
    for q in [&mut q, &mut other] {
        assert_eq!(q.quarantined_parts(), 1);
        assert!(admit(q, 4_400, &[SHARED]) && admit(q, 4_400, &[SHARED]));
        assert!(!admit(q, 4_400, &[BAD, SHARED]));
    }
    // The exchange ends.
    other.merge(at(4_420), &q.take_changed());
    assert!(!other.has_changed());
}

// A begin excuses the crashes within a second after it wherever it is known, in any order.
#[test]
fn merge_excuses_crashes_just_after_a_begin() {
    let mut q = Quarantine::default();
    let mut other = Quarantine::default();
    other.on_begin(at(0), SERVICE, &[SHARED]);
    for i in 0..5 {
        crash(&mut q, 300 + i * 60, i, &[SHARED]);
    }
    assert!(!admit(&mut q, 600, &[SHARED]));
    other.merge(at(600), &q.take_changed());
    q.merge(at(610), &other.take_changed());
    for q in [&mut q, &mut other] {
        assert!(admit(q, 700, &[SHARED]) && admit(q, 700, &[SHARED]));
    }
}

/// Returns the state after five crashes of requests with both parts, on none of which an answer
/// has begun before.
fn undecided() -> Quarantine {
    let mut q = Quarantine::default();
    for i in 0..5 {
        crash(&mut q, i * 60, i, &[BAD, SHARED]);
    }
    q
}

// Nothing tells the two parts apart but a request that has one of them.
#[test]
fn trial_of_the_other_part_passes() {
    let mut q = undecided();
    assert!(!admit(&mut q, 400, &[BAD, SHARED]));
    assert!(admit(&mut q, 400, &[SHARED]));
    assert_eq!(q.recheck(at(410), &[SHARED]), Admission::Admitted);
    assert!(!admit(&mut q, 420, &[SHARED]));
    q.on_begin(at(500), SERVICE, &[SHARED]);
    assert!(admit(&mut q, 510, &[SHARED]) && admit(&mut q, 510, &[SHARED]));
    assert!(!admit(&mut q, 510, &[BAD]));
}

#[test]
fn trial_of_the_other_part_fails() {
    let mut q = undecided();
    assert!(admit(&mut q, 400, &[SHARED]));
    crash(&mut q, 500, 9, &[SHARED]);
    assert!(!admit(&mut q, 510, &[SHARED]));
    assert!(!admit(&mut q, 5_000, &[SHARED]));
    assert_ne!(q.recheck(at(5_000), &[SHARED]), Admission::Admitted);
    assert!(admit(&mut q, 510, &[BAD]));
}

// Requests that were sent before any instance knew of the part.
#[test]
fn crash_many_in_flight_are_explained_by_one_part() {
    let mut q = Quarantine::default();
    q.on_begin(at(0), SERVICE, &[SHARED]);
    for i in 0..40 {
        crash(&mut q, 2_000 + i * 30, i, &[BAD, SHARED]);
    }
    assert_eq!(q.quarantined_parts(), 1);
    assert!(admit(&mut q, 3_300, &[SHARED]) && admit(&mut q, 3_300, &[SHARED]));
    assert!(!admit(&mut q, 3_300, &[BAD]));
}

#[test]
fn recheck_of_a_request_that_waited() {
    let q = quarantined();
    assert_ne!(q.recheck(at(1_100), &[SHARED, BAD]), Admission::Admitted);
    assert_eq!(q.recheck(at(1_100), &[SHARED]), Admission::Admitted);
}

#[test]
fn trial_one_request_of_one_instance_after_the_hold() {
    let mut q = quarantined();
    assert!(!admit(&mut q, 62_000, &[BAD]));
    let mut admit_on_turn = |ms| q.admit(at(ms), &[BAD], |_, _| true) == Admission::Admitted;
    assert!(!admit_on_turn(60_000));
    assert!(admit_on_turn(62_000));
    assert!(!admit_on_turn(62_100));
}

#[test]
fn trial_failed_doubles_the_hold() {
    let mut q = quarantined();
    assert_eq!(
        q.admit(at(62_000), &[BAD], |_, _| true),
        Admission::Admitted
    );
    crash(&mut q, 62_300, 9, &[BAD]);
    assert_eq!(q.quarantined_parts(), 1);
    let is_held =
        |q: &mut Quarantine, ms| q.admit(at(ms), &[BAD], |_, _| true) != Admission::Admitted;
    assert!(is_held(&mut q, 62_300 + 119_000));
    assert!(!is_held(&mut q, 62_300 + 121_000));
}

#[test]
fn trial_passed_releases_the_part_everywhere() {
    let mut q = quarantined();
    let mut other = Quarantine::default();
    other.merge(at(1_200), &q.take_changed());
    assert!(!admit(&mut other, 1_300, &[BAD]));
    q.on_begin(at(62_000), SERVICE, &[BAD]);
    assert!(other.merge(at(62_010), &q.take_changed()));
    assert!(admit(&mut other, 62_100, &[BAD]));
    // The older state doesn't come back.
    let mut third = Quarantine::default();
    third.merge(at(62_020), &quarantined().records());
    other.merge(at(62_100), &third.records());
    assert!(admit(&mut other, 62_200, &[BAD]));
}

#[test]
fn expire_forgets_what_is_over() {
    let mut q = quarantined();
    q.expire(at(1_000_000));
    assert!(q.records().is_empty());
    assert_eq!(q.digest(), Quarantine::default().digest());
    assert!(admit(&mut q, 1_000_000, &[BAD]));
}

// The clock of a process that has just started can't express when the crashes were.
#[test]
fn merge_at_an_instance_that_has_just_started() {
    let mut records = quarantined().records();
    for record in &mut records {
        for crash in &mut record.crashes {
            crash.at = Instant::ZERO;
        }
        if let Some(confirmation) = &mut record.confirmation {
            confirmation.at = Instant::ZERO;
        }
    }
    let mut q = Quarantine::default();
    let now = Instant::from_millis(300);
    q.merge(now, &records);
    assert_ne!(q.admit(now, &[BAD], |_, _| false), Admission::Admitted);
}

// Each instance sees one crash only; together they suffice.
#[test]
fn merge_adds_up_the_crashes_of_all_instances() {
    let mut instances: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    for (i, q) in instances.iter_mut().enumerate() {
        crash(q, i as u64 * 500, i as u64, &[SHARED, BAD]);
        q.on_begin(at(1_100), SERVICE, &[SHARED, OTHER]);
    }
    let records: Vec<_> = instances.iter().flat_map(Quarantine::records).collect();
    let first = &mut instances[0];
    first.merge(at(1_200), &records);
    assert_eq!(first.quarantined_parts(), 1);
    assert!(!admit(first, 1_300, &[BAD]));
    assert!(admit(first, 1_300, &[SHARED, OTHER]));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Begin(usize, u64),
    Crash(usize, u64, u64),
    Exchange(usize, usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3usize, 0..6u64).prop_map(|(q, part)| Event::Begin(q, part)),
        (0..3usize, 0..6u64, 0..50u64).prop_map(|(q, part, run)| Event::Crash(q, part, run)),
        (0..3usize, 0..3usize).prop_map(|(from, to)| Event::Exchange(from, to)),
    ]
}

/// Returns three instances after events in series, each with the time in milliseconds before it.
fn replay(events: &[(Event, u64)]) -> (Vec<Quarantine>, u64) {
    let mut instances: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    let mut ms = 0;
    for (event, pause) in events {
        ms += pause;
        match *event {
            Event::Begin(q, part) => instances[q].on_begin(at(ms), SERVICE, &[PartKey(part)]),
            Event::Crash(q, part, run) => drop(crash(&mut instances[q], ms, run, &[PartKey(part)])),
            Event::Exchange(from, to) => {
                let records = instances[from].records();
                instances[to].merge(at(ms), &records);
            }
        }
    }
    (instances, ms)
}

/// Returns the parts that each instance withholds after all have exchanged their records.
fn withheld_after_exchange(instances: &mut [Quarantine], ms: u64) -> Vec<Vec<u64>> {
    for _ in 0..4 {
        for from in 0..3 {
            for to in 0..3 {
                let records = instances[from].records();
                instances[to].merge(at(ms), &records);
            }
        }
    }
    let withheld = |q: &Quarantine| -> Vec<u64> {
        let is_withheld = |part: &u64| q.recheck(at(ms), &[PartKey(*part)]) != Admission::Admitted;
        (0..6).filter(is_withheld).collect()
    };
    instances.iter().map(withheld).collect()
}

fn assert_converges(events: &[(Event, u64)]) {
    let (mut instances, ms) = replay(events);
    let withheld = withheld_after_exchange(&mut instances, ms);
    assert_eq!(withheld[0], withheld[1]);
    assert_eq!(withheld[0], withheld[2]);
}

// Two instances quarantine the part by themselves, the second one 40 s later. The last event is
// between the ends of the two holds.
#[test]
fn merge_of_confirmations_ends_the_hold_everywhere() {
    assert_converges(&[
        (Event::Crash(0, 4, 0), 0),
        (Event::Begin(0, 5), 100),
        (Event::Crash(0, 4, 1), 400),
        (Event::Crash(0, 4, 2), 500),
        (Event::Crash(1, 4, 3), 39_000),
        (Event::Begin(1, 5), 100),
        (Event::Crash(1, 4, 4), 400),
        (Event::Crash(1, 4, 5), 500),
        (Event::Begin(2, 5), 30_000),
    ]);
}

// The same, 300 ms apart.
#[test]
fn merge_of_confirmations_of_one_event_ends_the_hold_everywhere() {
    assert_converges(&[
        (Event::Crash(0, 4, 0), 0),
        (Event::Crash(1, 4, 3), 0),
        (Event::Begin(0, 5), 100),
        (Event::Begin(1, 5), 0),
        (Event::Crash(0, 4, 1), 400),
        (Event::Crash(1, 4, 4), 0),
        (Event::Crash(0, 4, 2), 500),
        (Event::Crash(1, 4, 5), 300),
        (Event::Begin(2, 5), 59_800),
    ]);
}

// Only the later one of two begins excuses the last crash.
#[test]
fn merge_of_begins_excuses_crashes_everywhere() {
    assert_converges(&[
        (Event::Crash(0, 1, 0), 0),
        (Event::Begin(0, 2), 1),
        (Event::Crash(0, 1, 1), 24),
        (Event::Begin(1, 1), 0),
        (Event::Begin(2, 1), 280),
        (Event::Crash(0, 1, 2), 720),
    ]);
}

// Only the later one of two begins comes after the quarantine.
#[test]
fn merge_of_begins_ends_a_quarantine_everywhere() {
    assert_converges(&[
        (Event::Crash(0, 1, 0), 0),
        (Event::Crash(0, 1, 4), 25),
        (Event::Crash(0, 1, 1), 25),
        (Event::Begin(0, 2), 0),
        (Event::Begin(1, 1), 0),
        (Event::Crash(0, 0, 0), 1),
        (Event::Begin(2, 1), 0),
        (Event::Crash(0, 1, 2), 1_000),
    ]);
}

// Two instances record run 21 at different times. By one of them its crash and the one before are
// of one moment.
#[test]
fn merge_of_crashes_agrees_on_their_times() {
    assert_converges(&[
        (Event::Crash(0, 2, 17), 0),
        (Event::Begin(0, 1), 0),
        (Event::Crash(0, 1, 8), 1_000),
        (Event::Crash(0, 2, 0), 0),
        (Event::Crash(0, 1, 17), 25),
        (Event::Crash(0, 2, 1), 0),
        (Event::Crash(1, 1, 21), 0),
        (Event::Begin(1, 3), 0),
        (Event::Crash(0, 1, 2), 25),
        (Event::Crash(0, 1, 21), 0),
    ]);
}

proptest! {
    // Few sequences have two events of one kind at times that are hard to tell apart.
    #![proptest_config(ProptestConfig::with_cases(4_096))]

    /// After all have exchanged their records, all withhold the same parts.
    #[test]
    fn merge_converges(events in prop::collection::vec((event(), 0..2_000u64), 0..80)) {
        let (mut instances, ms) = replay(&events);
        let withheld = withheld_after_exchange(&mut instances, ms);
        prop_assert_eq!(&withheld[0], &withheld[1]);
        prop_assert_eq!(&withheld[0], &withheld[2]);
        for q in &mut instances {
            q.expire(at(ms + 10_000_000));
            prop_assert!(q.records().is_empty());
        }
    }
}

proptest! {
    // Each case removes records hundreds of times.
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// The records are bounded whatever callers send.
    #[test]
    fn records_bounded(parts in prop::collection::vec((any::<u64>(), any::<u64>()), 300..600)) {
        let mut q = quarantined();
        for (i, (part, run)) in parts.iter().enumerate() {
            crash(&mut q, 2_000 + i as u64 * 5, *run, &[PartKey(*part), PartKey(part.wrapping_add(1))]);
        }
        prop_assert!(q.records().len() <= MAX_RECORDS);
        prop_assert!(q.records().iter().all(|r| r.crashes.len() <= MAX_CRASHES));
        // A quarantined part is not displaced by parts with single crashes.
        prop_assert!(q.recheck(at(6_000), &[BAD]) != Admission::Admitted);
    }
}
