//! Events are passed on whole, wherever the bytes are split.

use proptest::collection::vec;
use proptest::prelude::*;

use hemlockwind_gateway::events::Splitter;

/// Three events as an engine writes them; the second has CRLF line ends.
const STREAM: &str = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid: 3\ndata: c\n\n";

fn split(pieces: &[&[u8]]) -> (Vec<(Option<u64>, usize)>, usize) {
    let mut splitter = Splitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        assert!(splitter.push(piece));
        while let Some(event) = splitter.next_event() {
            events.push((event.id, event.bytes.len()));
        }
    }
    (events, splitter.rest().len())
}

#[test]
fn next_event_ids() {
    let (events, rest) = split(&[STREAM.as_bytes()]);
    let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(3)]);
    assert_eq!(rest, 0);
}

#[test]
fn next_event_keeps_a_part_back() {
    let (events, rest) = split(&[b"id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert_eq!(rest, 8);
}

#[test]
fn push_bounds_one_event() {
    let mut splitter = Splitter::default();
    let big = vec![b'x'; 2 << 20];
    assert!(!splitter.push(&big));
}

// Guards against ORDER of issue 36: an event with a byte that is no UTF-8 had no id, so it came twice.
#[test]
fn next_event_id_beside_bytes_that_are_no_utf8() {
    let (events, _) = split(&[b"id: 4\ndata: \xc3token\n\ndata: \xff\nid: 5\n\n"]);
    let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [Some(4), Some(5)]);
}

#[test]
fn next_event_unreadable_id() {
    let (events, _) = split(&[b"id: \xff4\ndata: a\n\nid: four\ndata: b\n\n"]);
    let ids: Vec<_> = events.iter().map(|(id, _)| *id).collect();
    assert_eq!(ids, [None, None]);
}

// The blank line between two events was lost: the later id tells how far the stream has come.
#[test]
fn next_event_last_id_counts() {
    let (events, _) = split(&[b"id: 4\ndata: a\nid: 5\ndata: b\n\n"]);
    assert_eq!(events[0].0, Some(5));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    #[test]
    fn next_event_any_cuts(cuts in vec(0..STREAM.len(), 0..12)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut at = 0;
        for cut in cuts {
            pieces.push(&STREAM.as_bytes()[at..cut]);
            at = cut;
        }
        pieces.push(&STREAM.as_bytes()[at..]);
        prop_assert_eq!(split(&pieces), split(&[STREAM.as_bytes()]));
    }
}
