//! `publish` against a log service with faults: the outcome is always reported, and a publication
//! is accepted at most once.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_config::{
        edit::edits,
        fold::{Effect, Fold},
        model::{Document, Zone},
        parse,
        record::{Body, Edit, FORMAT, Publication, Record},
    },
    camphorweir_wire::codec,
    common::{AppendOutcome, LogService, State},
    serde_json::{Value, json},
};

const INITIAL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/small.yaml");
const CHANGED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/other.yaml");

fn publish_with(log: &LogService, file: &str, options: &[&str]) -> Report {
    let url = log.url();
    let mut arguments = vec!["publish", file, "--log", &url, "--author", "ada"];
    arguments.extend(options);
    camphorweir::run(args::command().run_inner(&arguments[..]).unwrap())
}

fn publish(log: &LogService, file: &str) -> Report {
    publish_with(log, file, &[])
}

fn document(file: &str) -> Document {
    parse::checked(&std::fs::read_to_string(file).unwrap()).unwrap()
}

fn publication(nonce: u64, author: &str, base: u64, edits: Vec<Edit>) -> Vec<u8> {
    codec::encode(&Record {
        format: FORMAT,
        body: Body::Publication(Publication {
            nonce,
            author: author.to_owned(),
            base,
            edits,
        }),
    })
}

fn add_zone(name: &str) -> Edit {
    let region = "southeast".to_owned();
    Edit::Zone(name.to_owned(), Some(Zone { region }))
}

/// A log in which another operator has published the file `INITIAL`.
fn published_state() -> State {
    let first = publication(1, "ben", 0, edits(&Document::default(), &document(INITIAL)));
    State {
        records: vec![first],
        ..State::default()
    }
}

/// Folds the whole log; returns the fold and how many publications of `author` were accepted.
fn fold_log(log: &LogService, author: &str) -> (Fold, usize) {
    let mut fold = Fold::new();
    let mut accepted = 0;
    for (offset, bytes) in log.state.lock().unwrap().records.iter().enumerate() {
        if matches!(fold.apply(offset as u64, bytes), Effect::Accepted(_))
            && fold.author() == author
        {
            accepted += 1;
        }
    }
    (fold, accepted)
}

#[test]
fn a_file_is_accepted_once() {
    let log = LogService::start(State::default());
    let report = publish(&log, INITIAL);
    assert_eq!(
        (report.exit, &*report.text),
        (Exit::Done, "accepted version 1")
    );
    let again = publish(&log, INITIAL);
    assert_eq!(again.exit, Exit::Done);
    assert!(
        again.text.starts_with("unchanged: version 1"),
        "{}",
        again.text
    );
    let other = publish_with(&log, CHANGED, &["--json"]);
    let value: Value = serde_json::from_str(&other.text).unwrap();
    assert_eq!(value, json!({"outcome": "accepted", "version": 2}));
    assert!(other.remarks.contains("warning: "), "{}", other.remarks);
    let (fold, accepted) = fold_log(&log, "ada");
    assert_eq!(**fold.document(), document(CHANGED));
    assert_eq!(accepted, 2);
}

#[test]
fn a_conflict_names_the_winner() {
    let mut state = published_state();
    let rival = publication(9, "eve", 1, vec![add_zone("southeast-c")]);
    state
        .append_outcomes
        .push_back(AppendOutcome::Preceded(vec![rival]));
    let log = LogService::start(state);
    let report = publish(&log, CHANGED);
    let expected = "conflict: eve published version 2 first";
    assert_eq!((report.exit, &*report.text), (Exit::Conflict, expected));
    assert_eq!(fold_log(&log, "ada").1, 0);
}

#[test]
fn a_base_that_is_no_longer_in_force_is_a_conflict() {
    let log = LogService::start(published_state());
    let report = publish_with(&log, CHANGED, &["--base", "0"]);
    let expected = "conflict: ben published version 1 first";
    assert_eq!((report.exit, &*report.text), (Exit::Conflict, expected));
    assert_eq!(log.state.lock().unwrap().appends, 0);
    let report = publish_with(&log, CHANGED, &["--base", "1"]);
    assert_eq!(report.exit, Exit::Done);
}

#[test]
fn lost_responses_and_delayed_appends_are_accepted_once() {
    let cases = [
        vec![AppendOutcome::ResponseLost],
        vec![AppendOutcome::RequestLost, AppendOutcome::ResponseLost],
        vec![AppendOutcome::Delayed(1)],
        vec![AppendOutcome::Delayed(2), AppendOutcome::RequestLost],
        vec![
            AppendOutcome::Delayed(1),
            AppendOutcome::Delayed(2),
            AppendOutcome::ResponseLost,
        ],
    ];
    for outcomes in cases {
        let mut state = published_state();
        state.append_outcomes.extend(outcomes.clone());
        // The first read, of the version in force, succeeds; the next two fail.
        state.read_failures = Some((1, 2));
        let log = LogService::start(state);
        let report = publish(&log, CHANGED);
        assert_eq!(&*report.text, "accepted version 2", "{outcomes:?}");
        let (fold, accepted) = fold_log(&log, "ada");
        assert_eq!(accepted, 1, "{outcomes:?}");
        assert_eq!(**fold.document(), document(CHANGED));
    }
}

#[test]
fn a_delayed_append_after_a_rival_publication_is_a_conflict() {
    let mut state = published_state();
    let rival = publication(9, "eve", 1, vec![add_zone("southeast-c")]);
    state.append_outcomes.extend([
        AppendOutcome::Delayed(1),
        AppendOutcome::Preceded(vec![rival]),
    ]);
    let log = LogService::start(state);
    let report = publish(&log, CHANGED);
    assert_eq!(&*report.text, "conflict: eve published version 2 first");
}

#[test]
fn an_unknown_outcome_names_its_nonce_and_can_be_retried() {
    let mut state = published_state();
    state.append_outcomes.push_back(AppendOutcome::ResponseLost);
    state.read_failures = Some((1, usize::MAX));
    let log = LogService::start(state);
    let report = publish_with(&log, CHANGED, &["--timeout", "1", "--json"]);
    assert_eq!(report.exit, Exit::Unreachable);
    let value: Value = serde_json::from_str(&report.text).unwrap();
    assert_eq!(value["outcome"], "unreachable");
    assert_eq!(value["nonce"].as_str().unwrap().len(), 16);
    log.state.lock().unwrap().read_failures = None;
    let report = publish(&log, CHANGED);
    assert!(
        report.text.starts_with("unchanged: version 2"),
        "{}",
        report.text
    );
    assert_eq!(fold_log(&log, "ada").1, 1);
}

#[test]
fn a_log_that_is_down_is_unreachable_with_nothing_sent() {
    let log = LogService::start(State {
        read_failures: Some((0, usize::MAX)),
        ..State::default()
    });
    let report = publish_with(&log, INITIAL, &["--timeout", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(report.text.contains("nothing was sent"), "{}", report.text);
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn deleted_records_without_a_checkpoint_are_unreachable() {
    let mut state = published_state();
    state.oldest = 1;
    let log = LogService::start(state);
    let report = publish_with(&log, CHANGED, &["--timeout", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    assert_eq!(log.state.lock().unwrap().appends, 0);
    // A checkpoint makes the version in force known again.
    let mut fold = Fold::new();
    fold.apply(0, &log.state.lock().unwrap().records[0]);
    let checkpoint = codec::encode(&Record {
        format: FORMAT,
        body: Body::Checkpoint(fold.checkpoint().unwrap()),
    });
    log.state.lock().unwrap().records.push(checkpoint);
    assert_eq!(&*publish(&log, CHANGED).text, "accepted version 2");
}

#[test]
fn an_unknown_format_asks_for_an_upgrade() {
    let mut state = published_state();
    state
        .records
        .push(codec::encode(&(7_u16, "from the future")));
    let log = LogService::start(state);
    let report = publish(&log, CHANGED);
    assert_eq!(report.exit, Exit::Outdated);
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn a_target_is_drained_and_undrained() {
    let log = LogService::start(published_state());
    let url = log.url();
    let target = document(INITIAL).targets.keys().next().unwrap().clone();
    let set_drain = |command: &str, target: &str| {
        let arguments = [command, target, "--log", &url, "--author", "ada"];
        camphorweir::run(args::command().run_inner(&arguments[..]).unwrap())
    };
    for (command, text, drained) in [
        ("drain", "accepted version 2", true),
        (
            "drain",
            "unchanged: version 2 in force already has this content",
            true,
        ),
        ("undrain", "accepted version 3", false),
    ] {
        let report = set_drain(command, &target);
        assert_eq!((report.exit, &*report.text), (Exit::Done, text));
        assert_eq!(
            fold_log(&log, "ada").0.document().targets[&target].drain,
            drained
        );
    }
    assert_eq!(set_drain("drain", "nowhere").exit, Exit::NotFound);
    let mut state = published_state();
    let rival = publication(9, "eve", 1, vec![add_zone("southeast-c")]);
    state
        .append_outcomes
        .push_back(AppendOutcome::Preceded(vec![rival]));
    let log = LogService::start(state);
    let url = log.url();
    let arguments = ["drain", &*target, "--log", &url, "--author", "ada"];
    let report = camphorweir::run(args::command().run_inner(&arguments[..]).unwrap());
    assert_eq!(&*report.text, "conflict: eve published version 2 first");
}
