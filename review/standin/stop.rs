//! Machines are stopped in turn, and a sound server falls silent for a second or so at the end of a stop.
#![allow(dead_code)]

#[path = "base.rs"]
mod base;

use {
    base::{Channel, Entry, Log, Server, Setting, Store, call, ms},
    std::{
        net::SocketAddr,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `graceS` of the settings.
const GRACE: Duration = ms(8000);
/// Pause between the stops (`gap_s`).
const GAP: Duration = ms(1400);
/// When the server falls silent after the first stop, and for how long.
const SILENT_AT: Duration = ms(6850);
const SILENT_TIME: Duration = ms(900);
/// Time over which the requests that a server ran are looked at before.
const RECENT: Duration = ms(500);
/// Requests that were sent no later than this after the SIGTERM are excused.
const EARLY: Duration = ms(3000);
/// `X-Deadline-Ms` of the callers: that of `seal-shipped`.
const DEADLINE: Duration = ms(1000);
/// Time of the other service for a report. One is asked of the first machine just before its SIGTERM, so that it
/// still has work for most of its time.
const REPORT: Duration = ms(7200);
/// Machines of the zone.
const MACHINES: usize = 3;
/// Callers, and the pause of each between its requests.
const CALLERS: usize = 24;
const PAUSE: Duration = ms(30);

fn configuration() -> &'static str {
    r#"{"version":1,"routes":[{"name":"seal","host":"site.example","pathPrefix":"/seal/","kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":100,"priority":2,"service":"ledger","maxAttempts":1,"public":false},{"name":"report","host":"site.example","pathPrefix":"/report/","kind":"idempotent","timeoutMs":20000,"targetLatencyMs":8000,"priority":2,"service":"scribe","maxAttempts":2,"public":false}],"services":[{"name":"scribe","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false},{"name":"ledger","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"kilns","apiKeys":["key-one"],"priority":1}]}"#
}

/// A request to the first machine: when its last byte was sent, when it ended, and the status of a whole answer.
struct Sent {
    id: String,
    at: Instant,
    end: Instant,
    status: Option<u16>,
}

fn main() {
    let Setting {
        log,
        temporary,
        has_trouble,
    } = Setting::read();
    let store = Store::start();
    store.put("keyed.op", "config", configuration().as_bytes());
    let servers: Vec<Server> = (0..3)
        .map(|index| {
            Server::start(
                &store,
                &log,
                &format!("i-{index}"),
                "ledger",
                "southeast-a",
                ms(15),
            )
        })
        .collect();
    let _scribe = Server::start(&store, &log, "i-3", "scribe", "southeast-a", REPORT);
    let mut entries: Vec<Entry> = (0..MACHINES)
        .map(|index| {
            Entry::new(
                &temporary,
                &store,
                &format!("front-southeast-a-{index}"),
                "southeast-a",
                260,
            )
        })
        .collect();
    entries.iter_mut().for_each(|entry| entry.start(&log));
    entries.iter().for_each(|entry| entry.wait_ready(&log));

    let is_over = Arc::new(AtomicBool::new(false));
    let all = Arc::new(Mutex::new(Vec::new()));
    let machines: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (is_over, all, log) = (is_over.clone(), all.clone(), log.clone());
            let machines = machines.clone();
            thread::spawn(move || send(caller, &machines, &is_over, &all, &log))
        })
        .collect();

    thread::sleep(ms(4000));
    let (report_log, first) = (log.clone(), machines[0]);
    let report = thread::spawn(move || {
        let headers = [
            ("X-Attempt-Id", "00ee"),
            ("X-Deadline-Ms", "20000"),
            ("Authorization", "Bearer key-one"),
        ];
        let answer = call(first, "GET", "/report/shift", &headers, b"", ms(20_000));
        let status = answer.map(|answer| answer.status);
        report_log.say(&format!("the report ended with {status:?}"));
    });
    thread::sleep(ms(200));
    let stopped = Instant::now();
    entries[0].stop();
    log.say("the first machine gets SIGTERM");
    thread::sleep(GAP);
    entries[1].stop();
    // One of three is left in rotation: fewer than half, so the platform uses all of them.
    log.say("the second machine gets SIGTERM");
    thread::sleep((stopped + SILENT_AT).saturating_duration_since(Instant::now()));
    if has_trouble {
        // The one that the first machine uses most; a machine may pass over one of three for a while.
        let used =
            |server: &&Server| server.runs_since(Instant::now() - RECENT, |id| machine_of(id) == 0);
        let (index, server) = (0..)
            .zip(&servers)
            .max_by_key(|(_, server)| used(server))
            .unwrap();
        server.fall_silent(SILENT_TIME);
        log.say(&format!(
            "server i-{index} falls silent for {} ms",
            SILENT_TIME.as_millis()
        ));
    }
    let mut ended = None;
    while ended.is_none() && stopped.elapsed() < GRACE {
        ended = entries[0].has_ended().then(Instant::now);
        thread::sleep(ms(2));
    }
    let Some(ended) = ended else {
        log.say("the first machine did not end in its time");
        exit(2);
    };
    log.say(&format!(
        "the first machine ended {:.3} s after its SIGTERM",
        (ended - stopped).as_secs_f64()
    ));
    thread::sleep(ms(2500));
    is_over.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    report.join().unwrap();
    drop(entries);

    let all = all.lock().unwrap();
    let late: Vec<&Sent> = all
        .iter()
        .filter(|sent| sent.at > stopped + EARLY)
        .collect();
    let is_lost = |sent: &&&Sent| {
        let was_passed_on = servers.iter().any(|server| server.ran(&sent.id));
        sent.status.is_none() && was_passed_on && sent.end < sent.at + DEADLINE
    };
    let lost: Vec<&&Sent> = late.iter().filter(is_lost).collect();
    for sent in &lost {
        let (at, end) = (sent.at - stopped, sent.end - sent.at);
        log.say(&format!(
            "{} was sent {:.3} s after the SIGTERM, ran, and its channel ended {} ms later without an answer",
            sent.id,
            at.as_secs_f64(),
            end.as_millis()
        ));
    }
    let answered = late.iter().filter(|sent| sent.status.is_some()).count();
    log.say(&format!(
        "{} requests reached the first machine later than 3 s after its SIGTERM: {answered} answered, {} passed on and not answered",
        late.len(),
        lost.len()
    ));
    if late.is_empty() {
        exit(2);
    }
    log.say(if lost.is_empty() {
        "LOST: held"
    } else {
        "LOST: broken"
    });
    exit(i32::from(!lost.is_empty()));
}

/// The machine that a request is sent to first and only, by the number in its id.
fn machine_of(id: &str) -> usize {
    let number = usize::from_str_radix(id, 16).unwrap_or_default();
    ((number >> 32) + (number & 0xffff_ffff)) % MACHINES
}

/// Sends requests, each on a new channel to the next machine; one that takes no channel is passed over.
fn send(
    caller: usize,
    machines: &[SocketAddr],
    is_over: &AtomicBool,
    all: &Mutex<Vec<Sent>>,
    log: &Log,
) {
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let machine = (caller + number) % MACHINES;
        let id = format!("{:016x}", (caller << 32) + number);
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "1000"),
            ("Authorization", "Bearer key-one"),
        ];
        if let Some(mut channel) = Channel::open(machines[machine], ms(3000)) {
            let at = Instant::now();
            let answer = channel.call("POST", "/seal/batch", &headers, b"{}");
            let (end, status) = (Instant::now(), answer.map(|answer| answer.status));
            log.line(&format!(
                "{id} to machine {machine} ended after {} ms with {status:?}",
                (end - at).as_millis()
            ));
            if machine == 0 {
                all.lock().unwrap().push(Sent {
                    id,
                    at,
                    end,
                    status,
                });
            }
        }
        thread::sleep(PAUSE);
    }
}
