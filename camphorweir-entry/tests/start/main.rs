//! The start of a process: what passes by itself is waited for or done without.

mod process;

use {
    camphorweir_entry::startup::{Failed, Wait, startup_bind_passes},
    process::{Machine, get, until},
    rustix::io::Errno,
    std::{
        future::ready,
        io,
        net::{TcpListener, TcpStream},
        sync::Arc,
        thread::sleep,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

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
    successor.await_line(&["start waits", "readiness' address"]);
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
    successor.await_line(&["start continues", "readiness' address"]);
    until("callers", || get(machine.callers(), "/"));
    assert_eq!(predecessor.end().0, Ok(0));
}

#[test]
fn signals_during_a_wait_for_an_address() {
    let machine = Machine::new(3);
    let _holder = TcpListener::bind(machine.ready()).unwrap();
    let mut entry = machine.start();
    entry.await_line(&["start waits", "readiness' address"]);
    entry.signal("HUP");
    sleep(Duration::from_millis(300));
    assert!(!entry.has_ended(), "{:?}", entry.lines(&[]));
    entry.signal("TERM");
    let (end, took) = entry.end();
    assert_eq!(end, Ok(0));
    assert!(took < AT_ONCE, "{took:?}");
}

#[test]
fn a_fault_that_stays_ends_the_start_at_once() {
    let mut machine = Machine::new(5);
    // A link-local address without a scope is no address of a machine.
    machine.settings["listen"]["ready"] = "[fe80::1]:18220".into();
    let mut entry = machine.start();
    let (end, took) = entry.end();
    assert_eq!(end, Ok(1), "{:?}", entry.lines(&[]));
    assert!(took < AT_ONCE, "{took:?}");
    until("code", || entry.lines(&["6102 AddressInUse"]).pop());
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
}

#[tokio::test(start_paused = true)]
async fn a_wait_has_an_end_and_a_request_ends_its_pause() {
    let retry_now = Arc::new(Notify::new());
    let limit = Duration::from_secs(10);
    let start = Instant::now();
    let fails = || {
        ready(Err::<(), _>(Failed {
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
            1 => Err(Failed {
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
