//! Waves of uploads, small and large in turn, at an entry that is killed when it exceeds its memory, as the
//! platform does it.

mod common;

use {
    common::{
        Entry, Folder, Record, Server, Store, cannot_run, configuration, has_trouble, ms, read_message,
        start_server,
    },
    std::{
        collections::BTreeMap,
        fs,
        io::{self, BufReader, Write},
        net::{Ipv4Addr, SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle, sleep},
        time::{Duration, Instant},
    },
};

const KEY: &str = "good-key";
/// `memoryMb` of the settings, in bytes.
const MEMORY: u64 = 260 << 20;
/// Uploads that come at once in the usual traffic, and in a burst: 1.7 times as many.
const USUAL: Crowd = Crowd {
    small: 530,
    large: 42,
};
const BURST: Crowd = Crowd {
    small: 900,
    large: 71,
};
/// Bodies and the chunks in which they are sent. A large one is as long as `maxBodyBytes` allows.
const SMALL: Upload = Upload {
    bytes: 60_000,
    chunk: 1_000,
    least_ms: 1_000,
    most_ms: 2_700,
    spread_ms: 300,
};
const LARGE: Upload = Upload {
    bytes: 4_194_304,
    chunk: 10_000,
    least_ms: 2_200,
    most_ms: 2_700,
    spread_ms: 300,
};
/// Requesters that each use one channel for many requests without a body.
const KEPT: usize = 24;
/// Bytes that requesters have sent.
static SENT: AtomicU64 = AtomicU64::new(0);
/// Span over which the rate of what they send is taken.
const RATE_SPAN: Duration = Duration::from_millis(500);
/// Rounds of one wave of small and one of large uploads.
const ROUNDS: usize = 8;

struct Crowd {
    small: usize,
    large: usize,
}

#[derive(Clone, Copy)]
struct Upload {
    bytes: usize,
    chunk: usize,
    least_ms: u64,
    most_ms: u64,
    /// The uploads of a wave begin within this time.
    spread_ms: u64,
}

/// A plain number for each index, the same in each run.
fn pick(index: usize, least: u64, most: u64) -> Duration {
    let mut value = (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^= value >> 29;
    value = value.wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value ^= value >> 32;
    ms(least + value % (most - least + 1))
}

fn head(attempt: u64, framing: &str) -> String {
    format!(
        "POST /book/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt:016x}\r\nX-Deadline-Ms: 19000\r\n\
         Authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    )
}

/// Sends one upload in its time; returns the status, 0 without a whole answer.
fn send(address: SocketAddr, attempt: u64, upload: Upload, takes: Duration) -> u16 {
    let try_send = || -> io::Result<u16> {
        let stream = TcpStream::connect_timeout(&address, ms(1_000))?;
        stream.set_read_timeout(Some(ms(19_000)))?;
        stream.set_write_timeout(Some(ms(19_000)))?;
        let began = Instant::now();
        (&stream).write_all(head(attempt, "Transfer-Encoding: chunked").as_bytes())?;
        let mut sent = 0;
        while sent < upload.bytes {
            let size = upload.chunk.min(upload.bytes - sent);
            let mut chunk = format!("{size:x}\r\n").into_bytes();
            chunk.resize(chunk.len() + size, b'z');
            chunk.extend_from_slice(b"\r\n");
            (&stream).write_all(&chunk)?;
            SENT.fetch_add(chunk.len() as u64, Ordering::SeqCst);
            sent += size;
            let due = takes.mul_f64(sent as f64 / upload.bytes as f64);
            sleep(due.saturating_sub(began.elapsed()));
        }
        (&stream).write_all(b"0\r\n\r\n")?;
        Ok(read_message(&mut BufReader::new(&stream))?.status())
    };
    try_send().unwrap_or(0)
}

/// A wave of uploads; returns when all have ended.
fn wave(record: &Record, address: SocketAddr, name: &str, count: usize, upload: Upload, next: &AtomicU64) {
    let statuses: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let threads: Vec<JoinHandle<()>> = (0..count)
        .map(|index| {
            let (statuses, attempt) = (statuses.clone(), next.fetch_add(1, Ordering::SeqCst));
            let run = move || {
                sleep(pick(index, 0, upload.spread_ms));
                let takes = pick(index + 7, upload.least_ms, upload.most_ms);
                let status = send(address, attempt, upload, takes);
                *statuses.lock().unwrap().entry(status).or_default() += 1;
            };
            let thread = thread::Builder::new().stack_size(256 << 10).spawn(run);
            thread.unwrap_or_else(|error| cannot_run(&error.to_string()))
        })
        .collect();
    let began = Instant::now();
    for thread in threads {
        let _ = thread.join();
    }
    record.say(&format!(
        "{count} {name} uploads of {} bytes sent within {:.1} s; answers by status, 0 for none: {:?}",
        upload.bytes,
        began.elapsed().as_secs_f64(),
        statuses.lock().unwrap()
    ));
}

/// What became of a request on a kept channel.
struct Asked {
    attempt: String,
    status: u16,
    /// Whether the channel had served a request before.
    is_kept: bool,
    ended: Instant,
}

/// Sends requests without a body on one channel, one after the other; a channel that ends is opened again.
fn ask(address: SocketAddr, next: Arc<AtomicU64>, stop: Arc<AtomicBool>, asked: Arc<Mutex<Vec<Asked>>>) {
    while !stop.load(Ordering::SeqCst) {
        let Ok(stream) = TcpStream::connect_timeout(&address, ms(1_000)) else {
            sleep(ms(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(19_000)));
        let mut reader = BufReader::new(&stream);
        let mut is_kept = false;
        while !stop.load(Ordering::SeqCst) {
            let attempt = next.fetch_add(1, Ordering::SeqCst);
            let sent = (&stream).write_all(head(attempt, "Content-Length: 0").as_bytes());
            let answer = sent.and_then(|()| read_message(&mut reader));
            let status = answer.as_ref().map_or(0, common::Message::status);
            let attempt = format!("{attempt:016x}");
            asked.lock().unwrap().push(Asked {
                attempt,
                status,
                is_kept,
                ended: Instant::now(),
            });
            let closes = answer.is_ok_and(|answer| answer.header("connection") == Some("close"));
            if status == 0 || closes {
                break;
            }
            is_kept = true;
        }
    }
}

/// Memory that a process has for itself alone, in bytes; 0 once it has ended.
fn memory(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or_default() << 10
}

fn main() {
    let out = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("usage: waves RECORD"));
    let record = Record::new(&out);
    let folder = Folder::new("review-11");
    let store = Store::start();
    let servers: Vec<Server> = (0..3)
        .map(|index| start_server(&store, &format!("i-{index}"), "hall", "zone-a", ms(300), 192))
        .collect();
    store.write("keyed.op", "config", &configuration(7, &[KEY], 20_000, 908));
    let ip = Ipv4Addr::new(127, 0, 0, 11);
    let mut entry = Entry::new(&folder.0, "front-zone-a-1", "zone-a", &["zone-a"], ip, &store);
    entry.start();
    if !entry.wait_ready(ms(20_000)) {
        cannot_run("the entry is not ready");
    }
    sleep(ms(4_000));
    let (process, address) = (entry.id(), entry.callers);
    let entry = Arc::new(Mutex::new(entry));
    let next = Arc::new(AtomicU64::new(0xa000));
    let stop = Arc::new(AtomicBool::new(false));
    let asked: Arc<Mutex<Vec<Asked>>> = Arc::default();
    for _ in 0..KEPT {
        let (next, stop, asked) = (next.clone(), stop.clone(), asked.clone());
        thread::spawn(move || ask(address, next, stop, asked));
    }

    // The platform: "A process that exceeds `memoryMb` is killed."
    let peak = Arc::new(AtomicU64::new(0));
    let killed: Arc<Mutex<Option<Instant>>> = Arc::default();
    let (shared_peak, shared_killed, shared_entry) = (peak.clone(), killed.clone(), entry.clone());
    thread::spawn(move || {
        loop {
            let used = memory(process);
            shared_peak.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY {
                *shared_killed.lock().unwrap() = Some(Instant::now());
                shared_entry.lock().unwrap().kill();
            }
            if used == 0 || used > MEMORY {
                return;
            }
            sleep(ms(5));
        }
    });

    // The highest rate at which requesters sent, in Mbit/s.
    let rate = Arc::new(AtomicU64::new(0));
    let shared_rate = rate.clone();
    thread::spawn(move || {
        let mut looks: Vec<(Instant, u64)> = Vec::new();
        loop {
            let now = (Instant::now(), SENT.load(Ordering::SeqCst));
            looks.push(now);
            if let Some(index) = looks.iter().rposition(|(at, _)| now.0 - *at >= RATE_SPAN) {
                let bits = (now.1 - looks[index].1) as f64 * 8.0;
                let mbit = bits / (now.0 - looks[index].0).as_secs_f64() / 1e6;
                shared_rate.fetch_max(mbit as u64, Ordering::SeqCst);
                looks.drain(..index);
            }
            sleep(ms(50));
        }
    });

    let crowd = if has_trouble() { BURST } else { USUAL };
    for round in 1..=ROUNDS {
        for (name, count, upload) in [("small", crowd.small, SMALL), ("large", crowd.large, LARGE)] {
            wave(&record, address, name, count, upload, &next);
            record.say(&format!(
                "round {round}: at most {} MiB so far",
                peak.load(Ordering::SeqCst) >> 20
            ));
            if killed.lock().unwrap().is_some() {
                break;
            }
            sleep(ms(1_500));
        }
        if killed.lock().unwrap().is_some() || entry.lock().unwrap().has_ended() {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    sleep(ms(1_500));
    let killed = *killed.lock().unwrap();
    let mut lost = 0;
    for asked in asked.lock().unwrap().iter() {
        let has_run = servers.iter().any(|server| server.count(&asked.attempt) > 0);
        let line = format!(
            "request {} on a {} channel: status {}, run {has_run}",
            asked.attempt,
            if asked.is_kept { "kept" } else { "new" },
            asked.status
        );
        let is_lost = asked.status == 0 && asked.is_kept && has_run;
        let is_end = killed.is_some_and(|at| asked.ended + ms(100) > at);
        if is_lost || is_end {
            record.say(&line);
        }
        lost += u32::from(is_lost && is_end);
    }
    record.say(&format!(
        "requests on kept channels in all: {}",
        asked.lock().unwrap().len()
    ));
    record.say(&format!(
        "highest rate of what requesters sent, over 0.5 s: {} Mbit/s of 1,000",
        rate.load(Ordering::SeqCst)
    ));
    record.say(&format!(
        "most memory {} MiB of 260; killed for it: {}; passed on from kept channels and closed without an answer: {lost}",
        peak.load(Ordering::SeqCst) >> 20,
        killed.is_some()
    ));
    println!(
        "memory {} MiB, killed {}, lost {lost}",
        peak.load(Ordering::SeqCst) >> 20,
        killed.is_some()
    );
    entry.lock().unwrap().kill();
    drop(folder);
    std::process::exit(i32::from(killed.is_some() && lost > 3));
}
