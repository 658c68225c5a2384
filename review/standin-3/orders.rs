//! Orders to load layers, while servers crash for good and their addresses go to servers of another service.

mod common;

use {
    common::{
        Entry, Folder, Message, Record, Store, call, cannot_run, has_trouble, listen, ms, response, unix_ms,
    },
    std::{
        io::{BufReader, Write},
        net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const KEY: &str = "good-key";
/// Status report interval, after three of which without a word a record is removed.
const BEAT: Duration = ms_const(1_200);
/// `reuseAfterS`.
const REUSE_AFTER: Duration = ms_const(2_000);
/// From the opening of a server's port to its first record.
const FIRST_RECORD: Duration = ms_const(300);
/// Time of a load.
const LOAD: Duration = ms_const(1_000);
/// Servers of the first service beside the large one: as many of each kind as in the first zone of the site.
const SMALL_AND_MIDDLE: usize = 6;
/// Deployments, one after the other; in each the large server crashes once, which is one in thirteen.
const EPISODES: usize = 3;
/// Requesters.
const REQUESTERS: usize = 24;

const fn ms_const(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A kind of card: its memory holds so many layers of 1,750 MB.
#[derive(Clone, Copy)]
struct Card {
    name: &'static str,
    mb: u32,
}

const LARGE: Card = Card { name: "a100", mb: 72_000 };
const SMALL: Card = Card { name: "v100", mb: 14_400 };
const MIDDLE: Card = Card { name: "l4", mb: 21_600 };
const LAYER_MB: u32 = 1_750;

struct State {
    span: (u32, u32),
    loading: Option<(Instant, (u32, u32))>,
    orders: u64,
    channels: Vec<TcpStream>,
    last_record: Instant,
}

struct Model {
    id: String,
    service: &'static str,
    card: Card,
    address: SocketAddr,
    born: u64,
    is_dead: AtomicBool,
    /// Orders for more layers than its memory holds.
    orders_over: AtomicU32,
    /// Streams that it began as the first server of their path.
    streams: AtomicU64,
    state: Mutex<State>,
    seq: AtomicU64,
}

impl Model {
    fn start(store: &Store, record: &Record, id: &str, service: &'static str, card: Card, listener: TcpListener) -> Arc<Self> {
        let state = State {
            span: (0, 0),
            loading: None,
            orders: 0,
            channels: Vec::new(),
            last_record: Instant::now(),
        };
        let server = Arc::new(Self {
            id: id.to_owned(),
            service,
            card,
            address: listener.local_addr().unwrap(),
            born: unix_ms(),
            is_dead: AtomicBool::new(false),
            orders_over: AtomicU32::new(0),
            streams: AtomicU64::new(0),
            state: Mutex::new(state),
            seq: AtomicU64::new(0),
        });
        record.say(&format!("server {id} of {service} ({}) starts at {}", card.name, server.address));
        let (shared, shared_record) = (server.clone(), record.clone());
        thread::spawn(move || shared.accept(&listener, &shared_record));
        let (shared, store) = (server.clone(), store.clone());
        thread::spawn(move || shared.write_records(&store));
        server
    }

    fn is_dead(&self) -> bool {
        self.is_dead.load(Ordering::SeqCst)
    }

    /// Crashes for good: its port is closed and its channels are reset or end.
    fn crash(&self) {
        self.is_dead.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the port.
        let _ = TcpStream::connect_timeout(&self.address, ms(500));
        for channel in &self.state.lock().unwrap().channels {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, record: &Record) {
        for stream in listener.incoming().flatten() {
            if self.is_dead() {
                return;
            }
            let _ = stream.set_nodelay(true);
            if let Ok(channel) = stream.try_clone() {
                self.state.lock().unwrap().channels.push(channel);
            }
            let (server, record) = (self.clone(), record.clone());
            thread::spawn(move || server.serve(stream, &record));
        }
    }

    fn span(&self) -> (u32, u32) {
        let mut state = self.state.lock().unwrap();
        if let Some((at, span)) = state.loading
            && at.elapsed() >= LOAD
        {
            state.span = span;
            state.loading = None;
        }
        state.span
    }

    fn layers(&self) -> String {
        let (from, to) = self.span();
        format!("{{\"from\":{from},\"to\":{to},\"version\":1}}")
    }

    /// Writes records as long as it lives; the store removes the last one after three intervals of silence.
    fn write_records(&self, store: &Store) {
        sleep(FIRST_RECORD);
        while !self.is_dead() {
            let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
            let record = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":192,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"kind\":\"{}\",\"layers\":{},\
                 \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
                self.service,
                self.address,
                self.card.name,
                self.layers(),
                self.born
            );
            store.write("keyed.servers", &self.id, &record);
            self.state.lock().unwrap().last_record = Instant::now();
            let until = Instant::now() + BEAT;
            while Instant::now() < until && !self.is_dead() {
                sleep(ms(10));
            }
        }
        let last = self.state.lock().unwrap().last_record;
        sleep((last + BEAT * 3).saturating_duration_since(Instant::now()));
        store.write("keyed.servers", &self.id, "");
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = common::read_message(&mut reader) {
            if self.is_dead() || !self.answer(&request, &mut writer, record) {
                return;
            }
        }
    }

    /// Answers a request; returns whether the channel goes on.
    fn answer(&self, request: &Message, writer: &mut TcpStream, record: &Record) -> bool {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = [("X-Attempt-Id", attempt), ("X-Instance-Id", self.id.clone())];
            return writer.write_all(&response(421, &headers, b"")).is_ok();
        }
        match request.path() {
            "/healthz" => {
                let headers = [("X-Instance-Id", self.id.clone())];
                writer.write_all(&response(200, &headers, b"")).is_ok()
            }
            "/api/report" => {
                let layers = self.layers();
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
                     \"seq\":{},\"queued\":0,\"active\":0,\"kvUsed\":0,\"kvTotal\":8000000,\"handles\":0,\
                     \"stalled\":[],\"layers\":{layers},\"born\":{}}}",
                    state.loading.is_some(),
                    state.orders,
                    self.born
                );
                drop(state);
                writer.write_all(&response(200, &[], body.as_bytes())).is_ok()
            }
            "/api/order" => self.take_order(request, writer, record),
            _ => self.stream(&attempt, writer),
        }
    }

    fn take_order(&self, request: &Message, writer: &mut TcpStream, record: &Record) -> bool {
        let number = |name: &str| common::field(&request.body, name).and_then(|value| value.parse::<u32>().ok());
        let (Some(from), Some(to)) = (number("from"), number("to")) else {
            return writer.write_all(&response(400, &[], b"")).is_ok();
        };
        let most = self.card.mb / LAYER_MB;
        let is_over = to.saturating_sub(from) > most;
        record.say(&format!(
            "server {} of {} ({}, holds {most} layers) is ordered to hold {from} to {to}{}",
            self.id,
            self.service,
            self.card.name,
            if is_over { ": more than its memory holds" } else { "" }
        ));
        if is_over {
            // "A server that is ordered to hold more than its `mb` crashes."
            self.orders_over.fetch_add(1, Ordering::SeqCst);
            self.crash();
            return false;
        }
        let mut state = self.state.lock().unwrap();
        let expected = common::field(&request.body, "expect").and_then(|value| value.parse::<u64>().ok());
        let fits = state.loading.is_none() && expected.is_none_or(|expected| expected == state.orders);
        if fits {
            state.orders += 1;
            state.loading = Some((Instant::now(), (from, to)));
        }
        drop(state);
        let status = if fits { 202 } else { 409 };
        writer.write_all(&response(status, &[], b"")).is_ok()
    }

    /// A stream of seven events in 0.3 s.
    fn stream(&self, attempt: &str, writer: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Response-Seal: seal.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        self.streams.fetch_add(1, Ordering::SeqCst);
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        for id in 1..=7 {
            let event = format!("id: {id}\ndata: x\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && !self.is_dead() && writer.write_all(chunk.as_bytes()).is_ok();
            sleep(ms(40));
        }
        is_sent && writer.write_all(b"0\r\n\r\n").is_ok()
    }
}

fn configuration() -> String {
    let route = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"pathPrefix\":\"/{name}/\",\"kind\":\"streaming\",\
             \"timeoutMs\":20000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"{name}\",\"maxAttempts\":2,\
             \"public\":false,\"sticky\":true,\"resumable\":true,\"gapTargetMs\":250}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":908,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":192,\"kvTokens\":100000,\"kvTokenBytes\":590000,\"linkMbps\":400000.0,\"stride\":4,\
             \"models\":[{{\"name\":\"m\",\"pace\":1.0,\"loadS\":14.0,\"warmS\":1.0}}],\"step_ms\":1.02,\
             \"per_seq_ms\":0.00459,\"context_per_k\":0.00615,\"read_per_s\":164000.0,\"pairs_per_m\":0.199,\
             \"chunk\":512,\"report_lag_ms\":200.0,\"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\
             \"usual\":{{\"prompt\":774,\"answer\":210}},\"layers\":80,\"layerMb\":{LAYER_MB}.0,\
             \"activationBytes\":29500,\"pipeMbps\":19000.0,\"kinds\":[\
             {{\"name\":\"{}\",\"mb\":{}.0,\"pace\":2.4,\"readFactor\":3.2}},\
             {{\"name\":\"{}\",\"mb\":{}.0,\"pace\":5.3,\"readFactor\":7.9}},\
             {{\"name\":\"{}\",\"mb\":{}.0,\"pace\":16.0,\"readFactor\":8.2}}]}}}}",
            LARGE.name, LARGE.mb, SMALL.name, SMALL.mb, MIDDLE.name, MIDDLE.mb
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{},{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"t\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("voix"),
        route("prose"),
        service("voix"),
        service("prose")
    )
}

/// Sends one stream after the other.
fn ask(address: SocketAddr, next: &AtomicU64, stop: &AtomicBool, served: &AtomicU64) {
    while !stop.load(Ordering::SeqCst) {
        let attempt = next.fetch_add(1, Ordering::SeqCst);
        let request = format!(
            "POST /voix/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt:016x}\r\nX-Deadline-Ms: 4000\r\n\
             X-Model: m\r\nX-Token-Usage: 100,50\r\nX-Prompt-Prefix: 5c1e:80,{attempt:x}:20\r\n\
             Authorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
        );
        let answer = call(address, &request, ms(4_000));
        match answer.is_some_and(|answer| answer.status() == 200) {
            true => served.fetch_add(1, Ordering::SeqCst),
            false => {
                sleep(ms(100));
                0
            }
        };
    }
}

/// One deployment, in which the large server crashes; returns the orders over the memory of a server, and the streams
/// that were served.
fn episode(record: &Record, index: usize) -> (u32, u64) {
    let folder = Folder::new("review-13");
    let store = Store::start();
    let local = Ipv4Addr::new(127, 0, 0, 1);
    let start = |id: &str, service: &'static str, card: Card, listener: TcpListener| {
        Model::start(&store, record, id, service, card, listener)
    };
    let large = start("i-a0", "voix", LARGE, listen(local));
    let mut servers = vec![large.clone()];
    for (name, card) in [("v", SMALL), ("l", MIDDLE)] {
        let others = (0..SMALL_AND_MIDDLE).map(|index| start(&format!("i-{name}{index}"), "voix", card, listen(local)));
        servers.extend(others);
    }
    store.write("keyed.op", "config", &configuration());
    let name = format!("front-zone-a-{index}");
    let mut entry = Entry::new(&folder.0, &name, "zone-a", &["zone-a"], Ipv4Addr::new(127, 0, 0, 11), &store);
    entry.start();
    if !entry.wait_ready(ms(20_000)) {
        cannot_run("the entry is not ready");
    }
    let (next, stop) = (Arc::new(AtomicU64::new(0xa000)), Arc::new(AtomicBool::new(false)));
    let served = Arc::new(AtomicU64::new(0));
    for _ in 0..REQUESTERS {
        let (address, next, stop, served) = (entry.callers, next.clone(), stop.clone(), served.clone());
        thread::spawn(move || ask(address, &next, &stop, &served));
    }
    sleep(ms(8_000));
    if served.load(Ordering::SeqCst) == 0 || servers.iter().any(|server| server.span() == (0, 0)) {
        cannot_run("the servers were not all given layers");
    }
    let listener = match has_trouble() {
        true => {
            large.crash();
            record.say(&format!("server {} crashes for good", large.id));
            sleep(REUSE_AFTER + ms(50));
            TcpListener::bind(large.address).unwrap_or_else(|error| cannot_run(&error.to_string()))
        }
        false => {
            sleep(REUSE_AFTER + ms(50));
            listen(local)
        }
    };
    servers.push(start("i-p0", "prose", SMALL, listener));
    sleep(ms(2_500));
    stop.store(true, Ordering::SeqCst);
    sleep(ms(300));
    for line in entry.lines("result of an order to load layers") {
        record.say(&format!("log of the entry: {line}"));
    }
    entry.kill();
    for server in servers.iter().filter(|server| !server.is_dead()) {
        server.crash();
    }
    let over = servers.iter().map(|server| server.orders_over.load(Ordering::SeqCst)).sum();
    (over, served.load(Ordering::SeqCst))
}

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| cannot_run("usage: orders RECORD"));
    let record = Record::new(&out);
    let mut over_in_all = 0;
    for index in 1..=EPISODES {
        record.say(&format!("deployment {index} begins"));
        let (over, served) = episode(&record, index);
        record.say(&format!(
            "deployment {index}: {served} streams answered with 200; orders to hold more layers than the memory of the \
             server holds: {over}"
        ));
        over_in_all += over;
    }
    record.say(&format!("orders to hold more layers than the memory of the server holds, in all: {over_in_all}"));
    println!("orders over the memory: {over_in_all}");
    std::process::exit(i32::from(over_in_all > 0));
}
