//! Every role as a process: one line once it is up, exit 0 on SIGTERM, nothing cut.

#[path = "support/port.rs"]
mod port;
mod support;

use {
    port::free,
    std::{
        fs,
        io::{self, BufRead, BufReader, Read},
        net::{SocketAddr, TcpListener},
        process::{Child, Command, Stdio},
    },
    support::send,
};

/// A stand-in's process; it doesn't outlive the test.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(name: &str, settings: &str) -> Self {
        let mut child = command(name, settings).spawn().unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let address = line.strip_prefix("listening ").unwrap();
        let address = address.trim_end().parse().unwrap();
        Self { child, address }
    }

    fn terminate(&self) {
        let id = self.child.id().to_string();
        let kill = Command::new("kill").args(["-TERM", &id]).status();
        assert!(kill.unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn command(name: &str, settings: &str) -> Command {
    let file = format!("{}/{name}.yaml", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&file, settings).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorweir-standin"));
    command.args(["--settings", &file]);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

#[tokio::test]
async fn every_role_stops_at_sigterm() {
    let roles = [
        (
            "log",
            "{role: log, address: '127.0.0.1:0', retain_ms: 1000}",
        ),
        ("list", "{role: list, address: '127.0.0.1:0', lag_ms: 5}"),
        ("weights", "{role: weights, address: '127.0.0.1:0'}"),
        (
            "engine",
            "{role: engine, address: '127.0.0.1:0', kind: l40, models: {pine: 7}, model: pine,
            first: 0, end: 3, prefill_rate: 1000, decode_layer_us: 10}",
        ),
        ("service", "{role: service, address: '127.0.0.1:0'}"),
    ];
    for (name, settings) in roles {
        let mut process = Process::start(name, settings);
        let faults = send("GET", process.address, "/standin/faults", &[], b"").await;
        assert_eq!(faults.unwrap().status(), 200);
        process.terminate();
        assert_eq!(process.child.wait().unwrap().code(), Some(0), "{name}");
    }
}

#[tokio::test]
async fn a_call_under_way_is_answered_after_sigterm() {
    let settings = "{role: service, address: '127.0.0.1:0'}";
    let mut process = Process::start("under-way", settings);
    let address = process.address;
    let faults = br#"{"run_ms": 300}"#;
    send("PUT", address, "/standin/faults", &[], faults).await;
    let call = tokio::spawn(async move { send("POST", address, "/seal", &[], b"").await });
    let ran = br#"{"runs":1}"#;
    while send("GET", address, "/standin/stats", &[], b"")
        .await
        .is_none_or(|stats| stats.body() != &ran[..])
    {}
    process.terminate();
    process.terminate();
    assert_eq!(call.await.unwrap().unwrap().status(), 200);
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
}

#[test]
fn unusable_settings_are_named_and_end_the_process() {
    let engine = "{role: engine, address: '127.0.0.1:0', kind: l40, models: {pine: 7}, model: pine,
        first: 5, end: 9}";
    for (name, settings, named) in [
        (
            "unknown",
            "{role: log, address: '127.0.0.1:0', foo: 1}",
            "foo",
        ),
        ("role", "{role: cook, address: '127.0.0.1:0'}", "cook"),
        ("layers", engine, "5..9"),
    ] {
        let out = command(name, settings).output().unwrap();
        let error = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1));
        assert!(error.contains(named), "{error}");
    }
}

/// Guards against an end by a panic where an output is closed.
#[tokio::test]
async fn closed_outputs_end_no_stand_in_by_a_panic() {
    let closed = || Stdio::from(io::pipe().unwrap().1);
    let address = free();
    let settings = format!("{{role: service, address: '{address}'}}");
    let mut child = command("closed", &settings)
        .stdout(closed())
        .stderr(closed())
        .spawn()
        .unwrap();
    while send("GET", address, "/standin/faults", &[], b"")
        .await
        .is_none()
    {
        assert_eq!(child.try_wait().unwrap(), None);
    }
    let mut process = Process { child, address };
    process.terminate();
    assert_eq!(process.child.wait().unwrap().code(), Some(0));
    for (arguments, code) in [
        (&["--help"][..], 0),
        (&["--version"], 0),
        (&["nonsense"], 1),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorweir-standin"));
        let command = command.args(arguments).stdout(closed()).stderr(closed());
        assert_eq!(
            command.status().unwrap().code(),
            Some(code),
            "{arguments:?}"
        );
    }
}

/// Guards against an end at the start as a predecessor still holds the address.
#[test]
fn an_address_in_use_is_waited_for_until_it_is_free_or_the_stop() {
    for is_freed in [true, false] {
        let holder = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = holder.local_addr().unwrap();
        let settings = format!("{{role: service, address: '{address}'}}");
        let mut child = command("in-use", &settings).spawn().unwrap();
        let mut errors = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        errors.read_line(&mut line).unwrap();
        let told = format!("{address} is in use; waiting up to 10 s for it");
        assert!(line.contains(&told), "{line}");
        let mut process = Process { child, address };
        if is_freed {
            drop(holder);
            line.clear();
            let mut out = BufReader::new(process.child.stdout.take().unwrap());
            out.read_line(&mut line).unwrap();
            assert_eq!(line, format!("listening {address}\n"));
        }
        process.terminate();
        assert_eq!(process.child.wait().unwrap().code(), Some(0));
        let mut more = String::new();
        errors.read_to_string(&mut more).unwrap();
        assert_eq!(more, "", "told more than once");
    }
}
