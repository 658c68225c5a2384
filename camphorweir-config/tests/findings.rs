//! Warnings about documents without faults. Guards against a finding that is missed, one about an
//! entry that has an effect, and one without its place.

mod common;

use {
    camphorweir_config::{parse, view::View},
    common::SMALL,
    std::sync::Arc,
};

#[test]
fn the_case_file_names_every_finding() {
    let file = include_str!("cases/findings.txt");
    let mut count = 0;
    for case in file.split("\n=== ").skip(1) {
        let (name, rest) = case.split_once('\n').unwrap();
        let (replacements, expected) = rest.split_once("---\n").unwrap();
        let mut text = SMALL.to_owned();
        for line in replacements.lines() {
            let (from, to) = line.split_once(" => ").unwrap();
            let (from, to) = (from.replace("\\n", "\n"), to.replace("\\n", "\n"));
            assert!(text.contains(&from), "{name}: {from}");
            text = text.replacen(&from, &to, 1);
        }
        let (_, found) = parse::examined(&text).expect(name);
        let found: String = found.iter().map(|fault| format!("{fault}\n")).collect();
        assert_eq!(found.trim_end(), expected.trim_end(), "{name}");
        count += 1;
    }
    assert_eq!(count, 19);
}

/// Guards against a warning that disagrees with how entries match requests.
#[test]
fn a_shadowed_route_is_not_matched_by_the_name_of_its_pipeline() {
    let text = SMALL.replace(
        "    routes:\n",
        "    routes:\n      notes: {to: {pipeline: cues}}\n",
    );
    let text = text.replace("pipelines:\n", "pipelines:\n  cues: {model: log}\n");
    let (document, found) = parse::examined(&text).unwrap();
    let steps = ["workspaces", "depot-7", "routes", "burn-notes"];
    assert_eq!(found[0].place.steps, steps);
    let view = View::new(Arc::new(document), 1);
    assert_eq!(view.pipeline_route("depot-7", "notes").unwrap().0, "notes");
}
