//! Several cores and small fakes at their interfaces, on one clock that tests advance.

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

/// The wall clock at the start of every test.
const EPOCH: Duration = Duration::from_secs(1_800_000_000);
/// Layers of the model.
pub(crate) const LAYERS: u32 = 12;
/// The zones.
pub(crate) const ZONES: [&str; 3] = ["a", "b", "c"];
const LATENCY: Duration = Duration::from_millis(1);
const POLL: Duration = Duration::from_millis(5);
/// Wait before the next look at a stream that had nothing new.
const POLL_IDLE: Duration = Duration::from_millis(15);
/// Longest wait of a tail without records.
const IDLE: Duration = Duration::from_millis(500);
const LIST: Duration = Duration::from_secs(1);
/// Messages between entries that no test comes near.
const LETTERS: u32 = 500_000;
const MS: Duration = Duration::from_millis(1);

/// Something under way.
enum Parcel {
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
    pub(crate) life: u64,
    pub(crate) alive: bool,
    pub(crate) frozen: bool,
    pub(crate) exited: bool,
    pub(crate) ready: bool,
    born: Duration,
    /// When it last had a tick.
    ticked: Duration,
    /// What its wall clock is ahead.
    pub(crate) skew: Duration,
    /// What its wall clock is behind.
    pub(crate) behind: Duration,
    /// Targets that the last list it read shows as leaving, and since when.
    listed: BTreeMap<String, Duration>,
    tails: HashMap<String, u64>,
    /// When each tailed stream last gave a page.
    told: HashMap<String, Duration>,
    /// What came while it was frozen.
    backlog: VecDeque<Parcel>,
    pub(crate) version: u64,
}

impl Entry {
    /// Whether it follows a stream.
    pub(crate) fn reads(&self, stream: &str) -> bool {
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

/// Everything.
pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) services: BTreeMap<String, Service>,
    pub(crate) log: Log,
    pub(crate) oracle: Oracle,
    /// Zones cut off from the others and from the platform.
    pub(crate) cut: BTreeSet<&'static str>,
    pub(crate) list_down: bool,
    /// Messages between entries so far.
    pub(crate) letters: u32,
    /// Crashes that requests caused.
    pub(crate) crashes: u32,
    /// Every answer to a step comes with forged ones around it.
    pub(crate) noise: bool,
    /// Targets that the platform's list shows as leaving.
    pub(crate) listed_leaving: BTreeSet<String>,
    /// Since when every reachable entry should know that a target is leaving.
    pub(crate) leaving_since: HashMap<String, Duration>,
    zones: HashMap<String, &'static str>,
    queue: BTreeMap<(Duration, u64), Parcel>,
    sequence: u64,
    ticked: Duration,
    pub(crate) rng: SmallRng,
    next_call: u64,
}

impl World {
    /// Three zones with an entry, a chain of three engines, a ledger and a lookup server each.
    pub(crate) fn new(seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            entries: Vec::new(),
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            log: Log::default(),
            oracle: Oracle::default(),
            cut: BTreeSet::new(),
            list_down: false,
            noise: false,
            letters: 0,
            crashes: 0,
            listed_leaving: BTreeSet::new(),
            leaving_since: HashMap::new(),
            zones: HashMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            ticked: Duration::ZERO,
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

    /// Starts an entry in a zone; gives its number.
    pub(crate) fn spawn(&mut self, zone: &'static str) -> usize {
        let number = self.entries.len();
        let core = self.core(number, zone, 1);
        self.entries.push(Entry {
            core,
            zone,
            life: 1,
            alive: false,
            frozen: false,
            exited: false,
            ready: false,
            born: self.now,
            ticked: self.now,
            skew: Duration::ZERO,
            behind: Duration::ZERO,
            listed: BTreeMap::new(),
            tails: HashMap::new(),
            told: HashMap::new(),
            backlog: VecDeque::new(),
            version: 0,
        });
        self.boot(number);
        number
    }

    fn core(&mut self, number: usize, zone: &str, life: u64) -> Core {
        Core::new(Setup {
            entry: format!("e{number}"),
            incarnation: life,
            zone: zone.to_owned(),
            seed: self.rng.random(),
            grace: 200 * MS,
        })
    }

    /// Starts the process of an entry again.
    pub(crate) fn restart(&mut self, number: usize) {
        self.kill(number);
        let life = self.entries[number].life + 1;
        let zone = self.entries[number].zone;
        let core = self.core(number, zone, life);
        let entry = &mut self.entries[number];
        entry.core = core;
        entry.life = life;
        self.boot(number);
    }

    fn boot(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        entry.born = now;
        entry.alive = true;
        entry.exited = false;
        entry.ready = false;
        entry.frozen = false;
        entry.version = 0;
        entry.listed.clear();
        entry.tails.clear();
        entry.backlog.clear();
        let clock = self.clock(number);
        let actions = self.entries[number].core.start(clock);
        self.carry_out(number, actions);
        let life = self.entries[number].life;
        self.send(LATENCY, Parcel::List(number, life));
    }

    /// Ends the process of an entry at once.
    pub(crate) fn kill(&mut self, number: usize) {
        self.entries[number].alive = false;
        self.entries[number].backlog.clear();
        for engine in self.engines.values_mut() {
            engine.forget(number);
        }
        for call in self.oracle.calls.values_mut() {
            if call.entry == number && call.end.is_none() {
                call.orphan = true;
            }
        }
    }

    /// Lets a frozen process go on; its timer may fire before it reads what came meanwhile.
    pub(crate) fn thaw(&mut self, number: usize) {
        self.entries[number].frozen = false;
        self.tell(number, Event::Tick);
        self.thaw_reading(number);
    }

    /// Lets a frozen process go on; it reads what came meanwhile before its timer fires.
    pub(crate) fn thaw_reading(&mut self, number: usize) {
        self.entries[number].frozen = false;
        let backlog: Vec<Parcel> = self.entries[number].backlog.drain(..).collect();
        for parcel in backlog {
            self.deliver(parcel);
        }
    }

    fn clock(&self, number: usize) -> Now {
        let entry = &self.entries[number];
        Now {
            mono: self.now - entry.born,
            wall: self.wall() + entry.skew - entry.behind,
        }
    }

    fn send(&mut self, after: Duration, parcel: Parcel) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), parcel);
    }

    /// Tells a core something now.
    pub(crate) fn tell(&mut self, number: usize, event: Event) {
        let life = self.entries[number].life;
        self.deliver(Parcel::Event(number, life, event));
    }

    /// Whether an entry has decided to send a call and has not written it.
    pub(crate) fn is_forwarding(&self, number: usize) -> bool {
        let own = |parcel: &Parcel| matches!(parcel, Parcel::Forward(from, ..) if *from == number);
        self.queue.values().any(own)
    }

    /// Whether records of a claim stream are on their way to an entry.
    pub(crate) fn is_reading(&self, number: usize) -> bool {
        let page = |parcel: &Parcel| match parcel {
            Parcel::Event(to, _, Event::StreamPage(stream, page)) if *to == number => {
                stream != record::STREAM && !page.records.is_empty()
            }
            _ => false,
        };
        self.queue.values().any(page)
    }

    /// Lets a long time pass in which nothing happens.
    pub(crate) fn skip(&mut self, time: Duration) {
        self.now += time;
        self.ticked += time;
        let queue = std::mem::take(&mut self.queue);
        let later = |((at, sequence), parcel)| ((at + time, sequence), parcel);
        self.queue = queue.into_iter().map(later).collect();
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let tick = self.ticked + TICK;
            let parcel = self.queue.first_key_value().map(|((at, _), _)| *at);
            let next = parcel.unwrap_or(end).min(tick).min(end);
            self.now = self.now.max(next);
            let wall = self.wall();
            self.log.advance(wall);
            if self.now >= tick {
                self.ticked = tick;
                for number in 0..self.entries.len() {
                    self.tell(number, Event::Tick);
                }
            }
            while let Some(((at, _), _)) = self.queue.first_key_value() {
                if *at > self.now {
                    break;
                }
                if let Some((_, parcel)) = self.queue.pop_first() {
                    self.deliver(parcel);
                }
            }
            if self.now >= end {
                break;
            }
        }
        self.oracle.check_runs(&self.runs());
    }

    /// Runs of all services by request.
    pub(crate) fn runs(&self) -> HashMap<u64, u32> {
        let mut runs = HashMap::new();
        for service in self.services.values() {
            for (id, count) in &service.runs {
                *runs.entry(*id).or_default() += count;
            }
        }
        runs
    }

    fn deliver(&mut self, parcel: Parcel) {
        let (number, life) = match &parcel {
            Parcel::Event(number, life, _)
            | Parcel::Order(number, life, ..)
            | Parcel::Forward(number, life, _)
            | Parcel::Append(number, life, _)
            | Parcel::Tail(number, life, _)
            | Parcel::List(number, life) => (*number, *life),
        };
        let entry = &mut self.entries[number];
        if !entry.alive || entry.life != life {
            return;
        }
        if entry.frozen {
            if !matches!(parcel, Parcel::Event(_, _, Event::Tick)) {
                entry.backlog.push_back(parcel);
            }
            return;
        }
        match parcel {
            Parcel::Event(_, _, event) => self.event(number, event),
            Parcel::Order(_, _, target, incarnation, order) => {
                self.order(number, &target, incarnation, order);
            }
            Parcel::Forward(_, _, forward) => self.forward(number, forward),
            Parcel::Append(_, _, append) => self.append(number, append),
            Parcel::Tail(_, _, stream) => self.tail(number, stream),
            Parcel::List(..) => self.list(number),
        }
    }

    fn event(&mut self, number: usize, event: Event) {
        let clock = self.clock(number);
        let is_tick = event == Event::Tick;
        let actions = self.entries[number].core.handle(clock, event);
        self.carry_out(number, actions);
        if is_tick {
            self.entries[number].ticked = self.now;
        }
        let entry = &mut self.entries[number];
        let version = entry.core.version().unwrap_or(0);
        assert!(version >= entry.version, "a version went back");
        entry.version = version;
    }

    fn carry_out(&mut self, number: usize, actions: Vec<Action>) {
        let life = self.entries[number].life;
        for action in actions {
            match action {
                Action::Link(target, _) => self.link(number, &target),
                Action::Unlink(_) | Action::CancelExchange(..) | Action::Note(_) => {}
                Action::SendCommand(target, order) => self.send_order(number, target, order),
                Action::Forward(forward) => {
                    self.check_leaving(number, &forward.target);
                    let wait = LATENCY * self.rng.random_range(1..4);
                    self.send(wait, Parcel::Forward(number, life, forward));
                }
                Action::Token(id, token) => self.oracle.token(id, token),
                Action::Reply(id, end) => self.oracle.end(id, end),
                Action::Append(append) => {
                    let wait = LATENCY * self.rng.random_range(1..4);
                    self.send(wait, Parcel::Append(number, life, append));
                }
                Action::Tail(stream, from) => {
                    let entry = &mut self.entries[number];
                    entry.tails.insert(stream.clone(), from);
                    entry.told.remove(&stream);
                    self.send(LATENCY, Parcel::Tail(number, life, stream));
                }
                Action::Untail(stream) => {
                    self.entries[number].tails.remove(&stream);
                }
                Action::SendToPeer(to, _, body) => self.peer(number, &to, body),
                Action::Ready(ready) => self.entries[number].ready = ready,
                Action::Exit => self.exit(number),
            }
        }
    }

    fn exit(&mut self, number: usize) {
        // The process serves what waits in its own queue before it ends.
        let arrives = |parcel: &Parcel| matches!(parcel, Parcel::Event(_, _, Event::Arrive(_)));
        if self.entries[number].backlog.iter().any(arrives) {
            let late = self.now > self.entries[number].ticked + 2 * TICK;
            assert!(!late, "it stopped at the first tick after a freeze");
            return;
        }
        let waits =
            |call: &oracle::Call| call.entry == number && call.end.is_none() && !call.orphan;
        let cut = self.oracle.calls.values().any(waits);
        assert!(!cut, "a planned stop cut a request");
        let entry = &mut self.entries[number];
        assert!(!entry.ready, "it stopped while the balancer saw it ready");
        entry.exited = true;
        entry.alive = false;
    }

    fn reply(&mut self, number: usize, event: Event) {
        let life = self.entries[number].life;
        self.send(LATENCY, Parcel::Event(number, life, event));
    }
}
