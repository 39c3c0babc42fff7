//! A sheet is applied to a document completely or not at all, and a second time without effect.

use hemlockwind_core::errors::Code;
use hemlockwind_protocol::document::Document;
use hemlockwind_protocol::sheet::plan;
use hemlockwind_sheet::Change;
use hemlockwind_sheet::Date;

const DOCUMENT: &str = r#"{
    "models": [{"name": "m", "layers": 8}],
    "pipelines": [{"name": "chat", "model": "m", "max_tokens": 100}],
    "ranks": [
        {"name": "urgent", "first_token_ms": 1500, "between_tokens_ms": 52, "deadline_ms": 30000, "floor": 0.2}
    ],
    "organisations": [
        {"name": "agents", "share": 1.0, "rank": "urgent", "home": "a",
         "api_keys_sha256": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]},
        {"name": "clerks", "share": 2.0, "rank": "urgent", "home": "a"}
    ],
    "backend_servers": [
        {"name": "one", "data_centre": "a", "addr": "10.0.0.1:80", "model": "m", "layers": [0, 8], "limit": 4},
        {"name": "two", "data_centre": "a", "addr": "10.0.0.2:80", "model": "m", "layers": [0, 8], "limit": 4}
    ],
    "sheet_day": "2026-12-03"
}"#;

const SHEET: &str = "\
day,kind,name,share,rank,home,data_centre,address,model,first_layer,last_layer,limit
DAY,organisation,agents,\"1,5\",urgent,a,,,,,,
DAY,backend server,one,,,,a,10.0.0.1:80,m,0,7,6
,end,2,,,,,,,,,
";

fn document() -> Document {
    serde_json::from_str(DOCUMENT).unwrap()
}

fn sheet(day: &str) -> Vec<u8> {
    SHEET.replace("DAY", day).into_bytes()
}

fn day(day: i8) -> Date {
    Date::new(2026, 12, day).unwrap()
}

#[test]
fn plan_left_out_entries() {
    let before = document();
    let first = plan(&sheet("2026-12-04"), &before, day(4)).unwrap();
    let after = &first.document;
    // Kinds without a row stay unchanged, an organisation keeps its keys, and entries that
    // are left out are removed.
    assert_eq!(
        (&after.pipelines, &after.ranks),
        (&before.pipelines, &before.ranks)
    );
    assert_eq!(after.organisations.len(), 1);
    assert_eq!(
        after.organisations[0].api_keys_sha256,
        before.organisations[0].api_keys_sha256
    );
    let leaving: Vec<_> = after
        .backend_servers
        .iter()
        .map(|s| (&*s.name, s.leaving))
        .collect();
    assert_eq!(leaving, [("one", false), ("two", true)]);
    let changes: Vec<_> = first
        .differences
        .iter()
        .map(|d| (&*d.name, &d.change))
        .collect();
    assert_eq!(changes.len(), 4, "{changes:?}");
    assert!(changes.contains(&("clerks", &Change::Removed)));

    let again = plan(&sheet("2026-12-04"), after, day(4)).unwrap();
    assert_eq!(&again.document, after);
    assert_eq!(again.differences, []);

    let next = plan(&sheet("2026-12-05"), after, day(5)).unwrap();
    assert_eq!(next.document.backend_servers.len(), 1);
}

#[test]
fn plan_refused_whole() {
    let code = |text: Vec<u8>, today| plan(&text, &document(), day(today)).unwrap_err().code();
    assert_eq!(code(sheet("2026-12-04"), 5), Code::SheetDay);
    assert_eq!(code(sheet("2026-12-04"), 3), Code::SheetDay);
    let text = String::from_utf8(sheet("2026-12-04")).unwrap();
    assert_eq!(code(text[..text.len() - 20].into(), 4), Code::Sheet);
    // Faults that only the complete document shows are reported by the sheet's row as well.
    let model = text.replace(",m,", ",other,");
    let error = plan(model.as_bytes(), &document(), day(4)).unwrap_err();
    assert_eq!(error.code(), Code::Sheet);
    assert!(error.to_string().contains("row 3: "), "{error}");
}
