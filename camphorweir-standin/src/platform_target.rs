//! Stand-in for a target of the users' platform, with a range of layers, sealed calls and streams.

use {
    crate::{
        http1::{self, BodyStep, Cut, Cuts, Power, Reply, Request, ScriptedBody},
        metadata::Store,
    },
    bytes::Bytes,
    hyper::{Response, Version},
    serde_json::json,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Number of events in a complete stream whose request names none.
pub const STREAM_EVENTS: usize = 6;
/// Header of a request that names the number of events of its stream.
pub const EVENTS_HEADER: &str = "x-test-events";
/// Header of a request that names the pause after each event of its stream, in ms.
pub const PAUSE_HEADER: &str = "x-test-pause-ms";
/// Pause after each event of other streams.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Pause after each event of a stream slowed by [`ResponseFault::Slow`].
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(400);

/// Time from the head of a response until the target crashes under it.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Time from a crash of a target until it runs again.
pub const RESTART_TIME: Duration = Duration::from_millis(500);
/// Pause after each byte of a stream that trickles.
const TRICKLE_PAUSE: Duration = Duration::from_millis(50);
/// Number of those bytes, a minute of them.
const TRICKLED_BYTES: usize = 1_200;

/// A fault in the response to one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseFault {
    /// Refuses the call with 503 and the header `x-not-executed`.
    Refuse,
    /// Refuses the call, and wants no other from that client for so many seconds.
    RefuseFor(u64),
    /// Executes the call and closes the connection without a response.
    Lose,
    /// Executes the call and answers with the attempt id of another request.
    Foreign,
    /// Cuts a stream in the middle of this event; a resumed stream is not cut.
    CutIn(usize),
    /// Cuts a new or resumed stream in the middle of the first event sent.
    CutAtOnce,
    /// Sends an answer without a length that ends with its connection.
    Unframed,
    /// The same, and ends the connection in the middle of this event; a resumed stream is whole.
    UnframedCutIn(usize),
    /// Stalls a stream for 60 s after this event.
    StallAfter(usize),
    /// Sends a byte now and then after this event, and no other event.
    TrickleAfter(usize),
    /// Sends the events of a stream slowly.
    Slow,
    /// Sends the events of a stream with a pause of so many ms after each.
    SlowBy(u64),
    /// Answers a call with a body of so many bytes.
    Large(usize),
    /// Executes the call and answers 500.
    Fail,
    /// Executes the call and answers 500, with a body that ends after so many ms.
    FailAfter(u64),
    /// Executes the call and never answers.
    Hang,
    /// Executes the call and begins to answer after so many ms.
    LateBy(u64),
}

impl ResponseFault {
    /// Whether the caller can't get a whole answer from this target.
    fn breaks_answer(self) -> bool {
        !matches!(
            self,
            Self::Refuse
                | Self::RefuseFor(_)
                | Self::Unframed
                | Self::Slow
                | Self::SlowBy(_)
                | Self::Large(_)
                | Self::Fail
                | Self::FailAfter(_)
                | Self::LateBy(_)
        )
    }
}

/// The fixed part of a target's record in the metadata store.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Target id.
    pub id: String,
    /// Service that the target runs.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Accelerator kind; empty for a target without layers.
    pub kind: String,
}

#[derive(Debug, Default)]
struct State {
    faults: VecDeque<ResponseFault>,
    /// Executions by attempt id.
    executions: BTreeMap<String, usize>,
    /// Attempts whose answer was broken off or wrong, or stalled for good.
    broken: BTreeSet<String>,
    requests: Vec<Request>,
    layers: Option<(u64, u64)>,
    order_count: u64,
    /// Fencing tokens of the orders received.
    fencing_tokens: Vec<u64>,
    stalled_hops: Vec<(String, String)>,
    /// How much later the answer begins that is being made.
    late_by: Option<Duration>,
    draining: bool,
    /// Whether all answers say that the target leaves.
    leaving: bool,
    /// What all answers name as the target's limit of requests a second.
    limits: Vec<String>,
    /// When each call arrived.
    arrivals: Vec<Instant>,
    /// Number of records written.
    record_count: u64,
    /// Number of restarts.
    restarts: u64,
    /// A call with this body crashes the target.
    crashing_body: Option<Bytes>,
    /// A stream with this part in its prompt crashes the target as it begins to be answered.
    crashing_part: Option<String>,
    /// When the target crashed.
    crashes: Vec<Instant>,
    /// Address published instead of the listener's, such as that of a proxy.
    published_address: Option<SocketAddr>,
    /// Cloned into each stream that is being sent, to count them.
    stream_guard: Arc<()>,
}

/// A running target; clones share its state.
#[derive(Clone, Debug)]
pub struct Target {
    setup: Arc<Setup>,
    store: Store,
    address: SocketAddr,
    cuts: Cuts,
    power: Power,
    state: Arc<Mutex<State>>,
}

impl Target {
    /// Starts a target and publishes its record.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn spawn(setup: Setup, store: Store) -> std::io::Result<Self> {
        let slot: Arc<Mutex<Option<Self>>> = Arc::default();
        let shared = slot.clone();
        let (cuts, power) = (Cuts::default(), Power::default());
        let handler = move |request| {
            let target = shared
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            async move {
                match target {
                    Some(target) => {
                        let reply = target.answer(&request);
                        let late_by = target.state().late_by.take();
                        sleep(late_by.unwrap_or_default()).await;
                        reply
                    }
                    None => Reply::status(503),
                }
            }
        };
        let address = http1::spawn_with_faults(handler, cuts.clone(), power.clone()).await?;
        let target = Self {
            setup: Arc::new(setup),
            store,
            address,
            cuts,
            power,
            state: Arc::default(),
        };
        *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(target.clone());
        target.publish_record();
        Ok(target)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Target id.
    pub fn id(&self) -> &str {
        &self.setup.id
    }

    /// Cuts off the client with this address, or ends its cut with `None`.
    pub fn cut(&self, client: IpAddr, cut: Option<Cut>) {
        self.cuts.set(client, cut);
    }

    /// Queues a fault; each call consumes one.
    pub fn inject(&self, fault: ResponseFault) {
        self.state().faults.push_back(fault);
    }

    /// Drops the faults that no call has consumed.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// Lets every later call with this body crash the target, which runs again after a while.
    pub fn crash_on(&self, body: &'static str) {
        self.state().crashing_body = Some(body.into());
    }

    /// Lets every later stream with this part in its prompt crash the target, which runs again after a
    /// while.
    pub fn crash_on_part(&self, part: &str) {
        self.state().crashing_part = Some(part.to_owned());
    }

    /// Whether a request has the part that crashes the target; the last part never does.
    fn has_crashing_part(&self, request: &Request) -> bool {
        let crashing = self.state().crashing_part.clone();
        let parts = request.header("x-prompt-prefix").rsplit_once(',');
        let mut parts = parts.into_iter().flat_map(|(parts, _)| parts.split(','));
        crashing.is_some_and(|crashing| {
            parts.any(|part| part.split_once(':').is_some_and(|(id, _)| id == crashing))
        })
    }

    /// When the target crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state().crashes.clone()
    }

    /// Ends the target and starts it again later.
    fn crash(&self) {
        self.state().crashes.push(Instant::now());
        self.power.set(false);
        let target = self.clone();
        tokio::spawn(async move {
            sleep(RESTART_TIME).await;
            target.restart();
            target.power.set(true);
        });
    }

    /// Lists an unresponsive hop in every later report, by attempt id and address.
    pub fn report_stalled_hop(&self, id: &str, address: SocketAddr) {
        self.state()
            .stalled_hops
            .push((id.to_owned(), address.to_string()));
    }

    /// Publishes that the target is draining.
    pub fn drain(&self) {
        self.state().draining = true;
        self.publish_record();
    }

    /// Says in all answers that the target leaves, and nothing in its record.
    pub fn leave(&self) {
        self.state().leaving = true;
    }

    /// Names these as the limit of requests a second in all answers, whatever arrives; an empty list names
    /// none.
    pub fn name_limits(&self, limits: &[&str]) {
        self.state().limits = limits.iter().map(|limit| (*limit).to_owned()).collect();
    }

    /// When each call arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.state().arrivals.clone()
    }

    /// Restarts as a new incarnation without layers.
    pub fn restart(&self) {
        {
            let mut state = self.state();
            state.layers = None;
            state.order_count = 0;
            state.draining = false;
            state.leaving = false;
            state.limits.clear();
            state.restarts += 1;
            state.faults.clear();
        }
        self.publish_record();
    }

    /// Publishes another address, such as that of a proxy in front of the target.
    pub fn set_published_address(&self, address: SocketAddr) {
        self.state().published_address = Some(address);
        self.publish_record();
    }

    /// Number of times an attempt was executed.
    pub fn runs(&self, id: &str) -> usize {
        self.state().executions.get(id).copied().unwrap_or_default()
    }

    /// Whether the target broke off the answer to an attempt, sent a wrong one or stalled for good.
    pub fn has_broken(&self, id: &str) -> bool {
        self.state().broken.contains(id)
    }

    /// Number of streams that are being sent.
    pub fn open_streams(&self) -> usize {
        Arc::strong_count(&self.state().stream_guard) - 1
    }

    /// Calls received so far.
    pub fn requests(&self) -> Vec<Request> {
        self.state().requests.clone()
    }

    /// Range of layers that the target holds, if any.
    pub fn layers(&self) -> Option<(u64, u64)> {
        self.state().layers
    }

    /// Fencing tokens of the orders received so far.
    pub fn fencing_tokens(&self) -> Vec<u64> {
        self.state().fencing_tokens.clone()
    }

    /// Writes the target's record to the metadata store.
    pub fn publish_record(&self) {
        let record = {
            let mut state = self.state();
            state.record_count += 1;
            json!({
                "service": self.setup.service,
                "address": state.published_address.unwrap_or(self.address).to_string(),
                "zone": self.setup.zone,
                "slots": 8,
                "state": if state.draining { "draining" } else { "ready" },
                "born": 1 + state.restarts,
                "seq": state.record_count,
                "kind": self.setup.kind,
                "layers": state.layers.map(|(from, to)| json!({"from": from, "to": to, "version": 1})),
            })
        };
        let record = record.to_string();
        self.store
            .put("keyed.servers", &self.setup.id, record.as_bytes());
    }

    fn answer(&self, request: &Request) -> Reply {
        let reply = match request.path.as_str() {
            "/api/report" => self.handle_report(),
            "/api/order" => self.handle_order(request),
            _ if self.state().leaving => self.handle_call(request).with_header("server-leaving", 1),
            _ => self.handle_call(request),
        };
        let limits = self.state().limits.clone();
        limits.iter().fold(reply, |reply, limit| {
            reply.with_text_header("server-limit", limit)
        })
    }

    fn handle_report(&self) -> Reply {
        let state = self.state();
        let stalled = state.stalled_hops.iter();
        let stalled: Vec<_> = stalled
            .map(|(id, address)| json!({"id": id, "address": address}))
            .collect();
        let layers = state
            .layers
            .map(|(from, to)| json!({"from": from, "to": to}));
        Reply::json(
            200,
            &json!({
                "busy": false,
                "seq": state.order_count,
                "layers": layers,
                "stalled": stalled,
                "born": 1 + state.restarts
            }),
        )
    }

    fn handle_order(&self, request: &Request) -> Reply {
        let order: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state();
        state.fencing_tokens.extend(order["fence"].as_u64());
        if order["expect"].as_u64() != Some(state.order_count) {
            return Reply::status(409);
        }
        state.layers = order["from"].as_u64().zip(order["to"].as_u64());
        state.order_count += 1;
        drop(state);
        self.publish_record();
        Reply::status(202)
    }

    fn handle_call(&self, request: &Request) -> Reply {
        let id = request.header("x-attempt-id").to_owned();
        let fault = {
            let mut state = self.state();
            state.requests.push(request.clone());
            state.arrivals.push(Instant::now());
            state.faults.pop_front()
        };
        let expected_instance = request.header("x-expect-instance");
        if expected_instance != self.setup.id {
            return Reply::status(421);
        }
        if let Some(ResponseFault::Refuse | ResponseFault::RefuseFor(_)) = fault {
            let refusal = Reply::status(503).with_header("x-not-executed", 1);
            return match fault {
                Some(ResponseFault::RefuseFor(seconds)) => {
                    refusal.with_header("retry-after", seconds)
                }
                _ => refusal,
            };
        }
        *self.state().executions.entry(id.clone()).or_default() += 1;
        if let Some(ResponseFault::LateBy(ms)) = fault {
            self.state().late_by = Some(Duration::from_millis(ms));
        }
        if fault.is_some_and(ResponseFault::breaks_answer) {
            self.state().broken.insert(id.clone());
        }
        if self.state().crashing_body.as_ref() == Some(&request.body) {
            self.crash();
            return Reply::Hang;
        }
        let crashes = self.has_crashing_part(request);
        if crashes {
            let target = self.clone();
            tokio::spawn(async move {
                sleep(CRASH_DELAY).await;
                target.crash();
            });
        }
        let response_attempt = if fault == Some(ResponseFault::Foreign) {
            "another"
        } else {
            &id
        };
        let streaming = request.headers.contains_key("x-token-usage");
        let body = match (fault, streaming) {
            (Some(ResponseFault::Lose), _) => return Reply::Close,
            (Some(ResponseFault::Hang), _) => return Reply::Hang,
            (Some(ResponseFault::FailAfter(ms)), _) => ScriptedBody::stream(
                vec![
                    BodyStep::Pause(Duration::from_millis(ms)),
                    BodyStep::Bytes(format!("failed at {}", self.setup.id).into()),
                ],
                self.state().stream_guard.clone(),
            ),
            (_, true) if crashes => {
                ScriptedBody::stream(begun_body(), self.state().stream_guard.clone())
            }
            (Some(ResponseFault::Unframed), false) => ScriptedBody::stream(
                vec![BodyStep::Bytes(
                    format!("{} by {}", request.path, self.setup.id).into(),
                )],
                self.state().stream_guard.clone(),
            ),
            (fault, true) => ScriptedBody::stream(
                stream_body(request, fault),
                self.state().stream_guard.clone(),
            ),
            (Some(ResponseFault::Large(bytes)), false) => ScriptedBody::whole(vec![b'.'; bytes]),
            (_, false) => {
                ScriptedBody::whole(format!("{} by {}", request.path, self.setup.id).into())
            }
        };
        let mut response = Response::builder()
            .header("x-attempt-id", response_attempt)
            .header("x-response-seal", &self.setup.id);
        if let Some(ResponseFault::Fail | ResponseFault::FailAfter(_)) = fault {
            response = response.status(500);
        }
        if let Some(ResponseFault::Unframed | ResponseFault::UnframedCutIn(_)) = fault {
            // An earlier version of the protocol knows no chunks.
            response = response.version(Version::HTTP_10);
        }
        response.body(body).map_or(Reply::Close, Reply::Response)
    }
}

/// The text of one server-sent event.
pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

/// A stream that breaks off with its target in the middle of its first event.
fn begun_body() -> Vec<BodyStep> {
    vec![
        BodyStep::Bytes(b"id: ".to_vec()),
        BodyStep::Pause(RESTART_TIME),
    ]
}

fn stream_body(request: &Request, fault: Option<ResponseFault>) -> Vec<BodyStep> {
    let after: usize = request.header("last-event-id").parse().unwrap_or_default();
    let events = request.header(EVENTS_HEADER).parse();
    let pause = request.header(PAUSE_HEADER).parse();
    let mut steps = Vec::new();
    let pause = match (fault, pause) {
        (Some(ResponseFault::Slow), _) => SLOW_EVENT_PAUSE,
        (Some(ResponseFault::SlowBy(ms)), _) => Duration::from_millis(ms),
        (_, Ok(pause)) => Duration::from_millis(pause),
        (_, Err(_)) => EVENT_PAUSE,
    };
    for number in after + 1..=events.unwrap_or(STREAM_EVENTS) {
        let bytes = event(number).into_bytes();
        let cut = match fault {
            Some(ResponseFault::CutIn(cut_event) | ResponseFault::UnframedCutIn(cut_event)) => {
                after == 0 && number == cut_event
            }
            Some(ResponseFault::CutAtOnce) => true,
            _ => false,
        };
        if cut {
            steps.push(BodyStep::Bytes(bytes[..bytes.len() / 2].to_vec()));
            steps.push(BodyStep::Pause(EVENT_PAUSE));
            steps.push(BodyStep::Abort);
            return steps;
        }
        steps.push(BodyStep::Bytes(bytes));
        steps.push(BodyStep::Pause(pause));
        if fault == Some(ResponseFault::TrickleAfter(number)) {
            for _ in 0..TRICKLED_BYTES {
                steps.push(BodyStep::Bytes(b":".to_vec()));
                steps.push(BodyStep::Pause(TRICKLE_PAUSE));
            }
            return steps;
        }
        if fault == Some(ResponseFault::StallAfter(number)) {
            steps.push(BodyStep::Pause(Duration::from_secs(60)));
        }
    }
    steps
}
