//! What an instance passes on of the store to one that the store does not serve.

use std::time::Duration;

use hemlockwind_core::time::Instant;
use hemlockwind_gateway::known::Known;
use hemlockwind_platform::store::Object;
use hemlockwind_protocol::peer::store::Answer;
use hemlockwind_protocol::peer::store::Kind;
use hemlockwind_protocol::peer::store::Newer;

fn object(name: &str, content: &str) -> Object {
    Object::new(name.into(), content.into()).unwrap()
}

fn ask(known: &Known, version: u64) -> Answer {
    known.answer(&[(Kind::Routes, version)], Duration::ZERO)
}

/// The one kind of which something is newer.
fn newer(known: &Known, version: u64) -> Newer {
    let answer = ask(known, version);
    let [newer] = &answer.newer[..] else {
        panic!("not one kind: {answer:?}");
    };
    newer.clone()
}

#[test]
fn answer_newer_only() {
    let known = Known::default();
    known.set_served(Kind::Routes, true);
    known.replace(Kind::Routes, 10, &[object("main", "{\"version\":1}")]);
    // Nothing of this kind has changed since, so nothing is sent again.
    known.reached(Kind::Routes, 15, false);
    let same = Answer {
        is_served: true,
        ..Answer::default()
    };
    assert_eq!(ask(&known, 10), same);
    let newer = newer(&known, 9);
    assert_eq!((newer.version, newer.objects.len()), (15, 1));
}

#[test]
fn answer_after_a_change() {
    let known = Known::default();
    known.replace(Kind::Routes, 10, &[object("main", "{\"version\":1}")]);
    known.change(Kind::Routes, &object("main", "{\"version\":2}"), false);
    known.reached(Kind::Routes, 12, true);
    assert_eq!(newer(&known, 10).objects[0].1, "{\"version\":2}");
}

#[test]
fn replace_never_goes_back() {
    let known = Known::default();
    known.replace(Kind::Routes, 10, &[object("main", "{\"version\":2}")]);
    known.replace(Kind::Routes, 8, &[object("main", "{\"version\":1}")]);
    assert_eq!(newer(&known, 0).objects[0].1, "{\"version\":2}");
}

#[test]
fn others_are_served_for_a_while() {
    let known = Known::default();
    assert!(!known.others_are_served(Instant::from_millis(1_000)));
    known.other_is_served(Instant::from_millis(1_000));
    assert!(known.others_are_served(Instant::from_millis(2_000)));
    assert!(!known.others_are_served(Instant::from_millis(4_000)));
}
