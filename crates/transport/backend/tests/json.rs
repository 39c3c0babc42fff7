//! Answers are split into parts whatever bytes their strings hold, and the parts are as they were sent.

use proptest::collection::vec;
use proptest::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;

use hemlockwind_backend::json;

#[derive(Deserialize)]
struct Answer {
    items: Vec<Box<RawValue>>,
    more: bool,
}

/// Returns the parts of an answer with these parts.
fn split(parts: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let body = [
        b"{\"items\": [",
        &parts.join(&b",\n"[..])[..],
        b"],\r\n\t\"more\": true}",
    ]
    .concat();
    let answer: Answer = json::split(&body).unwrap();
    assert!(answer.more);
    let parts = answer
        .items
        .iter()
        .map(|part| json::bytes(part).into_owned());
    parts.collect()
}

#[test]
fn split_keeps_bytes_that_json_does_not_permit() {
    let parts = [
        b"\"a\xFF\xFE\"".to_vec(),
        b"\"\0\x01\n\r\t\x1F\"".to_vec(),
        b"{\"b\":\"\\\"\x02\\\\\",\"c\":[\"\\\\\",3]}".to_vec(),
        "\"é\u{1F980}\"".into(),
        b"null".to_vec(),
    ];
    assert_eq!(split(&parts), parts);
}

#[test]
fn decode_only_what_json_permits() {
    let part = |text: &[u8]| {
        let body = [b"{\"items\":[", text, b"],\"more\":true}"].concat();
        let answer: Answer = json::split(&body).unwrap();
        json::decode::<String>(&answer.items[0])
    };
    assert_eq!(part("\"é\"".as_bytes()).as_deref(), Some("é"));
    assert_eq!(part(b"\"\\u0001\"").as_deref(), Some("\u{1}"));
    for malformed in [&b"\"\x01\""[..], b"\"\xFF\"", b"\"\\ud800\"", b"7"] {
        assert_eq!(part(malformed), None, "{malformed:?}");
    }
    for body in [&b""[..], b"{", b"{\"items\":[\"\x01]}", b"\x01"] {
        assert!(json::split::<Answer>(body).is_err(), "{body:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn split_any_bytes(strings in vec(vec(any::<u8>(), 0..20), 0..8)) {
        let parts: Vec<Vec<u8>> = strings
            .into_iter()
            .map(|string| {
                let string = string.into_iter().flat_map(|byte| match byte {
                    b'"' | b'\\' => vec![b'\\', byte],
                    byte => vec![byte],
                });
                [b"\"".to_vec(), string.collect(), b"\"".to_vec()].concat()
            })
            .collect();
        prop_assert_eq!(split(&parts), parts);
    }
}
