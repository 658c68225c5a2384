//! `quarantine release` against a log service with faults: the record is appended even when a
//! request or a response is lost.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_wire::{
        codec,
        suspect::{Body, Record, STREAM},
    },
    common::{AppendOutcome, LogService, State},
};

fn start_log(append_outcomes: &[AppendOutcome]) -> LogService {
    LogService::start(State {
        stream: STREAM.to_owned(),
        append_outcomes: append_outcomes.iter().cloned().collect(),
        ..State::default()
    })
}

fn release(log: &LogService, fingerprint: &str) -> Report {
    let url = log.url();
    let arguments = [
        "quarantine",
        "release",
        fingerprint,
        "--log",
        &url,
        "--author",
        "ada",
    ];
    camphorweir::run(args::command().run_inner(&arguments[..]).unwrap())
}

fn released_fingerprints(log: &LogService) -> Vec<u64> {
    let state = log.state.lock().unwrap();
    let records = state.records.iter();
    let records = records.map(|bytes| codec::decode::<Record>(bytes).unwrap());
    let released = records.filter(|record| matches!(record.body, Body::Release { .. }));
    released.map(|record| record.fingerprint).collect()
}

#[test]
fn a_release_is_appended() {
    let log = start_log(&[]);
    let report = release(&log, "00000000000000ff");
    assert_eq!(
        (report.exit, &*report.text),
        (Exit::Done, "released 00000000000000ff")
    );
    assert_eq!(released_fingerprints(&log), [0xff]);
}

#[test]
fn a_lost_append_or_response_is_retried() {
    let log = start_log(&[AppendOutcome::RequestLost, AppendOutcome::ResponseLost]);
    assert_eq!(release(&log, "ff").exit, Exit::Done);
    let released = released_fingerprints(&log);
    assert!(!released.is_empty() && released.iter().all(|fingerprint| *fingerprint == 0xff));
}

#[test]
fn an_invalid_fingerprint_is_refused() {
    let arguments = [
        "quarantine",
        "release",
        "seal",
        "--log",
        "x",
        "--author",
        "ada",
    ];
    assert!(args::command().run_inner(&arguments[..]).is_err());
}
