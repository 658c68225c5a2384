//! The platform's log service.

use {
    crate::{
        rate::Bucket,
        server::{self, Answer, Error, Links, Net, Role, collect, lock, status, take, whole},
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

/// Most records in a page.
const MAX_RECORDS: usize = 10_000;
/// Bytes of records after which a page ends.
const MAX_BYTES: usize = 4 << 20;
/// Longest that a read waits.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A running log service.
pub type Handle = server::Handle<Store>;

/// Settings of a log service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How long records are retained, in milliseconds.
    #[serde(default = "Settings::default_retain")]
    pub retain_ms: u64,
    /// Appends taken in a second, for all streams together; 0 sets no limit.
    #[serde(default)]
    pub appends_per_second: f64,
}

impl Settings {
    /// A log service without a limit that retains records for a week.
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
    /// Faults of the network.
    pub net: Net,
    /// The stream whose appends the counts below stand for; empty for every stream.
    pub stream: String,
    /// So many of the next appends land and their answers are lost.
    pub lost: u32,
    /// So many of the next appends, after the lost ones, get no answer and land later.
    pub late: u32,
    /// How much later, in milliseconds.
    pub late_ms: u64,
    /// So many of the next appends, after the late ones, get no answer and never land.
    pub gone: u32,
}

/// What a log service has counted.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Stats {
    /// Appends landed.
    pub appends: u64,
    /// Records landed.
    pub records: u64,
    /// Appends refused by the limit.
    pub refused: u64,
    /// Pages read.
    pub reads: u64,
}

enum Fate {
    Answered,
    Lost,
    Late(Duration),
    Gone,
}

/// The streams of a log service.
#[derive(Debug)]
pub struct Store {
    retain: Duration,
    started: Instant,
    epoch: Duration,
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
    grown: watch::Sender<()>,
}

impl Stream {
    fn new() -> Self {
        Self {
            oldest: 0,
            records: VecDeque::new(),
            grown: watch::Sender::new(()),
        }
    }

    fn end(&self) -> Offset {
        self.oldest + self.records.len() as u64
    }

    /// Every record is dropped once, so the work over a stream's life is linear in its records.
    fn expire(&mut self, expired: impl Fn(&Stored) -> bool) {
        while self.records.front().is_some_and(&expired) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    fn page(&self, from: Offset, max: usize) -> Page {
        let skip = from.saturating_sub(self.oldest) as usize;
        let mut room = MAX_BYTES;
        let wanted = self.records.iter().skip(skip).take(max);
        let records = wanted.take_while(|record| {
            let fits = room > 0;
            room = room.saturating_sub(record.body.len());
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
    let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let store = Store {
        retain: Duration::from_millis(settings.retain_ms),
        started: Instant::now(),
        epoch: epoch.unwrap_or(Duration::ZERO),
        streams: Mutex::default(),
        bucket: Mutex::new(Bucket::new(settings.appends_per_second)),
        stats: Mutex::default(),
        faults: Mutex::default(),
        closing: watch::Sender::new(false),
    };
    server::start(
        settings.address,
        Arc::new(Links::default()),
        Arc::new(store),
    )
    .await
}

impl Handle {
    /// Appends past limit and faults.
    pub fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Offset {
        let records = records.into_iter().map(ByteBuf::from).collect();
        self.role.land(stream, records)
    }

    /// Everything retained of a stream.
    pub fn read(&self, stream: &str) -> Page {
        self.role.page(stream, 0, usize::MAX).0
    }

    /// Ends the retention of a stream's records below an offset.
    pub fn expire(&self, stream: &str, below: Offset) {
        if let Some(stream) = lock(&self.role.streams).get_mut(stream) {
            stream.expire(|record| record.offset < below);
        }
    }

    /// What it has counted.
    pub fn stats(&self) -> Stats {
        lock(&self.role.stats).clone()
    }
}

impl Store {
    fn now(&self) -> Duration {
        self.epoch + self.started.elapsed()
    }

    fn land(&self, name: &str, records: Vec<ByteBuf>) -> Offset {
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
        stream.grown.send_replace(());
        first
    }

    fn page(&self, name: &str, from: Offset, max: usize) -> (Page, watch::Receiver<()>) {
        let kept = self.now().saturating_sub(self.retain).as_millis() as u64;
        let mut streams = lock(&self.streams);
        let stream = streams.entry(name.to_owned()).or_insert_with(Stream::new);
        stream.expire(|record| record.time_ms < kept);
        (stream.page(from, max), stream.grown.subscribe())
    }

    fn fate(&self, name: &str, from: Option<&str>) -> Fate {
        let mut faults = lock(&self.faults);
        let struck = faults.stream.is_empty() || faults.stream == name;
        if !struck || !faults.net.applies(from) {
            Fate::Answered
        } else if take(&mut faults.lost) {
            Fate::Lost
        } else if take(&mut faults.late) {
            Fate::Late(Duration::from_millis(faults.late_ms))
        } else if take(&mut faults.gone) {
            Fate::Gone
        } else {
            Fate::Answered
        }
    }

    async fn append(self: Arc<Self>, name: String, body: &[u8], from: Option<String>) -> Answer {
        let Ok(Append { records }) = codec::decode(body) else {
            return Some(status(StatusCode::BAD_REQUEST));
        };
        if !lock(&self.bucket).take() {
            lock(&self.stats).refused += 1;
            return Some(status(StatusCode::TOO_MANY_REQUESTS));
        }
        match self.fate(&name, from.as_deref()) {
            Fate::Answered => {
                let first = self.land(&name, records);
                Some(whole(codec::encode(&Appended { first })))
            }
            Fate::Lost => {
                self.land(&name, records);
                None
            }
            Fate::Late(wait) => {
                tokio::spawn(async move {
                    sleep(wait).await;
                    self.land(&name, records);
                });
                None
            }
            Fate::Gone => None,
        }
    }

    async fn read(&self, name: &str, query: Query) -> Page {
        lock(&self.stats).reads += 1;
        let until = Instant::now() + query.wait;
        let mut closing = self.closing.subscribe();
        loop {
            let (page, mut grown) = self.page(name, query.from, query.max);
            if !page.records.is_empty() || *closing.borrow() {
                return page;
            }
            tokio::select! {
                _ = grown.changed() => {}
                _ = closing.changed() => {}
                () = sleep_until(until) => return page,
            }
        }
    }
}

struct Query {
    from: Offset,
    max: usize,
    wait: Duration,
}

fn query(text: &str) -> Option<Query> {
    let mut query = Query {
        from: 0,
        max: MAX_RECORDS,
        wait: Duration::ZERO,
    };
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        let value = value.parse::<u64>().ok()?;
        match name {
            "from" => query.from = value,
            "max" => query.max = (value as usize).clamp(1, MAX_RECORDS),
            "wait_ms" => query.wait = Duration::from_millis(value).min(MAX_WAIT),
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

    fn net(faults: &Faults) -> &Net {
        &faults.net
    }

    fn report(&self, name: &str) -> Option<Value> {
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

    async fn answer(self: Arc<Self>, request: Request<Incoming>, from: Option<String>) -> Answer {
        let Some(name) = request.uri().path().strip_prefix("/streams/") else {
            return Some(status(StatusCode::NOT_FOUND));
        };
        let name = name.to_owned();
        match *request.method() {
            Method::POST => {
                let body = collect(request).await?;
                self.append(name, &body, from).await
            }
            Method::GET => match query(request.uri().query().unwrap_or("")) {
                Some(query) => Some(whole(codec::encode(&self.read(&name, query).await))),
                None => Some(status(StatusCode::BAD_REQUEST)),
            },
            _ => Some(status(StatusCode::METHOD_NOT_ALLOWED)),
        }
    }

    async fn drain(self: Arc<Self>) {
        self.closing.send_replace(true);
    }
}
