//! The decision core: one per entry.

use {
    crate::{
        action::{Action, Note},
        admit, attempt,
        call::{Answered, Call, End, Kind},
        claim,
        clock::Now,
        command::Command,
        duty::Duty,
        event::{Event, TICK},
        map, member,
        outbox::{Outbox, Parcel},
        queue::Queue,
        quota,
        request::{Body, Head, Request},
        retry, route, suspect,
        target::{Index, Table},
        timer::{Heap, Timer},
    },
    camphorweir_config::{fold::Fold, model::ZoneId, record, view::View},
    camphorweir_wire::{
        claim as records,
        code::Code,
        engine::{self, Load, Reply},
        ids::{EntryId, Incarnation, Nonce, RequestId},
        lease,
        outcome::Refusal,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// How long a stream that is tailed may be silent before its log is taken for unreachable.
pub(crate) const LOG_SILENCE: Duration = Duration::from_secs(5);

/// Time without any event, a tick at the least, after which the process is taken to have been frozen.
const FREEZE: Duration = Duration::from_millis(500);
/// Time in which a process that was frozen reads what came meanwhile.
const READ_FIRST: Duration = Duration::from_millis(50);

/// What a core is told about its own entry.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The entry's name, the same as in the platform's instance list.
    pub entry: EntryId,
    /// This life of the entry, drawn at random at start.
    pub incarnation: Incarnation,
    /// The entry's zone.
    pub zone: ZoneId,
    /// Seeds the core's random numbers.
    pub seed: u64,
    /// How long the balancer may send requests after readiness went false.
    pub grace: Duration,
}

/// A partition of the claim streams.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    pub(crate) table: claim::Table,
    /// Whether its end has been reached once.
    pub(crate) ready: bool,
    /// When it was last read; `None` after a failure.
    pub(crate) heard: Option<Duration>,
}

/// All decisions of one entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) setup: Setup,
    pub(crate) now: Now,
    pub(crate) rng: SmallRng,
    pub(crate) fold: Fold,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) map: map::Map,
    pub(crate) targets: Table,
    pub(crate) members: member::Table,
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Never-repeat requests by the id of their key.
    pub(crate) keys: HashMap<u128, BTreeSet<RequestId>>,
    pub(crate) queue: Queue,
    pub(crate) service: admit::ServiceTime,
    pub(crate) quota: quota::Table,
    pub(crate) budget: retry::Budget,
    pub(crate) timers: Heap,
    pub(crate) outbox: Outbox,
    pub(crate) partitions: Vec<Partition>,
    /// The lease, and orders to engines under it.
    pub(crate) command: Command,
    /// Requests that were in flight at crashes.
    pub(crate) suspects: suspect::Table,
    /// What this entry does for all.
    pub(crate) duty: Duty,
    /// When the next heartbeat is due.
    pub(crate) heartbeat: Duration,
    /// No waiting request starts before this time.
    pub(crate) start_after: Duration,
    /// When SIGTERM came.
    pub(crate) stopping: Option<Duration>,
    /// The last tick, when nothing kept the process from exiting then.
    clear: Option<Duration>,
    pub(crate) out: Vec<Action>,
}

impl Core {
    /// A core that knows nothing but its own entry.
    pub fn new(setup: Setup) -> Self {
        let partitions = (0..records::PARTITIONS).map(|_| Partition::default());
        Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
            now: Now::default(),
            fold: Fold::new(),
            view: None,
            map: map::Map::default(),
            targets: Table::default(),
            members: member::Table::default(),
            requests: HashMap::new(),
            keys: HashMap::new(),
            queue: Queue::default(),
            service: admit::ServiceTime::default(),
            quota: quota::Table::default(),
            budget: retry::Budget::default(),
            timers: Heap::default(),
            outbox: Outbox::default(),
            partitions: partitions.collect(),
            suspects: suspect::Table::default(),
            duty: Duty::default(),
            command: Command::default(),
            heartbeat: Duration::ZERO,
            start_after: Duration::ZERO,
            stopping: None,
            clear: None,
            out: Vec::new(),
        }
    }

    /// Compares paths by another rule than the product's own; for measurements.
    pub fn compare(&mut self, rule: route::Rule) {
        self.map.rule = rule;
    }

    /// The first actions of a process; called once, before any event.
    pub fn start(&mut self, now: Now) -> Vec<Action> {
        self.now = now;
        self.out.push(Action::Ready(false));
        self.out.push(Action::Tail(record::STREAM.to_owned(), 0));
        self.out.push(Action::Tail(lease::STREAM.to_owned(), 0));
        let suspects = camphorweir_wire::suspect::STREAM.to_owned();
        self.out.push(Action::Tail(suspects, 0));
        for partition in 0..records::PARTITIONS {
            self.out
                .push(Action::Tail(records::stream_name(partition), 0));
        }
        std::mem::take(&mut self.out)
    }

    /// Takes an event in and says what to do.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.notice_freeze(now);
        self.now = now;
        self.dispatch(event);
        self.fire_timers();
        self.start_queued();
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// After a freeze nothing is started until what came meanwhile has been read, such as the word of
    /// a target that it is leaving.
    fn notice_freeze(&mut self, now: Now) {
        if now.mono >= self.now.mono + FREEZE {
            self.start_after = now.mono + READ_FIRST;
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::CallerGone(id) => self.hang_up(id),
            Event::Connected(target, hello) => self.linked(&target, &hello),
            Event::Disconnected(target) => self.unlinked(&target),
            Event::EngineReply(target, reply) => self.engine(&target, reply),
            Event::ExchangeEnded(id, attempt, exchange) => self.exchanged(id, attempt, exchange),
            Event::Appended(id, _) => self.outbox.landed(id),
            Event::AppendFailed(id) => self.outbox.failed(id, self.now.mono),
            Event::StreamPage(stream, page) => self.page(&stream, page),
            Event::TailFailed(stream) => self.tail_failed(&stream),
            Event::InstancesListed(instances) => self.listed(&instances),
            Event::ListFailed => {}
            Event::PeerMessage(message) => self.peer(message),
            Event::PeerFailed(_) => {}
            Event::Stop => self.stop(),
            Event::Tick => self.tick(),
        }
    }

    fn arrive(&mut self, call: Call) {
        let Some(view) = self.view.clone() else {
            let refusal = Refusal::not_run(Code::NoConfiguration, "no configuration is in force");
            return self.turn_away(call.id, refusal.with_retry_after(admit::RETRY_AFTER));
        };
        let Some(workspace) = view.workspace(&call.key) else {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key belongs to no workspace");
            return self.turn_away(call.id, refusal);
        };
        if let Err(wait) = self.within_limits(&view, workspace, &call.kind) {
            let refusal = Refusal::not_run(Code::LimitReached, "the workspace's limit is reached");
            return self.turn_away(call.id, refusal.with_retry_after(wait));
        }
        match &call.kind {
            Kind::Tokens(tokens) => self.arrive_stream(&view, workspace, call.id, tokens),
            Kind::Plain(plain) => self.arrive_plain(&view, workspace, call.id, plain),
        }
    }

    fn hang_up(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.body {
            Body::Once(_) => self.hang_up_once(id),
            Body::Stream(_) | Body::Plain(_) => {
                self.give_up(id, Code::CallerGone, "the caller went away");
            }
        }
    }

    fn engine(&mut self, id: &str, reply: Reply) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        match reply {
            Reply::Hello(hello) => self.linked(id, &hello),
            Reply::Opened(opened) => self.opened(index, &opened),
            Reply::Done(done) => self.done(index, &done),
            Reply::Refused(refused) => self.refused(index, &refused),
            Reply::Leaving => self.targets.mark_leaving(index),
            Reply::Load(load) => self.loaded(index, load),
            Reply::LayersHeld(holds) => {
                self.targets.update_layers(index, &holds);
                self.regroup();
            }
            Reply::Cached(cached) => self.targets.get_mut(index).cache.apply(&cached),
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop(self.now.mono) {
            match timer {
                Timer::Deadline(id) => self.deadline(id),
                Timer::Step(id, attempt, sequence) => self.step_late(id, attempt, sequence),
                Timer::Exchange(id, attempt) => self.exchange_late(id, attempt),
                Timer::Claim(id) => self.claim_late(id),
                Timer::Recheck(id) => self.evaluate(id),
                Timer::Apart(id) => self.retry_apart(id),
            }
        }
    }

    fn deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Body::Once(_) = request.body {
            return self.deadline_once(id);
        }
        self.give_up(id, Code::DeadlinePassed, "the deadline passed");
    }

    fn stop(&mut self) {
        if self.stopping.is_none() {
            self.stopping = Some(self.now.mono);
            self.out.push(Action::Ready(false));
            self.heartbeat = self.now.mono;
            self.release_lease();
        }
    }

    fn tick(&mut self) {
        self.beat();
        self.queue.wake_all();
        self.command();
        self.do_duties();
        let Some(since) = self.stopping else {
            return;
        };
        let grace_over = self.now.mono >= since + self.setup.grace;
        if grace_over && self.requests.is_empty() {
            self.hand_over();
        }
        let clear = grace_over && self.requests.is_empty() && self.outbox.is_clear();
        // The first tick after a freeze may overtake requests that have arrived.
        let before = self.clear.is_some_and(|at| self.now.mono <= at + TICK * 2);
        if clear && before {
            self.out.push(Action::Exit);
        }
        self.clear = clear.then_some(self.now.mono);
    }

    fn flush(&mut self) {
        for append in self.outbox.flush(self.now.mono) {
            self.out.push(Action::Append(append));
        }
    }

    /// Puts a record into the outbox; one to keep is appended until it lands.
    pub(crate) fn append(&mut self, stream: String, bytes: Vec<u8>, keep: bool) {
        self.outbox.push(stream, Parcel { bytes, keep });
    }

    /// A number drawn at random.
    pub(crate) fn draw(&mut self) -> Nonce {
        self.rng.random()
    }

    /// Answers a request that was not taken in.
    pub(crate) fn turn_away(&mut self, id: RequestId, refusal: Refusal) {
        let head = Head::rejected(id, self.now.mono);
        let ended = head.ended(Some(refusal.code), self.now.mono);
        self.out.push(Action::Note(Note::Ended(ended)));
        self.out.push(Action::Reply(id, End::Refused(refusal)));
    }

    /// Ends a request without a whole answer.
    pub(crate) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.end(id, Some(refusal.code), End::Refused(refusal));
    }

    /// Ends a request with an answer of a plain service.
    pub(crate) fn answer(&mut self, id: RequestId, answered: Answered) {
        self.budget.earn();
        self.end(id, None, End::Answered(answered));
    }

    /// Ends a request: what it holds is released, and the caller is answered.
    pub(crate) fn end(&mut self, id: RequestId, code: Option<Code>, end: End) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let ended = request.head.ended(code, self.now.mono);
        if code.is_none() {
            let time = ended.total - ended.queued;
            self.service.add(&request, time);
            if let Body::Stream(_) = request.body {
                let whole = request.head.deadline - request.head.arrived;
                self.map.adapt(time.div_duration_f64(whole));
            }
        }
        self.out.push(Action::Note(Note::Ended(ended)));
        self.out.push(Action::Reply(id, end));
        self.release(request);
    }

    /// Releases what a request that is over holds.
    pub(crate) fn release(&mut self, request: Request) {
        let id = request.head.id;
        self.quota.closed(&request.head.workspace);
        if !matches!(request.body, Body::Once(_)) {
            self.queue.lane(request.lane()).ended();
        }
        match request.body {
            Body::Stream(stream) => match stream.attempt {
                Some(attempt) => {
                    self.remember_pass(request.head.fingerprint, &attempt);
                    self.abandon(id, &attempt);
                }
                None => self.queue.remove(&stream.model, request.head.priority, id),
            },
            Body::Plain(plain) => {
                if let Some((attempt, target)) = plain.attempt {
                    self.close(target);
                    self.out.push(Action::CancelExchange(id, attempt));
                } else {
                    self.queue.remove(&plain.service, request.head.priority, id);
                }
            }
            Body::Once(once) => self.forget_key(once.key.id, id),
        }
    }

    /// Ends an attempt on every target of its path.
    pub(crate) fn abandon(&mut self, id: RequestId, attempt: &attempt::Any) {
        self.settle_step(attempt);
        for hop in attempt.path().hops() {
            self.close(hop.target);
            let target = self.targets.get(hop.target);
            let order = engine::Command::Cancel(id, attempt.id());
            self.out.push(Action::SendCommand(target.id.clone(), order));
        }
    }

    /// An engine reported its load.
    fn loaded(&mut self, index: Index, load: Load) {
        self.targets.record_load(index, load, self.now.mono);
        self.queue.wake(self.targets.get(index).lane());
    }

    /// Sorts the targets into groups again.
    pub(crate) fn regroup(&mut self) {
        self.map.regroup(&self.targets);
    }

    /// Counts the entries that share the targets.
    pub(crate) fn count_entries(&mut self) {
        let live = self.members.live(self.now.mono);
        self.map
            .set_peers(live.map(|(_, peer)| peer.digest.zone.clone()));
        let now = self.now.mono;
        let peers = self.members.iter().map(|(_, peer)| peer);
        let known = peers.filter(|peer| peer.heard.is_some() && !peer.leaving.is_leaving());
        self.quota.update_shares(known.map(|peer| {
            let fresh = peer.heard.is_some_and(|at| now < at + member::SILENCE);
            fresh.then_some(peer.digest.demand.as_slice())
        }));
    }

    /// One piece of work less on a target.
    pub(crate) fn close(&mut self, target: Index) {
        let target = self.targets.get_mut(target);
        target.in_flight = target.in_flight.saturating_sub(1);
        self.queue.wake(target.lane());
    }
}
