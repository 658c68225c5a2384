//! Small stand-ins with the standard library alone: an HTTP server, the platform's store, plain servers,
//! entries as child processes, a client and the record of a run.

use std::{
    collections::{BTreeMap, HashMap},
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// The record of a run, with times since its start.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn create(path: &str) -> Self {
        // A fault of the test ends all processes too.
        std::panic::set_hook(Box::new(|panic| cannot_run(&panic.to_string())));
        let file =
            File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} s  {text}");
        let _ = file.flush();
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Ends the program as a case that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    Entries::kill_all();
    let _ = std::fs::remove_dir_all(folder_path());
    std::process::exit(2)
}

/// A request as a server got it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(field, _)| *field == name)
            .map_or("", |(_, value)| value)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Reads a chunked body to its end.
fn read_chunked(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size];
        reader.read_exact(&mut chunk)?;
        body.extend(chunk);
        read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let (method, target) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let (method, target) = (method.to_owned(), target.to_owned());
    let headers = read_headers(reader)?;
    let body = match find(&headers, "transfer-encoding") {
        Some(_) => read_chunked(reader)?,
        None => {
            let length = find(&headers, "content-length").and_then(|value| value.parse().ok());
            let mut body = vec![0; length.unwrap_or(0)];
            reader.read_exact(&mut body)?;
            body
        }
    };
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// An answer; `None` closes the channel without one.
pub type Reply = Option<(u16, Vec<(String, String)>, Vec<u8>)>;

pub fn reply(status: u16, headers: &[(&str, String)], body: impl Into<Vec<u8>>) -> Reply {
    let headers = headers
        .iter()
        .map(|(name, value)| ((*name).to_owned(), value.clone()));
    Some((status, headers.collect(), body.into()))
}

pub fn json(status: u16, body: String) -> Reply {
    reply(
        status,
        &[("Content-Type", "application/json".to_owned())],
        body,
    )
}

type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;
/// A handler that may write its answer itself; it returns [`written`] then.
type RawHandler = Arc<dyn Fn(&Request, &mut TcpStream) -> Reply + Send + Sync>;

/// An answer that its handler has written.
pub fn written() -> Reply {
    reply(0, &[], "")
}

/// An HTTP server that can be ended as a crash does.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    is_up: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        Self::start_raw(address, Arc::new(move |request, _| handler(request)))
    }

    pub fn start_raw(address: SocketAddr, handler: RawHandler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            is_up: Arc::new(AtomicBool::new(true)),
            channels: Arc::default(),
        };
        let shared = server.clone();
        thread::spawn(move || {
            while shared.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => shared.serve(stream, handler.clone()),
                    Err(_) => thread::sleep(ms(2)),
                }
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream, handler: RawHandler) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            self.channels.lock().unwrap().push(clone);
        }
        let is_up = self.is_up.clone();
        thread::spawn(move || {
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = read_request(&mut reader) {
                let answer = handler(&request, &mut writer);
                if !is_up.load(Ordering::SeqCst) {
                    break;
                }
                let Some((status, headers, body)) = answer else {
                    break;
                };
                if status == 0 {
                    continue;
                }
                let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                let mut bytes = head.into_bytes();
                bytes.extend(body);
                if writer.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = writer.shutdown(Shutdown::Both);
        });
    }

    /// Ends the server and its channels, as a crash does.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        // The listener is closed by its thread.
        thread::sleep(ms(10));
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A port that was free just now.
pub fn free_port() -> u16 {
    let listener =
        TcpListener::bind(any_port()).unwrap_or_else(|error| cannot_run(&error.to_string()));
    listener
        .local_addr()
        .map(|address| address.port())
        .unwrap_or_default()
}

/// The first of `count` ports in a row that were free just now.
pub fn free_ports(count: u16) -> u16 {
    for _ in 0..1000 {
        let first = free_port();
        if first > 65_535 - count {
            continue;
        }
        let held: Vec<_> = (first..first + count)
            .map(|port| TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], port))))
            .collect();
        if held.iter().all(Result::is_ok) {
            return first;
        }
    }
    cannot_run("no free ports")
}

// ---------------------------------------------------------------------------------------------------------------
// The platform's store.

/// How long a server's entry outlives its last status report: three intervals.
pub const ENTRY_LIFE: Duration = Duration::from_millis(3_600);
/// Interval of status reports.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
    written_at: Instant,
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Vec<Record>>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    era: u64,
    is_away: bool,
}

/// The store; clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<StoreState>>,
    pub address: SocketAddr,
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(char::from(
                    BASE64[(number >> (18 - 6 * index)) as usize & 63],
                )),
                false => text.push('='),
            }
        }
    }
    text
}

/// The text or number of a field of a flat JSON object, as the entries write them.
pub fn field(body: &[u8], name: &str) -> String {
    let text = String::from_utf8_lossy(body);
    let Some(at) = text.find(&format!("\"{name}\":")) else {
        return String::new();
    };
    let rest = text[at + name.len() + 3..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().unwrap_or_default().to_owned(),
        None => rest
            .split([',', '}', ']'])
            .next()
            .unwrap_or_default()
            .trim()
            .to_owned(),
    }
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<Mutex<StoreState>> = Arc::default();
        let shared = state.clone();
        let handler: Handler = Arc::new(move |request| answer_store(&shared, request));
        let server = Server::start(any_port(), handler);
        let server = server.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let store = Self {
            state,
            address: server.address,
        };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(ms(50));
                expiring.expire();
            }
        });
        store
    }

    /// The store as one machine reaches it: turned away with 503 while the flag is set.
    pub fn door(&self, turns_away: Arc<AtomicBool>) -> Self {
        let state = self.state.clone();
        let handler: Handler = Arc::new(move |request| {
            // What was asked before the machine is turned away may be answered no more.
            let is_open = !turns_away.load(Ordering::SeqCst);
            let answer = is_open.then(|| answer_store(&state, request)).flatten();
            match turns_away.load(Ordering::SeqCst) {
                false => answer,
                true => {
                    let era = state.lock().unwrap().era;
                    reply(503, &[("Store-Era", era.to_string())], "")
                }
            }
        });
        let server = Server::start(any_port(), handler);
        let server = server.unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self {
            state: self.state.clone(),
            address: server.address,
        }
    }

    /// Ends the entries of servers that were silent for too long.
    fn expire(&self) {
        let state = self.state.lock().unwrap();
        if state.is_away {
            return;
        }
        let mut newest: BTreeMap<String, (bool, Instant)> = BTreeMap::new();
        for record in state.topics.get("keyed.servers").into_iter().flatten() {
            newest.insert(
                record.key.clone(),
                (record.value.is_empty(), record.written_at),
            );
        }
        drop(state);
        for (key, (is_over, at)) in newest {
            if !is_over && at.elapsed() > ENTRY_LIFE {
                self.put("keyed.servers", &key, b"");
            }
        }
    }

    /// Appends a record; an empty value drops the key. Returns whether the store took it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.is_away {
            return false;
        }
        state.append(topic, key, value);
        true
    }

    /// Is away from now on: channels are closed without an answer.
    pub fn leave(&self) {
        self.state.lock().unwrap().is_away = true;
    }

    /// Comes back from a copy made at `copied_at`, in the next era.
    pub fn restore(&self, copied_at: Instant) {
        let mut state = self.state.lock().unwrap();
        for records in state.topics.values_mut() {
            records.retain(|record| record.written_at <= copied_at);
            // The times of entries count from the return.
            for record in records {
                record.written_at = record.written_at.max(Instant::now() - ms(1_200));
            }
        }
        state.era += 1;
        state.is_away = false;
    }
}

impl StoreState {
    fn append(&mut self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let records = self.topics.entry(topic.to_owned()).or_default();
        records.push(Record {
            key: key.to_owned(),
            value: value.to_vec(),
            written_at: Instant::now(),
        });
        records.len() as u64 - 1
    }
}

fn answer_store(state: &Mutex<StoreState>, request: &Request) -> Reply {
    if state.lock().unwrap().is_away {
        return None;
    }
    let answer = match request.path() {
        "/api/log-read" => store_read(state, request),
        "/api/log-newest" => store_newest(state, request),
        "/api/log-append" => store_append(state, request),
        "/api/log-join" => store_join(state, request),
        "/api/log-leave" => {
            let mut state = state.lock().unwrap();
            state.members.remove(&field(&request.body, "member"));
            state.generation += 1;
            json(200, "{}".to_owned())
        }
        _ => reply(404, &[], ""),
    };
    let state = state.lock().unwrap();
    if state.is_away {
        return None;
    }
    let era = state.era;
    answer.map(|(status, mut headers, body)| {
        headers.push(("Store-Era".to_owned(), era.to_string()));
        (status, headers, body)
    })
}

fn store_read(state: &Mutex<StoreState>, request: &Request) -> Reply {
    let from: usize = request.query("from").parse().unwrap_or(0);
    let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
    let until = Instant::now() + ms(wait);
    loop {
        {
            let state = state.lock().unwrap();
            if state.is_away {
                return None;
            }
            let empty = Vec::new();
            let records = state.topics.get(request.query("topic")).unwrap_or(&empty);
            if from > records.len() {
                return json(410, "{\"first\":0}".to_owned());
            }
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in &records[from..] {
                    let size = 1 + record.key.len() + record.value.len();
                    body.extend((size as u32).to_be_bytes());
                    body.push(record.key.len() as u8);
                    body.extend(record.key.as_bytes());
                    body.extend(&record.value);
                }
                return reply(200, &[], body);
            }
        }
        thread::sleep(ms(4));
    }
}

fn store_newest(state: &Mutex<StoreState>, request: &Request) -> Reply {
    let state = state.lock().unwrap();
    let empty = Vec::new();
    let records = state.topics.get(request.query("topic")).unwrap_or(&empty);
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        newest.insert(&record.key, (offset, &record.value));
    }
    let items = newest
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty());
    let items = items.map(|(key, (offset, value))| {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
            base64(value)
        )
    });
    let items = items.collect::<Vec<_>>().join(",");
    json(
        200,
        format!(
            "{{\"items\":[{items}],\"hasMore\":false,\"end\":{}}}",
            records.len()
        ),
    )
}

fn store_append(state: &Mutex<StoreState>, request: &Request) -> Reply {
    let topic = request.query("topic");
    let mut state = state.lock().unwrap();
    let mut rest = request.body.as_slice();
    let mut first = None;
    while let Some((size, after)) = rest.split_first_chunk::<4>() {
        let size = u32::from_be_bytes(*size) as usize;
        let (Some(content), Some(next)) = (after.get(..size), after.get(size..)) else {
            return reply(400, &[], "");
        };
        let Some((length, content)) = content.split_first() else {
            return reply(400, &[], "");
        };
        let (Some(key), Some(value)) = (
            content.get(..usize::from(*length)),
            content.get(usize::from(*length)..),
        ) else {
            return reply(400, &[], "");
        };
        let offset = state.append(topic, &String::from_utf8_lossy(key), value);
        first.get_or_insert(offset);
        rest = next;
    }
    let end = state.topics.get(topic).map_or(0, Vec::len);
    json(
        200,
        format!(
            "{{\"offset\":{},\"end\":{end}}}",
            first.unwrap_or(end as u64)
        ),
    )
}

/// Assigns the only partition to the first member by name.
fn store_join(state: &Mutex<StoreState>, request: &Request) -> Reply {
    let member = field(&request.body, "member");
    let term: u64 = field(&request.body, "ttlMs").parse().unwrap_or(3_000);
    let text = String::from_utf8_lossy(&request.body);
    let topic = text
        .split_once("\"topics\":[\"")
        .map_or("", |(_, rest)| rest);
    let topic = topic.split('"').next().unwrap_or_default().to_owned();
    let mut state = state.lock().unwrap();
    let now = Instant::now();
    let before = state.members.len();
    state.members.retain(|_, until| *until > now);
    let has_lapsed = state.members.len() < before;
    let is_new = state
        .members
        .insert(member.clone(), now + ms(term))
        .is_none();
    state.generation += u64::from(has_lapsed || is_new);
    let parts = match state.members.keys().next() == Some(&member) {
        true => format!("[[\"{topic}\",0,0]]"),
        false => "[]".to_owned(),
    };
    json(
        200,
        format!("{{\"generation\":{},\"parts\":{parts}}}", state.generation),
    )
}

// ---------------------------------------------------------------------------------------------------------------
// Servers.

/// A run of a request at a server.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub tenant: String,
    pub server: String,
    pub at: Instant,
}

/// The runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Writes a server's entry now and with each status report, for as long as it is up.
pub fn register(
    store: &Store,
    server: &Server,
    id: &str,
    entry: impl Fn(u64) -> String + Send + 'static,
) {
    let (store, server, id) = (store.clone(), server.clone(), id.to_owned());
    thread::spawn(move || {
        for number in 1.. {
            if !server.is_up() {
                return;
            }
            store.put("keyed.servers", &id, entry(number).as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Starts a plain server that works on each request for `work`.
pub fn start_plain(
    store: &Store,
    runs: &Runs,
    service: &str,
    zone: &str,
    id: &str,
    work: Duration,
) -> Server {
    let born = unix_ms();
    let (own, runs, active) = (id.to_owned(), runs.clone(), Arc::new(AtomicUsize::new(0)));
    let handler: Handler = Arc::new(move |request| {
        let instance = ("X-Instance-Id", own.clone());
        match request.path() {
            "/healthz" => return reply(200, &[instance], ""),
            "/api/report" => {
                let active = active.load(Ordering::Relaxed);
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seq\":0,\"queued\":0,\
                     \"active\":{active},\"kvUsed\":0,\"kvTotal\":0,\"handles\":0,\"born\":{born}}}"
                );
                return json(200, body);
            }
            _ => {}
        }
        let attempt = request.header("x-attempt-id").to_owned();
        let expected = request.header("x-expect-instance");
        let not_run = ("X-Not-Executed", "1".to_owned());
        if attempt.is_empty() {
            return reply(400, &[not_run], "");
        }
        if !expected.is_empty() && expected != own {
            return reply(421, &[instance, ("X-Attempt-Id", attempt)], "");
        }
        active.fetch_add(1, Ordering::Relaxed);
        runs.lock().unwrap().push(Run {
            attempt: attempt.clone(),
            tenant: request.header("x-tenant").to_owned(),
            server: own.clone(),
            at: Instant::now(),
        });
        thread::sleep(work);
        active.fetch_sub(1, Ordering::Relaxed);
        let seal = format!("{own}.{attempt}");
        reply(
            200,
            &[("X-Attempt-Id", attempt), ("X-Response-Seal", seal)],
            format!("done by {own}"),
        )
    });
    let server =
        Server::start(any_port(), handler).unwrap_or_else(|error| cannot_run(&error.to_string()));
    let (service, zone, address) = (service.to_owned(), zone.to_owned(), server.address);
    register(store, &server, id, move |number| {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{number},\"born\":{born}}}"
        )
    });
    server
}

// ---------------------------------------------------------------------------------------------------------------
// Entries.

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The program of the deploy file.
const PROGRAM: &str = "target/release/camphorweir-entry";

/// An entry as on a machine of its own: its settings, and its process while it runs.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    output: PathBuf,
    metrics: u16,
    pid: Option<u32>,
}

/// All processes that this program has started.
pub struct Entries;

impl Entries {
    pub fn kill_all() {
        let mut children = CHILDREN.lock().unwrap_or_else(PoisonError::into_inner);
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Entry {
    /// Writes the settings of an entry; it is not started yet.
    pub fn new(folder: &PathBuf, name: &str, zone: &str, store: &Store) -> Self {
        let (front, ready, metrics) = (free_port(), free_port(), free_port());
        let ports = free_ports(16);
        let last = ports + 15;
        let store = store.address;
        let settings = format!(
            r#"{{"node":"{name}","role":"entry","class":"front","serves":["front"],"ip":"127.0.0.1",
"zone":"{zone}","region":"region-1","zones":{{"{zone}":"region-1"}},
"listen":{{"front":"127.0.0.1:{front}","ready":"127.0.0.1:{ready}"}},"portRange":[{ports},{last}],
"seeds":[],"bootstrap":true,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":true,
"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":200,"recoveryS":12,"passMs":120,
"retryAfterS":0,"stall_ms":3000,"requireFence":true}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":8,"appendMs":4.0,
"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,
"minTtlMs":1000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        if let Err(error) = std::fs::write(&path, settings) {
            cannot_run(&error.to_string());
        }
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            settings: path,
            output: folder.join(format!("{name}.log")),
            metrics,
            pid: None,
        }
    }

    pub fn start(&mut self) {
        let output = File::options().create(true).append(true).open(&self.output);
        let output = output.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = output
            .try_clone()
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new(PROGRAM)
            .args(["--platform", "--metrics", &self.metrics.to_string()])
            .env("CAMPHORWEIR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        self.pid = Some(child.id());
        CHILDREN.lock().unwrap().push(child);
    }

    pub fn pid(&self) -> u32 {
        self.pid.unwrap_or_default()
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let mut children = CHILDREN.lock().unwrap();
        if let Some(child) = children
            .iter_mut()
            .find(|child| Some(child.id()) == self.pid)
        {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.pid = None;
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/api/readyz", &[], b"", ms(1_000)).status == 200
    }
}

/// Waits until something is true; the case could not run if it does not come true.
pub fn wait_for(what: &str, limit: Duration, is_true: impl Fn() -> bool) {
    let until = Instant::now() + limit;
    while !is_true() {
        if Instant::now() > until {
            cannot_run(&format!("{what}: not seen"));
        }
        thread::sleep(ms(50));
    }
}

// ---------------------------------------------------------------------------------------------------------------
// A client.

/// An answer to a client; status 0 without one.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came whole.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or_default()
    }
}

/// Sends a request on a new channel and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    try_call(address, method, path, headers, body, limit).unwrap_or_default()
}

fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(ms(1_000)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if find_name(headers, "host").is_none() {
        head.push_str("Host: pipelines.example\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)?;
    read_answer(&mut BufReader::new(stream))
}

fn find_name<'a>(headers: &'a [(&str, &str)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(other, _)| other.eq_ignore_ascii_case(name));
    found.map(|(_, value)| *value)
}

/// Reads an answer; one whose body breaks off is not whole.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let headers = read_headers(reader)?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
        is_whole: false,
    };
    let length = find(&answer.headers, "content-length").and_then(|length| length.parse().ok());
    let body = match (find(&answer.headers, "transfer-encoding"), length) {
        (Some(_), _) => read_chunked(reader),
        (None, Some(length)) => {
            let mut body: Vec<u8> = vec![0; length];
            reader.read_exact(&mut body).map(|()| body)
        }
        (None, None) => {
            let mut body = Vec::new();
            reader.read_to_end(&mut body).map(|_| body)
        }
    };
    if let Ok(body) = body {
        (answer.body, answer.is_whole) = (body, true);
    }
    Ok(answer)
}

// ---------------------------------------------------------------------------------------------------------------
// A run.

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("camphorweir-review-{}", std::process::id()))
}

/// A temporary folder that is removed at the end.
pub fn temporary_folder() -> PathBuf {
    let folder = folder_path();
    if let Err(error) = std::fs::create_dir_all(&folder) {
        cannot_run(&error.to_string());
    }
    folder
}

/// Whether the disruption is to come.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends all processes, and the program with 1 if the rule was broken and 0 if it held.
pub fn end(log: &Log, folder: &PathBuf, broken: Option<String>) -> ! {
    Entries::kill_all();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(folder);
    }
    match broken {
        Some(reason) => {
            log.line(&format!("BROKEN: {reason}"));
            println!("broken: {reason}");
            std::process::exit(1)
        }
        None => {
            log.line("the rule held");
            println!("the rule held");
            std::process::exit(0)
        }
    }
}

impl Answer {
    /// Whether it is a success that came whole.
    pub fn is_whole_success(&self) -> bool {
        self.status == 200 && self.is_whole
    }
}
