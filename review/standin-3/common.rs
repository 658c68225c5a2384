//! Stand-ins for the users' platform, its servers and its requesters, and the processes under test.
//! Standard library only.

use std::{
    collections::{BTreeMap, HashMap},
    env,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// Ends the script with 2.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case can't run: {reason}");
    std::process::exit(2)
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn new(path: &str) -> Self {
        let Ok(file) = File::create(path) else {
            cannot_run("no record.txt");
        };
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn say(&self, line: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        let _ = writeln!(self.0.1.lock().unwrap(), "{at:9.3} {line}");
    }
}

// HTTP/1.1

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or status.
    pub first: Vec<String>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first
            .get(1)
            .map_or("", |target| target.split('?').next().unwrap_or(""))
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.first.get(1)?.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(other, _)| *other == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads a whole request, or a whole response where the body ends as its head says.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let first = read_line(reader)?;
    let first = first.splitn(3, ' ').map(str::to_owned).collect();
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = read_line(reader)?;
            let size = usize::from_str_radix(&size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections on threads of their own; `handle` writes the answer and returns whether the connection
/// goes on.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_message(&mut reader) {
                    if !handle(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

// The platform's store

#[derive(Clone, Default)]
struct Topic {
    /// Contents of the records, key and value.
    records: Vec<(Vec<u8>, Vec<u8>)>,
}

#[derive(Clone, Default)]
struct Group {
    generation: u64,
    /// Members and when their membership ends.
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
}

#[derive(Clone, Default)]
struct Data {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

struct StoreInner {
    data: Mutex<Data>,
    changed: Condvar,
}

/// The store: keyed topics and group membership.
#[derive(Clone)]
pub struct Store {
    inner: Arc<StoreInner>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = listen(Ipv4Addr::new(127, 0, 0, 1));
        let address = listener.local_addr().unwrap();
        let inner = Arc::new(StoreInner {
            data: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = inner.clone();
        serve(listener, move |request, writer| answer(&shared, request, writer));
        Self { inner, address }
    }

    /// Writes a record as the operator or a server does; returns at the ack.
    pub fn write(&self, topic: &str, key: &str, value: &str) -> Instant {
        let mut data = self.inner.data.lock().unwrap();
        let records = &mut data.topics.entry(topic.to_owned()).or_default().records;
        records.push((key.into(), value.into()));
        let acked = Instant::now();
        drop(data);
        self.inner.changed.notify_all();
        acked
    }
}

fn newest(topic: &Topic) -> BTreeMap<Vec<u8>, (usize, Vec<u8>)> {
    let mut newest = BTreeMap::new();
    for (offset, (key, value)) in topic.records.iter().enumerate() {
        match value.is_empty() {
            true => newest.remove(key),
            false => newest.insert(key.clone(), (offset, value.clone())),
        };
    }
    newest
}

/// The value of a field of a small JSON body: text or number.
pub fn field(body: &[u8], name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(body);
    let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
    let rest = rest.trim_start();
    Some(match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next()?.to_owned(),
        None => rest.split([',', '}', ']']).next()?.trim().to_owned(),
    })
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*chunk.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

fn answer(store: &StoreInner, request: &Message, writer: &mut TcpStream) -> bool {
    thread::sleep(ms(4));
    let topic = request.query("topic").unwrap_or_default().to_owned();
    let (status, body) = match request.path() {
        "/api/log-append" => append(store, &topic, &request.body),
        "/api/log-read" => read(store, &topic, request),
        "/api/log-newest" => list(store, &topic, request.query("after")),
        "/api/log-join" => join(store, &request.body),
        "/api/log-leave" => leave(store, &request.body),
        _ => (404, Vec::new()),
    };
    let headers = [("Store-Era", "0".to_owned())];
    writer.write_all(&response(status, &headers, &body)).is_ok()
}

fn append(store: &StoreInner, topic: &str, mut body: &[u8]) -> (u16, Vec<u8>) {
    let mut data = store.data.lock().unwrap();
    let records = &mut data.topics.entry(topic.to_owned()).or_default().records;
    let offset = records.len();
    while body.len() > 4 {
        let size = u32::from_be_bytes(body[..4].try_into().unwrap()) as usize;
        let content = &body[4..4 + size];
        let key = usize::from(content[0]);
        records.push((content[1..1 + key].to_vec(), content[1 + key..].to_vec()));
        body = &body[4 + size..];
    }
    let end = records.len();
    drop(data);
    store.changed.notify_all();
    (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
}

fn read(store: &StoreInner, topic: &str, request: &Message) -> (u16, Vec<u8>) {
    let number = |name: &str| request.query(name).and_then(|value| value.parse::<usize>().ok());
    let from = number("from").unwrap_or(0);
    let until = Instant::now() + ms(number("waitMs").unwrap_or(0) as u64);
    let mut data = store.data.lock().unwrap();
    loop {
        let records = &data.topics.entry(topic.to_owned()).or_default().records;
        if from > records.len() {
            return (410, b"{\"first\":0}".to_vec());
        }
        let left = until.saturating_duration_since(Instant::now());
        if from < records.len() || left.is_zero() {
            break;
        }
        data = store.changed.wait_timeout(data, left).unwrap().0;
    }
    let records = &data.topics[topic].records;
    let mut body = (records.len() as u64).to_be_bytes().to_vec();
    body.extend_from_slice(&0u64.to_be_bytes());
    for (key, value) in &records[from.min(records.len())..] {
        body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
        body.push(key.len() as u8);
        body.extend_from_slice(key);
        body.extend_from_slice(value);
        if body.len() > 1 << 20 {
            break;
        }
    }
    (200, body)
}

fn list(store: &StoreInner, topic: &str, after: Option<&str>) -> (u16, Vec<u8>) {
    let data = store.data.lock().unwrap();
    let empty = Topic::default();
    let topic = data.topics.get(topic).unwrap_or(&empty);
    let mut items = Vec::new();
    let (mut size, mut has_more) = (0, false);
    for (key, (offset, value)) in newest(topic) {
        let key = String::from_utf8_lossy(&key).into_owned();
        if after.is_some_and(|after| key.as_str() <= after) {
            continue;
        }
        if items.len() >= 500 || size > 1 << 20 {
            has_more = true;
            break;
        }
        size += value.len();
        items.push(format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
            base64(&value)
        ));
    }
    let body = format!(
        "{{\"items\":[{}],\"hasMore\":{has_more},\"end\":{}}}",
        items.join(","),
        topic.records.len()
    );
    (200, body.into_bytes())
}

fn join(store: &StoreInner, body: &[u8]) -> (u16, Vec<u8>) {
    let (Some(group), Some(member)) = (field(body, "group"), field(body, "member")) else {
        return (400, Vec::new());
    };
    let ttl = field(body, "ttlMs")
        .and_then(|ttl| ttl.parse().ok())
        .unwrap_or(3000);
    let now = Instant::now();
    let mut data = store.data.lock().unwrap();
    let group_data = data.groups.entry(group.clone()).or_default();
    let before = group_data.members.len();
    group_data.members.retain(|_, until| *until > now);
    let is_new = group_data.members.insert(member.clone(), now + ms(ttl)).is_none();
    if is_new || before != group_data.members.len() {
        group_data.generation += 1;
    }
    let owner_lives = group_data
        .owner
        .as_ref()
        .is_some_and(|owner| group_data.members.contains_key(owner));
    if !owner_lives {
        group_data.owner = Some(member.clone());
    }
    let parts = match group_data.owner.as_ref() == Some(&member) {
        true => format!("[[\"{group}\",0,0]]"),
        false => "[]".to_owned(),
    };
    let body = format!(
        "{{\"generation\":{},\"ttlMs\":{ttl},\"parts\":{parts}}}",
        group_data.generation
    );
    (200, body.into_bytes())
}

fn leave(store: &StoreInner, body: &[u8]) -> (u16, Vec<u8>) {
    if let (Some(group), Some(member)) = (field(body, "group"), field(body, "member"))
        && let Some(group) = store.data.lock().unwrap().groups.get_mut(&group)
    {
        if group.members.remove(&member).is_some() {
            group.generation += 1;
        }
        if group.owner.as_ref() == Some(&member) {
            group.owner = None;
        }
    }
    (200, b"{}".to_vec())
}

// Servers

pub struct ServerState {
    pub id: String,
    pub address: SocketAddr,
    /// Identifiers of the requests that it ran.
    pub runs: Mutex<Vec<String>>,
    pub born: u64,
    slots: u32,
    seq: AtomicU64,
}

/// A plain server, which works for some ms on a request.
pub type Server = Arc<ServerState>;

impl ServerState {
    pub fn count(&self, attempt: &str) -> usize {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .filter(|run| *run == attempt)
            .count()
    }

    fn heartbeat(&self, store: &Store, service: &str, zone: &str) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let record = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.address, self.slots, self.born
        );
        store.write("keyed.servers", &self.id, &record);
    }
}

/// Starts a server of so many slots.
pub fn start_server(
    store: &Store,
    id: &str,
    service: &str,
    zone: &str,
    work: Duration,
    slots: u32,
) -> Server {
    let listener = listen(Ipv4Addr::new(127, 0, 0, 1));
    let server = Arc::new(ServerState {
        id: id.to_owned(),
        address: listener.local_addr().unwrap(),
        runs: Mutex::default(),
        born: unix_ms(),
        slots,
        seq: AtomicU64::new(0),
    });
    let shared = server.clone();
    serve(listener, move |request, writer| {
        let attempt = request.header("x-attempt-id").unwrap_or_default().to_owned();
        let echo = ("X-Attempt-Id", attempt.clone());
        if request.path() == "/api/report" {
            let body = format!("{{\"seq\":0,\"busy\":false,\"born\":{}}}", shared.born);
            return writer.write_all(&response(200, &[], body.as_bytes())).is_ok();
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != shared.id)
        {
            let instance = ("X-Instance-Id", shared.id.clone());
            return writer.write_all(&response(421, &[echo, instance], b"")).is_ok();
        }
        if request.path() == "/healthz" {
            let instance = ("X-Instance-Id", shared.id.clone());
            return writer.write_all(&response(200, &[instance], b"")).is_ok();
        }
        shared.runs.lock().unwrap().push(attempt.clone());
        thread::sleep(work);
        let seal = ("X-Response-Seal", format!("seal.{attempt}"));
        writer.write_all(&response(200, &[echo, seal], b"done")).is_ok()
    });
    let (shared, store) = (server.clone(), store.clone());
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        loop {
            shared.heartbeat(&store, &service, &zone);
            thread::sleep(ms(1200));
        }
    });
    server
}

// The processes under test

/// A listener on a free port.
pub fn listen(ip: Ipv4Addr) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|error| cannot_run(&error.to_string()))
}

fn free_port(ip: Ipv4Addr) -> u16 {
    listen(ip).local_addr().unwrap().port()
}

/// The first of four free ports in a row.
fn free_range(ip: Ipv4Addr) -> u16 {
    let is_free = |port: u16| TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok();
    let mut first = 20_000 + (std::process::id() % 5_000) as u16;
    for _ in 0..500 {
        if (first..first + 4).all(is_free) {
            return first;
        }
        first += 7;
    }
    cannot_run("no free ports")
}

/// An entry on a loopback address of its own.
pub struct Entry {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    pub fn new(
        folder: &PathBuf,
        name: &str,
        zone: &str,
        zones: &[&str],
        ip: Ipv4Addr,
        store: &Store,
    ) -> Self {
        let (callers, ready) = (
            SocketAddr::from((ip, free_port(ip))),
            SocketAddr::from((ip, free_port(ip))),
        );
        let first = free_range(ip);
        let zone_map: Vec<String> = zones.iter().map(|zone| format!("\"{zone}\":\"r\"")).collect();
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"node":"{name}","role":"entry","class":"front","serves":["front"],"ip":"{ip}","zone":"{zone}","region":"r",
"zones":{{{zone_map}}},"listen":{{"front":"{callers}","ready":"{ready}"}},"portRange":[{first},{last}],"seeds":[],
"bootstrap":false,"inTolerance":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},"dataDir":null,
"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],
"faultTolerance":{{"machines":2,"zones":1,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,"graceS":8,
"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,"strictRevoke":true,
"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":200,"recoveryS":12,"passMs":120,
"retryAfterS":0,"stall_ms":3000,"requireFence":true}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":8,"appendMs":4.0,
"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,"keep_s":300,"partMb":200,
"minTtlMs":1000}}}}"#,
            zone_map = zone_map.join(","),
            last = first + 3,
            store = store.address
        );
        if fs::write(&settings, text).is_err() {
            cannot_run("no settings file");
        }
        let log = folder.join(format!("{name}.log"));
        Self {
            callers,
            ready,
            settings,
            log,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log);
        let Ok(log) = log else { cannot_run("no log file") };
        let child = Command::new("target/release/camphorweir-entry")
            .args(["--platform", "--metrics", "9464"])
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("CAMPHORWEIR_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(error) => cannot_run(&format!("no entry: {error}")),
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET /api/readyz HTTP/1.1\r\nHost: r\r\n\r\n",
            ms(1000),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

// Requesters

/// Sends one request on a channel of its own; `None` without a whole answer.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    let _ = stream.set_nodelay(true);
    (&stream).write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream)).ok()
}

/// A folder for settings and logs, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Self {
        let path = env::temp_dir().join(format!("{name}-{}", std::process::id()));
        if fs::create_dir_all(&path).is_err() {
            cannot_run("no temporary folder");
        }
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A configuration with two routes to one service, with this time-out in ms and so many channels to each
/// server, and these keys, each of a tenant of its own.
pub fn configuration(version: u64, keys: &[&str], timeout_ms: u64, channels: u64) -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{kind}\",\"host\":\"h.example\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":100,\"priority\":1,\"service\":\"hall\",\
             \"maxAttempts\":{attempts},\"public\":false}}"
        )
    };
    let tenants: Vec<String> = keys
        .iter()
        .map(|key| format!("{{\"name\":\"t-{key}\",\"apiKeys\":[\"{key}\"],\"priority\":1}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"hall\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":{channels},\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{}]}}",
        route("/book/", "non_idempotent", 1),
        route("/status/", "idempotent", 2),
        tenants.join(",")
    )
}
