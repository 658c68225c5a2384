//! Reads the settings file of an entry and reports all of its faults.

use {
    crate::{
        startup::Obstacle,
        units::{parse_duration, parse_size},
        yaml::{self, Fault, Mapping},
    },
    camphorweir_config::model::ZoneId,
    camphorweir_wire::{code::Code, ids::EntryId},
    hyper::{Uri, http::uri::Scheme},
    std::{
        fmt, fs,
        io::{self, ErrorKind},
        net::SocketAddr,
        path::{Path, PathBuf},
        time::Duration,
    },
};

/// Longest name of an entry or a zone, in bytes.
const MAX_NAME_LEN: usize = 64;
/// Smallest allowed limit on the request head, in bytes; the smallest buffer size of `hyper`.
const MIN_HEAD_LIMIT: usize = 8 << 10;

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry's name, the same as in the platform's instance list.
    pub entry: EntryId,
    /// The availability zone of the entry.
    pub zone: ZoneId,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// URLs of the platform's services.
    pub platform: Platform,
    /// Shared secrets, read from their files.
    pub keys: Keys,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Time from the readiness check turning false until the callers' listener closes.
    pub balancer_grace: Duration,
    /// Log format and level.
    pub logs: Logs,
}

/// Addresses of the listeners; port 0 selects a free port.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers and the load balancer's health checks.
    pub callers: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// For operators and metrics scrapes.
    pub admin: SocketAddr,
}

/// URLs of the platform's services.
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
    /// Authenticates messages between entries.
    pub peers: Secret,
    /// Allows reading with the administration API; `None` disables reading.
    pub admin_read: Option<Secret>,
    /// Allows actions with the administration API; `None` disables them.
    pub admin_write: Option<Secret>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Largest response body of a plain service, in bytes.
    pub answer: usize,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most bytes of request bodies and what they are kept in; [`usize::MAX`] without a limit.
    pub memory: usize,
    /// Most requests in flight, from the end of the head to the end of the response.
    pub requests: usize,
    /// Time without a byte read or written after which a connection is closed, unless it awaits an
    /// answer of the core.
    pub idle: Duration,
    /// Timeout for receiving a request head.
    pub head_time: Duration,
    /// Timeout for receiving a request body.
    pub body_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 << 10,
            body: 1 << 20,
            answer: 4 << 20,
            connections: 1024,
            memory: usize::MAX,
            requests: 4096,
            idle: Duration::from_secs(60),
            head_time: Duration::from_secs(10),
            body_time: Duration::from_secs(10),
        }
    }
}

/// Log format and level.
#[derive(Clone, Copy, Debug)]
pub struct Logs {
    /// The format of a line.
    pub format: Format,
    /// Least severe level that is written.
    pub level: log::LevelFilter,
}

impl Default for Logs {
    fn default() -> Self {
        Self {
            format: Format::Json,
            level: log::LevelFilter::Info,
        }
    }
}

/// The format of a log line.
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

/// Reads and validates a settings file.
///
/// # Errors
///
/// Every fault of the file.
pub fn load(path: &Path) -> Result<Settings, Vec<Fault>> {
    load_at_start(path).map_err(|obstacle| obstacle.reason)
}

/// Loads the settings as [`load`] does, and tells whether the file is not written yet: it is missing or empty.
///
/// # Errors
///
/// Every fault of the file.
pub fn load_at_start(path: &Path) -> Result<Settings, Obstacle<Vec<Fault>>> {
    let text = read_regular(path).map_err(|error| Obstacle {
        passes: error.kind() == ErrorKind::NotFound,
        reason: vec![Fault {
            code: Code::BadSettings,
            line: 0,
            column: 0,
            field: String::new(),
            what: format!("the file can't be read: {error}"),
        }],
    })?;
    parse(&text, path.parent().unwrap_or(Path::new("."))).map_err(|faults| Obstacle {
        reason: faults,
        passes: text.trim().is_empty(),
    })
}

/// Reads a regular file, or one that a symbolic link leads to. A read of another kind, such as a pipe, may not
/// return.
fn read_regular(path: &Path) -> io::Result<String> {
    match fs::metadata(path)?.is_file() {
        true => fs::read_to_string(path),
        false => Err(io::Error::new(
            ErrorKind::InvalidInput,
            "not a regular file",
        )),
    }
}

/// Parses and validates the text of a settings file; relative paths in it are relative to `folder`.
///
/// # Errors
///
/// Every fault of the text.
pub fn parse(text: &str, folder: &Path) -> Result<Settings, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut root = yaml::parse_document(text, &mut faults).map_err(|fault| vec![fault])?;
    let settings = read_all(&mut root, folder, &mut faults);
    root.reject_unknown_fields(&mut faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    match settings {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(faults),
    }
}

/// Reads all mappings before returning, so that all faults are found.
fn read_all(root: &mut Mapping, folder: &Path, faults: &mut Vec<Fault>) -> Option<Settings> {
    let entry = root.required("entry", parse_name, faults);
    let zone = root.required("zone", parse_name, faults);
    let listen = read_listen(root.mapping("listen", faults), faults);
    let platform = read_platform(root.mapping("platform", faults), faults);
    let keys = read_keys(root.mapping("keys", faults), folder, faults);
    let limits = read_limits(root.mapping("limits", faults), faults);
    let balancer_grace = root.optional("balancer_grace", parse_duration, faults);
    let logs = read_logs(root.mapping("logs", faults), faults);
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

fn read_listen(mut mapping: Mapping, faults: &mut Vec<Fault>) -> Option<Listen> {
    let callers = mapping.required("callers", parse_address, faults);
    let mut others = vec![("listen.callers", callers)];
    let peers = mapping.required("peers", |text| parse_unused(text, &others), faults);
    others.push(("listen.peers", peers));
    let admin = mapping.required("admin", |text| parse_unused(text, &others), faults);
    mapping.reject_unknown_fields(faults);
    Some(Listen {
        callers: callers?,
        peers: peers?,
        admin: admin?,
    })
}

fn read_platform(mut mapping: Mapping, faults: &mut Vec<Fault>) -> Option<Platform> {
    let log = mapping.required("log", parse_url, faults);
    let instances = mapping.required("instances", parse_url, faults);
    mapping.reject_unknown_fields(faults);
    Some(Platform {
        log: log?,
        instances: instances?,
    })
}

fn read_keys(mut mapping: Mapping, folder: &Path, faults: &mut Vec<Fault>) -> Option<Keys> {
    let read = |text: &str| read_secret(folder, text);
    let peers = mapping.required("peers", read, faults);
    let admin_read = mapping.optional("admin_read", read, faults);
    let admin_write = mapping.optional("admin_write", read, faults);
    mapping.reject_unknown_fields(faults);
    Some(Keys {
        peers: peers?,
        admin_read,
        admin_write,
    })
}

fn read_limits(mut mapping: Mapping, faults: &mut Vec<Fault>) -> Limits {
    let mut limits = Limits::default();
    set_if_some(
        &mut limits.head,
        mapping.optional("head", parse_head_limit, faults),
    );
    set_if_some(
        &mut limits.body,
        mapping.optional("body", parse_positive_size, faults),
    );
    set_if_some(
        &mut limits.answer,
        mapping.optional("answer", parse_positive_size, faults),
    );
    set_if_some(
        &mut limits.connections,
        mapping.optional("connections", parse_count, faults),
    );
    set_if_some(
        &mut limits.memory,
        mapping.optional("memory", parse_positive_size, faults),
    );
    set_if_some(
        &mut limits.requests,
        mapping.optional("requests", parse_count, faults),
    );
    set_if_some(
        &mut limits.idle,
        mapping.optional("idle", parse_positive_time, faults),
    );
    set_if_some(
        &mut limits.head_time,
        mapping.optional("head_time", parse_positive_time, faults),
    );
    set_if_some(
        &mut limits.body_time,
        mapping.optional("body_time", parse_positive_time, faults),
    );
    mapping.reject_unknown_fields(faults);
    limits
}

fn read_logs(mut mapping: Mapping, faults: &mut Vec<Fault>) -> Logs {
    let format = mapping.optional("format", parse_format, faults);
    let level = mapping.optional("level", parse_level, faults);
    mapping.reject_unknown_fields(faults);
    let default = Logs::default();
    Logs {
        format: format.unwrap_or(default.format),
        level: level.unwrap_or(default.level),
    }
}

fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

fn parse_name(text: &str) -> Result<String, String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match !text.is_empty() && text.len() <= MAX_NAME_LEN && text.chars().all(is_allowed) {
        true => Ok(text.to_owned()),
        false => Err(format!(
            "a name has 1 to {MAX_NAME_LEN} ASCII letters, digits, `-`, `_` or `.`"
        )),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("`{text}` is not an address such as 127.0.0.1:8080"))
}

/// Parses an address that no other field has; port 0 is a port of its own each time.
fn parse_unused(text: &str, others: &[(&str, Option<SocketAddr>)]) -> Result<SocketAddr, String> {
    let address = parse_address(text)?;
    let mut others = others.iter();
    match others.find(|(_, other)| *other == Some(address) && address.port() != 0) {
        Some((field, _)) => Err(format!("`{text}` is the address of {field} too")),
        None => Ok(address),
    }
}

fn parse_url(text: &str) -> Result<Uri, String> {
    let invalid = || format!("`{text}` is not a URL such as http://127.0.0.1:7001");
    let url = text.parse::<Uri>().map_err(|_| invalid())?;
    let address = url.authority().map(|authority| authority.as_str());
    let is_socket_address = address.is_some_and(|address| address.parse::<SocketAddr>().is_ok());
    match url.scheme() == Some(&Scheme::HTTP) && is_socket_address {
        true => Ok(url),
        false => Err(invalid()),
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

fn parse_head_limit(text: &str) -> Result<usize, String> {
    let size = parse_size(text)?;
    match size >= MIN_HEAD_LIMIT {
        true => Ok(size),
        false => Err(format!("at least {}KiB is needed", MIN_HEAD_LIMIT >> 10)),
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
