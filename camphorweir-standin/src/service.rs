//! A plain service: a ledger that counts its runs, or lookups.

use {
    crate::server::{
        self, Answer, Body, Error, Links, Net, Role, collect, header, json, lock, status, take,
    },
    bytes::Bytes,
    camphorweir_wire::{
        ids::Fence,
        outcome::{FENCE_HEADER, LEAVING_HEADER, RAN_HEADER, Ran},
    },
    futures::stream,
    http_body_util::{BodyExt, StreamBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
    },
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::{HashMap, VecDeque},
        io,
        net::SocketAddr,
        process,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Most runs kept in the audit; older ones leave it.
const MAX_RUNS: usize = 1 << 20;
/// Exit code of a process that a request crashed.
pub const CRASHED: i32 = 70;

/// A running plain service.
pub type Handle = server::Handle<Ledger>;

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it refuses a call with an older fencing number than it has seen for the key, and
    /// answers a key that has run with the first run's answer.
    #[serde(default)]
    pub fencing: bool,
    /// Whether a crash ends the process; else only all connections.
    #[serde(default)]
    pub exit_on_crash: bool,
}

impl Settings {
    /// A service without fencing whose crashes end its connections only.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            fencing: false,
            exit_on_crash: false,
        }
    }
}

/// Faults of a plain service; a count stands for so many of the next calls.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults of the network; its delay comes before the run.
    pub net: Net,
    /// Calls refused with 503 and `camphorweir-ran: no`.
    pub refuse: u32,
    /// Calls whose connection is dropped at their head, while the body may still be on its way.
    pub drop_head: u32,
    /// Calls that don't run and whose connection is dropped.
    pub drop_before: u32,
    /// Calls that run and are answered with a bare 503.
    pub fail_after: u32,
    /// Calls that run and whose connection is dropped.
    pub drop_after: u32,
    /// Calls that run and whose answer is cut in its body.
    pub cut_answer: u32,
    /// Time of a run, in milliseconds.
    pub run_ms: u64,
    /// Whether answers say that the service is leaving.
    pub leaving: bool,
    /// A body that contains it crashes the service after the run is recorded; empty for none.
    pub poison: String,
}

/// One run of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Its number, from 1.
    pub run: u64,
    /// The `Idempotency-Key`, if the call had one.
    pub key: Option<String>,
    /// Path with query.
    pub path: String,
    /// The fencing number, if the call had one.
    pub fence: Option<Fence>,
}

/// A plain service and what ran on it.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    links: Arc<Links>,
    runs: Mutex<Runs>,
    faults: Mutex<Faults>,
}

#[derive(Debug, Default)]
struct Runs {
    count: u64,
    kept: VecDeque<Run>,
    /// By key: the highest fencing number and the first run; only kept when fencing.
    fences: HashMap<String, (Fence, Option<Run>)>,
}

enum Begun {
    Ran(Run),
    Before(Run),
    Fenced,
}

/// Starts a plain service.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let links = Arc::new(Links::default());
    let address = settings.address;
    let ledger = Ledger {
        settings,
        links: links.clone(),
        runs: Mutex::default(),
        faults: Mutex::default(),
    };
    server::start(address, links, Arc::new(ledger)).await
}

impl Handle {
    /// Every run, oldest first.
    pub fn audit(&self) -> Vec<Run> {
        lock(&self.role.runs).kept.iter().cloned().collect()
    }
}

impl Ledger {
    fn begin(&self, key: Option<String>, path: String, fence: Option<Fence>) -> Begun {
        let mut runs = lock(&self.runs);
        let fenced = key.as_ref().zip(fence).filter(|_| self.settings.fencing);
        if let Some((key, fence)) = fenced {
            let seen = runs.fences.entry(key.clone()).or_insert((fence, None));
            if fence < seen.0 {
                return Begun::Fenced;
            }
            seen.0 = fence;
            if let Some(run) = &seen.1 {
                return Begun::Before(run.clone());
            }
        }
        let fenced = fenced.map(|(key, _)| key.clone());
        let run = runs.record(key, path, fence);
        if let Some(seen) = fenced.and_then(|key| runs.fences.get_mut(&key)) {
            seen.1 = Some(run.clone());
        }
        Begun::Ran(run)
    }

    fn crash(&self) {
        if self.settings.exit_on_crash {
            process::exit(CRASHED);
        }
        self.links.drop_all();
    }

    /// Takes one of a counted fault, where faults apply to the client.
    fn strikes(&self, from: Option<&str>, count: fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        faults.net.applies(from) && take(count(&mut faults))
    }

    fn poisoned(&self, body: &[u8]) -> bool {
        let faults = lock(&self.faults);
        let poison = faults.poison.as_bytes();
        !poison.is_empty() && body.windows(poison.len()).any(|part| part == poison)
    }

    async fn call(&self, request: Request<Incoming>, from: Option<String>) -> Answer {
        let key = header(&request, "idempotency-key");
        let fence = header(&request, FENCE_HEADER).and_then(|fence| fence.parse().ok());
        let path = request.uri().to_string();
        let from = from.as_deref();
        if self.strikes(from, |faults| &mut faults.drop_head) {
            return None;
        }
        let body = collect(request).await?;
        if self.strikes(from, |faults| &mut faults.refuse) {
            return Some(refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.strikes(from, |faults| &mut faults.drop_before) {
            return None;
        }
        let run = match self.begin(key, path, fence) {
            Begun::Fenced => return Some(refusal(StatusCode::CONFLICT)),
            Begun::Before(run) => return Some(json(&run)),
            Begun::Ran(run) => run,
        };
        if self.poisoned(&body) {
            self.crash();
            return None;
        }
        let time = lock(&self.faults).run_ms;
        sleep(Duration::from_millis(time)).await;
        if self.strikes(from, |faults| &mut faults.fail_after) {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.strikes(from, |faults| &mut faults.drop_after) {
            return None;
        }
        if self.strikes(from, |faults| &mut faults.cut_answer) {
            return Some(cut(&run));
        }
        Some(json(&run))
    }
}

impl Runs {
    fn record(&mut self, key: Option<String>, path: String, fence: Option<Fence>) -> Run {
        self.count += 1;
        let run = Run {
            run: self.count,
            key,
            path,
            fence,
        };
        self.kept.push_back(run.clone());
        if self.kept.len() > MAX_RUNS {
            self.kept.pop_front();
        }
        run
    }
}

fn refusal(code: StatusCode) -> Response<Body> {
    let mut answer = status(code);
    let no = HeaderValue::from_static(Ran::No.as_str());
    answer.headers_mut().insert(RAN_HEADER, no);
    answer
}

/// An answer that breaks off after half of the body that its head promises.
fn cut(run: &Run) -> Response<Body> {
    let bytes = json!(run).to_string().into_bytes();
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    let parts = [Ok(Frame::data(half)), Err(io::Error::other("cut"))];
    let body = StreamBody::new(stream::iter(parts));
    let mut answer = Response::new(body.boxed_unsync());
    let length = HeaderValue::from(bytes.len());
    answer.headers_mut().insert(CONTENT_LENGTH, length);
    answer
}

impl Role for Ledger {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn net(faults: &Faults) -> &Net {
        &faults.net
    }

    fn report(&self, name: &str) -> Option<Value> {
        let runs = lock(&self.runs);
        match name {
            "audit" => Some(json!(runs.kept)),
            "stats" => Some(json!({"runs": runs.count})),
            _ => None,
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, from: Option<String>) -> Answer {
        let mut answer = self.call(request, from).await?;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if lock(&self.faults).leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("true"));
        }
        Some(answer)
    }

    async fn drain(self: Arc<Self>) {
        lock(&self.faults).leaving = true;
    }
}
