//! What an engine knows in one life, and how orders change it.

use {
    crate::{
        attempt::{Attempt, Stack},
        cache::Cache,
        chain::model_hash,
        engine::{Run, Settings},
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

/// Most steps kept in the audit; older ones leave it.
const MAX_RUNS: usize = 1 << 20;

/// An attempt on one link.
pub(crate) type Id = (u64, RequestId, AttemptId);

/// A step that waits.
#[derive(Debug)]
pub(crate) struct Work {
    /// Its attempt.
    pub(crate) id: Id,
    /// The step.
    pub(crate) step: Step,
}

/// Where replies to an entry go; the steps that the entry sends bound their number.
#[derive(Debug)]
struct Out {
    from: Option<String>,
    replies: UnboundedSender<Reply>,
}

/// What an engine knows.
#[derive(Debug)]
pub(crate) struct State {
    /// This life.
    pub(crate) incarnation: Incarnation,
    /// What it holds.
    pub(crate) holds: LayersHeld,
    /// What it is to load.
    pub(crate) wanted: Option<Assignment>,
    /// Whether it takes no new attempts.
    pub(crate) leaving: bool,
    /// Open attempts.
    pub(crate) attempts: HashMap<Id, Attempt>,
    /// Steps that ran, also in earlier lives.
    pub(crate) audit: VecDeque<Run>,
    kind: String,
    on: Stack,
    cache: Cache,
    queue: BTreeMap<(Priority, u64), Work>,
    arrivals: u64,
    links: HashMap<u64, Out>,
    linked: u64,
    closed: bool,
    loads: VecDeque<(Instant, Load)>,
    sequence: u64,
}

impl State {
    /// A first life.
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
            wanted: None,
            leaving: false,
            attempts: HashMap::new(),
            audit: VecDeque::new(),
            kind: settings.kind.clone(),
            on: stack(&settings.model, settings),
            cache: Cache::new(settings.cache_blocks),
            queue: BTreeMap::new(),
            arrivals: 0,
            links: HashMap::new(),
            linked: 0,
            closed: false,
            loads: VecDeque::new(),
            sequence: 0,
        }
    }

    /// Begins another life; the audit and the numbers of links go on.
    pub(crate) fn restart(&mut self, settings: &Settings) {
        let audit = std::mem::take(&mut self.audit);
        let linked = self.linked;
        *self = Self::new(settings);
        self.audit = audit;
        self.linked = linked;
    }

    /// Takes a new connection.
    pub(crate) fn link(&mut self, from: Option<String>) -> (u64, UnboundedReceiver<Reply>) {
        let (replies, out) = mpsc::unbounded_channel();
        self.linked += 1;
        let link = self.linked;
        if self.closed {
            return (link, out);
        }
        self.links.insert(link, Out { from, replies });
        self.send(link, Reply::Hello(self.hello()));
        let added = self.cache.hashes();
        if !added.is_empty() {
            self.send(link, Reply::Cached(self.cached(added, Vec::new())));
        }
        if self.leaving {
            self.send(link, Reply::Leaving);
        }
        (link, out)
    }

    fn hello(&self) -> Hello {
        Hello {
            incarnation: self.incarnation,
            layers_held: self.holds.clone(),
            kind: self.kind.clone(),
        }
    }

    fn cached(&self, added: Vec<u64>, removed: Vec<u64>) -> Cached {
        Cached {
            sequence: self.sequence,
            added,
            removed,
        }
    }

    /// Ends a connection and its attempts.
    pub(crate) fn unlink(&mut self, link: u64) {
        self.links.remove(&link);
        self.attempts.retain(|id, _| id.0 != link);
        self.queue.retain(|_, work| work.id.0 != link);
    }

    /// Closes all connections, also later ones, once their replies are sent.
    pub(crate) fn close(&mut self) {
        self.closed = true;
        self.links.clear();
    }

    /// The name of a connection's client.
    pub(crate) fn from(&self, link: u64) -> Option<&str> {
        self.links.get(&link)?.from.as_deref()
    }

    /// Sends to one connection, if it is still there.
    pub(crate) fn send(&self, link: u64, reply: Reply) {
        if let Some(out) = self.links.get(&link) {
            let _ = out.replies.send(reply);
        }
    }

    /// The same after a while.
    pub(crate) fn send_later(&self, link: u64, reply: Reply, wait: Duration) {
        if wait.is_zero() {
            return self.send(link, reply);
        }
        if let Some(out) = self.links.get(&link) {
            let replies = out.replies.clone();
            tokio::spawn(async move {
                sleep(wait).await;
                let _ = replies.send(reply);
            });
        }
    }

    fn send_all(&self, reply: &Reply) {
        for link in self.links.keys() {
            self.send(*link, reply.clone());
        }
    }

    /// Refuses an attempt.
    pub(crate) fn refuse(&self, link: u64, request: RequestId, attempt: AttemptId, why: Reason) {
        let refused = Refused {
            request,
            attempt,
            reason: why,
        };
        self.send(link, Reply::Refused(refused));
    }

    /// Opens an attempt; one that is open already is only confirmed.
    pub(crate) fn open(&mut self, link: u64, open: Open, settings: &Settings) {
        let (request, attempt) = (open.request, open.attempt);
        if let Some(why) = self.obstacle(&open, settings) {
            return self.refuse(link, request, attempt, why);
        }
        let new = || Attempt::new(open, &mut self.cache);
        let id = (link, request, attempt);
        let held = self.attempts.entry(id).or_insert_with(new).held();
        let opened = Opened {
            request,
            attempt,
            cached: held,
        };
        self.send(link, Reply::Opened(opened));
    }

    fn obstacle(&self, open: &Open, settings: &Settings) -> Option<Reason> {
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

    /// Queues a step.
    pub(crate) fn step(&mut self, link: u64, step: Step) {
        let id = (link, step.request, step.attempt);
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return self.refuse(link, step.request, step.attempt, Reason::UnknownAttempt);
        };
        attempt.touched = Instant::now();
        self.arrivals += 1;
        let place = (attempt.open.priority, self.arrivals);
        self.queue.insert(place, Work { id, step });
    }

    /// Ends an attempt.
    pub(crate) fn end(&mut self, id: &Id) {
        if self.attempts.remove(id).is_some() {
            self.queue.retain(|_, work| work.id != *id);
        }
    }

    /// Takes the steps that run together next, and their time.
    pub(crate) fn batch(&mut self, settings: &Settings) -> (Vec<Work>, Duration) {
        let mut batch = Vec::new();
        while batch.len() < settings.batch.max(1)
            && let Some((_, work)) = self.queue.pop_first()
        {
            batch.push(work);
        }
        let time = batch_time(&batch, settings);
        (batch, time)
    }

    /// Runs a step; `None` when its attempt has ended.
    pub(crate) fn run(&mut self, work: &Work) -> Option<Reply> {
        let attempt = self.attempts.get_mut(&work.id)?;
        attempt.touched = Instant::now();
        match attempt.run(&work.step, self.on, &mut self.cache) {
            Ok(done) => {
                self.record(&work.step);
                Some(Reply::Done(done))
            }
            Err(why) => {
                self.end(&work.id);
                Some(Reply::Refused(Refused {
                    request: work.id.1,
                    attempt: work.id.2,
                    reason: why,
                }))
            }
        }
    }

    fn record(&mut self, step: &Step) {
        self.audit.push_back(Run {
            request: step.request,
            attempt: step.attempt,
            layers: step.layers,
            position: step.position,
            count: step.input.len() as u32,
            incarnation: self.incarnation,
        });
        if self.audit.len() > MAX_RUNS {
            self.audit.pop_front();
        }
    }

    /// Another request's number: one open beside it that is elsewhere, else one that is nobody's.
    pub(crate) fn foreign(&self, link: u64, done: &Done) -> RequestId {
        let other = |(id, attempt): (&Id, &Attempt)| {
            let beside = id.0 == link && id.1 != done.request;
            (beside && attempt.next() != Some(done.position)).then_some(id.1)
        };
        self.attempts
            .iter()
            .find_map(other)
            .unwrap_or(!done.request)
    }

    /// Takes an order to hold layers; an old one is ignored where fencing numbers are checked.
    pub(crate) fn hold(&mut self, hold: Assignment, settings: &Settings) {
        let known = settings.models.get(&hold.model);
        let known = known.is_some_and(|end| {
            within(
                hold.layers,
                Layers {
                    first: 0,
                    end: *end,
                },
            )
        });
        let old = settings.fencing && hold.fence < self.holds.fence;
        if known && !old {
            self.holds.fence = self.holds.fence.max(hold.fence);
            let same = self.holds.model == hold.model && self.holds.layers == hold.layers;
            if !same || self.holds.loading {
                self.holds.loading = true;
                self.wanted = Some(hold);
            }
        }
        self.say_holds();
    }

    /// What to load, once no attempt is open.
    pub(crate) fn next_load(&mut self) -> Option<Assignment> {
        self.attempts.is_empty().then(|| self.wanted.take())?
    }

    /// A load has ended; it is in force unless another is wanted by now.
    pub(crate) fn loaded(&mut self, hold: &Assignment, settings: &Settings) {
        if self.wanted.is_some() || !self.holds.loading {
            return;
        }
        self.on = stack(&hold.model, settings);
        self.holds.model.clone_from(&hold.model);
        self.holds.layers = hold.layers;
        self.holds.loading = false;
        self.cache.clear();
        self.say_holds();
    }

    fn say_holds(&self) {
        self.send_all(&Reply::LayersHeld(self.holds.clone()));
    }

    /// Takes no new attempts from now on.
    pub(crate) fn leave(&mut self) {
        if !self.leaving {
            self.leaving = true;
            self.send_all(&Reply::Leaving);
        }
    }

    /// Ends attempts that were not spoken of for too long.
    pub(crate) fn sweep(&mut self, idle: Duration) {
        let stale =
            |(id, attempt): (&Id, &Attempt)| (attempt.touched.elapsed() >= idle).then_some(*id);
        let stale: Vec<_> = self.attempts.iter().filter_map(stale).collect();
        for id in stale {
            self.end(&id);
            self.refuse(id.0, id.1, id.2, Reason::UnknownAttempt);
        }
    }

    /// Notes the load and reports the newest that is old enough.
    pub(crate) fn report_load(&mut self, age: Duration) {
        let queued = self.queue.values().map(|work| work.step.input.len() as u64);
        let load = Load {
            age_ms: 0,
            open_attempts: self.attempts.len() as u32,
            queued_positions: queued.sum(),
        };
        self.loads.push_back((Instant::now(), load));
        let old =
            |entry: Option<&(Instant, Load)>| entry.is_some_and(|(at, _)| at.elapsed() >= age);
        while old(self.loads.get(1)) {
            self.loads.pop_front();
        }
        if old(self.loads.front())
            && let Some((at, load)) = self.loads.front()
        {
            let mut load = load.clone();
            load.age_ms = at.elapsed().as_millis() as u64;
            self.send_all(&Reply::Load(load));
        }
    }

    /// Reports what entered and left the cache; every `gap`th event is lost.
    pub(crate) fn report_cached(&mut self, gap: u64) {
        let (added, removed) = self.cache.changes();
        if added.is_empty() && removed.is_empty() {
            return;
        }
        self.sequence += 1;
        if gap == 0 || !self.sequence.is_multiple_of(gap) {
            self.send_all(&Reply::Cached(self.cached(added, removed)));
        }
    }
}

fn stack(model: &str, settings: &Settings) -> Stack {
    Stack {
        model: model_hash(model),
        layers: settings.models.get(model).copied().unwrap_or(settings.end),
    }
}

fn within(inner: Layers, outer: Layers) -> bool {
    inner.first < inner.end && inner.first >= outer.first && inner.end <= outer.end
}

/// Decode steps run side by side; prefill adds up.
fn batch_time(batch: &[Work], settings: &Settings) -> Duration {
    let mut decode: f64 = 0.0;
    let mut prefill = 0.0;
    for Work { step, .. } in batch {
        let layers = f64::from(step.layers.end.saturating_sub(step.layers.first));
        if step.input.len() == 1 {
            decode = decode.max(layers * settings.decode_layer_us / 1e6);
        } else if settings.prefill_rate > 0.0 {
            prefill += layers * step.input.len() as f64 / settings.prefill_rate;
        }
    }
    Duration::try_from_secs_f64(decode + prefill).unwrap_or(Duration::ZERO)
}
