//! Tests of sheets in the formats of spreadsheet programs: intact, damaged and truncated.

use std::collections::BTreeSet;

use hemlockwind_sheet::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// `Style` is the format in which a sheet is written to a file.
#[derive(Clone, Debug)]
struct Style {
    delimiter: u8,
    bom: bool,
    windows_1252: bool,
    crlf: bool,
    decimal_comma: bool,
    separator_line: bool,
    day: u8,
    order: Vec<Column>,
    /// Blank rows: the index of the row that each precedes, modulo the number of rows, and
    /// whether it has separators.
    blanks: Vec<(usize, bool)>,
}

/// One row: kind, name and cells.
type Row = (Kind, String, Vec<(Column, String)>);

fn name() -> impl Strategy<Value = String> {
    // No characters whose Windows-1252 bytes could continue a UTF-8 sequence.
    "[a-zA-Z0-9éñÅß;,\"'][a-z 0-9éñÅß;,\"'.-]{0,8}[a-z0-9é]"
}

fn decimal(max: u32) -> impl Strategy<Value = f64> {
    (1..max).prop_map(|hundredths| f64::from(hundredths) / 100.0)
}

fn sheet() -> impl Strategy<Value = Sheet> {
    let pipeline = (name(), name(), 1..100_000_u32);
    let rank = (
        name(),
        1..90_000_u32,
        1..9_000_u32,
        1..900_000_u32,
        decimal(100),
    );
    let organisation = (
        name(),
        decimal(500_000),
        any::<prop::sample::Index>(),
        name(),
    );
    let server = (
        name(),
        name(),
        any::<[u8; 4]>(),
        any::<u16>(),
        1..500_u32,
        any::<[bool; 2]>(),
    );
    let role = (any::<bool>(), name(), 0..60_u16, 0..60_u16);
    (
        prop::collection::vec(pipeline, 0..4),
        prop::collection::vec(rank, 1..4),
        prop::collection::vec(organisation, 0..6),
        prop::collection::vec((server, role), 0..6),
        (2_024..2_030_i16, 1..13_i8, 1..29_i8),
    )
        .prop_map(
            |(pipelines, ranks, organisations, servers, (year, month, day))| {
                let ranks: Vec<_> = unique(ranks, |r| &r.0)
                    .enumerate()
                    .map(|(i, (name, first, between, deadline, floor))| Rank {
                        row: 0,
                        name,
                        urgency: i as u32 + 1,
                        first_token_ms: first,
                        between_tokens_ms: between,
                        deadline_ms: deadline,
                        floor,
                    })
                    .collect();
                let organisations =
                    unique(organisations, |o| &o.0).map(|(name, share, rank, home)| {
                        let rank = rank.get(&ranks).name.clone();
                        Organisation {
                            row: 0,
                            name,
                            share,
                            rank,
                            home,
                        }
                    });
                let servers = unique(servers, |s| &s.0.0).map(|(server, role)| {
                    let (name, data_centre, ip, port, limit, [checks_fencing, leaving]) = server;
                    let role = match role {
                        (true, service, _, _) => Role::Service(service),
                        (false, model, first_layer, more) => Role::Engine {
                            model,
                            first_layer,
                            last_layer: first_layer + more,
                        },
                    };
                    let address = (ip, port).into();
                    BackendServer {
                        row: 0,
                        name,
                        data_centre,
                        address,
                        role,
                        limit,
                        checks_fencing,
                        leaving,
                    }
                });
                let pipelines =
                    unique(pipelines, |p| &p.0).map(|(name, model, max_tokens)| Pipeline {
                        row: 0,
                        name,
                        model,
                        max_tokens,
                    });
                Sheet {
                    day: Date::new(year, month, day).unwrap(),
                    pipelines: pipelines.collect(),
                    organisations: organisations.collect(),
                    backend_servers: servers.collect(),
                    ranks,
                }
            },
        )
}

fn unique<T>(all: Vec<T>, name: impl Fn(&T) -> &String) -> impl Iterator<Item = T> {
    let mut seen = BTreeSet::new();
    let keep: Vec<_> = all
        .into_iter()
        .filter(|t| seen.insert(name(t).clone()))
        .collect();
    keep.into_iter()
}

fn style() -> impl Strategy<Value = Style> {
    let delimiter = prop_oneof![Just(b','), Just(b';'), Just(b'\t')];
    let order = Just(Column::ALL.to_vec()).prop_shuffle();
    let blanks = prop::collection::vec((0..20_usize, any::<bool>()), 0..5);
    (delimiter, any::<[bool; 5]>(), 0..3_u8, order, blanks).prop_map(
        |(
            delimiter,
            [bom, windows_1252, crlf, decimal_comma, separator_line],
            day,
            order,
            blanks,
        )| Style {
            delimiter,
            bom,
            windows_1252,
            crlf,
            decimal_comma,
            separator_line: separator_line && delimiter == b';',
            day,
            order,
            blanks,
        },
    )
}

fn rows(sheet: &Sheet) -> Vec<Row> {
    let row = |kind, name: &String, cells| (kind, name.clone(), cells);
    let mut rows = Vec::new();
    rows.extend(
        sheet
            .organisations
            .iter()
            .map(|e| row(Kind::Organisation, &e.name, e.cells())),
    );
    rows.extend(
        sheet
            .backend_servers
            .iter()
            .map(|e| row(Kind::BackendServer, &e.name, e.cells())),
    );
    rows.extend(
        sheet
            .ranks
            .iter()
            .rev()
            .map(|e| row(Kind::Rank, &e.name, e.cells())),
    );
    rows.extend(
        sheet
            .pipelines
            .iter()
            .map(|e| row(Kind::Pipeline, &e.name, e.cells())),
    );
    rows
}

fn day(day: Date, style: u8) -> String {
    let (y, m, d) = (day.year(), day.month(), day.day());
    match style {
        0 => format!("{y:04}-{m:02}-{d:02}"),
        1 => format!("{d:02}/{m:02}/{y:04}"),
        _ => format!("{d}.{m}.{y:04}"),
    }
}

/// Returns the file and the line of each row in it.
fn render(sheet_day: Date, rows: &[Row], style: &Style) -> (Vec<u8>, Vec<usize>) {
    let end = (Kind::End, rows.len().to_string(), Vec::new());
    let terminator = if style.crlf {
        csv::Terminator::CRLF
    } else {
        csv::Terminator::Any(b'\n')
    };
    let mut writer = csv::WriterBuilder::new()
        .delimiter(style.delimiter)
        .terminator(terminator)
        .flexible(true)
        .from_writer(Vec::new());
    let header = style.order.iter().enumerate();
    let header = header.map(|(i, column)| match i % 3 {
        0 => column.name().to_uppercase(),
        1 => column.name().replace('_', " "),
        _ => column.name().into(),
    });
    writer.write_record(header).unwrap();
    let mut line = if style.separator_line { 3 } else { 2 };
    let mut lines = Vec::new();
    for (i, (kind, name, cells)) in rows.iter().chain([&end]).enumerate() {
        for (_, has_separators) in style
            .blanks
            .iter()
            .filter(|(at, _)| at % (rows.len() + 1) == i)
        {
            // The writer would quote a single empty cell, so it is a space, removed below.
            let width = if *has_separators {
                style.order.len()
            } else {
                1
            };
            writer.write_record(vec![" "; width]).unwrap();
            line += 1;
        }
        let record = style.order.iter().map(|column| match column {
            Column::Day if *kind == Kind::End => String::new(),
            Column::Day => day(sheet_day, style.day),
            Column::Kind if i % 2 == 0 => kind.name().to_uppercase(),
            Column::Kind => kind.name().replace(' ', "_"),
            Column::Name => name.clone(),
            Column::Note => "ñ, any text".into(),
            column => {
                let cell = cells.iter().find(|(filled, _)| filled == column);
                let text = cell.map(|(_, text)| text.clone()).unwrap_or_default();
                let decimal = matches!(column, Column::Share | Column::Floor);
                if decimal && style.decimal_comma {
                    text.replace('.', ",")
                } else {
                    text
                }
            }
        });
        writer.write_record(record.collect::<Vec<_>>()).unwrap();
        lines.push(line);
        line += 1;
    }
    let mut text = String::from_utf8(writer.into_inner().unwrap()).unwrap();
    text = text
        .replace("\n \n", "\n\n")
        .replace("\r\n \r\n", "\r\n\r\n");
    if style.separator_line {
        text = format!("sep=;\n{text}");
    }
    let mut bytes = Vec::new();
    if style.windows_1252 {
        bytes.extend_from_slice(&encoding_rs::WINDOWS_1252.encode(&text).0);
    } else {
        if style.bom {
            bytes.extend_from_slice(b"\xef\xbb\xbf");
        }
        bytes.extend_from_slice(text.as_bytes());
    }
    (bytes, lines)
}

fn without_rows(mut sheet: Sheet) -> Sheet {
    sheet.pipelines.iter_mut().for_each(|e| e.row = 0);
    sheet.ranks.iter_mut().for_each(|e| e.row = 0);
    sheet.organisations.iter_mut().for_each(|e| e.row = 0);
    sheet.backend_servers.iter_mut().for_each(|e| e.row = 0);
    sheet
}

fn config(cases: u32, seed: u64) -> ProptestConfig {
    let default = ProptestConfig::default();
    let given = std::env::var_os("PROPTEST_CASES").is_some();
    ProptestConfig {
        cases: if given { default.cases } else { cases },
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..default
    }
}

proptest! {
    #![proptest_config(config(32, 0x5eed_0004))]

    #[test]
    fn read_any_style(sheet in sheet(), style in style()) {
        let (bytes, lines) = render(sheet.day, &rows(&sheet), &style);
        let read = read(&bytes);
        prop_assert!(read.is_ok(), "{:?}", read);
        let read = read.unwrap();
        let first = read.organisations.first().map(|e| e.row);
        prop_assert!(first.is_none_or(|row| row == lines[0]));
        prop_assert_eq!(differences(&sheet, &read), []);
        prop_assert_eq!(without_rows(read), sheet);
    }

    #[test]
    fn read_any_bytes(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(read(&bytes).is_err());
    }

    #[test]
    fn read_any_change_of_a_byte(
        sheet in sheet(),
        style in style(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let (mut bytes, _) = render(sheet.day, &rows(&sheet), &style);
        *at.get_mut(&mut bytes) = byte;
        if let Err(faults) = read(&bytes) {
            prop_assert!(!faults.is_empty());
        }
    }

    #[test]
    fn read_cut_off(sheet in sheet(), style in style(), at in any::<prop::sample::Index>()) {
        let (bytes, _) = render(sheet.day, &rows(&sheet), &style);
        let cut = read(&bytes[..at.index(bytes.len())]);
        if let Ok(cut) = cut {
            prop_assert_eq!(without_rows(cut), sheet.clone());
        }
        // A truncation near the end is the hardest to detect.
        for at in bytes.len().saturating_sub(120)..bytes.len() {
            if let Ok(cut) = read(&bytes[..at]) {
                prop_assert_eq!(without_rows(cut), sheet.clone());
            }
        }
    }

    #[test]
    fn read_reports_every_fault(
        sheet in sheet(),
        style in style(),
        places in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), 0..3_u8), 1..8),
    ) {
        let mut rows = rows(&sheet);
        let mut injected = BTreeSet::new();
        for (row, cell, how) in places {
            let row = row.index(rows.len());
            let (kind, _, cells) = &mut rows[row];
            let kind = *kind;
            let cell = cell.index(cells.len());
            let (column, text) = &mut cells[cell];
            // Other texts in text cells and empty optional cells are not injected, as they may
            // be valid. An empty service is not either, as it makes the row an engine's.
            let is_text = [Column::Model, Column::Rank, Column::Home, Column::DataCentre, Column::Service];
            let optional = [Column::ChecksFencing, Column::Leaving, Column::Service];
            if how == 0 && !optional.contains(column) {
                text.clear();
            } else if !is_text.contains(column) {
                *text = if how == 1 { "x7".into() } else { "-1".into() };
            } else {
                continue;
            }
            injected.insert((row, *column));
            prop_assert!(kind.columns().contains(column));
        }
        let (bytes, lines) = render(sheet.day, &rows, &style);
        let expected: BTreeSet<_> = injected.iter().map(|(row, column)| (lines[*row], Some(*column))).collect();
        match read(&bytes) {
            Ok(_) => prop_assert!(expected.is_empty()),
            Err(faults) => {
                let found: BTreeSet<_> = faults.iter().map(|f| (f.row, f.column)).collect();
                prop_assert_eq!(found, expected, "{:?}", faults);
            }
        }
    }
}

/// A sheet in the format that most planners export.
const PLAIN: &str = "day;kind;name;share;rank;home;urgency;first_token_ms;between_tokens_ms;deadline_ms;floor;note\r\n\
    04/12/2026;rank;urgent;;;;1;1500;52;30000;0,5;\r\n\
    04/12/2026;organisation;Escuela Nº 7;1,5;urgent;lima;;;;;;first\r\n\
    ;end;2;;;;;;;;;\r\n";

fn faults_of(text: &str) -> Vec<String> {
    let faults = read(text.as_bytes()).expect_err("has faults");
    faults.iter().map(Fault::to_string).collect()
}

#[test]
fn read_fault_texts() {
    assert!(read(PLAIN.as_bytes()).is_ok());
    let two_faults = PLAIN
        .replace("1,5;urgent", "1.500;none")
        .replace("30000", "30 000");
    assert_eq!(
        faults_of(&two_faults),
        [
            "row 2, column deadline_ms: \"30 000\" is not a whole number from 1 to 86400000 without separators",
            "row 3, column share: \"1.500\" may mean 1.500 or 1500; write it with fewer or more than three decimals",
        ]
    );
    let rank = PLAIN.replace("1,5;urgent", "1,5;none");
    assert_eq!(
        faults_of(&rank),
        ["row 3, column rank: there is no rank \"none\""]
    );
    let day = PLAIN.replacen("04/12", "12/31", 1);
    assert_eq!(
        faults_of(&day),
        [
            "row 2, column day: \"12/31/2026\" is not a day of the form YYYY-MM-DD, DD/MM/YYYY or DD.MM.YYYY"
        ]
    );
    let short = PLAIN.replace(";end;2", ";end;3");
    assert_eq!(
        faults_of(&short),
        ["row 4, column name: the closing row counts 3 rows, but the sheet has 2; export it again"]
    );
    let header = PLAIN.replace("share;", "shares;");
    assert_eq!(faults_of(&header), ["row 1: there is no column \"shares\""]);
    assert_eq!(faults_of(""), ["row 1: the sheet is empty"]);
}

#[test]
fn admit_each_day() {
    let day = |day| Date::new(2026, 12, day).unwrap();
    assert_eq!(admit(day(4), day(4), None), Ok(()));
    assert_eq!(admit(day(4), day(4), Some(day(4))), Ok(()));
    assert_eq!(admit(day(3), day(4), None), Err(Refusal::Past(day(3))));
    assert_eq!(
        admit(day(5), day(4), Some(day(4))),
        Err(Refusal::Future(day(5)))
    );
    assert_eq!(
        admit(day(4), day(4), Some(day(5))),
        Err(Refusal::Older(day(5)))
    );
}

#[test]
fn today_either_side_of_midnight() {
    let wall = hemlockwind_core::time::WallTime::from_millis(1_796_342_400_000);
    let day = |day| Date::new(2026, 12, day).unwrap();
    assert_eq!(today(wall, 3 * 3_600), day(4));
    assert_eq!(today(wall, 0), day(4));
    assert_eq!(today(wall, -5 * 3_600), day(3));
}

#[test]
fn differences_of_two_sheets() {
    let before = read(PLAIN.as_bytes()).unwrap();
    let after = PLAIN
        .replace("1,5;urgent", "2;urgent")
        .replace("Escuela", "Colegio");
    let after = read(after.as_bytes()).unwrap();
    let organisation = |name: &str, change| Difference {
        kind: Kind::Organisation,
        name: name.into(),
        change,
    };
    assert_eq!(
        differences(&before, &after),
        [
            organisation("Colegio Nº 7", Change::Added),
            organisation("Escuela Nº 7", Change::Removed)
        ]
    );
    let share = read(PLAIN.replace("1,5;urgent", "2;urgent").as_bytes()).unwrap();
    let cells = vec![(Column::Share, "1.5".into(), "2".into())];
    let text = differences(&before, &share)[0].to_string();
    assert_eq!(text, "organisation Escuela Nº 7: share from 1.5 to 2");
    assert_eq!(
        differences(&before, &share),
        [organisation("Escuela Nº 7", Change::Changed(cells))]
    );
    assert_eq!(differences(&before, &before), []);
}
