//! Stand-in for a layer-range engine.

use {
    crate::{
        server::{self, Answer, Connections, Error, NetworkFaults, Role, lock, status},
        service::CRASH_EXIT_CODE,
        state::{PendingStep, State},
        stream, tasks,
    },
    camphorweir_config::model::{KindId, ModelId},
    camphorweir_wire::{
        engine::{Command, Layers, LayersHeld, PATH, Reason, Reply},
        ids::{AttemptId, Incarnation, Position, RequestId, Token},
    },
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        process,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::sync::{Notify, watch},
};

/// A running engine.
pub type Handle = server::Handle<Engine>;

/// Settings of an engine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address to listen on.
    pub address: SocketAddr,
    /// Accelerator kind of the engine.
    pub kind: KindId,
    /// Models that the engine can load, with their numbers of layers.
    pub models: BTreeMap<ModelId, u32>,
    /// The model held at start.
    pub model: ModelId,
    /// First layer held at start.
    pub first: u32,
    /// One past the last layer held at start.
    pub end: u32,
    /// Whether an order to hold layers is ignored if its fencing number is older than one seen.
    #[serde(default)]
    pub fencing: bool,
    /// Maximum number of steps in a batch.
    #[serde(default = "Settings::default_batch")]
    pub batch: usize,
    /// Positions that one layer prefills in a second; with 0, prefill takes no time.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Time of one decode step through one layer, in microseconds.
    #[serde(default)]
    pub decode_layer_us: f64,
    /// Maximum number of open attempts.
    #[serde(default = "Settings::default_max_open")]
    pub max_open: usize,
    /// Capacity of the prefix cache in blocks.
    #[serde(default = "Settings::default_cache_blocks")]
    pub cache_blocks: usize,
    /// Time between reports, in milliseconds.
    #[serde(default = "Settings::default_report")]
    pub report_ms: u64,
    /// Minimum age of a load report when it is sent, in milliseconds.
    #[serde(default)]
    pub report_age_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    #[serde(default)]
    pub cached_gap: u64,
    /// Time without a step after which an attempt is ended, in milliseconds.
    #[serde(default = "Settings::default_idle")]
    pub idle_ms: u64,
    /// Address of the weight store that layers are loaded from; without one, loading takes no time.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Whether a crash ends the process; otherwise the engine restarts empty at the same address.
    #[serde(default)]
    pub exit_on_crash: bool,
}

impl Settings {
    /// An engine with no compute time that holds `layers` of a model with `model_layers` layers.
    pub fn new(
        address: SocketAddr,
        kind: &str,
        model: &str,
        model_layers: u32,
        layers: Layers,
    ) -> Self {
        Self {
            address,
            kind: kind.to_owned(),
            models: [(model.to_owned(), model_layers)].into(),
            model: model.to_owned(),
            first: layers.first,
            end: layers.end,
            fencing: false,
            batch: Self::default_batch(),
            prefill_rate: 0.0,
            decode_layer_us: 0.0,
            max_open: Self::default_max_open(),
            cache_blocks: Self::default_cache_blocks(),
            report_ms: Self::default_report(),
            report_age_ms: 0,
            cached_gap: 0,
            idle_ms: Self::default_idle(),
            weights: None,
            exit_on_crash: false,
        }
    }

    fn default_batch() -> usize {
        16
    }

    fn default_max_open() -> usize {
        4096
    }

    fn default_cache_blocks() -> usize {
        4096
    }

    fn default_report() -> u64 {
        100
    }

    fn default_idle() -> u64 {
        30_000
    }
}

/// Faults of an engine; a count applies to that many of the next events.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Network faults; an outage refuses new connections or drops all.
    pub net: NetworkFaults,
    /// Step results that are dropped.
    pub drop_done: u32,
    /// Step results that are sent twice.
    pub duplicate: u32,
    /// Step results sent with the id of another request.
    pub foreign: u32,
    /// Delay of each step result, in milliseconds.
    pub done_ms: u64,
    /// Whether the engine is frozen, as if by SIGSTOP.
    pub freeze: bool,
    /// Whether every new attempt is refused as if the engine were full.
    pub full: bool,
    /// Whether the engine is leaving; once set, this lasts for the rest of the incarnation.
    pub leaving: bool,
    /// Tokens that crash the engine when a step at layer 0 has them in its input; empty for none.
    pub poison: Vec<Token>,
    /// Hashes that crash the engine when an attempt has one in its prefix.
    pub poison_prefix: Vec<u64>,
}

/// One executed step.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Id of the request.
    pub request: RequestId,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Range of layers that ran.
    pub layers: Layers,
    /// First position of the step.
    pub position: Position,
    /// Number of positions.
    pub count: u32,
    /// Incarnation of the engine that ran the step.
    pub incarnation: Incarnation,
}

/// An engine, shared by its connections and background tasks.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) state: Mutex<State>,
    /// Notified after changes that may have queued a step.
    pub(crate) step_ready: Notify,
    /// Notified after changes that may have ordered a load or ended an attempt that blocks one.
    pub(crate) load_ready: Notify,
    /// Notified after changes that may have ended an attempt.
    attempt_ended: Notify,
    frozen: watch::Sender<bool>,
    faults: Mutex<Faults>,
    connections: Arc<Connections>,
}

/// Starts an engine.
///
/// # Errors
///
/// [`Error`] when the address can't be bound, or the model doesn't have the layers.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    check(&settings)?;
    let connections = Arc::new(Connections::default());
    let address = settings.address;
    let engine = Arc::new(Engine {
        state: Mutex::new(State::new(&settings)),
        settings,
        step_ready: Notify::new(),
        load_ready: Notify::new(),
        attempt_ended: Notify::new(),
        frozen: watch::Sender::new(false),
        faults: Mutex::default(),
        connections: connections.clone(),
    });
    let mut handle = server::start(address, connections, engine.clone()).await?;
    handle.tasks.spawn(tasks::run_batches(engine.clone()));
    handle.tasks.spawn(tasks::send_reports(engine.clone()));
    handle.tasks.spawn(tasks::load_layers(engine));
    Ok(handle)
}

fn check(settings: &Settings) -> Result<(), Error> {
    let Settings {
        model,
        models,
        first,
        end,
        ..
    } = settings;
    let has_layers = models.get(model).is_some_and(|layers| end <= layers);
    if has_layers && first < end {
        return Ok(());
    }
    let reason = format!("`models` has no layers {first}..{end} of `{model}`");
    Err(Error::Settings { reason })
}

impl Handle {
    /// Executed steps, oldest first.
    pub fn audit(&self) -> Vec<Run> {
        lock(&self.role.state).audit.iter().copied().collect()
    }

    /// The model and layers that the engine holds.
    pub fn holds(&self) -> LayersHeld {
        lock(&self.role.state).holds.clone()
    }

    /// Current incarnation of the engine.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.role.state).incarnation
    }

    /// Number of open attempts.
    pub fn open(&self) -> usize {
        lock(&self.role.state).attempts.len()
    }

    /// Crashes the engine; see [`Settings::exit_on_crash`].
    pub fn crash(&self) {
        self.role.crash();
    }
}

impl Engine {
    /// Handles an order of an entry.
    pub(crate) fn handle_order(&self, connection: u64, order: Command) {
        if let Command::Open(open) = &order
            && self.has_poisoned_prefix(&open.prefix)
        {
            return self.crash();
        }
        let full = lock(&self.faults).full;
        let mut state = lock(&self.state);
        match order {
            Command::Open(open) if full => {
                state.refuse(connection, open.request, open.attempt, Reason::Full)
            }
            Command::Open(open) => state.open_attempt(connection, open, &self.settings),
            Command::Step(step) => state.queue_step(connection, step),
            Command::Cancel(request, attempt) => state.end_attempt(&(connection, request, attempt)),
            Command::Assign(hold) => state.handle_hold(hold, &self.settings),
        }
        drop(state);
        self.notify();
    }

    /// Runs the steps of a batch and sends their results.
    pub(crate) fn run_batch(&self, batch: Vec<PendingStep>) {
        for step in batch {
            if self.is_poisoned(&step) {
                return self.crash();
            }
            let reply = lock(&self.state).run(&step);
            if let Some(reply) = reply {
                self.send_reply(step.attempt.0, reply);
            }
        }
    }

    /// Sends the result of a step with the faults set for it.
    fn send_reply(&self, connection: u64, mut reply: Reply) {
        let state = lock(&self.state);
        let mut faults = lock(&self.faults);
        let client = state.client_name(connection);
        let Reply::Done(done) = &mut reply else {
            return state.send(connection, reply);
        };
        if !faults.net.applies(client) {
            return state.send(connection, reply);
        }
        if server::consume(&mut faults.drop_done) {
            return;
        }
        if server::consume(&mut faults.foreign) {
            done.request = state.other_request(connection, done);
        }
        if server::consume(&mut faults.duplicate) {
            state.send_later(
                connection,
                reply.clone(),
                Duration::from_millis(faults.done_ms),
            );
        }
        state.send_later(connection, reply, Duration::from_millis(faults.done_ms));
    }

    fn is_poisoned(&self, pending: &PendingStep) -> bool {
        let faults = lock(&self.faults);
        let poison = &faults.poison;
        let matches = |(input, token): (&u64, &Token)| *input == u64::from(*token);
        let input = &pending.step.input;
        pending.step.layers.first == 0
            && !poison.is_empty()
            && input
                .windows(poison.len())
                .any(|window| window.iter().zip(poison).all(matches))
    }

    fn has_poisoned_prefix(&self, prefix: &[u64]) -> bool {
        let faults = lock(&self.faults);
        let poison = &faults.poison_prefix;
        prefix.iter().any(|hash| poison.contains(hash))
    }

    fn crash(&self) {
        if self.settings.exit_on_crash {
            process::exit(CRASH_EXIT_CODE);
        }
        self.connections.drop_all();
        lock(&self.state).restart(&self.settings);
        self.notify();
    }

    /// Removes a closed connection and its attempts.
    pub(crate) fn disconnect(&self, connection: u64) {
        lock(&self.state).disconnect(connection);
        self.notify();
    }

    /// Wakes all tasks that wait for a change of the state.
    pub(crate) fn notify(&self) {
        self.step_ready.notify_one();
        self.load_ready.notify_one();
        self.attempt_ended.notify_one();
    }

    /// Waits while the engine is frozen.
    pub(crate) async fn wait_while_frozen(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}

impl Role for Engine {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn network_faults(faults: &Faults) -> &NetworkFaults {
        &faults.net
    }

    fn faults_changed(self: &Arc<Self>) {
        let faults = lock(&self.faults).clone();
        self.frozen.send_replace(faults.freeze);
        if faults.leaving {
            lock(&self.state).leave();
        }
    }

    fn resource(&self, name: &str) -> Option<Value> {
        let state = lock(&self.state);
        match name {
            "audit" => Some(json!(state.audit)),
            "stats" => Some(json!({
                "incarnation": state.incarnation,
                "holds": state.holds,
                "leaving": state.leaving,
                "open": state.attempts.len(),
            })),
            _ => None,
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>, client: Option<String>) -> Answer {
        if request.uri().path() != PATH {
            return Some(status(StatusCode::NOT_FOUND));
        }
        if request.method() != Method::POST {
            return Some(status(StatusCode::METHOD_NOT_ALLOWED));
        }
        self.wait_while_frozen().await;
        Some(stream::open(self, request.into_body(), client))
    }

    /// Waits until all open attempts are cancelled or idle too long, then closes all streams.
    async fn drain(self: Arc<Self>) {
        lock(&self.state).leave();
        while !lock(&self.state).attempts.is_empty() {
            self.attempt_ended.notified().await;
        }
        self.wait_while_frozen().await;
        lock(&self.state).close_all();
    }
}
