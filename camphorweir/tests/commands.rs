//! The commands that need no service, and the exit codes and output streams of the process.

use {
    camphorweir::{args, exit::Exit, report::Report},
    camphorweir_config::fault,
    camphorweir_wire::code,
    serde_json::Value,
    std::{
        fs::File,
        io,
        process::{Command, Output, Stdio},
    },
};

const VALID: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/small.yaml");
const CHANGED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/other.yaml");
const WARNED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/warned.yaml");
const FAULTY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/cases/faulty.yaml");

fn run(arguments: &[&str]) -> Report {
    camphorweir::run(args::command().run_inner(arguments).unwrap())
}

fn run_process(arguments: &[&str]) -> (Option<i32>, String, String) {
    let command = Command::new(env!("CARGO_BIN_EXE_camphorweir"))
        .args(arguments)
        .output();
    let Output {
        status,
        stdout,
        stderr,
    } = command.unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn check_reports_every_fault_with_its_path() {
    let (code, out, err) = run_process(&["check", FAULTY]);
    assert_eq!((code, &*out), (Some(2), ""));
    let lines: Vec<_> = err.lines().collect();
    assert_eq!(lines.len(), 3, "{err}");
    for (line, place) in lines.iter().zip([
        "5103 zones.southeast-a.weight",
        "5109 targets.ledger-a1.address",
        "5108 workspaces",
    ]) {
        assert!(line.contains(place), "{line}");
    }
    let (code, out, _) = run_process(&["check", "--json", FAULTY]);
    let value: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(code, Some(2));
    assert_eq!(value["faults"].as_array().unwrap().len(), 3);
    assert_eq!(value["faults"][0]["code"], 5103);
}

#[test]
fn print_is_stable() {
    let once = run(&["print", VALID]).text;
    let path = std::env::temp_dir().join(format!("camphorweir-print-{}.yaml", std::process::id()));
    std::fs::write(&path, &once).unwrap();
    let twice = run(&["print", path.to_str().unwrap()]).text;
    std::fs::remove_file(&path).unwrap();
    assert_eq!(once, twice);
}

#[test]
fn diff_describes_changes_and_warns() {
    let report = run(&["diff", VALID, CHANGED]);
    let expected = "\
changes target lookup-b1: address 10.0.1.9:7000 -> 10.0.1.8:7000
changes workspace depot-7: limits.requests 50.0 -> 40.0
warning: target lookup-b1 moves from 10.0.1.9:7000 to 10.0.1.8:7000: work that runs at the old address moves or fails
warning: workspace depot-7 has its limit requests lowered from 50 to 40: callers above it are refused";
    assert_eq!(report.text, expected);
    assert_eq!(run(&["diff", VALID, VALID]).text, "no changes");
    assert_eq!(run(&["diff", VALID, FAULTY]).exit, Exit::Faulty);
}

#[test]
fn every_code_is_explained_once() {
    let report = run(&["explain", "--json"]);
    let entries: Vec<Value> = serde_json::from_str(&report.text).unwrap();
    assert_eq!(
        entries.len(),
        code::Code::ALL.len() + fault::Code::ALL.len()
    );
    for pair in entries.windows(2) {
        assert!(pair[0]["code"].as_u64() < pair[1]["code"].as_u64());
    }
    let report = run(&["explain", "1"]);
    assert_eq!(report.exit, Exit::NotFound);
}

#[test]
fn each_failure_has_its_exit_code() {
    assert_eq!(run_process(&["check", VALID]).0, Some(0));
    assert_eq!(run_process(&["check"]).0, Some(1));
    assert_eq!(run_process(&["check", "/nowhere/at/all.yaml"]).0, Some(5));
    assert_eq!(
        run_process(&["check", env!("CARGO_MANIFEST_DIR")]).0,
        Some(5)
    );
    assert_eq!(run_process(&["explain", "1"]).0, Some(6));
    let publish = [
        "publish",
        VALID,
        "--author",
        "ada",
        "--timeout",
        "1",
        "--log",
    ];
    let publish_to = |url| run_process(&[&publish[..], &[url]].concat()).0;
    assert_eq!(publish_to("ftp://127.0.0.1:1"), Some(1));
    assert_eq!(publish_to("http://127.0.0.1:1"), Some(4));
    assert_eq!(
        run_process(&[
            "publish",
            FAULTY,
            "--author",
            "ada",
            "--log",
            "http://127.0.0.1:1"
        ])
        .0,
        Some(2)
    );
}

#[test]
fn every_command_has_help_with_an_example() {
    for command in ["check", "diff", "explain", "print", "publish"] {
        let (code, out, _) = run_process(&[command, "--help"]);
        assert_eq!(code, Some(0));
        assert!(
            out.contains(&format!("Example: camphorweir {command}")),
            "{out}"
        );
    }
}

/// An output whose reader is gone.
fn closed() -> Stdio {
    io::pipe().unwrap().1.into()
}

/// An output that takes nothing.
fn full() -> Stdio {
    File::options()
        .write(true)
        .open("/dev/full")
        .unwrap()
        .into()
}

/// Guards against an end by a panic, or a lost result, where an output is closed or full.
#[test]
fn outputs_that_take_nothing_end_no_command_otherwise() {
    let command = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorweir"));
        command.args(arguments);
        command
    };
    let cases: [(&[&str], i32, i32); 6] = [
        (&["explain", "--markdown"], 0, 70),
        (&["explain", "--help"], 0, 70),
        (&["--version"], 0, 70),
        (&["check", WARNED], 0, 70),
        (&["check", FAULTY], 2, 2),
        (&["nonsense"], 1, 1),
    ];
    for (arguments, at_closed, at_full) in cases {
        let whole = command(arguments).output().unwrap();
        for (stdout, code) in [(closed(), at_closed), (full(), at_full)] {
            let out = command(arguments).stdout(stdout).output().unwrap();
            let error = String::from_utf8(out.stderr).unwrap();
            assert_eq!(out.status.code(), Some(code), "{arguments:?}: {error}");
            assert_eq!(
                error.contains("can't print its result"),
                code == 70,
                "{error}"
            );
            assert!(!error.contains("panicked"), "{arguments:?}: {error}");
        }
        for stderr in [closed(), full()] {
            let out = command(arguments).stderr(stderr).output().unwrap();
            assert_ne!(out.status.code(), Some(101), "{arguments:?}");
            assert_eq!(out.stdout, whole.stdout, "{arguments:?}");
        }
    }
}

/// Guards against a panic at a time limit that no clock can hold.
#[test]
fn a_time_limit_is_at_most_a_day() {
    for seconds in ["18446744073709551615", "86401"] {
        let publish = [
            "publish",
            VALID,
            "--author",
            "ada",
            "--log",
            "http://127.0.0.1:1",
        ];
        let arguments = [&publish[..], &["--timeout", seconds]].concat();
        let (code, _, err) = run_process(&arguments);
        assert_eq!(code, Some(1), "{err}");
        assert!(err.contains("at most 86400 seconds"), "{err}");
    }
}
