//! An empty model server crashes, and its address goes to a server of another service: whose orders go there?
#![allow(dead_code)]

#[path = "common.rs"]
mod common;

use {
    common::*,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const ZONE: &str = "zone-a";
const LAYERS: u64 = 80;
const LAYER_MB: u64 = 1_750;
/// Time to load all layers before the first request: a tenth of `loadS`.
const LOAD_MS: u64 = 1_400;
/// Model servers of the first service, on large cards, and of the second, on small ones.
const SERVERS: (usize, usize) = (8, 24);
/// Servers that are added to the first service and crash; within 0.15 of all servers.
const ROUNDS: usize = 5;

const KINDS: &str = r#"[{"name":"a100","mb":72000.0,"pace":2.4,"readFactor":3.2},
{"name":"v100","mb":14400.0,"pace":5.3,"readFactor":7.9}]"#;

fn memory_mb(kind: &str) -> u64 {
    if kind == "a100" { 72_000 } else { 14_400 }
}

fn configuration() -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"pipelines.example","pathPrefix":"/{name}/","kind":"streaming",
"timeoutMs":20000,"targetLatencyMs":500,"priority":1,"service":"{service}","maxAttempts":2,"public":true,
"sticky":true,"resumable":true,"gapTargetMs":250}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":908,"protocol":"h1","tls":false,
"engine":{{"slots":192,"kvTokens":100000,"kvTokenBytes":590000,"linkMbps":400000.0,"stride":4,
"models":[{{"name":"{name}-model","pace":1.0,"loadS":14.0,"warmS":1.0}}],"step_ms":1.02,"per_seq_ms":0.00459,
"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,
"loadsPerS":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":774,"answer":210}},"layers":{LAYERS},
"layerMb":{LAYER_MB}.0,"activationBytes":29500,"pipeMbps":19000.0,"kinds":{KINDS}}}}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("draft", "large-gen"),
        route("note", "small-gen"),
        service("large-gen"),
        service("small-gen")
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
        match self.layers {
            Some((from, to)) => format!("{{\"from\":{from},\"to\":{to},\"version\":1}}"),
            None => "{\"from\":0,\"to\":0,\"version\":1}".to_owned(),
        }
    }
}

/// What orders did.
#[derive(Clone, Default)]
struct Orders {
    /// What an order demanded beyond the memory of a server.
    broken: Arc<Mutex<Vec<String>>>,
    /// Lines for the record.
    seen: Arc<Mutex<Vec<String>>>,
}

/// Starts a model server, which registers at once.
fn start_model(
    store: &Store,
    orders: &Orders,
    service: &str,
    kind: &'static str,
    id: &str,
    address: SocketAddr,
) -> Option<Server> {
    let born = unix_ms();
    let state = Arc::new(Mutex::new(State::default()));
    let has_crashed = Arc::new(AtomicBool::new(false));
    let (own, shared, orders, crashed) = (
        id.to_owned(),
        state.clone(),
        orders.clone(),
        has_crashed.clone(),
    );
    let owner = service.to_owned();
    let answer = move |request: &Request| -> Reply {
        if crashed.load(Ordering::SeqCst) {
            return None;
        }
        let mut state = shared.lock().unwrap();
        state.settle();
        match request.path() {
            "/healthz" => reply(200, &[("X-Instance-Id", own.clone())], ""),
            "/api/report" => json(
                200,
                format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{owner}-model\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":{},\"seq\":{},\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\
                     \"pace\":1.0,\"stalled\":[],\"layers\":{},\"kind\":\"{kind}\",\"born\":{born}}}",
                    state.loading.is_some(),
                    state.orders,
                    state.layers_json()
                ),
            ),
            "/api/order" => {
                let expected = request.header("x-expect-instance");
                if !expected.is_empty() && expected != own {
                    return reply(421, &[("X-Instance-Id", own.clone())], "");
                }
                let number = |name: &str| field(&request.body, name).parse::<u64>().unwrap_or(0);
                let (from, to, fence) = (number("from"), number("to"), number("fence"));
                let status = if fence < state.fence {
                    412
                } else if !field(&request.body, "expect").is_empty()
                    && number("expect") != state.orders
                    || state.loading.is_some()
                {
                    409
                } else {
                    202
                };
                let has_expect = if expected.is_empty() {
                    "without"
                } else {
                    "with"
                };
                orders.seen.lock().unwrap().push(format!(
                    "{own} ({owner}, {kind}): order {from}-{to}, fence {fence}, {has_expect} X-Expect-Instance: {status}"
                ));
                if status != 202 {
                    return reply(status, &[], "");
                }
                state.fence = fence;
                state.orders += 1;
                let needed = (to - from) * LAYER_MB;
                if needed > memory_mb(kind) {
                    orders.broken.lock().unwrap().push(format!(
                        "{own} of {owner} ({kind}, {} MB) was ordered to hold {} layers of {LAYER_MB} MB",
                        memory_mb(kind),
                        to - from
                    ));
                    crashed.store(true, Ordering::SeqCst);
                    return None;
                }
                let time = ms(LOAD_MS * (to - from) / LAYERS);
                state.loading = Some(((from, to), Instant::now() + time));
                reply(202, &[], "")
            }
            // No requester sends anything in this case.
            _ => reply(503, &[("X-Not-Executed", "1".to_owned())], ""),
        }
    };
    let server = Server::start(address, Arc::new(answer)).ok()?;
    let (service, address) = (service.to_owned(), server.address);
    register(store, &server, id, move |number| {
        let mut state = state.lock().unwrap();
        state.settle();
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\
             \"slots\":192,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[],\
             \"kind\":\"{kind}\",\"layers\":{},\"seq\":{number},\"born\":{born}}}",
            state.layers_json()
        )
    });
    Some(server)
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let record = arguments
        .next()
        .unwrap_or_else(|| cannot_run("no file for the record"));
    let (log, folder, trouble) = (Log::create(&record), temporary_folder(), has_trouble());
    let store = Store::start();
    let orders = Orders::default();
    store.put("keyed.op", "config", configuration().as_bytes());
    let large = |id: &str, address| start_model(&store, &orders, "large-gen", "a100", id, address);
    let small = |id: &str, address| start_model(&store, &orders, "small-gen", "v100", id, address);
    let mut servers = Vec::new();
    for index in 1..=SERVERS.0 {
        servers.push(
            large(&format!("large-{index}"), any_port()).unwrap_or_else(|| cannot_run("no port")),
        );
    }
    for index in 1..=SERVERS.1 {
        servers.push(
            small(&format!("small-{index}"), any_port()).unwrap_or_else(|| cannot_run("no port")),
        );
    }
    let mut entries: Vec<Entry> = (1..=2)
        .map(|index| Entry::new(&folder, &format!("front-zone-a-{index}"), ZONE, &store))
        .collect();
    entries.iter_mut().for_each(Entry::start);
    wait_for("entries ready", ms(15_000), || {
        entries.iter().all(Entry::is_ready)
    });
    let drain = || {
        for line in orders.seen.lock().unwrap().drain(..) {
            log.line(&line);
        }
    };
    wait_for("orders to all servers", ms(20_000), || {
        orders.seen.lock().unwrap().len() >= SERVERS.0 + SERVERS.1
    });
    thread::sleep(ms(4_000));
    drain();
    log.line("all servers hold their layers");
    for round in 1..=ROUNDS {
        let added = format!("large-added-{round}");
        let server = large(&added, any_port()).unwrap_or_else(|| cannot_run("no port"));
        log.line(&format!("{added} is added, empty, at {}", server.address));
        let reused = match trouble {
            true => {
                thread::sleep(ms(200));
                server.crash();
                log.line(&format!("{added} crashes for good"));
                server.address
            }
            false => any_port(),
        };
        // `reuseAfterS` is 2.
        thread::sleep(ms(2_200));
        let id = format!("small-added-{round}");
        match small(&id, reused) {
            Some(server) => {
                log.line(&format!(
                    "{id} starts, empty, at {}, and registers",
                    server.address
                ));
                servers.push(server);
            }
            None => log.line(&format!("{id}: the address is taken by something else")),
        }
        let until = Instant::now() + Duration::from_secs(6);
        while Instant::now() < until {
            drain();
            thread::sleep(ms(50));
        }
        if !trouble {
            servers.push(server);
        }
        if !orders.broken.lock().unwrap().is_empty() {
            break;
        }
    }
    drain();
    let broken = orders.broken.lock().unwrap();
    let broken = broken.first().map(|first| format!("LIMIT: {first}"));
    end(&log, &folder, broken)
}
