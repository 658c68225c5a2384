//! A target of the users' platform: it holds a range of layers and answers sealed calls and streams.

use {
    crate::{
        keyed::Store,
        plain::{self, Piece, Pieces, Reply, Request},
    },
    hyper::Response,
    serde_json::json,
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Events of a whole stream.
pub const EVENTS: usize = 6;
/// Pause between events.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// The same of a slow stream.
const SLOW_PAUSE: Duration = Duration::from_millis(400);

/// How the next request is answered; without one, well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Act {
    /// Refused as not run.
    Refuse,
    /// Run, and the answer lost.
    Lose,
    /// Run, and the answer of another request sent.
    Foreign,
    /// Cut in the middle of this event, if the stream begins here; one that goes on is sound.
    CutIn(usize),
    /// Cut in the middle of the first event.
    CutAtOnce,
    /// Nothing comes after this event.
    StallAfter(usize),
    /// Events come slowly.
    Slow,
    /// Run, with a failure of its own.
    Fail,
}

/// A target as its record tells.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Identifier.
    pub id: String,
    /// Service.
    pub service: String,
    /// Zone.
    pub zone: String,
    /// Kind of hardware; empty for targets without layers.
    pub kind: String,
}

#[derive(Debug, Default)]
struct State {
    acts: VecDeque<Act>,
    /// Runs of each attempt.
    runs: BTreeMap<String, usize>,
    seen: Vec<Request>,
    span: Option<(u64, u64)>,
    orders: u64,
    stalled: Vec<(String, String)>,
    draining: bool,
    /// Starts again so far.
    restarts: u64,
    /// The address in its record, if it is reached through another.
    through: Option<SocketAddr>,
    alive: Arc<()>,
}

/// A target; cheap to clone.
#[derive(Clone, Debug)]
pub struct Target {
    setup: Arc<Setup>,
    store: Store,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Target {
    /// Starts a target and lists it.
    ///
    /// # Errors
    ///
    /// When no address can be bound.
    pub async fn spawn(setup: Setup, store: Store) -> std::io::Result<Self> {
        let made: Arc<Mutex<Option<Self>>> = Arc::default();
        let shared = made.clone();
        let address = plain::spawn(move |request| {
            let target = shared
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .clone();
            async move {
                match target {
                    Some(target) => target.answer(&request),
                    None => Reply::status(503),
                }
            }
        })
        .await?;
        let target = Self {
            setup: Arc::new(setup),
            store,
            address,
            state: Arc::default(),
        };
        *made.lock().unwrap_or_else(PoisonError::into_inner) = Some(target.clone());
        target.list();
        Ok(target)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its identifier.
    pub fn id(&self) -> &str {
        &self.setup.id
    }

    /// Plans how coming requests are answered.
    pub fn act(&self, act: Act) {
        self.state().acts.push_back(act);
    }

    /// Names a hop that does not answer as the cause of every stall.
    pub fn stalls_at(&self, id: &str, address: SocketAddr) {
        self.state()
            .stalled
            .push((id.to_owned(), address.to_string()));
    }

    /// Announces that it leaves.
    pub fn drain(&self) {
        self.state().draining = true;
        self.list();
    }

    /// Starts again as another life of itself, without layers.
    pub fn restart(&self) {
        {
            let mut state = self.state();
            state.span = None;
            state.orders = 0;
            state.draining = false;
            state.restarts += 1;
            state.acts.clear();
        }
        self.list();
    }

    /// Is reached through another address from now on.
    pub fn go_through(&self, address: SocketAddr) {
        self.state().through = Some(address);
        self.list();
    }

    /// Runs of an attempt.
    pub fn runs(&self, id: &str) -> usize {
        self.state().runs.get(id).copied().unwrap_or_default()
    }

    /// Streams that are being sent.
    pub fn running(&self) -> usize {
        Arc::strong_count(&self.state().alive) - 1
    }

    /// Requests that arrived.
    pub fn seen(&self) -> Vec<Request> {
        self.state().seen.clone()
    }

    /// Layers that it holds.
    pub fn span(&self) -> Option<(u64, u64)> {
        self.state().span
    }

    /// Writes its record.
    pub fn list(&self) {
        let record = {
            let state = self.state();
            json!({
                "service": self.setup.service,
                "address": state.through.unwrap_or(self.address).to_string(),
                "zone": self.setup.zone,
                "slots": 8,
                "state": if state.draining { "draining" } else { "ready" },
                "born": 1 + state.restarts,
                "kind": self.setup.kind,
                "layers": state.span.map(|(from, to)| json!({"from": from, "to": to, "version": 1})),
            })
        };
        let record = record.to_string();
        self.store
            .put("keyed.servers", &self.setup.id, record.as_bytes());
    }

    fn answer(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/api/report" => self.report(),
            "/api/order" => self.order(request),
            _ => self.run(request),
        }
    }

    fn report(&self) -> Reply {
        let state = self.state();
        let stalled = state.stalled.iter();
        let stalled: Vec<_> = stalled
            .map(|(id, address)| json!({"id": id, "address": address}))
            .collect();
        let layers = state.span.map(|(from, to)| json!({"from": from, "to": to}));
        Reply::json(
            200,
            &json!({"busy": false, "seq": state.orders, "layers": layers, "stalled": stalled, "born": 1 + state.restarts}),
        )
    }

    fn order(&self, request: &Request) -> Reply {
        let order: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.state();
        if order["expect"].as_u64() != Some(state.orders) {
            return Reply::status(409);
        }
        state.span = order["from"].as_u64().zip(order["to"].as_u64());
        state.orders += 1;
        drop(state);
        self.list();
        Reply::status(202)
    }

    fn run(&self, request: &Request) -> Reply {
        let id = request.header("x-attempt-id").to_owned();
        let act = {
            let mut state = self.state();
            state.seen.push(request.clone());
            state.acts.pop_front()
        };
        let meant = request.header("x-expect-instance");
        if meant != self.setup.id {
            return Reply::status(421);
        }
        if act == Some(Act::Refuse) {
            let mut response = Response::new(Pieces::whole(Vec::new()));
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("x-not-executed", 1.into());
            return Reply::Answer(response);
        }
        *self.state().runs.entry(id.clone()).or_default() += 1;
        let named = if act == Some(Act::Foreign) {
            "another"
        } else {
            &id
        };
        let streams = request.headers.contains_key("x-token-usage");
        let body = match (act, streams) {
            (Some(Act::Lose), _) => return Reply::Cut,
            (act, true) => Pieces::stream(events(request, act), self.state().alive.clone()),
            (_, false) => Pieces::whole(format!("{} by {}", request.path, self.setup.id).into()),
        };
        let mut response = Response::builder()
            .header("x-attempt-id", named)
            .header("x-response-seal", &self.setup.id);
        if act == Some(Act::Fail) {
            response = response.status(500);
        }
        response.body(body).map_or(Reply::Cut, Reply::Answer)
    }
}

/// One event as targets write it.
pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

fn events(request: &Request, act: Option<Act>) -> Vec<Piece> {
    let after: usize = request.header("last-event-id").parse().unwrap_or_default();
    let mut pieces = Vec::new();
    let pause = match act {
        Some(Act::Slow) => SLOW_PAUSE,
        _ => EVENT_PAUSE,
    };
    for number in after + 1..=EVENTS {
        let bytes = event(number).into_bytes();
        let cut = match act {
            Some(Act::CutIn(event)) => after == 0 && number == event,
            Some(Act::CutAtOnce) => true,
            _ => false,
        };
        if cut {
            pieces.push(Piece::Bytes(bytes[..bytes.len() / 2].to_vec()));
            pieces.push(Piece::Pause(EVENT_PAUSE));
            pieces.push(Piece::Cut);
            return pieces;
        }
        pieces.push(Piece::Bytes(bytes));
        pieces.push(Piece::Pause(pause));
        if act == Some(Act::StallAfter(number)) {
            pieces.push(Piece::Pause(Duration::from_secs(60)));
        }
    }
    pieces
}
