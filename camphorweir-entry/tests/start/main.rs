//! The start of a process: what passes by itself is waited for or done without.

mod process;

use {
    camphorweir_entry::startup::{Obstacle, Wait, startup_bind_passes},
    camphorweir_platform::{
        settings::settings_parse,
        store::{CONFIGURATION_TOPIC, INSTANCES_TOPIC},
    },
    camphorweir_standin::{
        metadata::Store,
        platform_target::{Setup, Target},
    },
    process::{Entry, Machine, get, program, until},
    rustix::io::Errno,
    std::{
        fs,
        future::ready,
        io,
        net::{TcpListener, TcpStream, UdpSocket},
        os::unix::fs::symlink,
        path::Path,
        process::Command,
        sync::Arc,
        thread::sleep,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// A configuration with one service.
const CONFIGURATION: &str = r#"{
    "version": 1,
    "routes": [{
        "name": "look", "host": "h", "pathPrefix": "/look/", "kind": "idempotent", "timeoutMs": 8000,
        "targetLatencyMs": 500, "service": "ledger", "maxAttempts": 2
    }],
    "services": [{"name": "ledger", "maxConnections": 100}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4096, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}"#;
/// Path of the readiness check.
const READY_PATH: &str = "/api/readyz";
/// An end "at once" takes less; waits last longer.
const AT_ONCE: Duration = Duration::from_secs(3);

#[test]
fn a_callers_address_that_is_held_for_a_moment_is_waited_for() {
    let machine = Machine::new(1);
    let holder = TcpListener::bind(machine.callers()).unwrap();
    let store = TcpListener::bind(machine.store()).unwrap();
    store.set_nonblocking(true).unwrap();
    let mut entry = machine.start();
    let line = entry.await_line(&["start waits"]);
    assert!(line.contains("callers' address"), "{line}");
    let answer = until("readiness", || get(machine.ready(), READY_PATH));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    sleep(Duration::from_millis(500));
    let early = store.accept().map_err(|error| error.kind());
    assert_eq!(
        early.map(drop),
        Err(io::ErrorKind::WouldBlock),
        "it begins while it waits"
    );
    assert_eq!(entry.lines(&["start waits"]).len(), 1);
    drop(holder);
    entry.await_line(&["start continues", "callers' address"]);
    until("store", || store.accept().ok());
    until("callers", || get(machine.callers(), "/"));
}

#[test]
fn a_successor_serves_once_its_predecessor_has_gone() {
    let machine = Machine::new(2);
    let mut predecessor = machine.start();
    until("callers", || TcpStream::connect(machine.callers()).ok());
    predecessor.signal("TERM");
    let mut successor = machine.start();
    successor.await_line(&["start waits", "readiness address"]);
    predecessor.await_line(&["callers' listener closed"]);
    let mut looks = 0;
    loop {
        let is_open = TcpStream::connect(machine.callers()).is_ok();
        if predecessor.has_ended() {
            break;
        }
        assert!(!is_open, "it serves beside its predecessor");
        looks += 1;
        sleep(Duration::from_millis(5));
    }
    assert!(looks > 0, "no look between the close and the end");
    successor.await_line(&["start continues", "readiness address"]);
    until("callers", || get(machine.callers(), "/"));
    assert_eq!(predecessor.end().0, Ok(0));
}

#[test]
fn signals_during_a_wait_for_an_address() {
    let machine = Machine::new(3);
    let _holder = TcpListener::bind(machine.ready()).unwrap();
    let mut entry = machine.start();
    entry.await_line(&["start waits", "readiness address"]);
    entry.signal("HUP");
    sleep(Duration::from_millis(300));
    assert!(!entry.has_ended(), "{:?}", entry.lines(&[]));
    entry.signal("TERM");
    let (end, took) = entry.end();
    assert_eq!(end, Ok(0));
    assert!(took < AT_ONCE, "{took:?}");
}

#[test]
fn settings_that_change_while_a_start_waits_for_an_address_take_effect() {
    let mut machine = Machine::new(12);
    let _ready_holder = TcpListener::bind(machine.ready()).unwrap();
    let mut entry = machine.start();
    entry.await_line(&["start waits", "readiness address"]);
    let (callers, ready) = (machine.address(18_327), machine.address(18_320));
    let _callers_holder = TcpListener::bind(callers).unwrap();
    machine.settings["listen"] = serde_json::json!({"front": callers, "ready": ready});
    fs::write(machine.file(), machine.settings.to_string()).unwrap();
    entry.signal("HUP");
    entry.await_line(&["start waits", "callers' address"]);
    let (callers, ready) = (machine.address(18_427), machine.address(18_420));
    machine.settings["listen"] = serde_json::json!({"front": callers, "ready": ready});
    fs::write(machine.file(), machine.settings.to_string()).unwrap();
    entry.signal("HUP");
    until("callers", || get(callers, "/"));
    until("readiness", || get(ready, READY_PATH));
    assert!(TcpStream::connect(machine.address(18_320)).is_err());
}

#[test]
fn settings_that_are_missing_empty_or_cut_short_are_waited_for() {
    let machine = Machine::new(4);
    let whole = machine.settings.to_string();
    for early in [None, Some(""), Some(&whole[..whole.len() - 40])] {
        let _ = fs::remove_file(machine.file());
        if let Some(early) = early {
            fs::write(machine.file(), early).unwrap();
        }
        let mut entry = machine.start_as_is();
        entry.await_line(&["start waits", "settings file"]);
        entry.signal("HUP");
        sleep(Duration::from_millis(300));
        assert_eq!(entry.lines(&["start waits"]).len(), 1);
        fs::write(machine.file(), &whole).unwrap();
        entry.await_line(&["start continues", "settings file"]);
        entry.await_line(&["instance starting"]);
    }
    fs::remove_file(machine.file()).unwrap();
    let mut entry = machine.start_as_is();
    entry.await_line(&["start waits"]);
    entry.signal("TERM");
    let (end, took) = entry.end();
    assert_eq!(end, Ok(0));
    assert!(took < AT_ONCE, "{took:?}");
}

#[test]
fn a_fault_that_stays_ends_the_start_at_once() {
    let mut machine = Machine::new(5);
    let mut missing_field = machine.settings.clone();
    missing_field.as_object_mut().unwrap().remove("zone");
    let mut wrong_type = machine.settings.clone();
    wrong_type["limits"]["maxFds"] = "many".into();
    let no_json = machine.settings.to_string().replacen(':', ";", 1);
    let mut same_address = machine.settings.clone();
    same_address["listen"]["ready"] = same_address["listen"]["front"].clone();
    let texts = [missing_field, wrong_type, same_address].map(|settings| settings.to_string());
    for text in texts.into_iter().chain([no_json]) {
        fs::write(machine.file(), &text).unwrap();
        let (end, took) = machine.start_as_is().end();
        assert_eq!(end, Ok(2), "{text}");
        assert!(took < AT_ONCE, "{took:?}: {text}");
    }
    let mut unset = program();
    unset.arg("--platform").env_remove("CAMPHORWEIR_CONFIG");
    assert_eq!(Entry::start(unset).end().0, Ok(2));
    // A link-local address without a scope is no address of a machine.
    machine.settings["listen"]["ready"] = "[fe80::1]:18220".into();
    let mut entry = machine.start();
    let (end, took) = entry.end();
    assert_eq!(end, Ok(1), "{:?}", entry.lines(&[]));
    assert!(took < AT_ONCE, "{took:?}");
    until("code", || entry.lines(&["6102 AddressInUse"]).pop());
}

#[test]
fn settings_that_are_no_regular_file_hold_up_neither_a_start_nor_a_stop() {
    let machine = Machine::new(10);
    let make_pipe = || {
        let _ = fs::remove_file(machine.file());
        let made = Command::new("mkfifo").arg(machine.file()).status();
        assert!(made.unwrap().success());
    };
    make_pipe();
    let operators = |option: &[&str]| {
        let mut command = program();
        command.arg("--settings").arg(machine.file()).args(option);
        Entry::start(command)
    };
    let starts = [
        machine.start_as_is(),
        operators(&[]),
        operators(&["--check-settings"]),
    ];
    for mut entry in starts {
        let (end, took) = entry.end();
        assert_eq!(end, Ok(2), "{:?}", entry.lines(&[]));
        assert!(took < AT_ONCE, "{took:?}");
        until("reason", || entry.lines(&["not a regular file"]).pop());
    }
    // A link to a regular file is read, at the start and later.
    let linked = machine.file().with_extension("yaml");
    fs::write(&linked, machine.settings.to_string()).unwrap();
    fs::remove_file(machine.file()).unwrap();
    symlink(&linked, machine.file()).unwrap();
    let mut entry = machine.start_as_is();
    until("callers", || TcpStream::connect(machine.callers()).ok());
    entry.signal("HUP");
    entry.await_line(&["settings reloaded"]);
    make_pipe();
    entry.signal("HUP");
    entry.await_line(&["previous ones stay in force", "not a regular file"]);
    entry.signal("TERM");
    assert_eq!(entry.end().0, Ok(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_serves_without_its_metrics_and_peers_ports() {
    let mut machine = Machine::new(6);
    let (store, address) = Store::spawn().await.unwrap();
    machine.settings["platform"]["address"] = address.to_string().into();
    store.put(CONFIGURATION_TOPIC, "config", CONFIGURATION.as_bytes());
    let setup = Setup {
        id: "ledger-0".to_owned(),
        service: "ledger".to_owned(),
        zone: "z".to_owned(),
        kind: String::new(),
    };
    let _target = Target::spawn(setup, store.clone()).await.unwrap();
    let metrics = TcpListener::bind(machine.address(19_464)).unwrap();
    let digests = UdpSocket::bind(machine.address(17_340)).unwrap();
    let mut entry = machine.start();
    entry.await_line(&["serving without", "metrics' port"]);
    entry.await_line(&["serving without", "peers' ports"]);
    until("ready", || {
        get(machine.ready(), READY_PATH).filter(|answer| answer.starts_with("HTTP/1.1 200"))
    });
    assert_eq!(store.value(INSTANCES_TOPIC, "entry-6"), None);
    drop(metrics);
    entry.await_line(&["no longer missing", "metrics' port"]);
    let held = |count: u8| {
        let text = get(machine.address(19_464), "/metrics").unwrap_or_default();
        let mut lines = text
            .lines()
            .filter(|line| line.starts_with("camphorweir_peer_ports"));
        lines
            .any(|line| line.ends_with(&format!(" {count}")))
            .then_some(())
    };
    until("gauge without ports", || held(0));
    drop(digests);
    entry.await_line(&["no longer missing", "peers' ports"]);
    until("gauge with ports", || held(1));
    until("listed", || store.value(INSTANCES_TOPIC, "entry-6"));
    assert_eq!(entry.lines(&["serving without"]).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_without_peers_ports_does_not_flood_the_store() {
    let mut machine = Machine::new(9);
    let (store, address) = Store::spawn().await.unwrap();
    machine.settings["platform"]["address"] = address.to_string().into();
    let digests = UdpSocket::bind(machine.address(17_340)).unwrap();
    let mut entry = machine.start();
    entry.await_line(&["serving without", "peers' ports"]);
    let reads = || store.newest_count(INSTANCES_TOPIC);
    until("first reads", || (reads() >= 4).then_some(()));
    let first = reads();
    sleep(AT_ONCE);
    let later = reads() - first;
    assert!(later <= 1, "{later} reads in {AT_ONCE:?}");
    let seen = reads();
    until("a later read", || (reads() > seen).then_some(()));
    drop(digests);
    let since = Instant::now();
    until("listed", || store.value(INSTANCES_TOPIC, "entry-9"));
    let took = since.elapsed();
    assert!(took < AT_ONCE, "{took:?}");
}

#[test]
fn an_entry_of_operators_waits_for_its_settings_and_addresses() {
    let machine = Machine::new(7);
    let holder = TcpListener::bind(machine.callers()).unwrap();
    let cases = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/settings");
    let good = fs::read_to_string(cases.join("good.yaml")).unwrap();
    let text = good
        .replace("127.0.0.1:8080", &machine.callers().to_string())
        .replace("127.0.0.1:808", &machine.address(1_808).to_string())
        .replace("keys/", &format!("{}/keys/", cases.display()));
    let file = machine.file().with_extension("yaml");
    let _ = fs::remove_file(&file);
    let mut command = program();
    command.arg("--settings").arg(&file);
    let mut entry = Entry::start(command);
    entry.await_line(&["waiting up to"]);
    entry.signal("HUP");
    fs::write(&file, text).unwrap();
    entry.await_line(&["start waits", "callers' address"]);
    drop(holder);
    until("callers", || get(machine.callers(), "/"));
    let check = program()
        .arg("--settings")
        .arg("none.yaml")
        .arg("--check-settings")
        .output();
    assert_eq!(check.unwrap().status.code(), Some(2));
}

#[test]
fn which_failures_pass() {
    let passing = [
        Errno::ADDRINUSE,
        Errno::ADDRNOTAVAIL,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    for errno in passing {
        assert!(startup_bind_passes(&errno.into()), "{errno}");
    }
    for errno in [Errno::ACCESS, Errno::PERM, Errno::INVAL, Errno::AFNOSUPPORT] {
        assert!(!startup_bind_passes(&errno.into()), "{errno}");
    }
    let settings = Machine::new(8).settings.to_string();
    for end in 0..settings.len() {
        let error = settings_parse(&settings.as_bytes()[..end]).unwrap_err();
        assert!(error.passes(), "{end} bytes: {error}");
    }
    for text in ["[]", "{\"node\": 1}", "{} {", "{\"node\"; 1}"] {
        assert!(
            !settings_parse(text.as_bytes()).unwrap_err().passes(),
            "{text}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_wait_has_an_end_and_a_request_ends_its_pause() {
    let retry_now = Arc::new(Notify::new());
    let limit = Duration::from_secs(10);
    let start = Instant::now();
    let fails = || {
        ready(Err::<(), _>(Obstacle {
            reason: "held",
            passes: true,
        }))
    };
    let result = Wait::new(limit, &retry_now).attempt("it", fails).await;
    assert_eq!((result, start.elapsed()), (Err("held"), limit));
    let start = Instant::now();
    let mut attempts = 0;
    let second_succeeds = || {
        attempts += 1;
        retry_now.notify_one();
        ready(match attempts {
            1 => Err(Obstacle {
                reason: "held",
                passes: true,
            }),
            _ => Ok(()),
        })
    };
    let result = Wait::new(limit, &retry_now)
        .attempt("it", second_succeeds)
        .await;
    assert_eq!((result, start.elapsed()), (Ok(()), Duration::ZERO));
}
