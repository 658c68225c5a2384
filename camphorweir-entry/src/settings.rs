//! The settings file of an entry, checked whole.

use {
    crate::{
        units::{parse_duration, parse_size},
        yaml::{self, Fault, Group},
    },
    camphorweir_config::model::ZoneId,
    camphorweir_wire::{code::Code, ids::EntryId},
    hyper::{Uri, http::uri::Scheme},
    std::{
        fmt, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Longest name of an entry or a zone, in bytes.
const MAX_NAME: usize = 64;
/// Least bound on the head, in bytes; `hyper` reads no less at once.
const MIN_HEAD: usize = 8 << 10;

/// Everything that an entry is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name, the same as in the platform's instance list.
    pub entry: EntryId,
    /// The availability zone that it stands in.
    pub zone: ZoneId,
    /// Where it listens.
    pub listen: Listen,
    /// What it reaches of the platform.
    pub platform: Platform,
    /// Shared secrets, read from their files.
    pub keys: Keys,
    /// Bounds on what callers may do.
    pub limits: Limits,
    /// From the readiness check turning false to the callers' listener closing.
    pub balancer_grace: Duration,
    /// Logs.
    pub logs: Logs,
}

/// Addresses of the listeners; port 0 takes a free one.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Callers and the balancer's checks.
    pub callers: SocketAddr,
    /// Other entries.
    pub peers: SocketAddr,
    /// Operators and the metrics scrape.
    pub admin: SocketAddr,
}

/// Where the platform is.
#[derive(Clone, Debug)]
pub struct Platform {
    /// The log service, such as `http://10.0.0.5:7001`.
    pub log: Uri,
    /// The instance list, such as `http://10.0.0.6:7002/instances`.
    pub instances: Uri,
}

/// Shared secrets.
#[derive(Clone, Debug)]
pub struct Keys {
    /// Seals what entries say to each other.
    pub peers: Secret,
    /// Lets operators read; `None` closes the administration API to readers.
    pub admin_read: Option<Secret>,
    /// Lets operators act; `None` closes the administration API to actions.
    pub admin_write: Option<Secret>,
}

/// Bounds on what callers may do.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Request head, in bytes.
    pub head: usize,
    /// Request body, in bytes.
    pub body: usize,
    /// Answer of a plain service, in bytes.
    pub answer: usize,
    /// Open connections of callers.
    pub connections: usize,
    /// Requests in hand, from the end of the head to the end of the answer.
    pub requests: usize,
    /// A connection that moves no byte for this long, and waits for no answer, is closed.
    pub idle: Duration,
    /// A head must arrive whole in this time.
    pub head_time: Duration,
    /// A body must arrive whole in this time.
    pub body_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 1 << 20,
            answer: 4 << 20,
            connections: 1024,
            requests: 4096,
            idle: Duration::from_secs(60),
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
        }
    }
}

/// How to write logs.
#[derive(Clone, Copy, Debug)]
pub struct Logs {
    /// The layout of a line.
    pub format: Format,
    /// Events below this level are not written.
    pub level: log::LevelFilter,
}

/// The layout of a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// One JSON object.
    Json,
    /// Plain text.
    Text,
}

/// A secret of 32 bytes that is never printed.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct Secret([u8; 32]);

impl Secret {
    /// A secret from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// The bytes, for a keyed hash.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Every fault of the file.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    let text = fs::read_to_string(path).map_err(|error| {
        let what = format!("the file can't be read: {error}");
        vec![Fault {
            code: Code::BadSettings,
            line: 0,
            column: 0,
            field: String::new(),
            what,
        }]
    })?;
    parse(&text, path.parent().unwrap_or(Path::new(".")))
}

/// Reads and checks the text of a settings file; relative paths in it start at `folder`.
///
/// # Errors
///
/// Every fault of the text.
pub fn parse(text: &str, folder: &Path) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut root = yaml::read(text, &mut faults).map_err(|fault| vec![fault])?;
    let settings = read_all(&mut root, folder, &mut faults);
    root.finish(&mut faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Reads every group before it gives up, so that all faults are found.
fn read_all(root: &mut Group, folder: &Path, faults: &mut Vec<Fault>) -> Option<Settings> {
    let entry = root.required("entry", parse_name, faults);
    let zone = root.required("zone", parse_name, faults);
    let listen = read_listen(root.group("listen", faults), faults);
    let platform = read_platform(root.group("platform", faults), faults);
    let keys = read_keys(root.group("keys", faults), folder, faults);
    let limits = read_limits(root.group("limits", faults), faults);
    let balancer_grace = root.optional("balancer_grace", parse_duration, faults);
    let logs = read_logs(root.group("logs", faults), faults);
    Some(Settings {
        entry: entry?,
        zone: zone?,
        listen: listen?,
        platform: platform?,
        keys: keys?,
        limits,
        balancer_grace: balancer_grace.unwrap_or(Duration::from_secs(3)),
        logs,
    })
}

fn read_listen(mut group: Group, faults: &mut Vec<Fault>) -> Option<Listen> {
    let callers = group.required("callers", parse_address, faults);
    let peers = group.required("peers", parse_address, faults);
    let admin = group.required("admin", parse_address, faults);
    group.finish(faults);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        admin: admin?,
    })
}

fn read_platform(mut group: Group, faults: &mut Vec<Fault>) -> Option<Platform> {
    let log = group.required("log", parse_url, faults);
    let instances = group.required("instances", parse_url, faults);
    group.finish(faults);
    Some(Platform {
        log: log?,
        instances: instances?,
    })
}

fn read_keys(mut group: Group, folder: &Path, faults: &mut Vec<Fault>) -> Option<Keys> {
    let read = |text: &str| read_secret(folder, text);
    let peers = group.required("peers", read, faults);
    let admin_read = group.optional("admin_read", read, faults);
    let admin_write = group.optional("admin_write", read, faults);
    group.finish(faults);
    Some(Keys {
        peers: peers?,
        admin_read,
        admin_write,
    })
}

fn read_limits(mut group: Group, faults: &mut Vec<Fault>) -> Limits {
    let mut limits = Limits::default();
    set(&mut limits.head, group.optional("head", parse_head, faults));
    set(
        &mut limits.body,
        group.optional("body", parse_positive_size, faults),
    );
    set(
        &mut limits.answer,
        group.optional("answer", parse_positive_size, faults),
    );
    set(
        &mut limits.connections,
        group.optional("connections", parse_count, faults),
    );
    set(
        &mut limits.requests,
        group.optional("requests", parse_count, faults),
    );
    set(
        &mut limits.idle,
        group.optional("idle", parse_positive_time, faults),
    );
    set(
        &mut limits.head_time,
        group.optional("head_time", parse_positive_time, faults),
    );
    set(
        &mut limits.body_time,
        group.optional("body_time", parse_positive_time, faults),
    );
    group.finish(faults);
    limits
}

fn read_logs(mut group: Group, faults: &mut Vec<Fault>) -> Logs {
    let format = group.optional("format", parse_format, faults);
    let level = group.optional("level", parse_level, faults);
    group.finish(faults);
    Logs {
        format: format.unwrap_or(Format::Json),
        level: level.unwrap_or(log::LevelFilter::Info),
    }
}

fn set<T>(place: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *place = value;
    }
}

fn parse_name(text: &str) -> Result<String, String> {
    let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !text.is_empty() && text.len() <= MAX_NAME && text.chars().all(plain) {
        true => Ok(text.to_owned()),
        false => Err(format!(
            "a name has 1 to {MAX_NAME} ASCII letters, digits, `-`, `_` or `.`"
        )),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an address such as 127.0.0.1:8080"))
}

fn parse_url(text: &str) -> Result<Uri, String> {
    let wrong = || format!("`{text}` is not a URL such as http://127.0.0.1:7001");
    let url = text.parse::<Uri>().map_err(|_| wrong())?;
    let address = url.authority().map(|authority| authority.as_str());
    let known = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
    match url.scheme() == Some(&Scheme::HTTP) && known {
        true => Ok(url),
        false => Err(wrong()),
    }
}

fn read_secret(folder: &Path, text: &str) -> Result<Secret, String> {
    let path = folder.join(PathBuf::from(text));
    let content = fs::read_to_string(&path)
        .map_err(|error| format!("the key file can't be read: {error}"))?;
    blake3::Hash::from_hex(content.trim())
        .map(|bytes| Secret(*bytes.as_bytes()))
        .map_err(|_| "the key file must hold 32 bytes as 64 hex digits".to_owned())
}

fn parse_head(text: &str) -> Result<usize, String> {
    let size = parse_size(text)?;
    match size >= MIN_HEAD {
        true => Ok(size),
        false => Err(format!("at least {}KiB is needed", MIN_HEAD >> 10)),
    }
}

fn parse_positive_size(text: &str) -> Result<usize, String> {
    match parse_size(text)? {
        0 => Err("must not be 0".to_owned()),
        size => Ok(size),
    }
}

fn parse_positive_time(text: &str) -> Result<Duration, String> {
    match parse_duration(text)? {
        Duration::ZERO => Err("must not be 0".to_owned()),
        time => Ok(time),
    }
}

fn parse_count(text: &str) -> Result<usize, String> {
    match text.parse() {
        Ok(count) if (1..=1 << 20).contains(&count) => Ok(count),
        _ => Err(format!("`{text}` is not a number from 1 to {}", 1 << 20)),
    }
}

fn parse_format(text: &str) -> Result<Format, String> {
    match text {
        "json" => Ok(Format::Json),
        "text" => Ok(Format::Text),
        _ => Err(format!("`{text}` is neither json nor text")),
    }
}

fn parse_level(text: &str) -> Result<log::LevelFilter, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is none of off, error, warn, info, debug, trace"))
}
