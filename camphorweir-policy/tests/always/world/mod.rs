//! A simulation of several cores and fakes of their peers, on a virtual clock that tests advance.

mod callers;
pub(crate) mod engine;
pub(crate) mod log;
mod net;
mod operators;
pub(crate) mod oracle;
pub(crate) mod service;

use {
    camphorweir_config::{
        model::{
            Document, Kind, Limits, Model, Pipeline, Priority, Repeat, Route, Serves,
            Service as Plain, Target, To, Workspace, Zone,
        },
        record::{self, Publication},
    },
    camphorweir_policy::{
        action::{Action, Append, Forward},
        call::{self, Call},
        clock::Now,
        core::{Core, Setup},
        event::{Event, Exchange, TICK},
    },
    camphorweir_wire::{
        claim::{self, Key},
        codec,
        engine::{Command, Layers, Reply},
        list::{Instance, Role, State},
        peer,
    },
    engine::Engine,
    log::Log,
    oracle::{Oracle, Sent},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    service::Service,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Wall clock at the start of every test, since the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Number of layers of the model.
pub(crate) const LAYERS: u32 = 12;
/// Availability zones.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
/// Least one-way latency of a message.
const LATENCY: Duration = Duration::from_millis(1);
/// Wait before the next read of a stream that had new records.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Wait before the next read of a stream that had no new records.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Time after which a tailed stream without new records delivers an empty page.
const EMPTY_PAGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Limit on messages between entries; only an endless exchange reaches it.
const MAX_PEER_MESSAGES: u32 = 500_000;
const MS: Duration = Duration::from_millis(1);

/// A scheduled delivery. The first two fields are the entry's number and its incarnation.
enum Delivery {
    Event(usize, u64, Event),
    Order(usize, u64, String, u64, Command),
    Forward(usize, u64, Forward),
    Append(usize, u64, Append),
    Tail(usize, u64, String),
    List(usize, u64),
}

/// An entry process.
pub(crate) struct Entry {
    pub(crate) core: Core,
    pub(crate) zone: &'static str,
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) exited: bool,
    pub(crate) ready: bool,
    started_at: Duration,
    /// Time of the process's last tick.
    last_tick: Duration,
    /// How far the entry's wall clock is ahead.
    pub(crate) clock_ahead: Duration,
    /// How far the entry's wall clock is behind.
    pub(crate) clock_behind: Duration,
    /// Targets that the last list read by this entry shows as leaving, and since when.
    listed_leaving_since: BTreeMap<String, Duration>,
    /// Next offset of each tailed stream.
    tails: HashMap<String, u64>,
    /// When each tailed stream last delivered a page.
    last_page: HashMap<String, Duration>,
    /// Deliveries that arrived while the process was frozen.
    backlog: VecDeque<Delivery>,
    /// Version of the configuration in force; 0 without one.
    pub(crate) version: u64,
}

impl Entry {
    /// Whether this entry tails a stream.
    pub(crate) fn is_tailing(&self, stream: &str) -> bool {
        self.tails.contains_key(stream)
    }

    /// The services of the configuration in force.
    pub(crate) fn services(&self) -> Vec<String> {
        let bytes = self.core.checkpoint().expect("a version");
        let record: record::Record = codec::decode(&bytes).expect("a record");
        match record.body {
            record::Body::Checkpoint(checkpoint) => {
                checkpoint.document.services.keys().cloned().collect()
            }
            record::Body::Publication(_) => Vec::new(),
        }
    }
}

/// The simulation.
pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) log: Log,
    pub(crate) oracle: Oracle,
    /// Zones cut off from the others and from the platform.
    pub(crate) isolated_zones: BTreeSet<&'static str>,
    /// The instance list can't be read.
    pub(crate) list_down: bool,
    /// Number of messages sent between entries so far.
    pub(crate) peer_messages: u32,
    /// Number of engine crashes caused by requests.
    pub(crate) crashes: u32,
    /// Forged replies to every step are delivered before the real one.
    pub(crate) forge_replies: bool,
    /// Targets that the platform's instance list shows as leaving.
    pub(crate) listed_leaving: BTreeSet<String>,
    /// Since when every reachable entry should know that a target is leaving.
    pub(crate) leaving_since: HashMap<String, Duration>,
    zones: HashMap<String, &'static str>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sequence: u64,
    last_tick: Duration,
    pub(crate) rng: SmallRng,
    next_call: u64,
}

impl World {
    /// Builds three zones, each with an entry, a chain of three engines, a ledger server and a
    /// lookup server.
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            entries: Vec::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            log: Log::default(),
            oracle: Oracle::default(),
            isolated_zones: BTreeSet::new(),
            list_down: false,
            forge_replies: false,
            peer_messages: 0,
            crashes: 0,
            listed_leaving: BTreeSet::new(),
            leaving_since: HashMap::new(),
            zones: HashMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            last_tick: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            next_call: 0,
        };
        let document = world.document();
        world.publish(0, &document);
        for zone in ZONES {
            world.spawn(zone);
        }
        world.run(500 * MS);
        world
    }

    pub(crate) fn wall(&self) -> Duration {
        EPOCH + self.now
    }

    /// Starts an entry in a zone and returns the entry's number.
    pub(crate) fn spawn(&mut self, zone: &'static str) -> usize {
        let number = self.entries.len();
        let core = self.core(number, zone, 1);
        self.entries.push(Entry {
            core,
            zone,
            incarnation: 1,
            alive: false,
            frozen: false,
            exited: false,
            ready: false,
            started_at: self.now,
            last_tick: self.now,
            clock_ahead: Duration::ZERO,
            clock_behind: Duration::ZERO,
            listed_leaving_since: BTreeMap::new(),
            tails: HashMap::new(),
            last_page: HashMap::new(),
            backlog: VecDeque::new(),
            version: 0,
        });
        self.start(number);
        number
    }

    fn core(&mut self, number: usize, zone: &str, incarnation: u64) -> Core {
        Core::new(Setup {
            entry: format!("e{number}"),
            incarnation,
            zone: zone.to_owned(),
            seed: self.rng.random(),
            grace: 200 * MS,
        })
    }

    /// Kills an entry's process and starts it again under the next incarnation.
    pub(crate) fn restart(&mut self, number: usize) {
        self.kill(number);
        let incarnation = self.entries[number].incarnation + 1;
        let zone = self.entries[number].zone;
        let core = self.core(number, zone, incarnation);
        let entry = &mut self.entries[number];
        entry.core = core;
        entry.incarnation = incarnation;
        self.start(number);
    }

    fn start(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        entry.started_at = now;
        entry.alive = true;
        entry.exited = false;
        entry.ready = false;
        entry.frozen = false;
        entry.version = 0;
        entry.listed_leaving_since.clear();
        entry.tails.clear();
        entry.backlog.clear();
        let clock = self.clock(number);
        let actions = self.entries[number].core.start(clock);
        self.execute(number, actions);
        let incarnation = self.entries[number].incarnation;
        self.schedule(LATENCY, Delivery::List(number, incarnation));
    }

    /// Kills an entry's process.
    pub(crate) fn kill(&mut self, number: usize) {
        self.entries[number].alive = false;
        self.entries[number].backlog.clear();
        for engine in self.engines.values_mut() {
            engine.drop_attempts(number);
        }
        for call in self.oracle.calls.values_mut() {
            if call.entry == number && call.end.is_none() {
                call.connection_lost = true;
            }
        }
    }

    /// Resumes a frozen process; its timer fires before it reads what arrived meanwhile.
    pub(crate) fn resume(&mut self, number: usize) {
        self.entries[number].frozen = false;
        self.deliver_event(number, Event::Tick);
        self.resume_reading_first(number);
    }

    /// Resumes a frozen process; it reads what arrived meanwhile before its timer fires.
    pub(crate) fn resume_reading_first(&mut self, number: usize) {
        self.entries[number].frozen = false;
        let backlog: Vec<Delivery> = self.entries[number].backlog.drain(..).collect();
        for delivery in backlog {
            self.deliver(delivery);
        }
    }

    fn clock(&self, number: usize) -> Now {
        let entry = &self.entries[number];
        Now {
            mono: self.now - entry.started_at,
            wall: self.wall() + entry.clock_ahead - entry.clock_behind,
        }
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), delivery);
    }

    /// Delivers an event to an entry without latency.
    pub(crate) fn deliver_event(&mut self, number: usize, event: Event) {
        let incarnation = self.entries[number].incarnation;
        self.deliver(Delivery::Event(number, incarnation, event));
    }

    /// Whether an entry has decided to forward a call and has not sent it yet.
    pub(crate) fn is_forwarding(&self, number: usize) -> bool {
        let is_forward = |delivery: &Delivery| matches!(delivery, Delivery::Forward(from, ..) if *from == number);
        self.queue.values().any(is_forward)
    }

    /// Whether records of a claim stream are in flight to an entry.
    pub(crate) fn is_reading(&self, number: usize) -> bool {
        let is_page = |delivery: &Delivery| match delivery {
            Delivery::Event(to, _, Event::StreamPage(stream, page)) if *to == number => {
                stream != record::STREAM && !page.records.is_empty()
            }
            _ => false,
        };
        self.queue.values().any(is_page)
    }

    /// Advances the clock and postpones all scheduled deliveries by the same time.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.now += time;
        self.last_tick += time;
        let queue = std::mem::take(&mut self.queue);
        let postpone = |((at, sequence), delivery)| ((at + time, sequence), delivery);
        self.queue = queue.into_iter().map(postpone).collect();
    }

    /// Advances the clock, making all deliveries and ticks that are due.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let tick = self.last_tick + TICK;
            let due = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = due.unwrap_or(end).min(tick).min(end);
            self.now = self.now.max(next);
            let wall = self.wall();
            self.log.advance(wall);
            if self.now >= tick {
                self.last_tick = tick;
                for number in 0..self.entries.len() {
                    self.deliver_event(number, Event::Tick);
                }
            }
            while let Some(((at, _), _)) = self.queue.first_key_value() {
                if *at > self.now {
                    break;
                }
                if let Some((_, delivery)) = self.queue.pop_first() {
                    self.deliver(delivery);
                }
            }
            if self.now >= end {
                break;
            }
        }
        self.oracle.check_runs(&self.runs());
    }

    /// Number of runs of each request at all services together.
    pub(crate) fn runs(&self) -> HashMap<u64, u32> {
        let mut runs = HashMap::new();
        for service in self.services.values() {
            for (id, count) in &service.runs {
                *runs.entry(*id).or_default() += count;
            }
        }
        runs
    }

    fn deliver(&mut self, delivery: Delivery) {
        let (number, incarnation) = match &delivery {
            Delivery::Event(number, incarnation, _)
            | Delivery::Order(number, incarnation, ..)
            | Delivery::Forward(number, incarnation, _)
            | Delivery::Append(number, incarnation, _)
            | Delivery::Tail(number, incarnation, _)
            | Delivery::List(number, incarnation) => (*number, *incarnation),
        };
        let entry = &mut self.entries[number];
        if !entry.alive || entry.incarnation != incarnation {
            return;
        }
        if entry.frozen {
            if !matches!(delivery, Delivery::Event(_, _, Event::Tick)) {
                entry.backlog.push_back(delivery);
            }
            return;
        }
        match delivery {
            Delivery::Event(_, _, event) => self.handle_event(number, event),
            Delivery::Order(_, _, target, incarnation, order) => {
                self.order(number, &target, incarnation, order);
            }
            Delivery::Forward(_, _, forward) => self.forward(number, forward),
            Delivery::Append(_, _, append) => self.append(number, append),
            Delivery::Tail(_, _, stream) => self.read_stream(number, stream),
            Delivery::List(..) => self.read_list(number),
        }
    }

    fn handle_event(&mut self, number: usize, event: Event) {
        let clock = self.clock(number);
        let is_tick = event == Event::Tick;
        let actions = self.entries[number].core.handle(clock, event);
        self.execute(number, actions);
        if is_tick {
            self.entries[number].last_tick = self.now;
        }
        let entry = &mut self.entries[number];
        let version = entry.core.version().unwrap_or(0);
        assert!(
            version >= entry.version,
            "the configuration version decreased"
        );
        entry.version = version;
    }

    fn execute(&mut self, number: usize, actions: Vec<Action>) {
        let incarnation = self.entries[number].incarnation;
        for action in actions {
            match action {
                Action::Link(target, _) => self.connect(number, &target),
                Action::Unlink(_) | Action::CancelExchange(..) | Action::Note(_) => {}
                Action::SendCommand(target, order) => self.send_order(number, target, order),
                Action::Forward(forward) => {
                    self.check_leaving(number, &forward.target);
                    let wait = LATENCY * self.rng.random_range(1..4);
                    self.schedule(wait, Delivery::Forward(number, incarnation, forward));
                }
                Action::Token(id, token) => self.oracle.check_token(id, token),
                Action::Reply(id, end) => self.oracle.check_end(id, end),
                Action::Append(append) => {
                    let wait = LATENCY * self.rng.random_range(1..4);
                    self.schedule(wait, Delivery::Append(number, incarnation, append));
                }
                Action::Tail(stream, from) => {
                    let entry = &mut self.entries[number];
                    entry.tails.insert(stream.clone(), from);
                    entry.last_page.remove(&stream);
                    self.schedule(LATENCY, Delivery::Tail(number, incarnation, stream));
                }
                Action::Untail(stream) => {
                    self.entries[number].tails.remove(&stream);
                }
                Action::SendToPeer(to, _, body) => self.send_to_peer(number, &to, body),
                Action::Ready(ready) => self.entries[number].ready = ready,
                Action::Exit => self.exit(number),
            }
        }
    }

    fn exit(&mut self, number: usize) {
        // A process serves the requests in its backlog before it exits.
        let is_request =
            |delivery: &Delivery| matches!(delivery, Delivery::Event(_, _, Event::Arrive(_)));
        if self.entries[number].backlog.iter().any(is_request) {
            let overdue = self.now > self.entries[number].last_tick + 2 * TICK;
            assert!(
                !overdue,
                "the entry stopped at the first tick after a freeze"
            );
            return;
        }
        let is_waiting = |call: &oracle::Call| {
            call.entry == number && call.end.is_none() && !call.connection_lost
        };
        let unanswered = self.oracle.calls.values().any(is_waiting);
        assert!(!unanswered, "a planned stop cut off a request");
        let entry = &mut self.entries[number];
        assert!(
            !entry.ready,
            "the entry stopped while the load balancer saw it ready"
        );
        entry.exited = true;
        entry.alive = false;
    }

    /// Schedules an event for an entry after the network latency.
    fn reply(&mut self, number: usize, event: Event) {
        let incarnation = self.entries[number].incarnation;
        self.schedule(LATENCY, Delivery::Event(number, incarnation, event));
    }
}
