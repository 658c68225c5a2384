//! The core task: feeds events to the decision core and executes the actions it returns, in order.

use {
    crate::{
        clock::Clock,
        core_task::{Arrival, Connected, Generation, Handle, Input, Payload, Query, Responder},
        forward::{self, Pool},
        link,
        peer::PeerSender,
        streams::LogClient,
        telemetry::Metrics,
    },
    camphorweir_config::model::TargetId,
    camphorweir_policy::{
        action::{Action, Append, Forward},
        call::End,
        clock::Now,
        core::Core,
        event::{Event, Exchange, TICK},
    },
    camphorweir_wire::{
        code::Code,
        engine::Command,
        ids::{AttemptId, Offset, RequestId, Token},
        outcome::{Ran, Refusal},
    },
    std::{
        collections::{HashMap, VecDeque, hash_map::Entry},
        future::Future,
        sync::Arc,
    },
    tokio::{
        sync::{mpsc, watch},
        task::JoinHandle,
        time::{MissedTickBehavior, interval},
    },
};

/// Most inputs handled between two checks of the tick timer.
const MAX_INPUT_BATCH: usize = 256;

/// A task handle that aborts its task on drop.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Task {
    fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(task))
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The task that keeps a connection to an engine.
#[derive(Debug)]
struct EngineLink {
    generation: Generation,
    _task: Task,
    /// Sends commands; `None` while the connection is down.
    commands: Option<mpsc::Sender<Command>>,
    /// Commands from the current batch of inputs; sent together so that they share frames.
    queued_commands: Vec<Command>,
}

impl EngineLink {
    /// Marks the connection as down and drops its queued commands.
    fn mark_down(&mut self) {
        self.commands = None;
        self.queued_commands.clear();
    }

    /// Sends the queued commands; a connection whose channel is too full for them is reset.
    fn flush(&mut self) {
        let Some(commands) = self.commands.take() else {
            return;
        };
        // Dropping the channel makes the connection task report the loss and reconnect.
        let Ok(permits) = commands.try_reserve_many(self.queued_commands.len()) else {
            return self.queued_commands.clear();
        };
        permits
            .zip(self.queued_commands.drain(..))
            .for_each(|(permit, command)| permit.send(command));
        self.commands = Some(commands);
    }
}

/// What the driver uses to execute actions.
#[derive(Debug)]
pub struct Environment {
    /// Given to the tasks that the driver starts, for their events.
    pub core_handle: Handle,
    /// The clock that the core's time is read from.
    pub clock: Clock,
    /// Client of the log service.
    pub log_client: LogClient,
    /// Sends messages to other entries.
    pub peers: PeerSender,
    /// Metrics.
    pub metrics: Metrics,
    /// Longest response of a plain service, in bytes.
    pub max_answer: usize,
    /// Result of the readiness check.
    pub ready: watch::Sender<bool>,
    /// Whether the core has finished shutting down.
    pub finished: watch::Sender<bool>,
}

/// The decision core, or a test double.
pub trait Decider {
    /// Returns the first actions of the process.
    fn start(&mut self, now: Now) -> Vec<Action>;
    /// Handles an event and returns the actions to execute.
    fn handle(&mut self, now: Now, event: Event) -> Vec<Action>;
    /// Answers a query of the administration API; a result that nobody waits for is dropped.
    fn answer_query(&self, now: Now, query: Query);
}

impl Decider for Core {
    fn start(&mut self, now: Now) -> Vec<Action> {
        Core::start(self, now)
    }

    fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        Core::handle(self, now, event)
    }

    fn answer_query(&self, now: Now, query: Query) {
        match query {
            Query::Status(result) => drop(result.send(self.status(now))),
            Query::Unresolved(result) => drop(result.send(self.unknown_claims(now))),
        }
    }
}

/// The core and the work in progress for it.
#[derive(Debug)]
pub struct Driver<D> {
    core: D,
    environment: Environment,
    pool: Pool,
    generation: Generation,
    responders: HashMap<RequestId, Responder>,
    payloads: HashMap<RequestId, Arc<Payload>>,
    engine_links: HashMap<TargetId, EngineLink>,
    tails: HashMap<String, (Generation, Task)>,
    exchanges: HashMap<(RequestId, AttemptId), Task>,
    /// Events caused by executing actions.
    queued_events: VecDeque<Event>,
    /// Engines with queued commands.
    unflushed: Vec<TargetId>,
}

impl<D: Decider> Driver<D> {
    /// A driver for a core that has not been started.
    pub fn new(core: D, environment: Environment) -> Self {
        Self {
            core,
            environment,
            pool: Pool::default(),
            generation: 0,
            responders: HashMap::new(),
            payloads: HashMap::new(),
            engine_links: HashMap::new(),
            tails: HashMap::new(),
            exchanges: HashMap::new(),
            queued_events: VecDeque::new(),
            unflushed: Vec::new(),
        }
    }

    /// Runs until all senders of inputs are gone, which is when the process ends.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let actions = self.core.start(self.environment.clock.now());
        self.execute_all(actions);
        self.flush();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(MAX_INPUT_BATCH);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle_event(Event::Tick),
                count = inputs.recv_many(&mut batch, MAX_INPUT_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.handle_input(input));
                }
            }
            self.flush();
        }
    }

    /// Sends the commands of this batch of inputs, one group for each connection.
    fn flush(&mut self) {
        for target in self.unflushed.drain(..) {
            if let Some(link) = self.engine_links.get_mut(&target) {
                link.flush();
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(Event::CallerGone(request)) => self.handle_disconnect(request),
            Input::Event(event) => self.handle_event(event),
            Input::Tagged(generation, event) => self.handle_tagged(generation, event),
            Input::Connected(connected) => self.handle_connected(connected),
            Input::Arrival(arrival) => self.handle_arrival(*arrival),
            Input::Query(query) => self.core.answer_query(self.environment.clock.now(), query),
        }
    }

    /// Handles an event of a connection or tail task if that task is still the current one.
    fn handle_tagged(&mut self, generation: Generation, event: Event) {
        let is_current = match &event {
            Event::EngineReply(target, _) | Event::Disconnected(target) => self
                .engine_links
                .get(target)
                .is_some_and(|link| link.generation == generation),
            Event::StreamPage(stream, _) | Event::TailFailed(stream) => self
                .tails
                .get(stream)
                .is_some_and(|(tail, _)| *tail == generation),
            _ => false,
        };
        if !is_current {
            return;
        }
        if let Event::Disconnected(target) = &event
            && let Some(link) = self.engine_links.get_mut(target)
        {
            link.mark_down();
        }
        self.handle_event(event);
    }

    fn handle_connected(&mut self, connected: Connected) {
        match self.engine_links.get_mut(&connected.target) {
            Some(link) if link.generation == connected.generation => {
                link.mark_down();
                link.commands = Some(connected.commands);
            }
            _ => return,
        }
        self.handle_event(Event::Connected(connected.target, connected.hello));
    }

    fn handle_arrival(&mut self, arrival: Arrival) {
        let request = arrival.call.id;
        self.responders.insert(request, arrival.responder);
        if let Some(payload) = arrival.payload {
            self.payloads.insert(request, payload);
        }
        self.handle_event(Event::Arrive(arrival.call));
    }

    /// Reports a caller's disconnect to the core once, and not after the request has ended.
    fn handle_disconnect(&mut self, request: RequestId) {
        if self.responders.remove(&request).is_some() {
            self.handle_event(Event::CallerGone(request));
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.queued_events.push_back(event);
        while let Some(event) = self.queued_events.pop_front() {
            if let Event::ExchangeEnded(request, attempt, _) = &event
                && self.exchanges.remove(&(*request, *attempt)).is_none()
            {
                continue;
            }
            let actions = self.core.handle(self.environment.clock.now(), event);
            self.execute_all(actions);
        }
    }

    fn execute_all(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Link(target, address) => self.connect(target, address),
            Action::Unlink(target) => drop(self.engine_links.remove(&target)),
            Action::SendCommand(target, command) => self.queue_command(target, command),
            Action::Forward(forward) => self.start_exchange(forward),
            Action::CancelExchange(request, attempt) => {
                drop(self.exchanges.remove(&(request, attempt)));
            }
            Action::Token(request, token) => self.send_token(request, token),
            Action::Reply(request, end) => self.finish_request(request, end),
            Action::Append(append) => self.start_append(append),
            Action::Tail(stream, from) => self.start_tail(stream, from),
            Action::Untail(stream) => drop(self.tails.remove(&stream)),
            Action::SendToPeer(entry, address, body) => {
                self.environment.peers.send(entry, address, body)
            }
            Action::Ready(ready) => drop(self.environment.ready.send_replace(ready)),
            Action::Exit => drop(self.environment.finished.send_replace(true)),
            Action::Note(note) => self.environment.metrics.note(&note),
        }
    }

    fn connect(&mut self, target: TargetId, address: String) {
        let generation = self.next_generation();
        let core_handle = self.environment.core_handle.clone();
        let task = Task::spawn(link::run(core_handle, generation, target.clone(), address));
        self.engine_links.insert(
            target,
            EngineLink {
                generation,
                _task: task,
                commands: None,
                queued_commands: Vec::new(),
            },
        );
    }

    /// Queues a command; drops it if the connection is down.
    fn queue_command(&mut self, target: TargetId, command: Command) {
        let Some(link) = self.engine_links.get_mut(&target) else {
            return;
        };
        if link.commands.is_none() {
            return;
        }
        link.queued_commands.push(command);
        if link.queued_commands.len() == 1 {
            self.unflushed.push(target);
        }
    }

    fn start_exchange(&mut self, forward: Forward) {
        let (request, attempt) = (forward.request, forward.attempt);
        let Some(payload) = self.payloads.get(&request).cloned() else {
            self.exchanges
                .insert((request, attempt), Task::spawn(async {}));
            self.queued_events
                .push_back(Event::ExchangeEnded(request, attempt, Exchange::Unsent));
            return;
        };
        let (pool, clock) = (self.pool.clone(), self.environment.clock);
        let (core_handle, max_answer) = (
            self.environment.core_handle.clone(),
            self.environment.max_answer,
        );
        let task = Task::spawn(async move {
            let end = forward::run(pool, clock, forward, payload, max_answer).await;
            // Fails only when the process is ending.
            let _ = core_handle
                .send_event(Event::ExchangeEnded(request, attempt, end))
                .await;
        });
        self.exchanges.insert((request, attempt), task);
    }

    /// Sends a token; a caller whose token queue is full is treated as disconnected.
    fn send_token(&mut self, request: RequestId, token: Token) {
        let Entry::Occupied(responder) = self.responders.entry(request) else {
            return;
        };
        if responder.get().tokens.try_send(token).is_ok() {
            return;
        }
        let responder = responder.remove();
        drop(responder.tokens);
        let refusal = Refusal {
            code: Code::CallerGone,
            ran: Ran::Unknown,
            retry_after: None,
            detail: "The answer was not read in time.".to_owned(),
        };
        // Fails when the caller has disconnected.
        let _ = responder.end.send(End::Refused(refusal));
        self.queued_events.push_back(Event::CallerGone(request));
    }

    fn finish_request(&mut self, request: RequestId, end: End) {
        self.payloads.remove(&request);
        let Some(responder) = self.responders.remove(&request) else {
            return;
        };
        drop(responder.tokens);
        // Fails when the caller has just disconnected.
        let _ = responder.end.send(end);
    }

    fn start_append(&self, append: Append) {
        let (log_client, core_handle) = (
            self.environment.log_client.clone(),
            self.environment.core_handle.clone(),
        );
        tokio::spawn(async move {
            let event = log_client.append(append).await;
            core_handle.send_event(event).await
        });
    }

    fn start_tail(&mut self, stream: String, from: Offset) {
        let generation = self.next_generation();
        let (log_client, core_handle) = (
            self.environment.log_client.clone(),
            self.environment.core_handle.clone(),
        );
        let task = Task::spawn(log_client.tail(core_handle, generation, stream.clone(), from));
        self.tails.insert(stream, (generation, task));
    }

    fn next_generation(&mut self) -> Generation {
        self.generation += 1;
        self.generation
    }
}
