//! Stand-in for a plain HTTP service, such as a ledger or a lookup, that records the calls it runs.

use {
    crate::server::{
        self, Answer, Body, Connections, Error, NetworkFaults, Role, consume, header, json, lock,
        read_body, status,
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

/// Maximum number of runs in the audit; the oldest are dropped.
const MAX_AUDIT_RUNS: usize = 1 << 20;
/// Exit code of a stand-in process that a poisoned request crashed.
pub const CRASH_EXIT_CODE: i32 = 70;

/// A running plain service.
pub type Handle = server::Handle<Service>;

/// Settings of a plain service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Whether a call is refused if its fencing number is older than one seen for its key, and a
    /// repeated key gets the result of its first run.
    #[serde(default)]
    pub fencing: bool,
    /// Whether a crash ends the process; otherwise it only drops all connections.
    #[serde(default)]
    pub exit_on_crash: bool,
}

impl Settings {
    /// A service without fencing whose crashes only drop its connections.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            fencing: false,
            exit_on_crash: false,
        }
    }
}

/// Faults of a plain service; a count applies to that many of the next calls.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Network faults; their delay comes before the run.
    pub net: NetworkFaults,
    /// Calls refused with 503 and `camphorweir-ran: no`.
    pub refuse: u32,
    /// Calls whose connection is dropped after the request head; the body may still be in transit.
    pub drop_head: u32,
    /// Calls that don't run and whose connection is dropped.
    pub drop_before: u32,
    /// Calls that run and are answered with a bare 503.
    pub fail_after: u32,
    /// Calls that run and whose connection is dropped.
    pub drop_after: u32,
    /// Calls that run and whose response breaks off in its body.
    pub cut_answer: u32,
    /// Duration of a run, in milliseconds.
    pub run_ms: u64,
    /// Whether responses announce that the service is leaving.
    pub leaving: bool,
    /// Text in a body that crashes the service after the run is recorded; empty for none.
    pub poison: String,
}

/// One run of a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Number of the run, from 1.
    pub run: u64,
    /// The `Idempotency-Key`, if the call had one.
    pub key: Option<String>,
    /// Request path with query.
    pub path: String,
    /// The fencing number, if the call had one.
    pub fence: Option<Fence>,
}

/// A plain service with the calls that it ran.
#[derive(Debug)]
pub struct Service {
    settings: Settings,
    connections: Arc<Connections>,
    runs: Mutex<Runs>,
    faults: Mutex<Faults>,
}

#[derive(Debug, Default)]
struct Runs {
    count: u64,
    recent: VecDeque<Run>,
    /// Highest fencing number and first run of each key; only filled with fencing.
    fences: HashMap<String, (Fence, Option<Run>)>,
}

/// How a call is admitted.
enum Admission {
    /// It runs now.
    Started(Run),
    /// Its key has run before; this is that first run.
    Replayed(Run),
    /// Refused: its fencing number is lower than one seen with its key.
    Fenced,
}

/// Starts a plain service.
///
/// # Errors
///
/// [`Error`] when the address can't be bound.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    let connections = Arc::new(Connections::default());
    let address = settings.address;
    let service = Service {
        settings,
        connections: connections.clone(),
        runs: Mutex::default(),
        faults: Mutex::default(),
    };
    server::start(address, connections, Arc::new(service)).await
}

impl Handle {
    /// Runs, oldest first.
    pub fn audit(&self) -> Vec<Run> {
        lock(&self.role.runs).recent.iter().cloned().collect()
    }
}

impl Service {
    fn admit(&self, key: Option<String>, path: String, fence: Option<Fence>) -> Admission {
        let mut runs = lock(&self.runs);
        let fenced_call = key.as_ref().zip(fence).filter(|_| self.settings.fencing);
        if let Some((key, fence)) = fenced_call {
            let entry = runs.fences.entry(key.clone()).or_insert((fence, None));
            if fence < entry.0 {
                return Admission::Fenced;
            }
            entry.0 = fence;
            if let Some(run) = &entry.1 {
                return Admission::Replayed(run.clone());
            }
        }
        let fenced_key = fenced_call.map(|(key, _)| key.clone());
        let run = runs.record(key, path, fence);
        if let Some(entry) = fenced_key.and_then(|key| runs.fences.get_mut(&key)) {
            entry.1 = Some(run.clone());
        }
        Admission::Started(run)
    }

    fn crash(&self) {
        if self.settings.exit_on_crash {
            process::exit(CRASH_EXIT_CODE);
        }
        self.connections.drop_all();
    }

    /// Decrements a fault count if faults apply to the client; false if the fault isn't due.
    fn consume_fault(&self, client: Option<&str>, count: fn(&mut Faults) -> &mut u32) -> bool {
        let mut faults = lock(&self.faults);
        faults.net.applies(client) && consume(count(&mut faults))
    }

    fn is_poisoned(&self, body: &[u8]) -> bool {
        let faults = lock(&self.faults);
        let poison = faults.poison.as_bytes();
        !poison.is_empty() && body.windows(poison.len()).any(|window| window == poison)
    }

    async fn call(&self, request: Request<Incoming>, client: Option<String>) -> Answer {
        let key = header(&request, "idempotency-key");
        let fence = header(&request, FENCE_HEADER).and_then(|fence| fence.parse().ok());
        let path = request.uri().to_string();
        let client = client.as_deref();
        if self.consume_fault(client, |faults| &mut faults.drop_head) {
            return None;
        }
        let body = read_body(request).await?;
        if self.consume_fault(client, |faults| &mut faults.refuse) {
            return Some(refusal(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.consume_fault(client, |faults| &mut faults.drop_before) {
            return None;
        }
        let run = match self.admit(key, path, fence) {
            Admission::Fenced => return Some(refusal(StatusCode::CONFLICT)),
            Admission::Replayed(run) => return Some(json(&run)),
            Admission::Started(run) => run,
        };
        if self.is_poisoned(&body) {
            self.crash();
            return None;
        }
        let run_ms = lock(&self.faults).run_ms;
        sleep(Duration::from_millis(run_ms)).await;
        if self.consume_fault(client, |faults| &mut faults.fail_after) {
            return Some(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.consume_fault(client, |faults| &mut faults.drop_after) {
            return None;
        }
        if self.consume_fault(client, |faults| &mut faults.cut_answer) {
            return Some(truncated(&run));
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
        self.recent.push_back(run.clone());
        if self.recent.len() > MAX_AUDIT_RUNS {
            self.recent.pop_front();
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

/// A response that breaks off after half of its `Content-Length`.
fn truncated(run: &Run) -> Response<Body> {
    let bytes = json!(run).to_string().into_bytes();
    let half = Bytes::copy_from_slice(&bytes[..bytes.len() / 2]);
    let frames = [Ok(Frame::data(half)), Err(io::Error::other("cut"))];
    let body = StreamBody::new(stream::iter(frames));
    let mut answer = Response::new(body.boxed_unsync());
    let length = HeaderValue::from(bytes.len());
    answer.headers_mut().insert(CONTENT_LENGTH, length);
    answer
}

impl Role for Service {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn network_faults(faults: &Faults) -> &NetworkFaults {
        &faults.net
    }

    fn resource(&self, name: &str) -> Option<Value> {
        let runs = lock(&self.runs);
        match name {
            "audit" => Some(json!(runs.recent)),
            "stats" => Some(json!({"runs": runs.count})),
            _ => None,
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, client: Option<String>) -> Answer {
        let mut answer = self.call(request, client).await?;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if lock(&self.faults).leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("true"));
        }
        Some(answer)
    }

    /// Announces in responses that the service is leaving; does not wait for open calls.
    async fn drain(self: Arc<Self>) {
        lock(&self.faults).leaving = true;
    }
}
