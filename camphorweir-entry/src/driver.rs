//! The core's task: tells it what happened and carries out what it says, in order.

use {
    crate::{
        clock::Clock,
        forward::{self, Pool},
        link,
        peer::Post,
        port::{Arrival, Caller, Generation, Input, Kept, Port, Question, Up},
        streams::Service,
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
        engine::Order,
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

/// Inputs taken in before the clock is looked at again.
const BATCH: usize = 256;

/// A task that ends when it is dropped.
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

/// A connection to an engine.
#[derive(Debug)]
struct Link {
    life: Generation,
    _task: Task,
    /// Takes orders while the connection is up.
    orders: Option<mpsc::Sender<Order>>,
    /// Orders of this batch of inputs for this connection; handed over together, so that they travel
    /// in few frames.
    waiting: Vec<Order>,
}

impl Link {
    /// The connection is lost, and what waits for it with it.
    fn down(&mut self) {
        self.orders = None;
        self.waiting.clear();
    }

    /// Hands over what waits; a connection that can't keep up is started again.
    fn flush(&mut self) {
        let Some(orders) = self.orders.take() else {
            return;
        };
        // Dropping the channel makes the connection's task report it lost and try again.
        let Ok(slots) = orders.try_reserve_many(self.waiting.len()) else {
            return self.waiting.clear();
        };
        slots
            .zip(self.waiting.drain(..))
            .for_each(|(slot, order)| slot.send(order));
        self.orders = Some(orders);
    }
}

/// What the driver reaches the world through.
#[derive(Debug)]
pub struct Outside {
    /// Told to the tasks that the driver starts.
    pub port: Port,
    /// The clock that the core is told.
    pub clock: Clock,
    /// The log service.
    pub streams: Service,
    /// Other entries.
    pub post: Post,
    /// Metrics.
    pub metrics: Metrics,
    /// Longest answer of a plain service, in bytes.
    pub max_answer: usize,
    /// What the readiness check says.
    pub ready: watch::Sender<bool>,
    /// Whether the core is finished.
    pub finished: watch::Sender<bool>,
}

/// What decides: the core, or a test in its place.
pub trait Decide {
    /// The first actions of the process.
    fn start(&mut self, now: Now) -> Vec<Action>;
    /// Takes an event in and says what to do.
    fn handle(&mut self, now: Now, event: Event) -> Vec<Action>;
    /// Answers an operator; a question whose asker is gone is dropped.
    fn answer(&self, now: Now, question: Question);
}

impl Decide for Core {
    fn start(&mut self, now: Now) -> Vec<Action> {
        Core::start(self, now)
    }

    fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        Core::handle(self, now, event)
    }

    fn answer(&self, now: Now, question: Question) {
        match question {
            Question::Status(asker) => drop(asker.send(self.status(now))),
            Question::Unresolved(asker) => drop(asker.send(self.unknown_claims(now))),
        }
    }
}

/// The core and everything under way.
#[derive(Debug)]
pub struct Driver<D> {
    core: D,
    outside: Outside,
    pool: Pool,
    life: Generation,
    callers: HashMap<RequestId, Caller>,
    kept: HashMap<RequestId, Arc<Kept>>,
    links: HashMap<TargetId, Link>,
    tails: HashMap<String, (Generation, Task)>,
    exchanges: HashMap<(RequestId, AttemptId), Task>,
    /// Events that carrying out an action gave.
    next: VecDeque<Event>,
    /// Engines for which orders wait.
    ordered: Vec<TargetId>,
}

impl<D: Decide> Driver<D> {
    /// A driver over a core that was not started.
    pub fn new(core: D, outside: Outside) -> Self {
        Self {
            core,
            outside,
            pool: Pool::default(),
            life: 0,
            callers: HashMap::new(),
            kept: HashMap::new(),
            links: HashMap::new(),
            tails: HashMap::new(),
            exchanges: HashMap::new(),
            next: VecDeque::new(),
            ordered: Vec::new(),
        }
    }

    /// Runs for as long as the process.
    pub async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let actions = self.core.start(self.outside.clock.now());
        self.carry_out(actions);
        self.flush();
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut batch = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                count = inputs.recv_many(&mut batch, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    batch.drain(..).for_each(|input| self.take(input));
                }
            }
            self.flush();
        }
    }

    /// Hands the orders of this batch over, each connection's together.
    fn flush(&mut self) {
        for target in self.ordered.drain(..) {
            if let Some(link) = self.links.get_mut(&target) {
                link.flush();
            }
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Event(Event::Hangup(request)) => self.hangup(request),
            Input::Event(event) => self.handle(event),
            Input::Live(life, event) => self.take_live(life, event),
            Input::Up(up) => self.take_up(up),
            Input::Arrive(arrival) => self.arrive(*arrival),
            Input::Ask(question) => self.core.answer(self.outside.clock.now(), question),
        }
    }

    /// Takes an event of a connection or a tail, if that one is still in use.
    fn take_live(&mut self, life: Generation, event: Event) {
        let known = match &event {
            Event::Engine(target, _) | Event::Unlinked(target) => {
                self.links.get(target).is_some_and(|link| link.life == life)
            }
            Event::Page(stream, _) | Event::TailFailed(stream) => self
                .tails
                .get(stream)
                .is_some_and(|(tail, _)| *tail == life),
            _ => false,
        };
        if !known {
            return;
        }
        if let Event::Unlinked(target) = &event
            && let Some(link) = self.links.get_mut(target)
        {
            link.down();
        }
        self.handle(event);
    }

    fn take_up(&mut self, up: Up) {
        match self.links.get_mut(&up.target) {
            Some(link) if link.life == up.generation => {
                link.down();
                link.orders = Some(up.orders);
            }
            _ => return,
        }
        self.handle(Event::Linked(up.target, up.hello));
    }

    fn arrive(&mut self, arrival: Arrival) {
        let request = arrival.call.id;
        self.callers.insert(request, arrival.caller);
        if let Some(kept) = arrival.kept {
            self.kept.insert(request, kept);
        }
        self.handle(Event::Arrive(arrival.call));
    }

    /// The core is told once that a caller went away, and not after the request's end.
    fn hangup(&mut self, request: RequestId) {
        if self.callers.remove(&request).is_some() {
            self.handle(Event::Hangup(request));
        }
    }

    fn handle(&mut self, event: Event) {
        self.next.push_back(event);
        while let Some(event) = self.next.pop_front() {
            if let Event::Plain(request, attempt, _) = &event
                && self.exchanges.remove(&(*request, *attempt)).is_none()
            {
                continue;
            }
            let actions = self.core.handle(self.outside.clock.now(), event);
            self.carry_out(actions);
        }
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Link(target, address) => self.link(target, address),
            Action::Unlink(target) => drop(self.links.remove(&target)),
            Action::Order(target, order) => self.order(target, order),
            Action::Forward(forward) => self.forward(forward),
            Action::Abandon(request, attempt) => {
                drop(self.exchanges.remove(&(request, attempt)));
            }
            Action::Token(request, token) => self.token(request, token),
            Action::Reply(request, end) => self.reply(request, end),
            Action::Append(append) => self.append(append),
            Action::Tail(stream, from) => self.tail(stream, from),
            Action::Untail(stream) => drop(self.tails.remove(&stream)),
            Action::Peer(entry, address, body) => self.outside.post.send(entry, address, body),
            Action::Ready(ready) => drop(self.outside.ready.send_replace(ready)),
            Action::Exit => drop(self.outside.finished.send_replace(true)),
            Action::Note(note) => self.outside.metrics.note(&note),
        }
    }

    fn link(&mut self, target: TargetId, address: String) {
        let life = self.next_life();
        let port = self.outside.port.clone();
        let task = Task::spawn(link::run(port, life, target.clone(), address));
        self.links.insert(
            target,
            Link {
                life,
                _task: task,
                orders: None,
                waiting: Vec::new(),
            },
        );
    }

    /// An order for a connection that is down is dropped.
    fn order(&mut self, target: TargetId, order: Order) {
        let Some(link) = self.links.get_mut(&target) else {
            return;
        };
        if link.orders.is_none() {
            return;
        }
        link.waiting.push(order);
        if link.waiting.len() == 1 {
            self.ordered.push(target);
        }
    }

    fn forward(&mut self, forward: Forward) {
        let (request, attempt) = (forward.call, forward.attempt);
        let Some(kept) = self.kept.get(&request).cloned() else {
            self.exchanges
                .insert((request, attempt), Task::spawn(async {}));
            self.next
                .push_back(Event::Plain(request, attempt, Exchange::Unsent));
            return;
        };
        let (pool, clock) = (self.pool.clone(), self.outside.clock);
        let (port, max_answer) = (self.outside.port.clone(), self.outside.max_answer);
        let task = Task::spawn(async move {
            let end = forward::run(pool, clock, forward, kept, max_answer).await;
            // Nobody is left to tell when the process ends.
            let _ = port.event(Event::Plain(request, attempt, end)).await;
        });
        self.exchanges.insert((request, attempt), task);
    }

    /// A caller too far behind to take a token is treated as gone.
    fn token(&mut self, request: RequestId, token: Token) {
        let Entry::Occupied(caller) = self.callers.entry(request) else {
            return;
        };
        if caller.get().tokens.try_send(token).is_ok() {
            return;
        }
        let caller = caller.remove();
        drop(caller.tokens);
        let refusal = Refusal {
            code: Code::CallerGone,
            ran: Ran::Unknown,
            retry_after: None,
            detail: "The answer was not read in time.".to_owned(),
        };
        // A caller that is gone does not read its end.
        let _ = caller.end.send(End::Refused(refusal));
        self.next.push_back(Event::Hangup(request));
    }

    fn reply(&mut self, request: RequestId, end: End) {
        self.kept.remove(&request);
        let Some(caller) = self.callers.remove(&request) else {
            return;
        };
        drop(caller.tokens);
        // A caller that went away at this moment does not read its end.
        let _ = caller.end.send(end);
    }

    fn append(&self, append: Append) {
        let (streams, port) = (self.outside.streams.clone(), self.outside.port.clone());
        tokio::spawn(async move {
            let event = streams.append(append).await;
            port.event(event).await
        });
    }

    fn tail(&mut self, stream: String, from: Offset) {
        let life = self.next_life();
        let (streams, port) = (self.outside.streams.clone(), self.outside.port.clone());
        let task = Task::spawn(streams.tail(port, life, stream.clone(), from));
        self.tails.insert(stream, (life, task));
    }

    fn next_life(&mut self) -> Generation {
        self.life += 1;
        self.life
    }
}
