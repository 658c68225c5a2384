//! Stand-in for the platform's log service.

use {
    crate::{
        rate_limit::Bucket,
        server::{
            self, Answer, Connections, Error, NetworkFaults, Role, consume, lock, read_body,
            status, with_body,
        },
    },
    camphorweir_wire::{
        codec,
        ids::Offset,
        log::{Append, Appended, Page, Stored},
    },
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_bytes::ByteBuf,
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, SystemTime},
    },
    tokio::{
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
};

/// Maximum number of records in a page.
const MAX_PAGE_RECORDS: usize = 10_000;
/// A page ends with the record that reaches this many bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;
/// Longest time that a read waits for records.
const MAX_READ_WAIT: Duration = Duration::from_secs(60);

/// A running log service.
pub type Handle = server::Handle<Store>;

/// Settings of a log service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// How long records are retained, in milliseconds.
    #[serde(default = "Settings::default_retain")]
    pub retain_ms: u64,
    /// Limit on appends in a second, over all streams; 0 for no limit.
    #[serde(default)]
    pub appends_per_second: f64,
}

impl Settings {
    /// A log service without an append limit that retains records for a week.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            retain_ms: Self::default_retain(),
            appends_per_second: 0.0,
        }
    }

    fn default_retain() -> u64 {
        7 * 24 * 3_600_000
    }
}

/// Faults of a log service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Network faults.
    pub net: NetworkFaults,
    /// Stream that the counts below apply to; empty for all streams.
    pub stream: String,
    /// Number of appends that are stored but not answered.
    pub lost: u32,
    /// Number of appends, after the lost ones, that are not answered and stored with a delay.
    pub late: u32,
    /// Delay of the late appends, in milliseconds.
    pub late_ms: u64,
    /// Number of appends, after the late ones, that are neither answered nor stored.
    pub gone: u32,
}

/// Counters of a log service.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Appends stored.
    pub appends: u64,
    /// Records stored.
    pub records: u64,
    /// Appends refused by the rate limit.
    pub refused: u64,
    /// Pages read.
    pub reads: u64,
}

/// What happens to one append.
enum AppendOutcome {
    Answered,
    ResponseLost,
    Delayed(Duration),
    Dropped,
}

/// The streams of a log service.
#[derive(Debug)]
pub struct Store {
    retention: Duration,
    started: Instant,
    /// Time of the start since the Unix epoch.
    started_unix: Duration,
    streams: Mutex<BTreeMap<String, Stream>>,
    bucket: Mutex<Bucket>,
    stats: Mutex<Stats>,
    faults: Mutex<Faults>,
    closing: watch::Sender<bool>,
}

#[derive(Debug)]
struct Stream {
    oldest: Offset,
    records: VecDeque<Stored>,
    appended: watch::Sender<()>,
}

impl Stream {
    fn new() -> Self {
        Self {
            oldest: 0,
            records: VecDeque::new(),
            appended: watch::Sender::new(()),
        }
    }

    fn end(&self) -> Offset {
        self.oldest + self.records.len() as u64
    }

    /// Drops expired records; each is dropped once, so the total work is linear in the records.
    fn expire(&mut self, expired: impl Fn(&Stored) -> bool) {
        while self.records.front().is_some_and(&expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    fn page(&self, from: Offset, limit: usize) -> Page {
        let skip = from.saturating_sub(self.oldest) as usize;
        let mut bytes_left = MAX_PAGE_BYTES;
        let candidates = self.records.iter().skip(skip).take(limit);
        let records = candidates.take_while(|record| {
            let fits = bytes_left > 0;
            bytes_left = bytes_left.saturating_sub(record.body.len());
            fits
        });
        Page {
            oldest: self.oldest,
            end: self.end(),
            records: records.cloned().collect(),
        }
    }
}

/// Starts a log service.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let started_unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let store = Store {
        retention: Duration::from_millis(settings.retain_ms),
        started: Instant::now(),
        started_unix: started_unix.unwrap_or(Duration::ZERO),
        streams: Mutex::default(),
        bucket: Mutex::new(Bucket::new(settings.appends_per_second)),
        stats: Mutex::default(),
        faults: Mutex::default(),
        closing: watch::Sender::new(false),
    };
    server::start(
        settings.address,
        Arc::new(Connections::default()),
        Arc::new(store),
    )
    .await
}

impl Handle {
    /// Appends records without rate limit and faults.
    pub fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Offset {
        let records = records.into_iter().map(ByteBuf::from).collect();
        self.role.store_records(stream, records)
    }

    /// All retained records of a stream.
    pub fn read(&self, stream: &str) -> Page {
        self.role.retained_page(stream, 0, usize::MAX).0
    }

    /// Drops a stream's records below an offset.
    pub fn expire(&self, stream: &str, below: Offset) {
        if let Some(stream) = lock(&self.role.streams).get_mut(stream) {
            stream.expire(|record| record.offset < below);
        }
    }

    /// Counters of the log service.
    pub fn stats(&self) -> Stats {
        lock(&self.role.stats).clone()
    }
}

impl Store {
    fn now(&self) -> Duration {
        self.started_unix + self.started.elapsed()
    }

    fn store_records(&self, name: &str, records: Vec<ByteBuf>) -> Offset {
        let time_ms = self.now().as_millis() as u64;
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.to_owned()).or_insert_with(Stream::new);
        let first = stream.end();
        let mut stats = lock(&self.stats);
        stats.appends += 1;
        stats.records += records.len() as u64;
        for (offset, body) in (first..).zip(records) {
            stream.records.push_back(Stored {
                offset,
                time_ms,
                body,
            });
        }
        stream.appended.send_replace(());
        first
    }

    fn retained_page(&self, name: &str, from: Offset, max: usize) -> (Page, watch::Receiver<()>) {
        let oldest_ms = self.now().saturating_sub(self.retention).as_millis() as u64;
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.to_owned()).or_insert_with(Stream::new);
        stream.expire(|record| record.time_ms < oldest_ms);
        (stream.page(from, max), stream.appended.subscribe())
    }

    fn next_outcome(&self, name: &str, client: Option<&str>) -> AppendOutcome {
        let mut faults = lock(&self.faults);
        let affected = faults.stream.is_empty() || faults.stream == name;
        if !affected || !faults.net.applies(client) {
            AppendOutcome::Answered
        } else if consume(&mut faults.lost) {
            AppendOutcome::ResponseLost
        } else if consume(&mut faults.late) {
            AppendOutcome::Delayed(Duration::from_millis(faults.late_ms))
        } else if consume(&mut faults.gone) {
            AppendOutcome::Dropped
        } else {
            AppendOutcome::Answered
        }
    }

    async fn append(self: Arc<Self>, name: String, body: &[u8], client: Option<String>) -> Answer {
        let Ok(Append { records }) = codec::decode(body) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        if !lock(&self.bucket).try_take() {
            lock(&self.stats).refused += 1;
            return Some(status(StatusCode::TOO_MANY_REQUESTS));
        }
        match self.next_outcome(&name, client.as_deref()) {
            AppendOutcome::Answered => {
                let first = self.store_records(&name, records);
                Some(with_body(codec::encode(&Appended { first })))
            }
            AppendOutcome::ResponseLost => {
                self.store_records(&name, records);
                None
            }
            AppendOutcome::Delayed(delay) => {
                tokio::spawn(async move {
                    sleep(delay).await;
                    self.store_records(&name, records);
                });
                None
            }
            AppendOutcome::Dropped => None,
        }
    }

    async fn read(&self, name: &str, query: Query) -> Page {
        lock(&self.stats).reads += 1;
        let deadline = Instant::now() + query.wait;
        let mut closing = self.closing.subscribe();
        loop {
            let (page, mut appended) = self.retained_page(name, query.from, query.max);
            if !page.records.is_empty() || *closing.borrow() {
                return page;
            }
            tokio::select! {
                _ = appended.changed() => {}
                _ = closing.changed() => {}
                () = sleep_until(deadline) => return page,
            }
        }
    }
}

struct Query {
    from: Offset,
    max: usize,
    wait: Duration,
}

fn parse_query(text: &str) -> Option<Query> {
    let mut query = Query {
        from: 0,
        max: MAX_PAGE_RECORDS,
        wait: Duration::ZERO,
    };
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let value = value.parse::<u64>().ok()?;
        match name {
            "from" => query.from = value,
            "max" => query.max = (value as usize).clamp(1, MAX_PAGE_RECORDS),
            "wait_ms" => query.wait = Duration::from_millis(value).min(MAX_READ_WAIT),
            _ => return None,
        }
    }
    Some(query)
}

impl Role for Store {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn network_faults(faults: &Faults) -> &NetworkFaults {
        &faults.net
    }

    fn resource(&self, name: &str) -> Option<Value> {
        if name != "stats" {
            return None;
        }
        let streams = lock(&self.streams);
        let streams: BTreeMap<_, _> = streams
            .iter()
            .map(|(name, stream)| (name, json!({"oldest": stream.oldest, "end": stream.end()})))
            .collect();
        let stats = lock(&self.stats).clone();
        Some(json!({"stats": stats, "streams": streams}))
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, client: Option<String>) -> Answer {
        let Some(name) = request.uri().path().strip_prefix("/streams/") else {
            return Some(status(StatusCode::NOT_FOUND));
        };
        let name = name.to_owned();
        match *request.method() {
            Method::POST => {
                let body = read_body(request).await?;
                self.append(name, &body, client).await
            }
            Method::GET => match parse_query(request.uri().query().unwrap_or("")) {
                Some(query) => Some(with_body(codec::encode(&self.read(&name, query).await))),
                None => Some(status(StatusCode::BAD_REQUEST)),
            },
            _ => Some(status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn drain(self: Arc<Self>) {
        self.closing.send_replace(true);
    }
}
