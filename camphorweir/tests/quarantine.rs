//! `quarantine release` against a log with faults: the record lands, whatever becomes of an answer.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_wire::{
        codec,
        suspect::{Body, Record, STREAM},
    },
    common::{Fate, Log, State},
};

fn log(fates: &[Fate]) -> Log {
    Log::start(State {
        stream: STREAM.to_owned(),
        fates: fates.iter().cloned().collect(),
        ..State::default()
    })
}

fn release(log: &Log, fingerprint: &str) -> Report {
    let url = log.url();
    let words = [
        "quarantine",
        "release",
        fingerprint,
        "--log",
        &url,
        "--author",
        "ada",
    ];
    camphorweir::run(args::command().run_inner(&words[..]).unwrap())
}

fn released(log: &Log) -> Vec<u64> {
    let state = log.state.lock().unwrap();
    let records = state.records.iter();
    let records = records.map(|bytes| codec::decode::<Record>(bytes).unwrap());
    let released = records.filter(|record| matches!(record.body, Body::Release { .. }));
    released.map(|record| record.fingerprint).collect()
}

#[test]
fn a_release_lands() {
    let log = log(&[]);
    let report = release(&log, "00000000000000ff");
    assert_eq!(
        (report.exit, &*report.text),
        (Exit::Done, "released 00000000000000ff")
    );
    assert_eq!(released(&log), [0xff]);
}

#[test]
fn a_lost_append_or_answer_is_made_good() {
    let log = log(&[Fate::Lost, Fate::AnswerLost]);
    assert_eq!(release(&log, "ff").exit, Exit::Done);
    let released = released(&log);
    assert!(!released.is_empty() && released.iter().all(|print| *print == 0xff));
}

#[test]
fn what_is_no_fingerprint_is_refused() {
    let words = [
        "quarantine",
        "release",
        "seal",
        "--log",
        "x",
        "--author",
        "ada",
    ];
    assert!(args::command().run_inner(&words[..]).is_err());
}
