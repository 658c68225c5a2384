//! Many users come at once, each with a request whose body is as large as the configuration allows.
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `memoryMb` of the settings.
const MEMORY_MB: u64 = 260;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// `linkMbps` of the settings.
const LINK_MBPS: f64 = 1_000.0;
/// Users that come at once to each entry.
const USERS: usize = 80;
const BURSTS: u32 = 3;

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"book","host":"pipelines.example","pathPrefix":"/book/",
"kind":"non_idempotent","timeoutMs":5000,"targetLatencyMs":100,"priority":1,"service":"ledger","maxAttempts":1,
"public":true}],"services":[{"name":"ledger","healthPath":"/healthz","maxConnections":200,"protocol":"h1",
"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}}"#;

/// Memory of a process in bytes; 0 once it has ended.
fn memory(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// What the platform does for one machine: ends the process that exceeds its memory, and starts it again.
fn platform(
    mut entry: Entry,
    ends: Arc<AtomicU32>,
    most: Arc<AtomicU64>,
    over: Arc<AtomicBool>,
    log: Log,
) {
    thread::spawn(move || {
        while !over.load(Ordering::SeqCst) {
            let used = memory(entry.pid());
            most.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY_MB << 20 {
                entry.kill();
                ends.fetch_add(1, Ordering::SeqCst);
                log.line(&format!(
                    "{} uses {} MB and is killed",
                    entry.name,
                    used >> 20
                ));
                thread::sleep(ms(500));
                entry.start();
            }
            thread::sleep(ms(3));
        }
    });
}

/// Sends a request at this user's part of the machine's link; 0 without an answer.
fn upload(front: SocketAddr, id: &str, body: &[u8], users: usize) -> u16 {
    let piece = 64 << 10;
    let pause = Duration::from_secs_f64((piece * users * 8) as f64 / (LINK_MBPS * 1e6));
    let send = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, ms(1_000))?;
        stream.set_read_timeout(Some(ms(6_000)))?;
        let head = format!(
            "POST /book/hall HTTP/1.1\r\nHost: pipelines.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        let began = Instant::now();
        for (index, piece) in (1..).zip(body.chunks(piece)) {
            stream.write_all(piece)?;
            thread::sleep((pause * index).saturating_sub(began.elapsed()));
        }
        Ok(read_answer(&mut BufReader::new(stream))?.status)
    };
    send().unwrap_or(0)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let record = arguments
        .next()
        .unwrap_or_else(|| cannot_run("no file for the record"));
    let (log, folder, trouble) = (Log::create(&record), temporary_folder(), has_trouble());
    let store = Store::start();
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    store.put("keyed.op", "config", CONFIGURATION.as_bytes());
    let _servers: Vec<_> = (1..=3)
        .map(|index| {
            start_plain(
                &store,
                &runs,
                "ledger",
                "zone-a",
                &format!("ledger-{index}"),
                ms(15),
            )
        })
        .collect();
    let mut entries: Vec<Entry> = (1..=2)
        .map(|index| Entry::new(&folder, &format!("front-zone-a-{index}"), "zone-a", &store))
        .collect();
    entries.iter_mut().for_each(Entry::start);
    wait_for("entries ready", ms(15_000), || {
        entries.iter().all(Entry::is_ready)
    });
    let fronts: Vec<_> = entries
        .iter()
        .map(|entry| (entry.front, entry.ready))
        .collect();
    let over = Arc::new(AtomicBool::new(false));
    let machines: Vec<(Arc<AtomicU32>, Arc<AtomicU64>)> =
        entries.iter().map(|_| Default::default()).collect();
    for (entry, (ends, most)) in entries.into_iter().zip(&machines) {
        platform(entry, ends.clone(), most.clone(), over.clone(), log.clone());
    }
    let body = Arc::new(vec![b'.'; BODY_BYTES]);
    let users = if trouble { USERS } else { 1 };
    for burst in 1..=BURSTS {
        for (front, ready) in &fronts {
            wait_for("an entry ready", ms(15_000), || {
                call(*ready, "GET", "/api/readyz", &[], b"", ms(1_000)).status == 200
                    && upload(*front, &format!("small-{burst}"), b"a hall", 1) == 200
            });
        }
        let began = Instant::now();
        let calls: Vec<_> = (0..users * fronts.len())
            .map(|user| {
                let (front, body) = (fronts[user % fronts.len()].0, body.clone());
                thread::spawn(move || upload(front, &format!("large-{burst}-{user}"), &body, users))
            })
            .collect();
        let statuses: Vec<u16> = calls
            .into_iter()
            .map(|call| call.join().unwrap_or(0))
            .collect();
        let count = |status: u16| statuses.iter().filter(|other| **other == status).count();
        log.line(&format!(
            "burst {burst}: {} users, bodies of {BODY_BYTES} bytes, {} ms: {} answered 200, {} 503, {} cut without an \
             answer, {} others",
            statuses.len(),
            began.elapsed().as_millis(),
            count(200),
            count(503),
            count(0),
            statuses.len() - count(200) - count(503) - count(0)
        ));
        thread::sleep(ms(1_000));
    }
    over.store(true, Ordering::SeqCst);
    thread::sleep(ms(20));
    let ends: Vec<u32> = machines
        .iter()
        .map(|(ends, _)| ends.load(Ordering::SeqCst))
        .collect();
    let most: Vec<u64> = machines
        .iter()
        .map(|(_, most)| most.load(Ordering::SeqCst) >> 20)
        .collect();
    log.line(&format!(
        "ends by memory: {ends:?}; most memory in MB: {most:?}; limit {MEMORY_MB}"
    ));
    let broken = ends.iter().all(|ends| *ends >= 3).then(|| {
        format!("Fault: both processes ended by themselves {ends:?} times, as they exceeded {MEMORY_MB} MB")
    });
    end(&log, &folder, broken)
}
