//! Requests with a part that crashes servers come; sound requests share their key and their first part.
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ZONE: &str = "zone-a";
const LAYERS: u64 = 80;
/// Time to load all layers.
const LOAD_MS: u64 = 1_400;
const SERVERS: usize = 10;
/// A crashed server is back after this time, under a new id and empty.
const RESTART: Duration = Duration::from_millis(2_000);
/// `contactMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const KEYS: [&str; 2] = ["key-of-tenant-one", "key-of-tenant-two"];
/// The part that crashes servers, and the first part that sound requests share with those that have it.
const CRASHING: &str = "dead";
const SHARED: &str = "5c1e07a2";

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"draft","host":"pipelines.example","pathPrefix":"/draft/",
"kind":"streaming","timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"gen","maxAttempts":2,
"public":false,"sticky":true,"resumable":true,"gapTargetMs":250}}],
"services":[{{"name":"gen","healthPath":"/healthz","maxConnections":908,"protocol":"h1","tls":false,
"engine":{{"slots":192,"kvTokens":100000,"kvTokenBytes":590000,"linkMbps":400000.0,"stride":4,
"models":[{{"name":"gen-model","pace":1.0,"loadS":14.0,"warmS":1.0}}],"step_ms":1.02,"per_seq_ms":0.00459,
"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,
"loadsPerS":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":774,"answer":210}},"layers":{LAYERS},
"layerMb":1750.0,"activationBytes":29500,"pipeMbps":19000.0,
"kinds":[{{"name":"a100","mb":72000.0,"pace":2.4,"readFactor":3.2}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"tenant-one","apiKeys":["{}"],"priority":1}},
{{"name":"tenant-two","apiKeys":["{}"],"priority":1}}]}}"#,
        KEYS[0], KEYS[1]
    )
}

#[derive(Default)]
struct State {
    layers: Option<(u64, u64)>,
    loading: Option<((u64, u64), Instant)>,
    orders: u64,
    fence: u64,
}

impl State {
    fn settle(&mut self) {
        if let Some((span, until)) = self.loading
            && until <= Instant::now()
        {
            (self.layers, self.loading) = (Some(span), None);
        }
    }

    fn layers_json(&self) -> String {
        let (from, to) = self.layers.unwrap_or_default();
        format!("{{\"from\":{from},\"to\":{to},\"version\":1}}")
    }
}

/// What all servers share.
#[derive(Clone)]
struct World {
    store: Store,
    log: Log,
    crashes: Arc<Mutex<Vec<Instant>>>,
    boots: Arc<AtomicU64>,
    /// Attempts whose answer a server has begun.
    begun: Arc<Mutex<Vec<String>>>,
}

/// Starts a boot of a server.
fn boot(world: &World, name: &str, address: SocketAddr) -> SocketAddr {
    let number = world.boots.fetch_add(1, Ordering::SeqCst);
    let id = format!("{name}-boot-{number}");
    let born = unix_ms();
    let state = Arc::new(Mutex::new(State::default()));
    let slot: Arc<Mutex<Option<Server>>> = Arc::default();
    let (own, shared, own_world, own_slot, own_name) = (
        id.clone(),
        state.clone(),
        world.clone(),
        slot.clone(),
        name.to_owned(),
    );
    let handler = move |request: &Request, stream: &mut TcpStream| -> Reply {
        shared.lock().unwrap().settle();
        match request.path() {
            "/healthz" => reply(200, &[("X-Instance-Id", own.clone())], ""),
            "/api/report" => {
                let state = shared.lock().unwrap();
                json(
                    200,
                    format!(
                        "{{\"stage\":\"both\",\"models\":[],\"busy\":{},\"seq\":{},\"queued\":0,\"active\":0,\
                         \"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"pace\":1.0,\"stalled\":[],\"layers\":{},\
                         \"kind\":\"a100\",\"born\":{born}}}",
                        state.loading.is_some(),
                        state.orders,
                        state.layers_json()
                    ),
                )
            }
            "/api/order" => order(&mut shared.lock().unwrap(), request),
            _ => stream_answer(
                &own_world, &own, &own_name, &shared, &own_slot, request, stream,
            ),
        }
    };
    let server = Server::start_raw(address, Arc::new(handler));
    let server = server.unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")));
    *slot.lock().unwrap() = Some(server.clone());
    let address = server.address;
    register(&world.store, &server, &id, move |number| {
        let mut state = state.lock().unwrap();
        state.settle();
        format!(
            "{{\"service\":\"gen\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":192,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\"kind\":\"a100\",\
             \"layers\":{},\"seq\":{number},\"born\":{born}}}",
            state.layers_json()
        )
    });
    address
}

fn order(state: &mut State, request: &Request) -> Reply {
    let number = |name: &str| field(&request.body, name).parse::<u64>().unwrap_or(0);
    let (from, to, fence) = (number("from"), number("to"), number("fence"));
    if fence < state.fence {
        return reply(412, &[], "");
    }
    if number("expect") != state.orders || state.loading.is_some() {
        return reply(409, &[], "");
    }
    (state.fence, state.orders) = (fence, state.orders + 1);
    (state.layers, state.loading) = (
        None,
        Some((
            (from, to),
            Instant::now() + ms(LOAD_MS * (to - from) / LAYERS),
        )),
    );
    reply(202, &[], "")
}

/// Whether a shared part of the prompt, all but the last, is the one that crashes servers.
fn crashes_servers(request: &Request) -> bool {
    let parts = request
        .header("x-prompt-prefix")
        .rsplit_once(',')
        .map_or("", |(shared, _)| shared);
    parts
        .split(',')
        .any(|part| part.split(':').next() == Some(CRASHING))
}

/// Answers with a stream of ten events, or crashes as the first is written.
fn stream_answer(
    world: &World,
    own: &str,
    name: &str,
    state: &Mutex<State>,
    slot: &Mutex<Option<Server>>,
    request: &Request,
    stream: &mut TcpStream,
) -> Reply {
    let attempt = request.header("x-attempt-id").to_owned();
    if attempt.is_empty() {
        return reply(400, &[("X-Not-Executed", "1".to_owned())], "");
    }
    let mine = request
        .header("x-hop-count")
        .split(',')
        .next()
        .unwrap_or_default()
        .to_owned();
    let span = mine.split_once('=').and_then(|(_, span)| {
        let (from, to) = span.split_once('-')?;
        Some((from.parse::<u64>().ok()?, to.parse::<u64>().ok()?))
    });
    let held = state.lock().unwrap().layers;
    let holds =
        matches!((span, held), (Some(part), Some(held)) if held.0 <= part.0 && part.1 <= held.1);
    if request.header("x-expect-instance") != own || !holds {
        return reply(
            421,
            &[("X-Instance-Id", own.to_owned()), ("X-Attempt-Id", attempt)],
            "",
        );
    }
    world.begun.lock().unwrap().push(attempt.clone());
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {own}.{attempt}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return None;
    }
    thread::sleep(ms(20));
    if crashes_servers(request) {
        let server = slot.lock().unwrap().take();
        if let Some(server) = server {
            world.crashes.lock().unwrap().push(Instant::now());
            world
                .log
                .line(&format!("{own} crashes as it begins to answer {attempt}"));
            let (world, name) = (world.clone(), name.to_owned());
            thread::spawn(move || {
                let address = server.address;
                server.crash();
                thread::sleep(RESTART);
                boot(&world, &name, address);
            });
        }
        thread::sleep(ms(100));
        return None;
    }
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    for number in after + 1..=10 {
        let event = format!("id: {number}\ndata: piece {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return None;
        }
        thread::sleep(ms(20));
    }
    match stream.write_all(b"0\r\n\r\n") {
        Ok(()) => written(),
        Err(_) => None,
    }
}

/// What became of a sound request.
struct Sound {
    sent_at: Instant,
    has_begun: bool,
}

fn send(entry: &Entry, attempt: &str, key: &str, parts: &str) -> Answer {
    let authorization = format!("Bearer {key}");
    let headers = [
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "20000"),
        ("X-Model", "gen-model"),
        ("X-Token-Usage", "60,40"),
        ("X-Prompt-Prefix", parts),
        ("Authorization", authorization.as_str()),
    ];
    call(
        entry.front,
        "POST",
        "/draft/cue",
        &headers,
        attempt.as_bytes(),
        ms(20_000),
    )
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let record = arguments
        .next()
        .unwrap_or_else(|| cannot_run("no file for the record"));
    let (log, folder, trouble) = (Log::create(&record), temporary_folder(), has_trouble());
    let world = World {
        store: Store::start(),
        log: log.clone(),
        crashes: Arc::default(),
        boots: Arc::default(),
        begun: Arc::default(),
    };
    world
        .store
        .put("keyed.op", "config", configuration().as_bytes());
    for index in 1..=SERVERS {
        boot(&world, &format!("gen-{index}"), any_port());
    }
    let mut entries: Vec<Entry> = (1..=2)
        .map(|index| {
            Entry::new(
                &folder,
                &format!("front-zone-a-{index}"),
                ZONE,
                &world.store,
            )
        })
        .collect();
    entries.iter_mut().for_each(Entry::start);
    wait_for("entries ready", ms(15_000), || {
        entries.iter().all(Entry::is_ready)
    });
    for entry in &entries {
        wait_for("a stream served", ms(20_000), || {
            send(entry, "warm", KEYS[1], "77aa:40,88bb:20").is_whole_success()
        });
    }
    thread::sleep(ms(3_000));
    let start = Instant::now();
    let entries = Arc::new(entries);
    let is_over = Arc::new(Mutex::new(false));
    let over = |flag: &Mutex<bool>| *flag.lock().unwrap();

    // Requests of the other tenant come all the time.
    let others = {
        let (entries, is_over, log) = (entries.clone(), is_over.clone(), log.clone());
        thread::spawn(move || {
            let (mut sent, mut served) = (0, 0);
            while !over(&is_over) {
                let answer = send(
                    &entries[sent % 2],
                    &format!("other-{sent}"),
                    KEYS[1],
                    &format!("77aa:40,e{sent:x}:20"),
                );
                sent += 1;
                served += usize::from(answer.is_whole_success());
                thread::sleep(ms(400));
            }
            log.line(&format!(
                "other tenant: {served} of {sent} streams served whole"
            ));
        })
    };
    let sound = |phase: &str, time: Duration| {
        let until = Instant::now() + time;
        let mut results = Vec::new();
        let mut number = 0;
        while Instant::now() < until {
            let attempt = format!("{phase}-{number}");
            let sent_at = Instant::now();
            let answer = send(
                &entries[number % 2],
                &attempt,
                KEYS[0],
                &format!("{SHARED}:40,a{phase}{number:x}:20"),
            );
            let has_begun = world.begun.lock().unwrap().contains(&attempt);
            log.line(&format!(
                "sound {attempt} at {}: {} {}{}",
                entries[number % 2].name,
                answer.status,
                String::from_utf8_lossy(&answer.body)
                    .split("\"name\":")
                    .nth(1)
                    .unwrap_or_default()
                    .split(',')
                    .next()
                    .unwrap_or_default(),
                if has_begun { " begun" } else { "" }
            ));
            results.push(Sound { sent_at, has_begun });
            number += 1;
            thread::sleep(ms(60));
        }
        results
    };

    let before = sound("0", ms(6_000));
    log.line("no request with that first part for 11 s");
    thread::sleep(ms(11_000));
    let crashing = {
        let (entries, is_over, log) = (entries.clone(), is_over.clone(), log.clone());
        thread::spawn(move || {
            for number in 0usize.. {
                if over(&is_over) || !trouble {
                    return;
                }
                let attempt = format!("crashing-{number}");
                let parts = format!("{SHARED}:40,{CRASHING}:10,c{number:x}:10");
                let answer = send(&entries[number % 2], &attempt, KEYS[0], &parts);
                log.line(&format!("{attempt}: {}", answer.status));
                thread::sleep(ms(300));
            }
        })
    };
    if trouble {
        log.line("requests with the crashing part come from now on");
    }
    thread::sleep(ms(4_000));
    let after = sound("1", ms(16_000));
    *is_over.lock().unwrap() = true;
    let _ = (others.join(), crashing.join());

    let crashes = world.crashes.lock().unwrap().clone();
    let known = crashes.get(4).or(crashes.last()).copied().unwrap_or(start) + 2 * CONTACT;
    let later: Vec<&Sound> = after.iter().filter(|sound| sound.sent_at > known).collect();
    let share = |results: &[&Sound]| {
        results.iter().filter(|sound| sound.has_begun).count() as f64 / results.len().max(1) as f64
    };
    let before: Vec<&Sound> = before.iter().collect();
    let (was, is) = (share(&before), share(&later));
    log.line(&format!(
        "{} crashes; sound requests begun: {:.2} of {} before, {:.2} of {} later than 2 x contactMs after the crash that counts",
        crashes.len(),
        was,
        before.len(),
        is,
        later.len()
    ));
    if before.len() < 20 || later.len() < 20 || was < 0.9 {
        cannot_run("too few requests");
    }
    let broken = (is < was / 2.0).then(|| {
        format!(
            "LOST: after {} crashes {:.2} of {} sound requests with the same key and first part began, {:.2} of {} before",
            crashes.len(),
            is,
            later.len(),
            was,
            before.len()
        )
    });
    end(&log, &folder, broken)
}
