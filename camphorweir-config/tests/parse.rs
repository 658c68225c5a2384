//! Parsing and printing: every fault is reported with its place, and a printed document parses to
//! an equal one.

mod common;

use {
    camphorweir_config::{
        check,
        fault::Code,
        model::{Document, Kind, Link, Model, Serves, Target, Workspace, Zone},
        parse, print,
    },
    common::{cases, document, engine, key_hash, workspace},
    proptest::{
        collection::{btree_map, vec},
        option,
        prelude::*,
    },
};

/// The faults of a text, one line each.
fn faults_of(text: &str) -> String {
    let faults = parse::checked(text).err().unwrap_or_default();
    faults.iter().map(|fault| format!("{fault}\n")).collect()
}

#[test]
fn the_case_file_names_every_fault() {
    let file = include_str!("cases/faults.txt");
    let mut count = 0;
    for case in file.split("\n=== ").skip(1) {
        let (name, rest) = case.split_once('\n').unwrap();
        let (text, expected) = rest.split_once("\n---\n").unwrap();
        let found = faults_of(text);
        assert_eq!(found.trim_end(), expected.trim_end(), "{name}");
        count += 1;
    }
    assert_eq!(count, 19);
}

#[test]
fn every_kind_of_fault_is_explained() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number());
    }
    for code in Code::ALL {
        assert_eq!(Code::try_from(code.number()), Ok(*code));
        assert!(!code.meaning().is_empty() && !code.remedy().is_empty());
    }
}

#[test]
fn an_oversized_or_deep_text_is_refused() {
    let long = " ".repeat(parse::MAX_BYTES + 1);
    assert_eq!(parse::text(&long).unwrap_err()[0].code, Code::TooLarge);
    let deep = format!("kinds: {}{}", "[".repeat(1000), "]".repeat(1000));
    parse::text(&deep).unwrap_err();
    let bomb: String = (0..40)
        .map(|i| format!("a{i}: &a{i} [*a{0}, *a{0}, *a{0}, *a{0}]\n", i - 1))
        .collect();
    parse::text(&format!("a-1: &a-1 [x]\n{bomb}")).unwrap_err();
}

#[test]
fn many_faults_are_cut_off() {
    let text: String = (0..500).map(|i| format!("field{i}: 1\n")).collect();
    assert_eq!(parse::text(&text).unwrap_err().len(), parse::MAX_FAULTS);
    let text: String = (0..500).map(|i| format!("  z{i}: 1\n")).collect();
    let faults = parse::text(&format!("zones:\n{text}")).unwrap_err();
    assert_eq!(faults.len(), parse::MAX_FAULTS);
}

#[test]
fn the_small_document_has_no_fault() {
    assert_eq!(check::document(&document()), []);
    let text = print::text(&document()).unwrap();
    assert_eq!(parse::checked(&text), Ok(document()));
}

fn rate() -> impl Strategy<Value = f64> {
    prop_oneof![1e-9..1e12_f64, (1..1_000_000_u32).prop_map(f64::from)]
}

/// Names, some of which look like another YAML type.
fn name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-z0-9._-]{1,12}",
        "[0-9]{1,5}",
        "[0-9]e[0-9]",
        "\\PC{0,8}",
        "[ \t\n:#'\"\\\\-]{0,4}",
        Just("null".to_owned()),
        Just("true".to_owned()),
        Just("~".to_owned()),
        Just(".nan".to_owned()),
        Just("<<".to_owned()),
        Just("0x1f".to_owned()),
        Just("2026-01-01".to_owned()),
    ]
}

prop_compose! {
    fn any_target()(
        address in name(),
        zone in name(),
        service in option::of(name()),
        first in any::<u32>(),
        drain in any::<bool>(),
    ) -> Target {
        let mut target = engine(&address, first, 24);
        if let Some(service) = service {
            target.serves = Serves::Service(service);
        }
        Target { zone, drain, ..target }
    }
}

prop_compose! {
    fn any_workspace()(
        seed in any::<u64>(),
        key in "[0-9]{62}[0-9e][0-9]",
        requests in rate(),
        concurrent in any::<u32>(),
        route in name(),
    ) -> Workspace {
        let mut workspace = workspace(seed);
        workspace.keys.extend([key, key_hash(seed)]);
        workspace.limits.requests = requests;
        workspace.limits.concurrent = concurrent;
        let seal = workspace.routes["seal"].clone();
        workspace.routes.insert(route, seal);
        workspace
    }
}

prop_compose! {
    fn any_document()(
        kinds in btree_map(name(), (rate(), rate(), any::<u32>()), 0..4),
        zones in btree_map(name(), name(), 0..4),
        links in vec((name(), name(), any::<u64>(), rate()), 0..3),
        models in btree_map(name(), (any::<u32>(), any::<u64>(), option::of(any::<u32>())), 0..4),
        targets in btree_map(name(), any_target(), 0..4),
        workspaces in btree_map(name(), any_workspace(), 0..3),
    ) -> Document {
        let kind = |(prefill_rate, decode_layer_us, batch)| Kind { prefill_rate, decode_layer_us, batch };
        let model = |(layers, activation, end_token)| Model { layers, activation, end_token };
        let link = |(a, b, delay_us, rate)| Link { between: [a, b], delay_us, rate };
        Document {
            kinds: kinds.into_iter().map(|(name, parts)| (name, kind(parts))).collect(),
            zones: zones.into_iter().map(|(name, region)| (name, Zone { region })).collect(),
            links: links.into_iter().map(link).collect(),
            models: models.into_iter().map(|(name, parts)| (name, model(parts))).collect(),
            targets,
            workspaces,
            ..document()
        }
    }
}

proptest! {
    #![proptest_config(cases(300))]

    #[test]
    fn a_printed_document_reads_the_same(document in any_document()) {
        let text = print::text(&document).unwrap();
        prop_assert_eq!(parse::text(&text), Ok(document), "{}", text);
    }

    #[test]
    fn no_text_makes_the_reader_panic(text in "\\PC{0,80}", cut in any::<prop::sample::Index>()) {
        let _ = parse::checked(&text);
        let mut whole = print::text(&document()).unwrap();
        let at = cut.index(whole.len());
        whole.truncate(at);
        let _ = parse::checked(&whole);
        whole.push_str(&text);
        let _ = parse::checked(&whole);
    }

    #[test]
    fn no_document_makes_the_check_panic(document in any_document()) {
        let _ = check::document(&document);
    }

    #[test]
    fn every_fault_is_reported_with_any_other(broken in prop::collection::btree_set(0..4_usize, 1..4)) {
        // Every broken line is reported, whichever other lines are broken too.
        let replacements = [
            ("batch: 32", "batch: lots"),
            ("region: southeast\n", "region: [x]\n"),
            ("layers: 24", "layer: 24"),
            ("address: 10.0.0.1:8000", "address: [1]"),
        ];
        let mut text = print::text(&document()).unwrap();
        for index in &broken {
            let (from, to) = replacements[*index];
            prop_assert!(text.contains(from), "{}", from);
            text = text.replacen(from, to, 1);
        }
        let faults = parse::text(&text).unwrap_err();
        prop_assert!(faults.len() >= broken.len(), "{:?}", faults);
    }
}
