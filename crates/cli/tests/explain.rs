//! The history of a failed request, for the three kinds that docs/OPERATIONS.md shows.

use std::io::Write;

use hemlockwind_cli::args::Explain;
use hemlockwind_cli::explain;
use hemlockwind_cli::outcome::Exit;

/// Log of one instance; its lines and those of `TWO` are out of order between the files.
const ONE: &str = r#"{"msg":"store lost","level":"WARN","ts":"2026-01-01T00:00:01.0Z","instance":"one","kind":"servers"}
{"msg":"stream broken","level":"INFO","ts":"2026-01-01T00:00:03.0Z","instance":"one","id":"aa","why":"10.0.0.2:80 makes no progress","after":7,"path":"10.0.0.1:80=0-40,10.0.0.2:80=40-80"}
{"msg":"stream","level":"INFO","ts":"2026-01-01T00:00:05.0Z","instance":"one","id":"aa","outcome":"complete","events":20,"sent":2}
{"msg":"call","level":"INFO","ts":"2026-01-01T00:00:04.0Z","instance":"one","id":"cc","status":502,"sent":1,"servers":"[10.0.0.9:80]","error":"10.0.0.9:80: connection closed"}
"#;
const TWO: &str = r#"noise that is no line
  -2.1 two {"msg":"engine makes no progress","level":"INFO","ts":"2026-01-01T00:00:02.5Z","instance":"two","engine":"10.0.0.2:80"}
{"msg":"engine makes no progress","level":"INFO","ts":"2026-01-01T00:00:02.6Z","instance":"two","engine":"10.0.0.77:80"}
{"msg":"stream not started","level":"INFO","ts":"2026-01-01T00:00:06.0Z","instance":"two","id":"bb","status":429,"error":"The queue of this organisation and rank is full; retry in 1.2s."}
"#;

/// Runs `explain` for `id` over both logs; returns the exit code and the text.
fn run_explain(id: &str) -> (Exit, String) {
    let dir = std::env::temp_dir().join(format!("hemlockwind-explain-{id}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let files = [("one", ONE), ("two", TWO)].map(|(name, text)| {
        let path = dir.join(name);
        std::fs::File::create(&path)
            .unwrap()
            .write_all(text.as_bytes())
            .unwrap();
        path.to_str().unwrap().to_string()
    });
    let outcome = explain::run(&Explain {
        id: id.into(),
        files: files.into(),
    });
    std::fs::remove_dir_all(&dir).unwrap();
    (outcome.exit, outcome.text)
}

#[test]
fn run_stream_broken_in_the_middle() {
    let (exit, text) = run_explain("aa");
    assert_eq!(exit, Exit::Done);
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[0].contains("store lost"), "{text}");
    assert!(lines[1].contains("10.0.0.2:80") && lines[1].contains("no progress"));
    assert!(lines[2].contains("stream broken"));
    assert!(lines[3].contains("outcome=\"complete\""));
    assert!(
        !text.contains("10.0.0.77"),
        "the request did not use this engine"
    );
}

#[test]
fn run_refused_by_full_queue() {
    let (exit, text) = run_explain("bb");
    assert_eq!(exit, Exit::Done);
    assert!(text.contains("status=429") && text.contains("queue"));
}

#[test]
fn run_call_of_unknown_outcome() {
    let (_, text) = run_explain("cc");
    assert!(text.contains("status=502") && text.contains("connection closed"));
}

#[test]
fn run_unknown_id() {
    let (exit, text) = run_explain("zz");
    assert_eq!(exit, Exit::Refused);
    assert!(text.starts_with("error 7004"), "{text}");
}

/// The log of an instance on which a part of prompts was quarantined long before.
fn quarantine_log() -> String {
    let mut log = String::from(
        r#"{"msg":"engine connections broke","level":"INFO","ts":"2026-01-01T00:00:01.0Z","instance":"one","engine":"10.0.0.1:80","cause":"Crashed","port":"Closed"}
{"msg":"part quarantined","level":"WARN","ts":"2026-01-01T00:00:01.1Z","instance":"one","id":"dd","part":"00ab","name":"a8188cc0163a","server":"i-1"}
{"msg":"part quarantined","level":"WARN","ts":"2026-01-01T00:00:01.2Z","instance":"one","id":"ee","part":"00ac","name":"b8188cc0163a","server":"i-2"}
"#,
    );
    for i in 0..400 {
        log += &format!(
            r#"{{"msg":"stream","level":"INFO","ts":"2026-01-01T00:00:02.{i:03}Z","instance":"one","id":"s{i}"}}"#
        );
        log.push('\n');
    }
    log + r#"{"msg":"request withheld","level":"INFO","ts":"2026-01-01T00:00:09.0Z","instance":"two","id":"ff","code":3009,"part":"00ab"}
{"msg":"stream not started","level":"INFO","ts":"2026-01-01T00:00:09.1Z","instance":"two","id":"ff","status":503,"error":"Prompts with the part a8188cc0163a crash engines"}
"#
}

#[test]
fn run_refused_for_a_quarantined_part() {
    let path = std::env::temp_dir().join(format!("hemlockwind-part-{}", std::process::id()));
    std::fs::write(&path, quarantine_log()).unwrap();
    let outcome = explain::run(&Explain {
        id: "ff".into(),
        files: vec![path.to_str().unwrap().to_string()],
    });
    std::fs::remove_file(&path).unwrap();
    let lines: Vec<&str> = outcome.text.lines().collect();
    assert!(lines[0].contains("part quarantined") && lines[0].contains("a8188cc0163a"));
    assert!(lines[1].contains("request withheld"), "{}", outcome.text);
    assert!(!outcome.text.contains("b8188cc0163a"), "another part");
}
