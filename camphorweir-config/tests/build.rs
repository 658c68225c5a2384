//! The typed builder and the descriptions of changes.

mod common;

use {
    camphorweir_config::{
        build::{Builder, Hosts, key_hash},
        describe::{Severity, notes},
        fault::{Code, Fault},
        model::{Document, Kind, Model, Priority, Repeat, To, Workspace},
        print,
    },
    common::{SMALL, cases, document, workspace},
    proptest::prelude::*,
    std::{net::SocketAddr, time::Duration},
};

fn at(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 8000))
}

#[test]
fn the_builder_builds_the_small_document() {
    let mut builder = Builder::new();
    let kind = Kind {
        prefill_rate: 1500.0,
        decode_layer_us: 60.5,
        batch: 32,
    };
    let l40 = builder.kind("l40", kind);
    let a = builder.zone("southeast-a", "southeast");
    let b = builder.zone("southeast-b", "southeast");
    builder.link([&a, &b], Duration::from_millis(1), 1e8);
    let model = Model {
        layers: 24,
        activation: 8192,
        end_token: Some(2),
    };
    let log = builder.model("log", model);
    let notes = builder.pipeline("notes", &log, 4096, 512);
    let ledger = builder.service("ledger", true);
    builder.engine("log-a1", at(1), &a, &l40, &log, 0..12);
    builder.engine("log-a2", at(2), &a, &l40, &log, 12..24);
    builder.server(
        "ledger-b1",
        SocketAddr::from(([10, 0, 0, 9], 7000)),
        &b,
        &ledger,
    );
    let deadline = Duration::from_secs(20);
    let mut depot = builder.workspace("depot-7");
    depot.key(common::key_hash(7));
    depot.tokens("burn-notes", &notes).deadline(deadline);
    let seal = depot.calls("seal", &ledger).never_repeat();
    seal.priority(Priority::Urgent).deadline(deadline);
    assert_eq!(builder.finish(), Ok(document()));
}

#[test]
fn the_builder_names_all_faults_at_once() {
    let mut builder = Builder::new();
    let zone = builder.zone("South East", "southeast");
    builder.zone("a", "southeast");
    builder.zone("a", "northeast");
    let ledger = builder.service("ledger", false);
    builder.server("s1", at(1), &zone, &ledger);
    builder.server("s2", at(1), &zone, &ledger);
    let mut depot = builder.workspace("depot-7");
    depot.key("no hash".to_owned());
    depot.calls("seal", &ledger);
    depot.calls("seal", &ledger);
    let faults = builder.finish().unwrap_err();
    let codes: Vec<_> = faults.iter().map(|fault| fault.code).collect();
    let expected = [
        Code::DuplicateKey,
        Code::DuplicateKey,
        Code::BadName,
        Code::DuplicateAddress,
        Code::BadKeyHash,
    ];
    assert_eq!(codes, expected);
}

#[test]
fn a_key_hash_is_the_blake3_hash() {
    let hash = "ea8f163db38682925e4491c5e58d4bb3506ef8c14eb78a86e908c5624a67200f";
    assert_eq!(key_hash("hello"), hash);
}

#[test]
fn printing_is_stable() {
    assert_eq!(print::text(&document()).unwrap(), SMALL);
}

fn warnings(change: impl FnOnce(&mut Document)) -> Vec<String> {
    let mut new = document();
    change(&mut new);
    let notes = notes(&document(), &new).into_iter();
    let warnings = notes.filter(|note| note.severity == Severity::Warning);
    warnings.map(|note| note.text).collect()
}

fn depot(document: &mut Document) -> &mut Workspace {
    document.workspaces.get_mut("depot-7").unwrap()
}

#[test]
fn changes_that_interrupt_work_cause_warnings() {
    let expect = |change: fn(&mut Document), expected: &str| {
        let found = warnings(change);
        assert!(
            found.iter().any(|text| text.contains(expected)),
            "{expected}: {found:?}"
        );
    };
    expect(
        |d| {
            d.pipelines.remove("notes");
        },
        "pipeline notes is removed",
    );
    expect(
        |d| {
            d.services.remove("ledger");
        },
        "service ledger is removed",
    );
    expect(
        |d| {
            d.models.remove("log");
        },
        "model log is removed",
    );
    expect(
        |d| {
            d.targets.remove("log-a1");
        },
        "target log-a1 is removed",
    );
    expect(
        |d| {
            d.targets.remove("ledger-b1");
        },
        "service ledger has no target left",
    );
    expect(
        |d| {
            d.workspaces.remove("depot-7");
        },
        "workspace depot-7 is removed",
    );
    expect(
        |d| depot(d).limits.tokens = 5.0,
        "limit tokens lowered from 100000 to 5",
    );
    expect(
        |d| depot(d).limits.concurrent = 1,
        "limit concurrent lowered from 256 to 1",
    );
    expect(
        |d| depot(d).keys.clear(),
        "loses 1 of its keys, and has none left: all its callers are refused",
    );
    expect(
        |d| {
            depot(d).routes.remove("seal");
        },
        "route depot-7.seal is removed",
    );
    expect(
        |d| depot(d).routes.get_mut("seal").unwrap().repeat = Repeat::Idempotent,
        "repeat rule loosened",
    );
    expect(
        |d| depot(d).routes.get_mut("seal").unwrap().deadline_ms = 10,
        "deadline shortened from 20s to 10ms",
    );
    expect(
        |d| depot(d).routes.get_mut("seal").unwrap().to = To::Pipeline("notes".to_owned()),
        "route depot-7.seal has a new destination: pipeline notes",
    );
    expect(
        |d| {
            let mut seal = depot(d).routes["seal"].clone();
            seal.repeat = Repeat::Idempotent;
            depot(d).routes.insert("seal-again".to_owned(), seal);
        },
        "route depot-7.seal-again may repeat",
    );
    expect(
        |d| d.models.get_mut("log").unwrap().layers = 23,
        "23 layers instead of 24",
    );
    expect(
        |d| d.pipelines.get_mut("notes").unwrap().max_prompt = 1,
        "accepts prompts of 1 tokens",
    );
    expect(
        |d| d.targets.get_mut("log-a1").unwrap().address = "10.9.9.9:1".into(),
        "moves from",
    );
    expect(
        |d| d.services.get_mut("ledger").unwrap().fencing = false,
        "fencing numbers",
    );
}

#[test]
fn harmless_changes_cause_no_warning() {
    let harmless = warnings(|document| {
        document
            .workspaces
            .insert("depot-8".to_owned(), workspace(8));
        depot(document).limits.requests = 1e6;
        document.targets.get_mut("log-a1").unwrap().drain = true;
        document.zones.get_mut("southeast-a").unwrap().region = "south".to_owned();
    });
    assert_eq!(harmless, Vec::<String>::new());
}

#[test]
fn a_chain_holds_the_whole_model_on_consecutive_addresses() {
    let build = |last| {
        let mut b = Builder::new();
        let [zone] = b.region("r", ["a"], Duration::from_millis(1), 1e6);
        let l40 = b.kind("l40", Kind::new(1e3, 10.0, 8));
        let model = b.model("pine", Model::new(12));
        let mut hosts = Hosts::from(([10, 0, 0, 255], 80));
        b.chain(
            "pine-a",
            &mut hosts,
            &zone,
            &model,
            &[(4, &l40), (last, &l40)],
        );
        b.finish()
    };
    let document = build(8).unwrap();
    let addresses = document.targets.values().map(|target| &*target.address);
    assert_eq!(
        addresses.collect::<Vec<_>>(),
        ["10.0.0.255:80", "10.0.1.0:80"]
    );
    for wrong in [7, 9, u32::MAX] {
        let faults = build(wrong).unwrap_err();
        let is_chain_fault =
            |fault: &Fault| fault.code == Code::BadLayers && fault.place.path() == "targets.pine-a";
        assert!(faults.iter().any(is_chain_fault), "{wrong}: {faults:?}");
    }
}

proptest! {
    #![proptest_config(cases(100))]

    #[test]
    fn a_change_is_described_and_no_change_is_not(seed in any::<u64>(), limit in 1.0..1e6_f64) {
        let mut new = document();
        prop_assert_eq!(notes(&document(), &new), vec![]);
        new.workspaces.insert("depot-8".to_owned(), workspace(seed));
        depot(&mut new).limits.requests = limit;
        let notes = notes(&document(), &new);
        prop_assert!(!notes.is_empty());
    }
}
