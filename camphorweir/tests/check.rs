//! `check` with warnings, and against a file or a version of the log. Guards against a comparison
//! with another version than the one named, and against a check that changes the log.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_config::{
        edit::edits,
        fold::Fold,
        model::Document,
        parse,
        record::{Body, FORMAT, Publication, Record},
    },
    camphorweir_wire::codec,
    common::{LogService, State},
    serde_json::{Value, json},
};

const FIRST: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/small.yaml");
const SECOND: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/other.yaml");
const WARNED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/warned.yaml");
const FAULTY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/faulty.yaml");

fn check(arguments: &[&str]) -> Report {
    let arguments = [&["check", "--timeout", "1"], arguments].concat();
    camphorweir::run(args::command().run_inner(&arguments[..]).unwrap())
}

fn record(body: Body) -> Vec<u8> {
    codec::encode(&Record {
        format: FORMAT,
        body,
    })
}

/// A log in which `FIRST` and then `SECOND` were published.
fn state() -> State {
    let document = |file| parse::checked(&std::fs::read_to_string(file).unwrap()).unwrap();
    let documents = [Document::default(), document(FIRST), document(SECOND)];
    let publications = documents.windows(2).zip(0..).map(|(pair, base)| {
        record(Body::Publication(Publication {
            nonce: base + 1,
            author: "ben".to_owned(),
            base,
            edits: edits(&pair[0], &pair[1]),
        }))
    });
    State {
        records: publications.collect(),
        ..State::default()
    }
}

#[test]
fn warnings_have_their_places_and_leave_the_exit_code() {
    let report = check(&[WARNED]);
    let warnings: Vec<_> = report
        .text
        .lines()
        .filter_map(|line| line.strip_prefix(&*format!("{WARNED}: warning: ")))
        .collect();
    let expected = [
        "5154 zones.southeast-c at 4:3: no target is in this zone",
        "5152 workspaces.depot-7.routes at 17:3: the workspace has keys but no route, so every \
         request is refused",
        "5157 workspaces.depot-8.keys at 20:3: the workspace has routes but no key, so every \
         request is refused",
    ];
    assert_eq!((report.exit, &warnings[..]), (Exit::Done, &expected[..]));
    let value: Value = serde_json::from_str(&check(&["--json", WARNED]).text).unwrap();
    assert_eq!(value["outcome"], "good");
    assert_eq!(value["warnings"][0]["code"], 5154);
    assert_eq!(value["warnings"].as_array().unwrap().len(), 3);
    assert_eq!(value.get("notes"), None);
}

#[test]
fn a_file_is_compared_with_another() {
    let report = check(&[SECOND, "--against", FIRST]);
    assert_eq!(report.exit, Exit::Done);
    assert!(
        report
            .text
            .contains("\nchanges target lookup-b1: address 10.0.1.9:7000 -> 10.0.1.8:7000\n")
            && report
                .text
                .contains("\nwarning: workspace depot-7 has its limit requests"),
        "{}",
        report.text
    );
    let report = check(&[FIRST, "--against", FIRST]);
    assert!(
        report
            .text
            .ends_with(&format!("\nno changes against {FIRST}"))
    );
    let report = check(&[FIRST, "--against", FAULTY]);
    assert_eq!(report.exit, Exit::Faulty);
    assert!(report.text.starts_with(FAULTY), "{}", report.text);
    assert_eq!(
        check(&[FIRST, "--against", "/nowhere.yaml"]).exit,
        Exit::Unreadable
    );
}

#[test]
fn a_file_is_compared_with_the_version_named() {
    let log = LogService::start(state());
    let url = log.url();
    for (against, version, changes) in [
        (&["--against", "0"][..], 0, true),
        (&["--against", "1"], 1, false),
        (&["--against", "2"], 2, true),
        (&[], 2, true),
    ] {
        let report = check(&[&["--json", FIRST, "--log", &url], against].concat());
        let value: Value = serde_json::from_str(&report.text).unwrap();
        assert_eq!(report.exit, Exit::Done, "{against:?}");
        assert_eq!(value["against"], json!({"version": version}), "{against:?}");
        let notes = value["notes"].as_array().unwrap();
        assert_eq!(!notes.is_empty(), changes, "{against:?}");
    }
    let report = check(&[FIRST, "--log", &url, "--against", "3"]);
    let expected = "not found: version 3 is not published; version 2 is in force";
    assert_eq!((report.exit, &*report.text), (Exit::NotFound, expected));
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn a_version_that_the_log_has_deleted_is_not_found() {
    let mut state = state();
    state.oldest = 2;
    let mut fold = Fold::new();
    for (offset, bytes) in (0..).zip(&state.records) {
        fold.apply(offset, bytes);
    }
    let log = LogService::start(state);
    let url = log.url();
    // Without a checkpoint, no version is known.
    let report = check(&[FIRST, "--log", &url, "--against", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    let checkpoint = record(Body::Checkpoint(fold.checkpoint().unwrap()));
    log.state.lock().unwrap().records.push(checkpoint);
    let report = check(&[FIRST, "--log", &url, "--against", "1"]);
    let expected = "not found: the log no longer has version 1; 2 is in force";
    assert_eq!((report.exit, &*report.text), (Exit::NotFound, expected));
    assert_eq!(
        check(&[FIRST, "--log", &url, "--against", "2"]).exit,
        Exit::Done
    );
}

#[test]
fn each_failure_to_compare_has_its_exit_code() {
    assert_eq!(check(&[FIRST, "--against", "1"]).exit, Exit::Usage);
    let against_file = [FIRST, "--against", SECOND, "--log", "http://127.0.0.1:1"];
    assert_eq!(check(&against_file).exit, Exit::Usage);
    assert_eq!(
        check(&[FIRST, "--log", "ftp://127.0.0.1:1"]).exit,
        Exit::Usage
    );
    assert_eq!(
        check(&[FIRST, "--log", "http://127.0.0.1:1"]).exit,
        Exit::Unreachable
    );
    // The faults of the file come first, with or without a log.
    assert_eq!(
        check(&[FAULTY, "--log", "http://127.0.0.1:1"]).exit,
        Exit::Faulty
    );
    let mut state = state();
    state
        .records
        .push(codec::encode(&(7_u16, "from the future")));
    let log = LogService::start(state);
    assert_eq!(check(&[FIRST, "--log", &log.url()]).exit, Exit::Outdated);
    // A version before the record in an unknown format can be read.
    assert_eq!(
        check(&[FIRST, "--log", &log.url(), "--against", "1"]).exit,
        Exit::Done
    );
}
