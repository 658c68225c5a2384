//! A small deployment: a store, targets, entries and a caller.

use {
    crate::{port::free, site::site},
    bytes::Bytes,
    camphorweir_entry::{
        front::{reload::SettingsSource, run::run},
        process::Failure,
    },
    camphorweir_relay::{
        budget,
        settings::{Bounds, Settings},
    },
    camphorweir_standin::{
        http1::Cut,
        metadata::Store,
        platform_target::{Setup, Target},
    },
    http_body_util::{BodyExt, Full},
    hyper::{HeaderMap, Request, Response, Version, body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{
        future::Future,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        sync::oneshot,
        task::JoinHandle,
        time::{sleep, timeout},
    },
};

/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(30);
/// Pause between looks at something that is awaited.
const LOOK: Duration = Duration::from_millis(10);
/// Keys of the two workspaces.
pub(crate) const KEYS: [&str; 2] = ["key-of-one", "key-of-two"];

/// An answer to a caller.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) version: Version,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whether the body came whole.
    pub(crate) whole: bool,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }
}

/// An entry that runs.
pub(crate) struct Entry {
    pub(crate) callers: SocketAddr,
    ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    /// Local address of its connections to targets.
    source: IpAddr,
    /// What its settings file would say now.
    pub(crate) settings: Arc<Mutex<Result<Settings, String>>>,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<Result<(), Failure>>,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The deployment.
pub(crate) struct Bench {
    pub(crate) store: Store,
    /// One address of the store for each entry.
    doors: Vec<SocketAddr>,
    pub(crate) entries: Vec<Entry>,
    pub(crate) calls: Vec<Target>,
    pub(crate) parts: Vec<Target>,
}

impl Bench {
    /// A store, two plain targets, three layered ones that need each other, and entries that are
    /// ready with every layer placed.
    pub(crate) async fn start(entries: usize) -> Self {
        let store = Store::default();
        let mut doors = Vec::new();
        for _ in 0..entries {
            doors.push(store.add_listener().await.unwrap());
        }
        let mut bench = Self {
            store,
            doors,
            entries: Vec::new(),
            calls: Vec::new(),
            parts: Vec::new(),
        };
        bench.configure(1, &KEYS);
        for index in 0..2 {
            bench.calls.push(bench.target("ledger", index, "").await);
        }
        for index in 0..4 {
            bench
                .parts
                .push(bench.target("scribe", index, "half").await);
        }
        for index in 0..entries {
            let entry = bench.entry(index).await;
            bench.entries.push(entry);
        }
        for entry in &bench.entries {
            until("ready", || async {
                assert!(!entry.task.is_finished(), "the entry could not start");
                is_ready(entry).await.then_some(())
            })
            .await;
        }
        until("layers placed", || async {
            let held = bench.parts.iter().filter(|part| part.layers().is_some());
            (held.count() == 4).then_some(())
        })
        .await;
        // The records of layers travel as all records do.
        for entry in &bench.entries {
            until("a stream", || async {
                let answer = call(entry.callers, &stream("warm")).await;
                (answer.status == 200).then_some(())
            })
            .await;
        }
        bench
    }

    async fn target(&self, service: &str, index: usize, kind: &str) -> Target {
        let setup = Setup {
            id: format!("{service}-{index}"),
            service: service.to_owned(),
            zone: "z".to_owned(),
            kind: kind.to_owned(),
        };
        Target::spawn(setup, self.store.clone()).await.unwrap()
    }

    /// Publishes a configuration with these keys.
    pub(crate) fn configure(&self, version: u64, keys: &[&str]) {
        let site = site(version, keys);
        self.store
            .put("keyed.op", "config", site.to_string().as_bytes());
    }

    async fn entry(&self, index: usize) -> Entry {
        let (callers, ready, metrics) = (free(), free(), free());
        let source = IpAddr::from([127, 0, 0, 2 + index as u8]);
        let settings = Settings {
            instance: format!("entry-{index}"),
            zone: "z".into(),
            callers_address: callers,
            ready_address: ready,
            store_address: self.doors[index],
            target_source: Some(source),
            peer_ports: (0, 0),
            link_mbps: 1_000,
            max_sockets: 1_000,
            memory_bytes: None,
            bounds: Bounds {
                stop_grace: Duration::from_secs(8),
                drain: Duration::from_secs(2),
                contact: Duration::from_secs(3),
                key_revocation: Duration::from_secs(5),
                retry_budget: budget::Policy {
                    ratio: 0.2,
                    base_retries: 100.0,
                    window: Duration::from_secs(10),
                },
            },
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let file = Arc::new(Mutex::new(Ok(settings.clone())));
        let read = file.clone();
        let settings_source = SettingsSource::new(move || read.lock().unwrap().clone());
        let task = tokio::spawn(run(
            settings,
            settings_source,
            Some(metrics.port()),
            async {
                // A dropped sender stops the entry as well.
                let _ = stopped.await;
            },
        ));
        Entry {
            callers,
            ready,
            metrics,
            source,
            settings: file,
            stop: Some(stop),
            task,
        }
    }

    /// Ends every entry at one moment, as a loss of power does, and starts new ones.
    pub(crate) async fn replace_entries(&mut self) {
        let count = self.entries.len();
        self.entries.clear();
        for index in 0..count {
            let entry = self.entry(index).await;
            self.entries.push(entry);
        }
    }

    /// Cuts an entry off from all targets, or ends the cut with `None`.
    pub(crate) fn cut(&self, entry: usize, cut: Option<Cut>) {
        for target in self.calls.iter().chain(&self.parts) {
            target.cut(self.entries[entry].source, cut);
        }
    }

    /// Cuts an entry off from a target, or ends the cut with `None`.
    pub(crate) fn cut_target(&self, entry: usize, target: &Target, cut: Option<Cut>) {
        target.cut(self.entries[entry].source, cut);
    }

    /// The address of the first entry.
    pub(crate) fn front(&self) -> SocketAddr {
        self.entries[0].callers
    }

    /// Runs of an attempt at all targets together.
    pub(crate) fn runs(&self, id: &str) -> usize {
        let targets = self.calls.iter().chain(&self.parts);
        targets.map(|target| target.runs(id)).sum()
    }
}

impl Entry {
    /// Tells it to stop.
    pub(crate) fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Whether it has ended.
    pub(crate) fn is_over(&self) -> bool {
        self.task.is_finished()
    }

    /// Waits for its end.
    pub(crate) async fn ended(mut self) -> Result<(), Failure> {
        timeout(GUARD, &mut self.task).await.unwrap().unwrap()
    }
}

/// Whether an entry says that it is ready.
pub(crate) async fn is_ready(entry: &Entry) -> bool {
    let request = Request::get("/api/readyz").body(Full::default()).unwrap();
    match TcpStream::connect(entry.ready).await {
        Ok(_) => call(entry.ready, &request).await.status == 200,
        Err(_) => false,
    }
}

/// Waits until a look finds what is awaited.
pub(crate) async fn until<T, F: Future<Output = Option<T>>>(what: &str, look: impl Fn() -> F) -> T {
    let found = timeout(GUARD, async {
        loop {
            if let Some(found) = look().await {
                return found;
            }
            sleep(LOOK).await;
        }
    });
    found.await.unwrap_or_else(|_| panic!("{what}: not seen"))
}

/// A request to a plain service.
pub(crate) fn plain(path: &str, id: &str, key: &str) -> Request<Full<Bytes>> {
    Request::post(path)
        .header("host", "h.example")
        .header("x-attempt-id", id)
        .header("x-deadline-ms", "3000")
        .header("authorization", format!("Bearer {key}"))
        .header("x-tenant", "forged")
        .header("x-mark", "kept")
        .body(Full::new(Bytes::from_static(b"batch 7")))
        .unwrap()
}

/// A request for a stream that may go on at another target.
pub(crate) fn stream(id: &str) -> Request<Full<Bytes>> {
    stream_of("/text/a", id)
}

/// A request for a stream of a route.
pub(crate) fn stream_of(path: &str, id: &str) -> Request<Full<Bytes>> {
    let mut request = plain(path, id, KEYS[0]);
    request
        .headers_mut()
        .insert("x-token-usage", "10,24".parse().unwrap());
    request
}

/// The same request with another body.
pub(crate) fn with_body(request: Request<Full<Bytes>>, body: &'static str) -> Request<Full<Bytes>> {
    request.map(|_| Full::new(Bytes::from_static(body.as_bytes())))
}

/// A connection of a caller, which may send several requests on it.
pub(crate) struct Channel(http1::SendRequest<Full<Bytes>>);

impl Channel {
    pub(crate) async fn open(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(connection);
        Self(sender)
    }

    /// The answer to a request, with status 0 if there is none; `None` if the connection was closed
    /// before the request was sent.
    pub(crate) async fn call(&mut self, request: &Request<Full<Bytes>>) -> Option<Answer> {
        let sent = timeout(GUARD, self.0.try_send_request(request.clone())).await;
        match sent.unwrap() {
            Ok(response) => Some(collect(response).await),
            Err(mut error) => match error.take_message() {
                Some(_) => None,
                None => Some(Answer::default()),
            },
        }
    }
}

/// Sends a request on a connection of its own.
pub(crate) async fn call(address: SocketAddr, request: &Request<Full<Bytes>>) -> Answer {
    let mut channel = Channel::open(address).await;
    let answer = channel.call(request).await;
    answer.unwrap_or_default()
}

async fn collect(response: Response<Incoming>) -> Answer {
    let (parts, mut body) = response.into_parts();
    let (mut bytes, mut whole) = (Vec::new(), true);
    while let Some(frame) = timeout(GUARD, body.frame()).await.unwrap() {
        match frame {
            Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
            Err(_) => {
                whole = false;
                break;
            }
        }
    }
    Answer {
        status: parts.status.as_u16(),
        version: parts.version,
        headers: parts.headers,
        body: bytes.into(),
        whole,
    }
}
