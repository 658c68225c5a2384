//! One of two machines is lost while callers send bodies as large as the configuration allows.
#![allow(dead_code)]

#[path = "base.rs"]
mod base;

use {
    base::{Channel, Entry, Log, Server, Setting, Store, ms},
    std::{
        fs,
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

/// `memoryMb` of the settings: that of the site's machines.
const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the configuration, as `fleetbench wire` shows it.
const MAX_BODY_BYTES: usize = 4_194_304;
/// Callers that send such bodies to each of the two machines, one request at a time.
const LARGE: usize = 40;
/// Time for which a machine is lost.
const LOST_TIME: Duration = ms(3000);
/// Bytes that a caller sends at a time, and the pause between: some 17 Mbit/s, so that the link of a machine, of 1,000
/// Mbit/s, bears the callers of both.
const PIECE: (usize, Duration) = (64 << 10, ms(30));
/// Callers with small requests on kept channels.
const SMALL: usize = 8;
/// Time of a server for a request.
const WORK: Duration = ms(4000);

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"plan","host":"site.example","pathPrefix":"/plan/","kind":"non_idempotent","timeoutMs":12000,"targetLatencyMs":2000,"priority":2,"service":"hall","maxAttempts":1,"public":false}}],"services":[{{"name":"hall","healthPath":"/healthz","maxConnections":51,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"parish","apiKeys":["key-one"],"priority":1}}]}}"#
    )
}

/// Ends of requests on kept channels: the attempt, and the status if there was an answer.
type Ends = Arc<Mutex<Vec<(String, Option<u16>)>>>;

fn main() {
    let Setting {
        log,
        temporary,
        has_trouble,
    } = Setting::read();
    let store = Store::start();
    store.put("keyed.op", "config", configuration().as_bytes());
    let servers: Vec<Server> = (0..3)
        .map(|index| Server::start(&store, &log, &format!("i-{index}"), "hall", "pl-a", WORK))
        .collect();
    let mut entries: Vec<Entry> = (0..2)
        .map(|index| {
            Entry::new(
                &temporary,
                &store,
                &format!("front-pl-a-{index}"),
                "pl-a",
                MEMORY_MB,
            )
        })
        .collect();
    entries.iter_mut().for_each(|entry| entry.start(&log));
    entries.iter().for_each(|entry| entry.wait_ready(&log));
    let (lost, kept) = (entries[0].callers, entries[1].callers);
    let [lost_entry, kept_entry] = &mut entries[..] else {
        exit(2);
    };

    let is_over = Arc::new(AtomicBool::new(false));
    let ends = Ends::default();
    let mut callers = Vec::new();
    for caller in 0..SMALL {
        let (is_over, ends, log) = (is_over.clone(), ends.clone(), log.clone());
        callers.push(thread::spawn(move || {
            small(caller, kept, &is_over, &ends, &log)
        }));
    }
    let until = Instant::now() + ms(30_000);
    for caller in 0..2 * LARGE {
        let log = log.clone();
        // Where one machine does not take the channel, the next try reaches the other.
        let machines = if caller % 2 == 0 {
            [lost, kept]
        } else {
            [kept, lost]
        };
        callers.push(thread::spawn(move || large(caller, machines, until, &log)));
    }
    let lost_at = Instant::now() + ms(15_000);
    let (mut peak_kb, mut kills) = (0, 0);
    let (mut is_lost, mut is_back) = (false, false);
    let mut back_at = None;
    while Instant::now() < until {
        let now = Instant::now();
        if has_trouble && !is_lost && now >= lost_at {
            is_lost = true;
            lost_entry.kill();
            log.say(&format!(
                "{} is lost, with {peak_kb} kB as the most so far",
                lost_entry.name
            ));
        }
        if is_lost && !is_back && now >= lost_at + LOST_TIME {
            is_back = true;
            lost_entry.start(&log);
        }
        for (entry, is_kept) in [(&mut *lost_entry, false), (&mut *kept_entry, true)] {
            let resident_kb = entry.pid().map_or(0, resident_kb);
            peak_kb = peak_kb.max(resident_kb);
            if resident_kb > MEMORY_MB * 1024 {
                // "A process that exceeds `memoryMb` is killed", and started again.
                entry.kill();
                log.say(&format!(
                    "{} has {resident_kb} kB and is killed",
                    entry.name
                ));
                if is_kept {
                    kills += 1;
                    back_at = Some(now + ms(1000));
                }
            }
        }
        if back_at.is_some_and(|at| now >= at) {
            back_at = None;
            kept_entry.start(&log);
        }
        thread::sleep(ms(5));
    }
    is_over.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());
    drop(entries);

    let ends = ends.lock().unwrap();
    let answered = ends
        .iter()
        .filter(|(_, status)| *status == Some(200))
        .count();
    let unanswered: Vec<_> = ends
        .iter()
        .filter(|(id, status)| status.is_none() && servers.iter().any(|server| server.ran(id)))
        .collect();
    for (id, _) in &unanswered {
        log.say(&format!(
            "{id} was passed on, and its kept channel was closed without an answer"
        ));
    }
    log.say(&format!(
        "largest resident memory: {} MB of {MEMORY_MB}; the other machine was killed {kills} times",
        peak_kb / 1024
    ));
    log.say(&format!(
        "kept channels: {answered} requests answered, {} passed on and not answered",
        unanswered.len()
    ));
    if answered == 0 {
        exit(2);
    }
    let is_broken = unanswered.len() > 3;
    log.say(if is_broken {
        "LOST: broken"
    } else {
        "LOST: held"
    });
    exit(i32::from(is_broken));
}

/// Resident memory of a process in kB.
fn resident_kb(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    kb.unwrap_or_default()
}

fn small(caller: usize, address: SocketAddr, is_over: &AtomicBool, ends: &Ends, log: &Log) {
    let mut channel = None;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let Some(mut open) = channel
            .take()
            .or_else(|| Channel::open(address, ms(13_000)))
        else {
            thread::sleep(ms(200));
            continue;
        };
        let id = format!("a{caller:03x}{number:012x}");
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "12000"),
            ("Authorization", "Bearer key-one"),
        ];
        let status = open
            .call("POST", "/plan/small", &headers, b"{}")
            .map(|answer| answer.status);
        log.line(&format!(
            "small caller {caller}: {id} ended with {status:?}"
        ));
        // The first request of a channel is not on a kept one.
        if number > 0 {
            ends.lock().unwrap().push((id, status));
        }
        if status.is_some() {
            channel = Some(open);
        }
        thread::sleep(ms(20));
    }
}

fn large(caller: usize, machines: [SocketAddr; 2], until: Instant, log: &Log) {
    let body = vec![b'x'; MAX_BODY_BYTES - 4];
    // Callers don't begin at the same moment.
    thread::sleep(ms(caller as u64 * 70));
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let id = format!("b{caller:03x}{number:012x}");
        let headers = [
            ("X-Attempt-Id", id.as_str()),
            ("X-Deadline-Ms", "12000"),
            ("Authorization", "Bearer key-one"),
        ];
        let mut machines = machines.iter();
        let channel = machines.find_map(|machine| Channel::open(*machine, ms(13_000)));
        let answer = channel
            .and_then(|mut open| open.call_slowly("POST", "/plan/large", &headers, &body, PIECE));
        let status = answer.map(|answer| answer.status);
        log.line(&format!(
            "large caller {caller}: {id} ended with {status:?}"
        ));
        thread::sleep(ms(100));
    }
}
