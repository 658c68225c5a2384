//! Stand-ins for the users' platform: its store, plain servers, callers, and the processes under test.
//! Only the standard library is used.

use std::{
    collections::{BTreeMap, HashMap},
    fs::{self, File},
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Writes `record.txt`, with the time since the start in seconds.
#[derive(Clone)]
pub struct Log {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Log {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    pub fn say(&self, text: &str) {
        println!("{:9.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(other, _)| other == name);
        found.next().map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }
}

type Head = (String, Vec<(String, String)>);

fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(other, _)| other == name);
    let mut body = Vec::new();
    if find("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            if reader.read_line(&mut size).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some((_, length)) = find("content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(body)
}

/// Serves a listener; a handler that returns `None` closes the connection.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request) -> Option<Reply> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Option<Reply>) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let (first, headers) = read_head(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let (method, target) = (words.next()?, words.next()?);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method: method.to_owned(),
            path: path.to_owned(),
            query: query
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
            headers,
            body,
        };
        let reply = handler(request)?;
        let mut head = format!("HTTP/1.1 {} X\r\n", reply.status);
        for (name, value) in &reply.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("content-length: {}\r\n\r\n", reply.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&reply.body);
        writer.write_all(&bytes).ok()?;
    }
}

/// An answer to a caller: status and headers, or `None` where the connection ended without one.
pub type Answer = Option<Reply>;

/// Sends one request on a new connection and waits for the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    time: Duration,
) -> Answer {
    let mut channel = Channel::open(address, time)?;
    channel.call(method, path, headers, body)
}

/// A caller's connection, which may be kept.
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    pub fn open(address: SocketAddr, time: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(time)).ok()?;
        stream.set_write_timeout(Some(time)).ok()?;
        Some(Self {
            reader: BufReader::new(stream.try_clone().ok()?),
            writer: stream,
        })
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Answer {
        self.call_slowly(method, path, headers, body, (body.len(), ms(0)))
    }

    /// Sends a body in pieces, with a pause after each.
    pub fn call_slowly(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        (piece, pause): (usize, Duration),
    ) -> Answer {
        let mut head = format!("{method} {path} HTTP/1.1\r\nHost: site.example\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        if method != "GET" {
            head += &format!("Content-Length: {}\r\n", body.len());
        }
        self.writer
            .write_all(format!("{head}\r\n").as_bytes())
            .ok()?;
        for part in body.chunks(piece.max(1)) {
            self.writer.write_all(part).ok()?;
            if body.len() > piece {
                thread::sleep(pause);
            }
        }
        let (first, headers) = read_head(&mut self.reader)?;
        let body = read_body(&mut self.reader, &headers)?;
        Some(Reply {
            status: first.split(' ').nth(1)?.parse().ok()?,
            headers,
            body,
        })
    }
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Vec<u8>,
    at: Instant,
}

#[derive(Debug, Default)]
struct StoreState {
    era: u64,
    is_down: bool,
    topics: HashMap<String, Vec<Record>>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The platform's store; clones share it.
#[derive(Clone, Debug)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            state: Arc::default(),
        };
        let served = store.clone();
        serve(listener, move |request| served.answer(&request));
        store
    }

    /// Appends a record; nothing is written while the store is away. Returns the time of the ack.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> Option<Instant> {
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return None;
        }
        let at = Instant::now();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(Record {
                key: key.to_owned(),
                value: value.to_vec(),
                at,
            });
        Some(at)
    }

    pub fn go_away(&self) {
        self.state.lock().unwrap().is_down = true;
    }

    /// Comes back, from a copy that was made at `copied_at` where one is given.
    pub fn come_back(&self, copied_at: Option<Instant>) {
        let mut state = self.state.lock().unwrap();
        state.is_down = false;
        if let Some(copied_at) = copied_at {
            state.era += 1;
            state.members.clear();
            for records in state.topics.values_mut() {
                records.retain(|record| record.at <= copied_at);
            }
        }
    }

    fn answer(&self, request: &Request) -> Option<Reply> {
        if self.state.lock().unwrap().is_down {
            return None;
        }
        let reply = match request.path.as_str() {
            "/api/log-read" => self.read(request)?,
            "/api/log-newest" => self.newest(request),
            "/api/log-append" => self.append(request)?,
            "/api/log-join" => self.join(request),
            "/api/log-leave" => self.leave(request),
            _ => Reply::new(404, ""),
        };
        let state = self.state.lock().unwrap();
        (!state.is_down).then(|| reply.with("Store-Era", state.era))
    }

    fn read(&self, request: &Request) -> Option<Reply> {
        let topic = request.query.get("topic")?;
        let from: usize = request.query.get("from")?.parse().ok()?;
        let wait = request
            .query
            .get("waitMs")
            .and_then(|wait| wait.parse().ok());
        let until = Instant::now() + ms(wait.unwrap_or(0));
        loop {
            {
                let state = self.state.lock().unwrap();
                let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
                if state.is_down {
                    return None;
                }
                if from > records.len() {
                    return Some(Reply::new(410, r#"{"first":0}"#));
                }
                if records.len() > from || Instant::now() >= until {
                    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                    bytes.extend(0u64.to_be_bytes());
                    for record in &records[from..] {
                        let size = 1 + record.key.len() + record.value.len();
                        bytes.extend((size as u32).to_be_bytes());
                        bytes.push(record.key.len() as u8);
                        bytes.extend(record.key.as_bytes());
                        bytes.extend(&record.value);
                    }
                    return Some(Reply::new(200, bytes));
                }
            }
            thread::sleep(ms(3));
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let state = self.state.lock().unwrap();
        let topic = request.query.get("topic").map_or("", String::as_str);
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            newest.insert(&record.key, (offset, &record.value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items = items.map(|(key, (offset, value))| {
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        let body = format!(r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#);
        Reply::new(200, body).with("Content-Type", "application/json")
    }

    fn append(&self, request: &Request) -> Option<Reply> {
        let topic = request.query.get("topic")?;
        let mut rest = request.body.as_slice();
        while rest.len() > 4 {
            let size = u32::from_be_bytes(rest[..4].try_into().ok()?) as usize;
            let content = rest.get(4..4 + size)?;
            let key = content.get(1..1 + usize::from(content[0]))?;
            let value = &content[1 + key.len()..];
            self.put(topic, std::str::from_utf8(key).ok()?, value)?;
            rest = &rest[4 + size..];
        }
        let state = self.state.lock().unwrap();
        let end = state.topics.get(topic).map_or(0, Vec::len);
        let body = format!(r#"{{"offset":{},"end":{end}}}"#, end.saturating_sub(1));
        Some(Reply::new(200, body).with("Content-Type", "application/json"))
    }

    /// The only partition belongs to the first member by name of those that joined within their term.
    fn join(&self, request: &Request) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let member = text_field(&body, "member");
        let topic = text_field(&body, "group");
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let before = state.members.len();
        state.members.retain(|_, until| now < *until);
        let has_lapsed = state.members.len() < before;
        let is_new = state
            .members
            .insert(member.clone(), now + ms(3000))
            .is_none();
        state.generation += u64::from(has_lapsed || is_new);
        let parts = match state.members.keys().next() == Some(&member) {
            true => format!(r#"[["{topic}",0,0]]"#),
            false => "[]".to_owned(),
        };
        let generation = state.generation;
        let body = format!(r#"{{"generation":{generation},"ttlMs":3000,"parts":{parts}}}"#);
        Reply::new(200, body).with("Content-Type", "application/json")
    }

    fn leave(&self, request: &Request) -> Reply {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.state.lock().unwrap();
        state.members.remove(&text_field(&body, "member"));
        state.generation += 1;
        Reply::new(200, "{}").with("Content-Type", "application/json")
    }
}

fn text_field(json: &str, name: &str) -> String {
    let after = json.split(&format!("\"{name}\":\"")).nth(1);
    let value = after.and_then(|after| after.split('"').next());
    value.unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: Option<String>,
    pub at: Instant,
}

/// A server of a service without layers, which reports to the store as long as it runs.
#[derive(Clone)]
pub struct Server {
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Until when it sends nothing, and goes on then.
    silent_until: Arc<Mutex<Option<Instant>>>,
}

impl Server {
    /// Starts a server whose answers take `work`.
    pub fn start(
        store: &Store,
        log: &Log,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis();
        let server = Self {
            runs: Arc::default(),
            silent_until: Arc::default(),
        };
        let (runs, own, log) = (server.runs.clone(), id.to_owned(), log.clone());
        let silent = server.silent_until.clone();
        let wait = move || {
            let until = *silent.lock().unwrap();
            if let Some(until) = until {
                thread::sleep(until.saturating_duration_since(Instant::now()));
            }
        };
        serve(listener, move |request| {
            if matches!(request.path.as_str(), "/healthz" | "/api/report") {
                wait();
            }
            let reply = match request.path.as_str() {
                "/healthz" => return Some(Reply::new(200, "ok").with("X-Instance-Id", &own)),
                "/api/report" => {
                    let body = format!(
                        r#"{{"stage":"both","models":[],"busy":false,"seq":0,"queued":0,"active":0,"kvUsed":0,"kvTotal":0,"handles":0,"born":{born}}}"#
                    );
                    return Some(Reply::new(200, body).with("Content-Type", "application/json"));
                }
                _ if request
                    .header("x-expect-instance")
                    .is_some_and(|id| id != own) =>
                {
                    return Some(Reply::new(421, "").with("X-Instance-Id", &own));
                }
                _ => Reply::new(200, format!("done by {own}")),
            };
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let tenant = request.header("x-tenant").map(str::to_owned);
            log.line(&format!(
                "server {own} runs {id}: {} {}, X-Tenant {}, body of {} bytes",
                request.method,
                request.path,
                tenant.as_deref().unwrap_or("none"),
                request.body.len()
            ));
            let at = Instant::now();
            let run = Run {
                id: id.clone(),
                tenant,
                at,
            };
            runs.lock().unwrap().push(run);
            thread::sleep(work);
            wait();
            let seal = format!("{own}.{id}");
            Some(reply.with("X-Attempt-Id", id).with("X-Response-Seal", seal))
        });
        let (store, id, service, zone) = (
            store.clone(),
            id.to_owned(),
            service.to_owned(),
            zone.to_owned(),
        );
        thread::spawn(move || {
            for seq in 1.. {
                let record = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"seq":{seq},"born":{born}}}"#
                );
                store.put("keyed.servers", &id, record.as_bytes());
                thread::sleep(ms(1200));
            }
        });
        server
    }

    /// Falls silent for a time: it takes requests and works, and its answers come then.
    pub fn fall_silent(&self, time: Duration) {
        *self.silent_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Number of requests that ran since a time and whose ids are among some.
    pub fn runs_since(&self, since: Instant, is_counted: impl Fn(&str) -> bool) -> usize {
        let runs = self.runs.lock().unwrap();
        let recent = runs.iter().rev().take_while(|run| run.at >= since);
        recent.filter(|run| is_counted(&run.id)).count()
    }

    /// Whether a request ran.
    pub fn ran(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run.id == id)
    }
}

/// A process of the system, with the command of the deploy file.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub name: String,
    settings: PathBuf,
    folder: PathBuf,
    metrics: u16,
    child: Option<Child>,
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// The first of `count` ports that are free for TCP and UDP.
fn free_range(count: u16) -> u16 {
    loop {
        let first = free_port();
        let is_free = |port: u16| {
            TcpListener::bind(("127.0.0.1", port)).is_ok()
                && std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok()
        };
        if first < 60_000 && (first..first + count).all(is_free) {
            return first;
        }
    }
}

impl Entry {
    pub fn new(folder: &Path, store: &Store, name: &str, zone: &str, memory_mb: u64) -> Self {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, ready) = (address(free_port()), address(free_port()));
        let first = free_range(4);
        let last = first + 3;
        let settings = folder.join(format!("{name}.json"));
        let store = store.address;
        let text = format!(
            r#"{{"node":"{name}","role":"entry","class":"front","serves":["front"],"ip":"127.0.0.1","zone":"{zone}","region":"r",
"zones":{{"{zone}":"r"}},"listen":{{"front":"{callers}","ready":"{ready}"}},"portRange":[{first},{last}],"seeds":[],
"bootstrap":true,"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":{memory_mb},"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"discovery":"platform","entry":"vip","heartbeatMs":1200,"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,"lossSlackMs":200,
"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":true,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"budgetSlack":200,"recoveryS":12,"passMs":120,"retryAfterS":0,"stall_ms":3000,"requireFence":true}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":8,"minTtlMs":1000}}}}"#
        );
        fs::write(&settings, text).unwrap();
        Self {
            callers,
            ready,
            name: name.to_owned(),
            settings,
            folder: folder.to_owned(),
            metrics: free_port(),
            child: None,
        }
    }

    /// Starts the process; exits with 2 where that fails.
    pub fn start(&mut self, log: &Log) {
        let program = "target/release/camphorweir-entry";
        let output = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .unwrap();
        let errors = output.try_clone().unwrap();
        let child = Command::new(program)
            .args(["--platform", "--metrics", &self.metrics.to_string()])
            .env("CAMPHORWEIR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                let pids = File::options()
                    .create(true)
                    .append(true)
                    .open(self.folder.join("pids"));
                let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
                log.say(&format!("{} starts", self.name));
                self.child = Some(child);
            }
            Err(error) => {
                log.say(&format!("{program} can't be started: {error}"));
                std::process::exit(2);
            }
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&mut self) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .args(["-TERM", &pid.to_string()])
                .status();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = call(self.ready, "GET", "/api/readyz", &[], b"", ms(1000));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until the process is ready; exits with 2 where it never is.
    pub fn wait_ready(&self, log: &Log) {
        for _ in 0..200 {
            if self.is_ready() {
                return log.say(&format!("{} is ready", self.name));
            }
            thread::sleep(ms(50));
        }
        log.say(&format!("{} never became ready", self.name));
        std::process::exit(2);
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The folder of a case, a temporary folder, and whether the disruption is left out.
pub struct Setting {
    pub log: Log,
    pub temporary: PathBuf,
    pub has_trouble: bool,
}

impl Setting {
    /// Reads the arguments `CASE-FOLDER TEMPORARY-FOLDER` and `TROUBLE`.
    pub fn read() -> Self {
        let mut arguments = std::env::args().skip(1);
        let folder = PathBuf::from(arguments.next().expect("the folder of the case"));
        let temporary = PathBuf::from(arguments.next().expect("a temporary folder"));
        Self {
            log: Log::create(&folder.join("record.txt")),
            temporary,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        }
    }
}
