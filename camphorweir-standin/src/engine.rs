//! A layer-range engine.

use {
    crate::{
        batch,
        server::{self, Answer, Error, Links, Net, Role, lock, status},
        service::CRASHED,
        state::{State, Work},
        stream,
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
    /// Where it listens.
    pub address: SocketAddr,
    /// Its kind of accelerator.
    pub kind: KindId,
    /// Layers of every model that it can hold.
    pub models: BTreeMap<ModelId, u32>,
    /// The model that it holds at start.
    pub model: ModelId,
    /// First layer held at start.
    pub first: u32,
    /// One past the last layer held at start.
    pub end: u32,
    /// Whether it ignores an order with an older fencing number than it has seen.
    #[serde(default)]
    pub fencing: bool,
    /// Most steps that run together.
    #[serde(default = "Settings::default_batch")]
    pub batch: usize,
    /// Positions that one layer prefills in a second; 0 for no time at all.
    #[serde(default)]
    pub prefill_rate: f64,
    /// Time of one decode step through one layer, in microseconds.
    #[serde(default)]
    pub decode_layer_us: f64,
    /// Most open attempts.
    #[serde(default = "Settings::default_max_open")]
    pub max_open: usize,
    /// Blocks that the prefix cache has room for.
    #[serde(default = "Settings::default_cache_blocks")]
    pub cache_blocks: usize,
    /// Time between reports, in milliseconds.
    #[serde(default = "Settings::default_report")]
    pub report_ms: u64,
    /// Least age of a load report when it is sent, in milliseconds.
    #[serde(default)]
    pub report_age_ms: u64,
    /// Every so many cache events one is lost; 0 loses none.
    #[serde(default)]
    pub cached_gap: u64,
    /// An attempt that is not spoken of for so long is ended, in milliseconds.
    #[serde(default = "Settings::default_idle")]
    pub idle_ms: u64,
    /// The weight store that loads go through.
    #[serde(default)]
    pub weights: Option<SocketAddr>,
    /// Whether a crash ends the process; else it restarts empty under the same address.
    #[serde(default)]
    pub exit_on_crash: bool,
}

impl Settings {
    /// An engine that takes no time and holds `layers` of a model with `of` layers.
    pub fn new(address: SocketAddr, kind: &str, model: &str, of: u32, layers: Layers) -> Self {
        Self {
            address,
            kind: kind.to_owned(),
            models: [(model.to_owned(), of)].into(),
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

/// Faults of an engine; a count stands for so many of the next.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults of the network; an outage refuses new connections or drops all.
    pub net: Net,
    /// Step answers that are lost.
    pub drop_done: u32,
    /// Step answers that are sent twice.
    pub duplicate: u32,
    /// Step answers that carry another request's number.
    pub foreign: u32,
    /// Step answers are later by this, in milliseconds.
    pub done_ms: u64,
    /// Whether it stands still as if by SIGSTOP.
    pub freeze: bool,
    /// Whether it refuses attempts as full.
    pub full: bool,
    /// Whether it is leaving; once set, it stays so for this life.
    pub leaving: bool,
    /// A step at layer 0 whose input contains these tokens crashes it; empty for none.
    pub poison: Vec<Token>,
    /// An attempt whose prefix contains one of these hashes crashes it.
    pub poison_prefix: Vec<u64>,
}

/// One step that ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The layers.
    pub layers: Layers,
    /// The first position.
    pub position: Position,
    /// Positions.
    pub count: u32,
    /// The life of the engine that ran it.
    pub incarnation: Incarnation,
}

/// A layer-range engine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) settings: Settings,
    pub(crate) state: Mutex<State>,
    /// There may be a step to run.
    pub(crate) work: Notify,
    /// There may be something to load, or room to load it.
    pub(crate) load: Notify,
    /// There may be no open attempt any more.
    ended: Notify,
    frozen: watch::Sender<bool>,
    faults: Mutex<Faults>,
    links: Arc<Links>,
}

/// Starts an engine.
///
/// # Errors
///
/// [`Error`] when the address can't be bound, or the model doesn't have the layers.
pub async fn spawn(settings: Settings) -> Result<Handle, Error> {
    check(&settings)?;
    let links = Arc::new(Links::default());
    let address = settings.address;
    let engine = Arc::new(Engine {
        state: Mutex::new(State::new(&settings)),
        settings,
        work: Notify::new(),
        load: Notify::new(),
        ended: Notify::new(),
        frozen: watch::Sender::new(false),
        faults: Mutex::default(),
        links: links.clone(),
    });
    let mut handle = server::start(address, links, engine.clone()).await?;
    handle.tasks.spawn(batch::run(engine.clone()));
    handle.tasks.spawn(batch::report(engine.clone()));
    handle.tasks.spawn(batch::load(engine));
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
    let known = models.get(model).is_some_and(|layers| end <= layers);
    if known && first < end {
        return Ok(());
    }
    let reason = format!("`models` knows no layers {first}..{end} of `{model}`");
    Err(Error::Settings { reason })
}

impl Handle {
    /// Every step that ran, oldest first.
    pub fn audit(&self) -> Vec<Run> {
        lock(&self.role.state).audit.iter().copied().collect()
    }

    /// What it holds.
    pub fn holds(&self) -> LayersHeld {
        lock(&self.role.state).holds.clone()
    }

    /// This life.
    pub fn incarnation(&self) -> Incarnation {
        lock(&self.role.state).incarnation
    }

    /// Open attempts.
    pub fn open(&self) -> usize {
        lock(&self.role.state).attempts.len()
    }

    /// Crashes and restarts empty under the same address.
    pub fn crash(&self) {
        self.role.crash();
    }
}

impl Engine {
    /// Takes in what an entry says on a link.
    pub(crate) fn order(&self, link: u64, order: Command) {
        if let Command::Open(open) = &order
            && self.poisoned_prefix(&open.prefix)
        {
            return self.crash();
        }
        let full = lock(&self.faults).full;
        let mut state = lock(&self.state);
        match order {
            Command::Open(open) if full => {
                state.refuse(link, open.request, open.attempt, Reason::Full)
            }
            Command::Open(open) => state.open(link, open, &self.settings),
            Command::Step(step) => state.step(link, step),
            Command::Cancel(request, attempt) => state.end(&(link, request, attempt)),
            Command::Assign(hold) => state.hold(hold, &self.settings),
        }
        drop(state);
        self.notify();
    }

    /// Runs a batch that was taken from the queue.
    pub(crate) fn finish(&self, batch: Vec<Work>) {
        for work in batch {
            if self.poisoned(&work) {
                return self.crash();
            }
            let ran = lock(&self.state).run(&work);
            if let Some(reply) = ran {
                self.reply(work.id.0, reply);
            }
        }
    }

    /// Sends the answer of a step, with the faults set for it.
    fn reply(&self, link: u64, mut reply: Reply) {
        let state = lock(&self.state);
        let mut faults = lock(&self.faults);
        let from = state.from(link);
        let Reply::Done(done) = &mut reply else {
            return state.send(link, reply);
        };
        if !faults.net.applies(from) {
            return state.send(link, reply);
        }
        if server::take(&mut faults.drop_done) {
            return;
        }
        if server::take(&mut faults.foreign) {
            done.request = state.foreign(link, done);
        }
        if server::take(&mut faults.duplicate) {
            state.send_later(link, reply.clone(), Duration::from_millis(faults.done_ms));
        }
        state.send_later(link, reply, Duration::from_millis(faults.done_ms));
    }

    fn poisoned(&self, work: &Work) -> bool {
        let faults = lock(&self.faults);
        let poison = &faults.poison;
        let same = |(input, token): (&u64, &Token)| *input == u64::from(*token);
        let input = &work.step.input;
        work.step.layers.first == 0
            && !poison.is_empty()
            && input
                .windows(poison.len())
                .any(|part| part.iter().zip(poison).all(same))
    }

    fn poisoned_prefix(&self, prefix: &[u64]) -> bool {
        let faults = lock(&self.faults);
        let poison = &faults.poison_prefix;
        prefix.iter().any(|hash| poison.contains(hash))
    }

    fn crash(&self) {
        if self.settings.exit_on_crash {
            process::exit(CRASHED);
        }
        self.links.drop_all();
        lock(&self.state).restart(&self.settings);
        self.notify();
    }

    /// Ends attempts of a link that is gone.
    pub(crate) fn unlink(&self, link: u64) {
        lock(&self.state).unlink(link);
        self.notify();
    }

    /// Says that the state changed to whoever waits for it.
    pub(crate) fn notify(&self) {
        self.work.notify_one();
        self.load.notify_one();
        self.ended.notify_one();
    }

    /// Waits for the end of a freeze.
    pub(crate) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }
}

impl Role for Engine {
    type Faults = Faults;

    fn faults(&self) -> &Mutex<Faults> {
        &self.faults
    }

    fn net(faults: &Faults) -> &Net {
        &faults.net
    }

    fn changed(self: &Arc<Self>) {
        let faults = lock(&self.faults).clone();
        self.frozen.send_replace(faults.freeze);
        if faults.leaving {
            lock(&self.state).leave();
        }
    }

    fn report(&self, name: &str) -> Option<Value> {
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

    async fn answer(self: Arc<Self>, request: Request<Incoming>, from: Option<String>) -> Answer {
        if request.uri().path() != PATH {
            return Some(status(StatusCode::NOT_FOUND));
        }
        if request.method() != Method::POST {
            return Some(status(StatusCode::METHOD_NOT_ALLOWED));
        }
        self.thawed().await;
        Some(stream::open(self, request.into_body(), from))
    }

    /// Waits for the end of all open attempts, by cancel or idleness, and then closes all streams.
    async fn drain(self: Arc<Self>) {
        lock(&self.state).leave();
        while !lock(&self.state).attempts.is_empty() {
            self.ended.notified().await;
        }
        self.thawed().await;
        lock(&self.state).close();
    }
}
