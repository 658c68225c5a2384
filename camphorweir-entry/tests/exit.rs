//! The binary on the platform: how it ends, and the last line of its log.

use {
    serde_json::{Value, json},
    std::{
        fs,
        io::{PipeReader, Read, Write, pipe},
        net::{SocketAddr, TcpListener, TcpStream},
        path::PathBuf,
        process::{Child, Command, ExitStatus, Stdio},
        thread::sleep,
        time::{Duration, Instant},
    },
};

/// Time in which a process that was told to stop must have ended.
const GRACE: Duration = Duration::from_secs(8);
/// Pause between two looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(10);
/// Bytes that a new pipe holds.
const PIPE_BYTES: usize = 65_536;
/// An address of no machine, reserved for documentation.
const FOREIGN: &str = "192.0.2.1:8080";

/// A process that is killed when dropped.
struct Entry(Child);

impl Entry {
    fn start(settings: &PathBuf, stdout: impl Into<Stdio>, stderr: impl Into<Stdio>) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_camphorweir-entry"));
        command
            .arg("--platform")
            .env("CAMPHORWEIR_CONFIG", settings);
        command.stdin(Stdio::null()).stdout(stdout).stderr(stderr);
        Self(command.spawn().unwrap())
    }

    fn wait_until_serving(&self, address: SocketAddr) {
        let since = Instant::now();
        while TcpStream::connect(address).is_err() {
            assert!(since.elapsed() < GRACE, "it does not start");
            sleep(LOOK);
        }
    }

    fn terminate(&self) {
        let mut kill = Command::new("kill");
        kill.arg(self.0.id().to_string());
        assert!(kill.status().unwrap().success());
    }

    fn ended_in_time(&mut self) -> ExitStatus {
        let since = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().unwrap() {
                return status;
            }
            assert!(since.elapsed() < GRACE, "it did not end in time");
            sleep(LOOK);
        }
    }

    fn last_line(&mut self) -> Value {
        let mut text = String::new();
        let mut stdout = self.0.stdout.take().unwrap();
        stdout.read_to_string(&mut text).unwrap();
        let line = text.lines().last().unwrap();
        serde_json::from_str(line).unwrap_or_else(|_| panic!("{text}"))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn settings(name: &str, callers: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("exit-{name}.json"));
    let settings = json!({
        "node": "entry", "zone": "z",
        "listen": {"front": callers, "ready": free_address()},
        "portRange": [0, 0],
        "limits": {"maxFds": 1200},
        "bounds": {
            "graceS": GRACE.as_secs(), "drainMs": 2_000, "revokeMs": 5_000,
            "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 100,
        },
        "platform": {"address": free_address()},
    });
    fs::write(&file, settings.to_string()).unwrap();
    file
}

/// A pipe that is full; its reader must be kept.
fn full_pipe() -> (PipeReader, Stdio) {
    let (reader, mut writer) = pipe().unwrap();
    writer.write_all(&[b'\n'; PIPE_BYTES]).unwrap();
    (reader, writer.into())
}

/// A pipe that nobody reads any more.
fn closed_pipe() -> Stdio {
    let (_, writer) = pipe().unwrap();
    writer.into()
}

#[test]
fn a_stop_says_which_signal_it_follows() {
    let callers = free_address();
    let settings = settings("stop", &callers.to_string());
    let mut entry = Entry::start(&settings, Stdio::piped(), Stdio::null());
    entry.wait_until_serving(callers);
    entry.terminate();
    assert_eq!(entry.ended_in_time().code(), Some(0));
    let line = entry.last_line();
    assert_eq!(line["message"], "process ends");
    assert_eq!(line["kvs"]["exit_status"], 0);
    assert_eq!(line["kvs"]["reason"], "told to stop by SIGTERM");
    assert!(line["kvs"]["uptime_s"].as_f64().unwrap() > 0.0);
}

#[test]
fn a_failed_start_names_address_code_and_status() {
    let settings = settings("failed", FOREIGN);
    let mut entry = Entry::start(&settings, Stdio::piped(), Stdio::null());
    assert_eq!(entry.ended_in_time().code(), Some(1));
    let line = entry.last_line();
    assert_eq!(line["message"], "process ends");
    assert_eq!(line["kvs"]["exit_status"], 1);
    assert_eq!(line["kvs"]["code"], 6102);
    assert_eq!(line["kvs"]["code_name"], "AddressInUse");
    assert!(
        line["kvs"]["reason"].as_str().unwrap().contains(FOREIGN),
        "{line}"
    );
}

#[test]
fn settings_that_cannot_be_used_end_the_log_with_their_faults() {
    let file = settings("bad", "nowhere");
    let mut entry = Entry::start(&file, Stdio::piped(), Stdio::null());
    assert_eq!(entry.ended_in_time().code(), Some(2));
    let line = entry.last_line();
    assert_eq!(line["kvs"]["exit_status"], 2);
    assert_eq!(line["kvs"]["code_name"], "BadSettings");
}

#[test]
fn an_output_that_is_full_does_not_hold_up_a_stop() {
    let callers = free_address();
    let settings = settings("full-stop", &callers.to_string());
    let ((_stdout, full_stdout), (_stderr, full_stderr)) = (full_pipe(), full_pipe());
    let mut entry = Entry::start(&settings, full_stdout, full_stderr);
    entry.wait_until_serving(callers);
    entry.terminate();
    assert_eq!(entry.ended_in_time().code(), Some(0));
}

#[test]
fn outputs_that_are_full_do_not_hold_up_a_failed_start() {
    let settings = settings("full-start", FOREIGN);
    let ((_stdout, full_stdout), (_stderr, full_stderr)) = (full_pipe(), full_pipe());
    let mut entry = Entry::start(&settings, full_stdout, full_stderr);
    assert_eq!(entry.ended_in_time().code(), Some(1));
}

#[test]
fn outputs_that_are_closed_do_not_change_the_status() {
    let settings = settings("closed", FOREIGN);
    let mut entry = Entry::start(&settings, closed_pipe(), closed_pipe());
    assert_eq!(entry.ended_in_time().code(), Some(1));
}
