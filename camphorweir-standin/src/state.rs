//! The state of an engine in one incarnation, and how orders change it.

use {
    crate::{
        attempt::{Attempt, Model},
        cache::Cache,
        engine::{Run, Settings},
        reference_model::model_hash,
    },
    camphorweir_config::model::Priority,
    camphorweir_wire::{
        engine::{
            Assignment, Cached, Done, Hello, Layers, LayersHeld, Load, Open, Opened, Reason,
            Refused, Reply, Step,
        },
        ids::{AttemptId, Incarnation, RequestId},
    },
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    tokio::{
        sync::mpsc::{self, UnboundedReceiver, UnboundedSender},
        time::{Instant, sleep},
    },
    uuid::Uuid,
};

/// Maximum number of steps in the audit; the oldest are dropped.
const MAX_AUDIT_STEPS: usize = 1 << 20;

/// Connection, request and attempt.
pub(crate) type Id = (u64, RequestId, AttemptId);

/// A step to run.
#[derive(Debug)]
pub(crate) struct PendingStep {
    /// The attempt that the step belongs to.
    pub(crate) attempt: Id,
    /// The step as received.
    pub(crate) step: Step,
}

/// A connected entry; the steps that it sends bound the number of queued replies.
#[derive(Debug)]
struct Client {
    name: Option<String>,
    replies: UnboundedSender<Reply>,
}

/// The state of an engine.
#[derive(Debug)]
pub(crate) struct State {
    /// Current incarnation.
    pub(crate) incarnation: Incarnation,
    /// The model and layers held, as sent to entries.
    pub(crate) holds: LayersHeld,
    /// The order to load next.
    pub(crate) pending_load: Option<Assignment>,
    /// Whether new attempts are refused because the engine is leaving.
    pub(crate) leaving: bool,
    /// Open attempts.
    pub(crate) attempts: HashMap<Id, Attempt>,
    /// Executed steps, including those of earlier incarnations.
    pub(crate) audit: VecDeque<Run>,
    kind: String,
    /// The loaded model.
    model: Model,
    cache: Cache,
    queue: BTreeMap<(Priority, u64), PendingStep>,
    last_arrival: u64,
    clients: HashMap<u64, Client>,
    last_connection: u64,
    /// Whether new connections are closed at once.
    closed: bool,
    load_history: VecDeque<(Instant, Load)>,
    cache_sequence: u64,
}

impl State {
    /// The state at start.
    pub(crate) fn new(settings: &Settings) -> Self {
        let layers = Layers {
            first: settings.first,
            end: settings.end,
        };
        Self {
            incarnation: Uuid::now_v7().as_u128() as u64,
            holds: LayersHeld {
                model: settings.model.clone(),
                layers,
                fence: 0,
                loading: false,
            },
            pending_load: None,
            leaving: false,
            attempts: HashMap::new(),
            audit: VecDeque::new(),
            kind: settings.kind.clone(),
            model: model_of(&settings.model, settings),
            cache: Cache::new(settings.cache_blocks),
            queue: BTreeMap::new(),
            last_arrival: 0,
            clients: HashMap::new(),
            last_connection: 0,
            closed: false,
            load_history: VecDeque::new(),
            cache_sequence: 0,
        }
    }

    /// Begins a new incarnation; the audit and the numbering of connections continue.
    pub(crate) fn restart(&mut self, settings: &Settings) {
        let audit = std::mem::take(&mut self.audit);
        let last_connection = self.last_connection;
        *self = Self::new(settings);
        self.audit = audit;
        self.last_connection = last_connection;
    }

    /// Adds a connection; returns its id and the replies to send on it.
    pub(crate) fn connect(&mut self, client: Option<String>) -> (u64, UnboundedReceiver<Reply>) {
        let (replies, outgoing) = mpsc::unbounded_channel();
        self.last_connection += 1;
        let connection = self.last_connection;
        if self.closed {
            return (connection, outgoing);
        }
        self.clients.insert(
            connection,
            Client {
                name: client,
                replies,
            },
        );
        self.send(connection, Reply::Hello(self.hello_message()));
        let added = self.cache.hashes();
        if !added.is_empty() {
            self.send(
                connection,
                Reply::Cached(self.cache_report(added, Vec::new())),
            );
        }
        if self.leaving {
            self.send(connection, Reply::Leaving);
        }
        (connection, outgoing)
    }

    fn hello_message(&self) -> Hello {
        Hello {
            incarnation: self.incarnation,
            layers_held: self.holds.clone(),
            kind: self.kind.clone(),
        }
    }

    fn cache_report(&self, added: Vec<u64>, removed: Vec<u64>) -> Cached {
        Cached {
            sequence: self.cache_sequence,
            added,
            removed,
        }
    }

    /// Removes a connection with its attempts and their steps.
    pub(crate) fn disconnect(&mut self, connection: u64) {
        self.clients.remove(&connection);
        self.attempts.retain(|id, _| id.0 != connection);
        self.queue
            .retain(|_, pending| pending.attempt.0 != connection);
    }

    /// Closes all connections, also later ones, after their replies are sent.
    pub(crate) fn close_all(&mut self) {
        self.closed = true;
        self.clients.clear();
    }

    /// Name of the client of a connection.
    pub(crate) fn client_name(&self, connection: u64) -> Option<&str> {
        self.clients.get(&connection)?.name.as_deref()
    }

    /// Sends a reply on a connection, if it is still open.
    pub(crate) fn send(&self, connection: u64, reply: Reply) {
        if let Some(client) = self.clients.get(&connection) {
            let _ = client.replies.send(reply);
        }
    }

    /// Sends a reply on a connection after a delay.
    pub(crate) fn send_later(&self, connection: u64, reply: Reply, delay: Duration) {
        if delay.is_zero() {
            return self.send(connection, reply);
        }
        if let Some(client) = self.clients.get(&connection) {
            let replies = client.replies.clone();
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = replies.send(reply);
            });
        }
    }

    fn send_all(&self, reply: &Reply) {
        for connection in self.clients.keys() {
            self.send(*connection, reply.clone());
        }
    }

    /// Refuses an attempt.
    pub(crate) fn refuse(
        &self,
        connection: u64,
        request: RequestId,
        attempt: AttemptId,
        why: Reason,
    ) {
        let refused = Refused {
            request,
            attempt,
            reason: why,
        };
        self.send(connection, Reply::Refused(refused));
    }

    /// Opens an attempt; an attempt already open is only confirmed.
    pub(crate) fn open_attempt(&mut self, connection: u64, open: Open, settings: &Settings) {
        let (request, attempt) = (open.request, open.attempt);
        if let Some(why) = self.refusal_reason(&open, settings) {
            return self.refuse(connection, request, attempt, why);
        }
        let new = || Attempt::new(open, &mut self.cache);
        let id = (connection, request, attempt);
        let held = self
            .attempts
            .entry(id)
            .or_insert_with(new)
            .cached_positions();
        let opened = Opened {
            request,
            attempt,
            cached: held,
        };
        self.send(connection, Reply::Opened(opened));
    }

    fn refusal_reason(&self, open: &Open, settings: &Settings) -> Option<Reason> {
        if self.leaving {
            Some(Reason::Leaving)
        } else if self.holds.loading || !within(open.layers, self.holds.layers) {
            Some(Reason::WrongLayers)
        } else if self.attempts.len() >= settings.max_open {
            Some(Reason::Full)
        } else {
            None
        }
    }

    /// Queues a step for the next batch.
    pub(crate) fn queue_step(&mut self, connection: u64, step: Step) {
        let id = (connection, step.request, step.attempt);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return self.refuse(
                connection,
                step.request,
                step.attempt,
                Reason::UnknownAttempt,
            );
        };
        attempt.last_active = Instant::now();
        self.last_arrival += 1;
        let queue_key = (attempt.open.priority, self.last_arrival);
        self.queue
            .insert(queue_key, PendingStep { attempt: id, step });
    }

    /// Ends an attempt.
    pub(crate) fn end_attempt(&mut self, id: &Id) {
        if self.attempts.remove(id).is_some() {
            self.queue.retain(|_, pending| pending.attempt != *id);
        }
    }

    /// Removes the next batch from the queue; returns it with its run time.
    pub(crate) fn take_batch(&mut self, settings: &Settings) -> (Vec<PendingStep>, Duration) {
        let mut batch = Vec::new();
        while batch.len() < settings.batch.max(1)
            && let Some((_, pending)) = self.queue.pop_first()
        {
            batch.push(pending);
        }
        let time = batch_time(&batch, settings);
        (batch, time)
    }

    /// Runs a step; `None` if its attempt has ended.
    pub(crate) fn run(&mut self, pending: &PendingStep) -> Option<Reply> {
        let attempt = self.attempts.get_mut(&pending.attempt)?;
        attempt.last_active = Instant::now();
        match attempt.run(&pending.step, self.model, &mut self.cache) {
            Ok(done) => {
                self.record_step(&pending.step);
                Some(Reply::Done(done))
            }
            Err(why) => {
                self.end_attempt(&pending.attempt);
                Some(Reply::Refused(Refused {
                    request: pending.attempt.1,
                    attempt: pending.attempt.2,
                    reason: why,
                }))
            }
        }
    }

    fn record_step(&mut self, step: &Step) {
        self.audit.push_back(Run {
            request: step.request,
            attempt: step.attempt,
            layers: step.layers,
            position: step.position,
            count: step.input.len() as u32,
            incarnation: self.incarnation,
        });
        if self.audit.len() > MAX_AUDIT_STEPS {
            self.audit.pop_front();
        }
    }

    /// Id of another request: one open on the connection at another position, else an unused id.
    pub(crate) fn other_request(&self, connection: u64, done: &Done) -> RequestId {
        let open_elsewhere = |(id, attempt): (&Id, &Attempt)| {
            let same_connection = id.0 == connection && id.1 != done.request;
            (same_connection && attempt.next_position() != Some(done.position)).then_some(id.1)
        };
        self.attempts
            .iter()
            .find_map(open_elsewhere)
            .unwrap_or(!done.request)
    }

    /// Handles an order to hold layers; with fencing, an outdated order is ignored.
    pub(crate) fn handle_hold(&mut self, hold: Assignment, settings: &Settings) {
        let model_layers = settings.models.get(&hold.model);
        let possible = model_layers.is_some_and(|end| {
            within(
                hold.layers,
                Layers {
                    first: 0,
                    end: *end,
                },
            )
        });
        let outdated = settings.fencing && hold.fence < self.holds.fence;
        if possible && !outdated {
            self.holds.fence = self.holds.fence.max(hold.fence);
            let unchanged = self.holds.model == hold.model && self.holds.layers == hold.layers;
            if !unchanged || self.holds.loading {
                self.holds.loading = true;
                self.pending_load = Some(hold);
            }
        }
        self.send_holds();
    }

    /// Takes the order to load next, unless attempts are open.
    pub(crate) fn take_pending_load(&mut self) -> Option<Assignment> {
        self.attempts.is_empty().then(|| self.pending_load.take())?
    }

    /// Puts loaded layers in force, unless another load was ordered meanwhile.
    pub(crate) fn finish_load(&mut self, hold: &Assignment, settings: &Settings) {
        if self.pending_load.is_some() || !self.holds.loading {
            return;
        }
        self.model = model_of(&hold.model, settings);
        self.holds.model.clone_from(&hold.model);
        self.holds.layers = hold.layers;
        self.holds.loading = false;
        self.cache.clear();
        self.send_holds();
    }

    fn send_holds(&self) {
        self.send_all(&Reply::LayersHeld(self.holds.clone()));
    }

    /// Refuses new attempts from now on and announces that the engine is leaving.
    pub(crate) fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.send_all(&Reply::Leaving);
        }
    }

    /// Ends attempts without activity for `max_idle`.
    pub(crate) fn end_idle(&mut self, max_idle: Duration) {
        let expired = |(id, attempt): (&Id, &Attempt)| {
            (attempt.last_active.elapsed() >= max_idle).then_some(*id)
        };
        let expired: Vec<_> = self.attempts.iter().filter_map(expired).collect();
        for id in expired {
            self.end_attempt(&id);
            self.refuse(id.0, id.1, id.2, Reason::UnknownAttempt);
        }
    }

    /// Records the current load and sends the newest record that is at least `min_age` old.
    pub(crate) fn report_load(&mut self, min_age: Duration) {
        let queued = self
            .queue
            .values()
            .map(|pending| pending.step.input.len() as u64);
        let load = Load {
            age_ms: 0,
            open_attempts: self.attempts.len() as u32,
            queued_positions: queued.sum(),
        };
        self.load_history.push_back((Instant::now(), load));
        let old_enough =
            |entry: Option<&(Instant, Load)>| entry.is_some_and(|(at, _)| at.elapsed() >= min_age);
        while old_enough(self.load_history.get(1)) {
            self.load_history.pop_front();
        }
        if old_enough(self.load_history.front())
            && let Some((at, load)) = self.load_history.front()
        {
            let mut load = load.clone();
            load.age_ms = at.elapsed().as_millis() as u64;
            self.send_all(&Reply::Load(load));
        }
    }

    /// Sends the blocks added to and evicted from the cache; drops every `gap`-th report.
    pub(crate) fn report_cached(&mut self, gap: u64) {
        let (added, removed) = self.cache.take_changes();
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.cache_sequence += 1;
        if gap == 0 || !self.cache_sequence.is_multiple_of(gap) {
            self.send_all(&Reply::Cached(self.cache_report(added, removed)));
        }
    }
}

fn model_of(model: &str, settings: &Settings) -> Model {
    Model {
        hash: model_hash(model),
        layers: settings.models.get(model).copied().unwrap_or(settings.end),
    }
}

fn within(inner: Layers, outer: Layers) -> bool {
    inner.first < inner.end && inner.first >= outer.first && inner.end <= outer.end
}

/// Time of a batch: decode steps run in parallel, prefill steps one after another.
fn batch_time(batch: &[PendingStep], settings: &Settings) -> Duration {
    let mut decode: f64 = 0.0;
    let mut prefill = 0.0;
    for PendingStep { step, .. } in batch {
        let layers = f64::from(step.layers.end.saturating_sub(step.layers.first));
        if step.input.len() == 1 {
            decode = decode.max(layers * settings.decode_layer_us / 1e6);
        } else if settings.prefill_rate > 0.0 {
            prefill += layers * step.input.len() as f64 / settings.prefill_rate;
        }
    }
    Duration::try_from_secs_f64(decode + prefill).unwrap_or(Duration::ZERO)
}
