//! `publish` against a log with faults: what became of the publication is always said, and it is in
//! force at most once.

mod common;

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_config::{
        edit::edits,
        fold::{Fold, Step},
        model::{Document, Zone},
        parse,
        record::{Body, Edit, FORMAT, Publication, Record},
    },
    camphorweir_wire::codec,
    common::{Fate, Log, State},
    serde_json::{Value, json},
};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/small.yaml");
const OTHER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/other.yaml");

fn publish_with(log: &Log, file: &str, more: &[&str]) -> Report {
    let url = log.url();
    let mut words = vec!["publish", file, "--log", &url, "--author", "ada"];
    words.extend(more);
    camphorweir::run(args::command().run_inner(&words[..]).unwrap())
}

fn publish(log: &Log, file: &str) -> Report {
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

fn zone(name: &str) -> Edit {
    let region = "southeast".to_owned();
    Edit::Zone(name.to_owned(), Some(Zone { region }))
}

/// A log in which another operator has published the small file.
fn seeded() -> State {
    let first = publication(1, "ben", 0, edits(&Document::default(), &document(FILE)));
    State {
        records: vec![first],
        ..State::default()
    }
}

/// What a reader of the whole log holds, and how many publications of `author` it accepted.
fn read(log: &Log, author: &str) -> (Fold, usize) {
    let mut fold = Fold::new();
    let mut accepted = 0;
    for (offset, bytes) in log.state.lock().unwrap().records.iter().enumerate() {
        if matches!(fold.apply(offset as u64, bytes), Step::Accepted(_)) && fold.author() == author
        {
            accepted += 1;
        }
    }
    (fold, accepted)
}

#[test]
fn a_file_is_accepted_once() {
    let log = Log::start(State::default());
    let report = publish(&log, FILE);
    assert_eq!(
        (report.exit, &*report.text),
        (Exit::Done, "accepted version 1")
    );
    let again = publish(&log, FILE);
    assert_eq!(again.exit, Exit::Done);
    assert!(
        again.text.starts_with("unchanged: version 1"),
        "{}",
        again.text
    );
    let other = publish_with(&log, OTHER, &["--json"]);
    let value: Value = serde_json::from_str(&other.text).unwrap();
    assert_eq!(value, json!({"outcome": "accepted", "version": 2}));
    assert!(other.remarks.contains("warning: "), "{}", other.remarks);
    let (fold, accepted) = read(&log, "ada");
    assert_eq!(**fold.document(), document(OTHER));
    assert_eq!(accepted, 2);
}

#[test]
fn the_loser_of_a_race_is_told_who_won() {
    let mut state = seeded();
    let rival = publication(9, "eve", 1, vec![zone("southeast-c")]);
    state.fates.push_back(Fate::After(vec![rival]));
    let log = Log::start(state);
    let report = publish(&log, OTHER);
    let words = "conflict: eve published version 2 first";
    assert_eq!((report.exit, &*report.text), (Exit::Conflict, words));
    assert_eq!(read(&log, "ada").1, 0);
}

#[test]
fn a_base_that_is_no_longer_in_force_is_a_conflict() {
    let log = Log::start(seeded());
    let report = publish_with(&log, OTHER, &["--base", "0"]);
    let words = "conflict: ben published version 1 first";
    assert_eq!((report.exit, &*report.text), (Exit::Conflict, words));
    assert_eq!(log.state.lock().unwrap().appends, 0);
    let report = publish_with(&log, OTHER, &["--base", "1"]);
    assert_eq!(report.exit, Exit::Done);
}

#[test]
fn lost_answers_and_late_appends_leave_one_acceptance() {
    let cases = [
        vec![Fate::AnswerLost],
        vec![Fate::Lost, Fate::AnswerLost],
        vec![Fate::Late(1)],
        vec![Fate::Late(2), Fate::Lost],
        vec![Fate::Late(1), Fate::Late(2), Fate::AnswerLost],
    ];
    for fates in cases {
        let mut state = seeded();
        state.fates.extend(fates.clone());
        // The first read is that of the version in force; then the log is down for a moment.
        state.reads_fail = Some((1, 2));
        let log = Log::start(state);
        let report = publish(&log, OTHER);
        assert_eq!(&*report.text, "accepted version 2", "{fates:?}");
        let (fold, accepted) = read(&log, "ada");
        assert_eq!(accepted, 1, "{fates:?}");
        assert_eq!(**fold.document(), document(OTHER));
    }
}

#[test]
fn a_lost_answer_and_a_lost_race_is_a_conflict() {
    let mut state = seeded();
    let rival = publication(9, "eve", 1, vec![zone("southeast-c")]);
    state
        .fates
        .extend([Fate::Late(1), Fate::After(vec![rival])]);
    let log = Log::start(state);
    let report = publish(&log, OTHER);
    assert_eq!(&*report.text, "conflict: eve published version 2 first");
}

#[test]
fn an_open_result_names_its_publication_and_can_be_run_again() {
    let mut state = seeded();
    state.fates.push_back(Fate::AnswerLost);
    state.reads_fail = Some((1, usize::MAX));
    let log = Log::start(state);
    let report = publish_with(&log, OTHER, &["--timeout", "1", "--json"]);
    assert_eq!(report.exit, Exit::Unreachable);
    let value: Value = serde_json::from_str(&report.text).unwrap();
    assert_eq!(value["outcome"], "unreachable");
    assert_eq!(value["nonce"].as_str().unwrap().len(), 16);
    log.state.lock().unwrap().reads_fail = None;
    let report = publish(&log, OTHER);
    assert!(
        report.text.starts_with("unchanged: version 2"),
        "{}",
        report.text
    );
    assert_eq!(read(&log, "ada").1, 1);
}

#[test]
fn a_log_that_is_down_is_unreachable_with_nothing_sent() {
    let log = Log::start(State {
        reads_fail: Some((0, usize::MAX)),
        ..State::default()
    });
    let report = publish_with(&log, FILE, &["--timeout", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    assert!(report.text.contains("nothing was sent"), "{}", report.text);
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn records_that_are_gone_are_not_guessed() {
    let mut state = seeded();
    state.oldest = 1;
    let log = Log::start(state);
    let report = publish_with(&log, OTHER, &["--timeout", "1"]);
    assert_eq!(report.exit, Exit::Unreachable);
    assert_eq!(log.state.lock().unwrap().appends, 0);
    // With a checkpoint the version in force is known again.
    let mut fold = Fold::new();
    fold.apply(0, &log.state.lock().unwrap().records[0]);
    let checkpoint = codec::encode(&Record {
        format: FORMAT,
        body: Body::Checkpoint(fold.checkpoint().unwrap()),
    });
    log.state.lock().unwrap().records.push(checkpoint);
    assert_eq!(&*publish(&log, OTHER).text, "accepted version 2");
}

#[test]
fn an_unknown_format_asks_for_an_upgrade() {
    let mut state = seeded();
    state
        .records
        .push(codec::encode(&(7_u16, "from the future")));
    let log = Log::start(state);
    let report = publish(&log, OTHER);
    assert_eq!(report.exit, Exit::Outdated);
    assert_eq!(log.state.lock().unwrap().appends, 0);
}

#[test]
fn a_target_is_drained_and_given_work_again() {
    let log = Log::start(seeded());
    let url = log.url();
    let target = document(FILE).targets.keys().next().unwrap().clone();
    let set = |command: &str, target: &str| {
        let words = [command, target, "--log", &url, "--author", "ada"];
        camphorweir::run(args::command().run_inner(&words[..]).unwrap())
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
        let report = set(command, &target);
        assert_eq!((report.exit, &*report.text), (Exit::Done, text));
        assert_eq!(
            read(&log, "ada").0.document().targets[&target].drain,
            drained
        );
    }
    assert_eq!(set("drain", "nowhere").exit, Exit::NotFound);
    let mut state = seeded();
    let rival = publication(9, "eve", 1, vec![zone("southeast-c")]);
    state.fates.push_back(Fate::After(vec![rival]));
    let log = Log::start(state);
    let url = log.url();
    let words = ["drain", &*target, "--log", &url, "--author", "ada"];
    let report = camphorweir::run(args::command().run_inner(&words[..]).unwrap());
    assert_eq!(&*report.text, "conflict: eve published version 2 first");
}
