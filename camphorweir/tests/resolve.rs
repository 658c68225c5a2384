//! `resolve` against a log service with faults: a key is settled once, entries read the same
//! outcome, and a second operator gets a conflict.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_policy::claim::{Status, Table},
    camphorweir_wire::{
        claim::{Body, FORMAT, Key, MAX_KEY_AGE, Owner, Record, Resolve, Start, stream_name},
        codec,
        log::Stored,
        outcome::Answer,
    },
    common::{AppendOutcome, LogService, State},
    serde_bytes::ByteBuf,
    uuid::Uuid,
};

/// When `KEY` was issued, in milliseconds of Unix time.
const ISSUED_MS: u64 = 0x0193_a1b2_0000;
const KEY: &str = "0193a1b2-0000-7000-8000-000000000001";
/// Nonce of the start record of `KEY`.
const NONCE: u64 = 5;

fn key() -> Key {
    Key {
        workspace: "depot-7".to_owned(),
        id: Uuid::try_parse(KEY).unwrap().as_u128(),
    }
}

fn record(nonce: u64, body: Body) -> Vec<u8> {
    codec::encode(&Record {
        format: FORMAT,
        key: key(),
        nonce,
        body,
    })
}

fn start_record(nonce: u64) -> Vec<u8> {
    let owner = Owner {
        entry: "a1".to_owned(),
        incarnation: 1,
    };
    record(
        nonce,
        Body::Start(Start {
            owner,
            fingerprint: 9,
        }),
    )
}

fn resolution(operator: &str, ran: bool) -> Vec<u8> {
    let operator = operator.to_owned();
    record(NONCE, Body::Resolve(Resolve { ran, operator }))
}

fn answer_record() -> Vec<u8> {
    let answer = Answer {
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
    };
    record(NONCE, Body::Done(answer))
}

/// A log with the start record of `KEY`, followed by `records_after`.
fn claimed_state(records_after: &[Vec<u8>]) -> State {
    let mut records = vec![start_record(NONCE)];
    records.extend_from_slice(records_after);
    State {
        times: vec![ISSUED_MS; records.len() + 10],
        records,
        stream: stream_name(key().partition()),
        ..State::default()
    }
}

fn unknown_record() -> Vec<u8> {
    record(NONCE, Body::Unknown)
}

fn resolve(log: &LogService, ran: &str, options: &[&str]) -> Report {
    let url = log.url();
    let mut arguments = vec![
        "resolve", KEY, "--ran", ran, "--log", &url, "--author", "ada",
    ];
    arguments.extend(options);
    camphorweir::run(args::command().run_inner(&arguments[..]).unwrap())
}

/// Whether the request ran, as an entry reads it from the log; `None` while the key is not settled.
fn outcome_at_entry(log: &LogService) -> Option<bool> {
    let state = log.state.lock().unwrap();
    let mut table = Table::default();
    for (offset, body) in state.records.iter().enumerate() {
        table.apply(&Stored {
            offset: offset as u64,
            time_ms: state.times.get(offset).copied().unwrap_or(ISSUED_MS),
            body: ByteBuf::from(body.clone()),
        });
    }
    match table.status(key().id) {
        Status::Resolved { ran } => Some(ran),
        Status::Done(_) => Some(true),
        Status::Free | Status::Started(_) => None,
    }
}

#[test]
fn a_key_is_settled_once() {
    let log = LogService::start(claimed_state(&[unknown_record()]));
    let report = resolve(&log, "no", &[]);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
    assert_eq!(report.text, format!("settled: {KEY} ran: no"));
    assert_eq!(outcome_at_entry(&log), Some(false));
    assert_eq!(resolve(&log, "no", &[]).exit, Exit::Done);
    let other = resolve(&log, "yes", &[]);
    assert_eq!(other.exit, Exit::Conflict);
    assert_eq!(log.state.lock().unwrap().appends, 1);
}

#[test]
fn the_second_of_two_operators_gets_a_conflict() {
    let mut state = claimed_state(&[unknown_record()]);
    state
        .append_outcomes
        .push_back(AppendOutcome::Preceded(vec![resolution("eve", true)]));
    let log = LogService::start(state);
    let report = resolve(&log, "no", &[]);
    assert_eq!(report.exit, Exit::Conflict);
    let expected = format!("conflict: eve settled {KEY} first, ran: yes");
    assert_eq!(report.text, expected);
    assert_eq!(outcome_at_entry(&log), Some(true));
}

#[test]
fn an_answer_recorded_first_overrides_an_operator() {
    let mut state = claimed_state(&[unknown_record()]);
    state
        .append_outcomes
        .push_back(AppendOutcome::Preceded(vec![answer_record()]));
    let log = LogService::start(state);
    let report = resolve(&log, "no", &["--json"]);
    assert_eq!(report.exit, Exit::Conflict);
    assert!(
        report.text.contains("\"outcome\":\"recorded\""),
        "{}",
        report.text
    );
    assert_eq!(outcome_at_entry(&log), Some(true));
}

#[test]
fn a_carried_start_is_unknown_and_a_late_start_is_ignored() {
    let owner = Owner {
        entry: "a1".to_owned(),
        incarnation: 1,
    };
    let carry = Body::Carry(Start {
        owner,
        fingerprint: 9,
    });
    let mut carried = claimed_state(&[record(NONCE, carry)]);
    carried.records.remove(0);
    let log = LogService::start(carried);
    assert_eq!(resolve(&log, "no", &[]).exit, Exit::Done);
    assert_eq!(outcome_at_entry(&log), Some(false));
    let mut late = claimed_state(&[unknown_record()]);
    late.times = vec![ISSUED_MS + MAX_KEY_AGE.as_millis() as u64 + 1; 10];
    let log = LogService::start(late);
    assert_eq!(resolve(&log, "no", &[]).exit, Exit::NotFound);
}

#[test]
fn lost_responses_and_delayed_appends_settle_the_key() {
    let cases = [
        vec![AppendOutcome::ResponseLost],
        vec![AppendOutcome::RequestLost, AppendOutcome::ResponseLost],
        vec![AppendOutcome::Delayed(1)],
        vec![AppendOutcome::Delayed(2), AppendOutcome::RequestLost],
    ];
    for outcomes in cases {
        let mut state = claimed_state(&[unknown_record()]);
        state.append_outcomes.extend(outcomes.clone());
        state.read_failures = Some((2, 2));
        let log = LogService::start(state);
        let report = resolve(&log, "yes", &[]);
        assert_eq!(report.exit, Exit::Done, "{outcomes:?}: {}", report.text);
        assert_eq!(outcome_at_entry(&log), Some(true), "{outcomes:?}");
    }
}

#[test]
fn nothing_is_appended_where_there_is_nothing_to_settle() {
    let void = record(NONCE, Body::Void);
    let cases = [
        (vec![], Exit::Conflict, "open: no record says"),
        (
            vec![answer_record()],
            Exit::Conflict,
            "conflict: the outcome",
        ),
        (
            vec![record(NONCE, Body::Ran)],
            Exit::Conflict,
            "conflict: the outcome",
        ),
        (
            vec![void],
            Exit::NotFound,
            "not found: this key has no open claim",
        ),
        (
            vec![codec::encode(&(9_u16, 1, 2, 3))],
            Exit::Outdated,
            "outdated",
        ),
    ];
    for (records_after, exit, text) in cases {
        let log = LogService::start(claimed_state(&records_after));
        let report = resolve(&log, "no", &[]);
        assert_eq!(report.exit, exit, "{}", report.text);
        assert!(report.text.starts_with(text), "{}", report.text);
        assert_eq!(log.state.lock().unwrap().appends, 0);
    }
    let log = LogService::start(claimed_state(&[]));
    let report = resolve(&log, "no", &["--owner-gone"]);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
}

#[test]
fn a_log_that_is_down_is_unreachable_with_nothing_sent() {
    let mut state = claimed_state(&[unknown_record()]);
    state.read_failures = Some((0, usize::MAX));
    let log = LogService::start(state);
    let report = resolve(&log, "no", &["--timeout", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(report.text.contains("nothing was sent"), "{}", report.text);
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn a_key_among_many_is_found_by_its_time() {
    let other = |number: u64| {
        codec::encode(&Record {
            format: FORMAT,
            key: Key {
                workspace: "depot-9".to_owned(),
                id: u128::from(number),
            },
            nonce: number,
            body: Body::Void,
        })
    };
    let mut state = claimed_state(&[]);
    state.records = (0..4000).map(other).collect();
    state.times = (0..4000)
        .map(|number| ISSUED_MS - 4_000_000 + number * 1000)
        .collect();
    state
        .records
        .extend([start_record(NONCE), unknown_record()]);
    state.times.extend([ISSUED_MS; 10]);
    // The binary search must skip this record from before the key was issued; it can't be decoded.
    state.records[0] = b"not read".to_vec();
    let log = LogService::start(state);
    let report = resolve(&log, "yes", &[]);
    assert_eq!(report.exit, Exit::Done, "{}", report.text);
}
