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
        member,
        outbox::{Entry, Outbox},
        queue::Queue,
        quota,
        request::{Body, Head, Request},
        retry, route, suspect,
        target::{Index, Table},
        timer::{Heap, Timer},
        topology,
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

/// Time without a read of a tailed stream after which the log counts as unreachable.
pub(crate) const LOG_UNREACHABLE_AFTER: Duration = Duration::from_secs(5);

/// Time without any event, not even a tick, after which the process counts as having been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(500);
/// How long a process that was frozen reads queued input before it starts requests again.
const CATCH_UP: Duration = Duration::from_millis(50);

/// The parameters of a core.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The entry's name, as in the platform's instance list.
    pub entry: EntryId,
    /// The incarnation of the entry, a random number chosen at start.
    pub incarnation: Incarnation,
    /// The entry's zone.
    pub zone: ZoneId,
    /// The seed of the core's random numbers.
    pub seed: u64,
    /// How long the balancer may still send requests after readiness became false.
    pub grace: Duration,
}

/// A partition of the claim streams.
#[derive(Debug, Default)]
pub(crate) struct Partition {
    pub(crate) table: claim::Table,
    /// Whether the end of the stream has been reached at least once.
    pub(crate) ready: bool,
    /// When the stream was last read; `None` after a failure.
    pub(crate) last_read: Option<Duration>,
}

/// The state and decisions of one entry.
#[derive(Debug)]
pub struct Core {
    pub(crate) setup: Setup,
    pub(crate) now: Now,
    pub(crate) rng: SmallRng,
    pub(crate) fold: Fold,
    pub(crate) view: Option<Arc<View>>,
    pub(crate) topology: topology::Topology,
    pub(crate) targets: Table,
    pub(crate) members: member::Table,
    pub(crate) requests: HashMap<RequestId, Request>,
    /// Never-repeat requests by the id of their key.
    pub(crate) requests_by_key: HashMap<u128, BTreeSet<RequestId>>,
    pub(crate) queue: Queue,
    pub(crate) service_times: admit::ServiceTime,
    pub(crate) quota: quota::Table,
    pub(crate) budget: retry::Budget,
    pub(crate) timers: Heap,
    pub(crate) outbox: Outbox,
    pub(crate) partitions: Vec<Partition>,
    /// The lease, and the orders that this entry gives under it.
    pub(crate) command: Command,
    /// Requests that were in flight on targets that crashed.
    pub(crate) suspects: suspect::Table,
    /// The duties that this entry performs for all entries.
    pub(crate) duty: Duty,
    /// When the next heartbeat is due.
    pub(crate) next_heartbeat: Duration,
    /// No waiting request starts before this time.
    pub(crate) start_after: Duration,
    /// When the stop was requested by SIGTERM.
    pub(crate) stopping_since: Option<Duration>,
    /// Time of the last tick, if nothing prevented the process from exiting then.
    exit_ready_at: Option<Duration>,
    /// Whether [`Action::Exit`] was given; nothing is begun after it.
    is_exiting: bool,
    pub(crate) out: Vec<Action>,
}

impl Core {
    /// A core at the start of a process, before any event.
    pub fn new(setup: Setup) -> Self {
        let partitions = (0..records::PARTITIONS).map(|_| Partition::default());
        Self {
            rng: SmallRng::seed_from_u64(setup.seed),
            setup,
            now: Now::default(),
            fold: Fold::new(),
            view: None,
            topology: topology::Topology::default(),
            targets: Table::default(),
            members: member::Table::default(),
            requests: HashMap::new(),
            requests_by_key: HashMap::new(),
            queue: Queue::default(),
            service_times: admit::ServiceTime::default(),
            quota: quota::Table::default(),
            budget: retry::Budget::default(),
            timers: Heap::default(),
            outbox: Outbox::default(),
            partitions: partitions.collect(),
            suspects: suspect::Table::default(),
            duty: Duty::default(),
            command: Command::default(),
            next_heartbeat: Duration::ZERO,
            start_after: Duration::ZERO,
            stopping_since: None,
            exit_ready_at: None,
            is_exiting: false,
            out: Vec::new(),
        }
    }

    /// Sets the rule that compares paths; for measurements of other rules than the default.
    pub fn set_route_rule(&mut self, rule: route::Rule) {
        self.topology.rule = rule;
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

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.detect_freeze(now);
        self.now = now;
        self.dispatch(event);
        self.fire_timers();
        self.start_queued();
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// Delays starts after a freeze until the input that arrived meanwhile has been read, such as
    /// the message of a target that it is leaving.
    fn detect_freeze(&mut self, now: Now) {
        if now.mono >= self.now.mono + FREEZE_THRESHOLD {
            self.start_after = now.mono + CATCH_UP;
        }
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.handle_request(call),
            Event::CallerGone(id) => self.handle_caller_gone(id),
            Event::Connected(target, hello) => self.handle_connected(&target, &hello),
            Event::Disconnected(target) => self.handle_disconnected(&target),
            Event::EngineReply(target, reply) => self.handle_engine_reply(&target, reply),
            Event::ExchangeEnded(id, attempt, exchange) => {
                self.handle_exchange_end(id, attempt, exchange)
            }
            Event::Appended(id, _) => self.outbox.succeeded(id),
            Event::AppendFailed(id) => self.outbox.failed(id, self.now.mono),
            Event::StreamPage(stream, page) => self.handle_page(&stream, page),
            Event::TailFailed(stream) => self.handle_tail_failure(&stream),
            Event::InstancesListed(instances) => self.apply_instance_list(&instances),
            Event::ListFailed => {}
            Event::PeerMessage(message) => self.handle_peer_message(message),
            Event::PeerFailed(_) => {}
            Event::Stop => self.handle_stop(),
            Event::Tick => self.handle_tick(),
        }
    }

    fn handle_request(&mut self, call: Call) {
        if self.is_exiting {
            // Its body arrived after the listener had closed.
            let refusal = Refusal::not_run(Code::Stopping, "the entry is ending");
            return self.refuse_unadmitted(call.id, refusal);
        }
        let Some(view) = self.view.clone() else {
            let refusal = Refusal::not_run(Code::NoConfiguration, "no configuration is in force");
            return self.refuse_unadmitted(call.id, refusal.with_retry_after(admit::RETRY_AFTER));
        };
        let Some(workspace) = view.workspace(&call.key) else {
            let refusal = Refusal::not_run(Code::Unauthorized, "the key belongs to no workspace");
            return self.refuse_unadmitted(call.id, refusal);
        };
        if let Err(wait) = self.charge_limits(&view, workspace, &call.kind) {
            let refusal = Refusal::not_run(Code::LimitReached, "the workspace's limit is reached");
            return self.refuse_unadmitted(call.id, refusal.with_retry_after(wait));
        }
        match &call.kind {
            Kind::Tokens(tokens) => self.handle_stream_request(&view, workspace, call.id, tokens),
            Kind::Plain(plain) => self.handle_plain_request(&view, workspace, call.id, plain),
        }
    }

    fn handle_caller_gone(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        match request.body {
            Body::NeverRepeat(_) => self.handle_caller_gone_never_repeat(id),
            Body::Stream(_) | Body::Plain(_) => {
                self.give_up(id, Code::CallerGone, "the caller went away");
            }
        }
    }

    fn handle_engine_reply(&mut self, id: &str, reply: Reply) {
        let Some(index) = self.targets.find(id) else {
            return;
        };
        match reply {
            Reply::Hello(hello) => self.handle_connected(id, &hello),
            Reply::Opened(opened) => self.handle_opened(index, &opened),
            Reply::Done(done) => self.handle_done(index, &done),
            Reply::Refused(refused) => self.handle_refused(index, &refused),
            Reply::Leaving => self.targets.mark_leaving(index),
            Reply::Load(load) => self.handle_load(index, load),
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
                Timer::Deadline(id) => self.handle_deadline(id),
                Timer::Step(id, attempt, sequence) => {
                    self.handle_step_timeout(id, attempt, sequence)
                }
                Timer::Exchange(id, attempt) => self.handle_exchange_timeout(id, attempt),
                Timer::Claim(id) => self.handle_claim_timeout(id),
                Timer::EvaluateKey(id) => self.evaluate_key(id),
                Timer::RetrySuspect(id) => self.retry_suspect(id),
            }
        }
    }

    fn handle_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if let Body::NeverRepeat(_) = request.body {
            return self.handle_deadline_never_repeat(id);
        }
        self.give_up(id, Code::DeadlinePassed, "the deadline passed");
    }

    fn handle_stop(&mut self) {
        if self.stopping_since.is_none() {
            self.stopping_since = Some(self.now.mono);
            self.out.push(Action::Ready(false));
            self.next_heartbeat = self.now.mono;
            self.release_lease();
        }
    }

    fn handle_tick(&mut self) {
        self.send_heartbeats();
        self.queue.wake_all();
        self.direct_engines();
        self.do_duties();
        let Some(since) = self.stopping_since else {
            return;
        };
        let grace_over = self.now.mono >= since + self.setup.grace;
        if grace_over && self.requests.is_empty() {
            self.offer_records();
        }
        let exit_ready = grace_over && self.requests.is_empty() && self.outbox.is_drained();
        // The first tick after a freeze may be handled before requests that arrived earlier.
        let was_ready = self
            .exit_ready_at
            .is_some_and(|at| self.now.mono <= at + TICK * 2);
        if exit_ready && was_ready {
            self.is_exiting = true;
            self.out.push(Action::Exit);
        }
        self.exit_ready_at = exit_ready.then_some(self.now.mono);
    }

    fn flush(&mut self) {
        for append in self.outbox.flush(self.now.mono) {
            self.out.push(Action::Append(append));
        }
    }

    /// Queues a record for the log; with `retry` it is appended again until an append succeeds.
    pub(crate) fn append(&mut self, stream: String, bytes: Vec<u8>, retry: bool) {
        self.outbox.push(stream, Entry { bytes, retry });
    }

    /// A new random nonce.
    pub(crate) fn random_nonce(&mut self) -> Nonce {
        self.rng.random()
    }

    /// Refuses a request that was not admitted.
    pub(crate) fn refuse_unadmitted(&mut self, id: RequestId, refusal: Refusal) {
        let head = Head::rejected(id, self.now.mono);
        let ended = head.ended(Some(refusal.code), self.now.mono);
        self.out.push(Action::Note(Note::Ended(ended)));
        self.out.push(Action::Reply(id, End::Refused(refusal)));
    }

    /// Ends a request with a refusal.
    pub(crate) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.end(id, Some(refusal.code), End::Refused(refusal));
    }

    /// Ends a request with an answer of a plain service.
    pub(crate) fn answer(&mut self, id: RequestId, answered: Answered) {
        self.budget.earn();
        self.end(id, None, End::Answered(answered));
    }

    /// Ends a request: releases its resources and answers the caller.
    pub(crate) fn end(&mut self, id: RequestId, code: Option<Code>, end: End) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let ended = request.head.ended(code, self.now.mono);
        if code.is_none() {
            let time = ended.total - ended.queued;
            self.service_times.add(&request, time);
            if let Body::Stream(_) = request.body {
                let allowed = request.head.deadline - request.head.arrived;
                self.topology.adapt(time.div_duration_f64(allowed));
            }
        }
        self.out.push(Action::Note(Note::Ended(ended)));
        self.out.push(Action::Reply(id, end));
        self.release(request);
    }

    /// Releases the resources of a request that has ended.
    pub(crate) fn release(&mut self, request: Request) {
        let id = request.head.id;
        self.quota.closed(&request.head.workspace);
        if !matches!(request.body, Body::NeverRepeat(_)) {
            self.queue.lane(request.lane()).ended();
        }
        match request.body {
            Body::Stream(stream) => match stream.attempt {
                Some(attempt) => {
                    self.record_given_up_pass(request.head.fingerprint, &attempt);
                    self.cancel_attempt(id, &attempt);
                }
                None => self.queue.remove(&stream.model, request.head.priority, id),
            },
            Body::Plain(plain) => {
                if let Some((attempt, target)) = plain.attempt {
                    self.decrement_in_flight(target);
                    self.out.push(Action::CancelExchange(id, attempt));
                } else {
                    self.queue.remove(&plain.service, request.head.priority, id);
                }
            }
            Body::NeverRepeat(call) => self.remove_key(call.key.id, id),
        }
    }

    /// Cancels an attempt on every target of its path.
    pub(crate) fn cancel_attempt(&mut self, id: RequestId, attempt: &attempt::AnyAttempt) {
        self.settle_step(attempt);
        for hop in attempt.path().hops() {
            self.decrement_in_flight(hop.target);
            let target = self.targets.get(hop.target);
            let order = engine::Command::Cancel(id, attempt.id());
            self.out.push(Action::SendCommand(target.id.clone(), order));
        }
    }

    /// Handles the load report of an engine.
    fn handle_load(&mut self, index: Index, load: Load) {
        self.targets.record_load(index, load, self.now.mono);
        self.queue.wake(self.targets.get(index).lane());
    }

    /// Recomputes the groups of targets.
    pub(crate) fn regroup(&mut self) {
        self.topology.regroup(&self.targets);
    }

    /// Updates what is shared with the live peers: the capacity of targets and the rate limits.
    pub(crate) fn update_shares(&mut self) {
        let live = self.members.live(self.now.mono);
        self.topology
            .set_peers(live.map(|(_, peer)| peer.digest.zone.clone()));
        let now = self.now.mono;
        let peers = self.members.iter().map(|(_, peer)| peer);
        let active = peers.filter(|peer| peer.last_contact.is_some() && !peer.leaving.is_leaving());
        self.quota.update_shares(active.map(|peer| {
            let reachable = peer
                .last_contact
                .is_some_and(|at| now < at + member::UNREACHABLE_AFTER);
            reachable.then_some(peer.digest.demand.as_slice())
        }));
    }

    /// Counts the end of an attempt or exchange on a target.
    pub(crate) fn decrement_in_flight(&mut self, target: Index) {
        let target = self.targets.get_mut(target);
        target.in_flight = target.in_flight.saturating_sub(1);
        self.queue.wake(target.lane());
    }
}
