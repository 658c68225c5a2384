//! The binary: settings are checked at start, and an address in use has its own result code.

use std::{
    fs,
    net::TcpListener,
    path::Path,
    process::{Command, Output},
};

fn run(arguments: &[&str]) -> Output {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/settings");
    let binary = env!("CARGO_BIN_EXE_camphorweir-entry");
    Command::new(binary)
        .args(arguments)
        .current_dir(directory)
        .output()
        .unwrap()
}

#[test]
fn faults_are_printed_and_end_the_process() {
    let output = run(&["--settings", "twice.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("twice.yaml:6:1: 6101 BadSettings: colour"),
        "{text}"
    );
}

#[test]
fn good_settings_pass_the_check() {
    let output = run(&["--settings", "good.yaml", "--check-settings"]);
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn an_address_in_use_has_its_result_code() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/settings");
    let good = fs::read_to_string(directory.join("good.yaml")).unwrap();
    let keys = directory.join("keys").display().to_string();
    let text = good
        .replace("127.0.0.1:8080", &address)
        .replace("keys/", &format!("{keys}/"));
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("in-use.yaml");
    fs::write(&file, text).unwrap();
    let output = run(&["--settings", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("6102 AddressInUse"), "{text}");
}
