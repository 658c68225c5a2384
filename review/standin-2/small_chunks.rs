//! A requester sends a body in the smallest chunks, beside others that keep their channels.
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        collections::BTreeSet,
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `memoryMb` of the settings: the smallest machines of the site.
const MEMORY_MB: u64 = 112;
/// `maxBodyBytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// Requesters with such a body.
const LARGE: usize = 1;
/// Requesters that keep their channels.
const KEEPERS: usize = 12;
/// The longest work of a call on the site.
const WORK: Duration = Duration::from_millis(110);

const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"book","host":"pipelines.example","pathPrefix":"/book/",
"kind":"non_idempotent","timeoutMs":20000,"targetLatencyMs":100,"priority":1,"service":"ledger","maxAttempts":1,
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

/// Sends a body in chunks of this size; the status of the answer, 0 without one.
fn send_chunked(front: SocketAddr, id: &str, chunk: usize) -> u16 {
    let send = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, ms(1_000))?;
        stream.set_read_timeout(Some(ms(25_000)))?;
        let head = format!(
            "POST /book/hall HTTP/1.1\r\nHost: pipelines.example\r\nX-Attempt-Id: {id}\r\n\
             X-Deadline-Ms: 20000\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        let one = [
            format!("{chunk:x}\r\n").into_bytes(),
            vec![b'.'; chunk],
            b"\r\n".to_vec(),
        ]
        .concat();
        let many = one.repeat((65_536 / chunk).max(1));
        for _ in 0..BODY_BYTES / 65_536 {
            stream.write_all(&many)?;
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(read_answer(&mut BufReader::new(stream))?.status)
    };
    send().unwrap_or(0)
}

/// A request on a kept channel that got no answer.
struct Cut {
    id: String,
    /// Requests that were answered on its channel before it.
    answered_before: usize,
}

/// Sends one request after the other on a channel for as long as it is open, and then on another.
fn keep(front: SocketAddr, number: usize, is_over: &AtomicBool, cuts: &Mutex<Vec<Cut>>) {
    let mut count = 0;
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&front, ms(1_000)) else {
            thread::sleep(ms(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(ms(21_000)));
        let Ok(reader) = stream.try_clone() else {
            continue;
        };
        let (mut reader, mut answered_before) = (BufReader::new(reader), 0);
        while !is_over.load(Ordering::SeqCst) {
            count += 1;
            let id = format!("kept-{number}-{count}");
            let head = format!(
                "POST /book/hall HTTP/1.1\r\nHost: pipelines.example\r\nX-Attempt-Id: {id}\r\n\
                 X-Deadline-Ms: 20000\r\nContent-Length: 6\r\n\r\na hall"
            );
            let answer = stream
                .write_all(head.as_bytes())
                .and_then(|()| read_answer(&mut reader));
            match answer {
                Ok(answer) if answer.is_whole => answered_before += 1,
                _ => {
                    cuts.lock().unwrap().push(Cut {
                        id,
                        answered_before,
                    });
                    break;
                }
            }
            thread::sleep(ms(20));
        }
    }
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
            let id = format!("ledger-{index}");
            start_plain(&store, &runs, "ledger", "zone-a", &id, WORK)
        })
        .collect();
    let mut entry = Entry::new(&folder, "front-zone-a-1", "zone-a", &store);
    entry.set_memory_mb(MEMORY_MB);
    entry.start();
    wait_for("the entry ready", ms(15_000), || entry.is_ready());
    let front = entry.front;
    let is_over = Arc::new(AtomicBool::new(false));
    let cuts: Arc<Mutex<Vec<Cut>>> = Arc::default();
    let keepers: Vec<_> = (0..KEEPERS)
        .map(|number| {
            let (is_over, cuts) = (is_over.clone(), cuts.clone());
            thread::spawn(move || keep(front, number, &is_over, &cuts))
        })
        .collect();
    thread::sleep(ms(3_000));
    if !cuts.lock().unwrap().is_empty() {
        cannot_run("requests were cut before");
    }

    // The platform ends a process that exceeds its memory, and starts it again.
    let most = Arc::new(AtomicU64::new(0));
    let platform = {
        let (is_over, most, log) = (is_over.clone(), most.clone(), log.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let used = memory(entry.pid());
                most.fetch_max(used, Ordering::SeqCst);
                if used > MEMORY_MB << 20 {
                    entry.kill();
                    log.line(&format!(
                        "{} uses {} MB and is killed",
                        entry.name,
                        used >> 20
                    ));
                    thread::sleep(ms(500));
                    entry.start();
                }
                thread::sleep(ms(5));
            }
        })
    };
    let chunk = if trouble { 1 } else { 16_384 };
    log.line(&format!(
        "{LARGE} requester sends {BODY_BYTES} bytes, in chunks of {chunk}; {KEEPERS} others keep their channels"
    ));
    let began = Instant::now();
    let large: Vec<_> = (0..LARGE)
        .map(|number| thread::spawn(move || send_chunked(front, &format!("large-{number}"), chunk)))
        .collect();
    let statuses: Vec<u16> = large
        .into_iter()
        .map(|large| large.join().unwrap_or(0))
        .collect();
    log.line(&format!(
        "it was answered {statuses:?} after {} ms (0: no answer)",
        began.elapsed().as_millis()
    ));
    thread::sleep(ms(1_500));
    is_over.store(true, Ordering::SeqCst);
    for keeper in keepers {
        let _ = keeper.join();
    }
    let _ = platform.join();
    let ran: BTreeSet<String> = runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.attempt.clone())
        .collect();
    let cuts = cuts.lock().unwrap();
    let mut lost = 0;
    for cut in cuts.iter() {
        let is_lost = ran.contains(&cut.id) && cut.answered_before > 0;
        lost += usize::from(is_lost);
        log.line(&format!(
            "{}: no answer, {} answered before on its channel{}",
            cut.id,
            cut.answered_before,
            if is_lost { "; a server ran it" } else { "" }
        ));
    }
    log.line(&format!(
        "most memory {} MB, limit {MEMORY_MB}; {} calls ran",
        most.load(Ordering::SeqCst) >> 20,
        ran.len()
    ));
    let broken = (lost > 3).then(|| {
        format!(
            "LOST: {lost} requests on kept channels were passed on and not answered, as the process exceeded its memory"
        )
    });
    end(&log, &folder, broken)
}
