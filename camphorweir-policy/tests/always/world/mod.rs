//! Several cores and small fakes at their interfaces, on one clock that tests advance.

pub(crate) mod engine;
pub(crate) mod log;
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
        call::{self, Ask, Call},
        clock::Now,
        core::{Core, Setup},
        event::{Event, Exchange, TICK},
    },
    camphorweir_wire::{
        claim::{self, Key},
        codec,
        engine::{Layers, Order, Reply},
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
    Order(usize, u64, String, u64, Order),
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

    fn document(&mut self) -> Document {
        let mut document = Document::default();
        let kind = Kind {
            prefill_rate: 1e6,
            decode_layer_us: 10.0,
            batch: 16,
        };
        document.kinds.insert("k".to_owned(), kind);
        let model = Model {
            layers: LAYERS,
            activation: 8192,
            end_token: None,
        };
        document.models.insert("m".to_owned(), model);
        let pipeline = Pipeline {
            model: "m".to_owned(),
            max_prompt: 4096,
            max_tokens: 256,
        };
        document.pipelines.insert("notes".to_owned(), pipeline);
        for service in ["ledger", "lookup"] {
            document
                .services
                .insert(service.to_owned(), Plain { fencing: false });
        }
        for (number, zone) in ZONES.into_iter().enumerate() {
            let region = "r".to_owned();
            document.zones.insert(zone.to_owned(), Zone { region });
            for stage in 0..3 {
                let range = Layers {
                    first: stage * 4,
                    end: stage * 4 + 4,
                };
                let id = format!("{zone}{stage}");
                let serves = Serves::Layers(camphorweir_config::model::Engine {
                    model: "m".to_owned(),
                    first: range.first,
                    end: range.end,
                    kind: "k".to_owned(),
                    fencing: false,
                });
                self.engines.insert(id.clone(), Engine::new(range, LAYERS));
                self.place(
                    &mut document,
                    id,
                    zone,
                    serves,
                    number * 10 + stage as usize,
                );
            }
            for (offset, service) in ["ledger", "lookup"].into_iter().enumerate() {
                let id = format!("{service}-{zone}");
                let up = Service {
                    up: true,
                    ..Service::default()
                };
                self.services.insert(id.clone(), up);
                let serves = Serves::Service(service.to_owned());
                self.place(&mut document, id, zone, serves, number * 10 + 5 + offset);
            }
        }
        document.workspaces.insert("w".to_owned(), workspace());
        document
    }

    fn place(
        &mut self,
        document: &mut Document,
        id: String,
        zone: &'static str,
        serves: Serves,
        number: usize,
    ) {
        let target = Target {
            address: format!("10.0.0.{}:80", number + 1),
            zone: zone.to_owned(),
            serves,
            drain: false,
        };
        self.zones.insert(id.clone(), zone);
        document.targets.insert(id, target);
    }

    /// Appends a publication that makes `document` of the version `base`.
    pub(crate) fn publish(&mut self, base: u64, document: &Document) -> u64 {
        let edits = camphorweir_config::edit::edits(&Document::default(), document);
        self.publish_edits(base, edits)
    }

    /// Appends a publication of these edits.
    pub(crate) fn publish_edits(&mut self, base: u64, edits: Vec<record::Edit>) -> u64 {
        let nonce = self.rng.random();
        let record = record::Record {
            format: record::FORMAT,
            body: record::Body::Publication(Publication {
                nonce,
                author: "test".to_owned(),
                base,
                edits,
            }),
        };
        let wall = self.wall();
        self.log
            .append(wall, record::STREAM, &[codec::encode(&record)]);
        nonce
    }

    /// Two operators settle a key by what the services ran; the second says the contrary.
    pub(crate) fn resolve(&mut self, id: u128) {
        let runs = self.runs();
        let ran = runs
            .keys()
            .any(|call| matches!(self.oracle.calls[call].sent, Sent::Seal(key) if key == id));
        if !ran && !self.log.down {
            self.oracle.not_run.push(id);
        }
        let key = Key {
            workspace: "w".to_owned(),
            id,
        };
        let record = |ran| claim::Record {
            format: claim::FORMAT,
            key: key.clone(),
            nonce: 0,
            body: claim::Body::Resolve(claim::Resolve {
                ran,
                operator: "test".to_owned(),
            }),
        };
        let records = [codec::encode(&record(ran)), codec::encode(&record(!ran))];
        let wall = self.wall();
        let stream = claim::stream(key.partition());
        self.log.append(wall, &stream, &records);
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

    fn reach(&self, one: &str, two: &str) -> bool {
        one == two || (!self.cut.contains(one) && !self.cut.contains(two))
    }

    fn reach_platform(&self, number: usize) -> bool {
        !self.cut.contains(self.entries[number].zone)
    }

    fn reach_target(&self, number: usize, target: &str) -> bool {
        self.zones
            .get(target)
            .is_some_and(|zone| self.reach(self.entries[number].zone, zone))
    }

    fn send(&mut self, after: Duration, parcel: Parcel) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), parcel);
    }

    /// A caller sends a request through an entry.
    pub(crate) fn call(&mut self, number: usize, ask: Ask, sent: Sent) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.oracle.send(id, number, sent);
        let call = Call {
            id,
            key: key_hash(),
            ask,
        };
        self.tell(number, Event::Arrive(call));
        id
    }

    /// A caller asks for tokens.
    pub(crate) fn prompt(&mut self, number: usize, prompt: Vec<u32>, count: u32) -> u64 {
        let right = engine::expected(LAYERS, &prompt, count);
        let ask = Ask::Tokens(call::Tokens {
            pipeline: "notes".to_owned(),
            prompt,
            max_tokens: count,
        });
        self.call(number, ask, Sent::Tokens(right))
    }

    /// A caller makes an idempotent call.
    pub(crate) fn lookup(&mut self, number: usize) -> u64 {
        let ask = Ask::Plain(call::Plain {
            route: "status".to_owned(),
            idempotency: None,
            fingerprint: self.next_call,
        });
        self.call(number, ask, Sent::Lookup)
    }

    /// A caller makes a never-repeat call under a key issued now.
    pub(crate) fn seal(&mut self, number: usize, key: u128, fingerprint: u64) -> u64 {
        let ask = Ask::Plain(call::Plain {
            route: "seal".to_owned(),
            idempotency: Some(uuid::Uuid::from_u128(key).to_string()),
            fingerprint,
        });
        self.call(number, ask, Sent::Seal(key))
    }

    /// A key that is issued now.
    pub(crate) fn new_key(&mut self) -> u128 {
        let ms = self.wall().as_millis() << 80;
        let random: u128 = self.rng.random();
        let low = random & ((1 << 80) - 1);
        let version = low & !(0xf << 76) | 0x7 << 76;
        ms | (version & !(0x3 << 62) | 0x2 << 62)
    }

    /// Tells a core something now.
    pub(crate) fn tell(&mut self, number: usize, event: Event) {
        let life = self.entries[number].life;
        self.deliver(Parcel::Event(number, life, event));
    }

    /// An engine starts again with an empty cache under the same address.
    pub(crate) fn restart_engine(&mut self, target: &str) {
        self.kill_engine(target);
        self.run(2 * MS);
        self.engines.get_mut(target).expect("known").restart();
        self.leaving_since.remove(target);
        self.listed_leaving.remove(target);
        for entry in &mut self.entries {
            entry.listed.remove(target);
        }
        self.relink(target);
    }

    /// Whether an entry has decided to send a call and has not written it.
    pub(crate) fn is_forwarding(&self, number: usize) -> bool {
        let own = |parcel: &Parcel| matches!(parcel, Parcel::Forward(from, ..) if *from == number);
        self.queue.values().any(own)
    }

    /// Whether records of a claim stream are on their way to an entry.
    pub(crate) fn is_reading(&self, number: usize) -> bool {
        let page = |parcel: &Parcel| match parcel {
            Parcel::Event(to, _, Event::Page(stream, page)) if *to == number => {
                stream != record::STREAM && !page.records.is_empty()
            }
            _ => false,
        };
        self.queue.values().any(page)
    }

    /// Links every entry anew that can reach the engine.
    pub(crate) fn relink(&mut self, target: &str) {
        for number in 0..self.entries.len() {
            self.link(number, target);
        }
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
                Action::Unlink(_) | Action::Abandon(..) | Action::Note(_) => {}
                Action::Order(target, order) => self.send_order(number, target, order),
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
                Action::Peer(to, _, body) => self.peer(number, &to, body),
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

    fn link(&mut self, number: usize, target: &str) {
        let reach = self.reach_target(number, target);
        let engine = &self.engines[target];
        if engine.up && reach {
            let leaving = engine.leaving;
            let event = Event::Linked(target.to_owned(), engine.hello());
            self.reply(number, event);
            if leaving {
                self.reply(number, Event::Engine(target.to_owned(), Reply::Leaving));
            }
        }
    }

    /// An engine's process dies.
    pub(crate) fn kill_engine(&mut self, target: &str) {
        if let Some(engine) = self.engines.get_mut(target) {
            engine.up = false;
        }
        for number in 0..self.entries.len() {
            self.reply(number, Event::Unlinked(target.to_owned()));
        }
    }

    /// Cuts a zone off: connections between it and the rest are lost.
    pub(crate) fn cut_zone(&mut self, zone: &'static str) {
        self.cut.insert(zone);
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        for number in 0..self.entries.len() {
            for target in &targets {
                if !self.reach_target(number, target) {
                    self.engines.get_mut(target).expect("known").forget(number);
                    self.reply(number, Event::Unlinked(target.clone()));
                }
            }
        }
    }

    /// Ends a cut.
    pub(crate) fn mend_zone(&mut self, zone: &'static str) {
        let targets: Vec<String> = self.engines.keys().cloned().collect();
        let before: Vec<bool> = self.reaches(&targets);
        self.cut.remove(zone);
        let after = self.reaches(&targets);
        let mut all = before.iter().zip(&after);
        for number in 0..self.entries.len() {
            for target in &targets {
                if let Some((false, true)) = all.next() {
                    self.link(number, target);
                }
            }
        }
    }

    fn reaches(&self, targets: &[String]) -> Vec<bool> {
        let numbers = 0..self.entries.len();
        let pairs = numbers.flat_map(|number| targets.iter().map(move |target| (number, target)));
        pairs
            .map(|(number, target)| self.reach_target(number, target))
            .collect()
    }

    fn send_order(&mut self, number: usize, target: String, order: Order) {
        if matches!(order, Order::Open(_)) {
            self.check_leaving(number, &target);
        }
        let life = self.entries[number].life;
        let incarnation = self.engines[&target].incarnation;
        self.send(
            LATENCY,
            Parcel::Order(number, life, target, incarnation, order),
        );
    }

    fn order(&mut self, number: usize, target: &str, incarnation: u64, order: Order) {
        if !self.reach_target(number, target) {
            return;
        }
        let engine = self.engines.get_mut(target).expect("known");
        if !engine.up || engine.frozen || engine.incarnation != incarnation {
            return;
        }
        let forged = match &order {
            Order::Step(step) if self.noise => engine::forge(step, LAYERS),
            _ => Vec::new(),
        };
        let replies = engine.order(number, order);
        if !engine.up {
            self.crashes += 1;
            return self.kill_engine(target);
        }
        for reply in forged.into_iter().chain(replies) {
            if !matches!(reply, Reply::Holds(_)) {
                self.reply(number, Event::Engine(target.to_owned(), reply));
                continue;
            }
            // A change of what it holds is told on every connection.
            for other in 0..self.entries.len() {
                if self.reach_target(other, target) {
                    self.reply(other, Event::Engine(target.to_owned(), reply.clone()));
                }
            }
        }
    }

    fn forward(&mut self, number: usize, forward: Forward) {
        let late = self.clock(number).mono >= forward.send_by;
        let reach = self.reach_target(number, &forward.target);
        if !late && reach {
            self.check_leaving(number, &forward.target);
        }
        let service = self.services.get_mut(&forward.target).expect("known");
        let end = if late || !reach {
            Exchange::Unsent
        } else if service.frozen {
            let wait = forward.until.saturating_sub(self.clock(number).mono);
            let life = self.entries[number].life;
            let event = Event::Plain(forward.call, forward.attempt, Exchange::Broken);
            return self.send(wait, Parcel::Event(number, life, event));
        } else {
            service.call(forward.call)
        };
        self.reply(number, Event::Plain(forward.call, forward.attempt, end));
    }

    fn append(&mut self, number: usize, append: Append) {
        let wall = self.wall();
        let landed = match self.reach_platform(number) {
            true => self.log.append(wall, &append.stream, &append.records),
            false => None,
        };
        let event = match landed {
            Some(offset) => Event::Appended(append.id, offset),
            None => Event::AppendFailed(append.id),
        };
        self.reply(number, event);
    }

    fn tail(&mut self, number: usize, stream: String) {
        let Some(from) = self.entries[number].tails.get(&stream).copied() else {
            return;
        };
        let page = match self.reach_platform(number) {
            true => self.log.read(&stream, from),
            false => None,
        };
        let life = self.entries[number].life;
        let idle = page.as_ref().is_none_or(|page| page.records.is_empty());
        let wait = if idle { POLL_IDLE } else { POLL };
        self.send(wait, Parcel::Tail(number, life, stream.clone()));
        let entry = &mut self.entries[number];
        let idle = entry
            .told
            .get(&stream)
            .is_some_and(|at| self.now < *at + IDLE);
        match page {
            Some(page) if page.records.is_empty() && idle => {}
            Some(page) => {
                entry.tails.insert(stream.clone(), page.end.max(from));
                entry.told.insert(stream.clone(), self.now);
                self.reply(number, Event::Page(stream, page));
            }
            None => self.reply(number, Event::TailFailed(stream)),
        }
    }

    fn list(&mut self, number: usize) {
        let life = self.entries[number].life;
        self.send(LIST, Parcel::List(number, life));
        if self.list_down || !self.reach_platform(number) {
            return self.event(number, Event::ListFailed);
        }
        let state = |leaving| if leaving { State::Leaving } else { State::Live };
        let mut all = Vec::new();
        for (number, entry) in self.entries.iter().enumerate() {
            if !entry.exited {
                all.push(Instance {
                    name: format!("e{number}"),
                    role: Role::Entry,
                    address: format!("10.1.0.{number}:70"),
                    zone: entry.zone.to_owned(),
                    state: State::Live,
                });
            }
        }
        for (id, zone) in &self.zones {
            all.push(Instance {
                name: id.clone(),
                role: Role::Target,
                address: "10.0.0.1:80".to_owned(),
                zone: (*zone).to_owned(),
                state: state(self.listed_leaving.contains(id)),
            });
        }
        let (now, leaving) = (self.now, &self.listed_leaving);
        let known = &mut self.entries[number].listed;
        known.retain(|id, _| leaving.contains(id));
        for id in leaving {
            known.entry(id.clone()).or_insert(now);
        }
        self.event(number, Event::Listed(all));
    }

    fn peer(&mut self, number: usize, to: &str, body: peer::Body) {
        self.letters += 1;
        assert!(self.letters < LETTERS, "messages without end");
        let other: usize = to[1..].parse().expect("an entry's name");
        if !self.reach(self.entries[number].zone, self.entries[other].zone) {
            return;
        }
        let message = peer::Message {
            from: format!("e{number}"),
            incarnation: self.entries[number].life,
            body,
        };
        self.reply(other, Event::Peer(message));
    }

    /// No new work after three seconds in which the entry could know.
    fn check_leaving(&self, number: usize, target: &str) {
        let listed = self.entries[number].listed.get(target);
        let late = listed.is_some_and(|since| self.now > *since + Duration::from_secs(3));
        assert!(!late, "e{number} gave {target} new work after the list");
        if let Some(since) = self.leaving_since.get(target) {
            let late = self.now > *since + Duration::from_secs(3);
            assert!(
                !late,
                "e{number} gave {target} new work while it was leaving"
            );
        }
    }
}

/// The hash of the key that every caller presents.
fn key_hash() -> String {
    "ab".repeat(32)
}

fn workspace() -> Workspace {
    let route = |to, repeat| Route {
        to,
        priority: Priority::Normal,
        repeat,
        deadline_ms: 10_000,
    };
    let service = |name: &str| To::Service(name.to_owned());
    let routes = BTreeMap::from([
        (
            "notes".to_owned(),
            route(To::Pipeline("notes".to_owned()), Repeat::Idempotent),
        ),
        ("seal".to_owned(), route(service("ledger"), Repeat::Never)),
        (
            "status".to_owned(),
            route(service("lookup"), Repeat::Idempotent),
        ),
    ]);
    Workspace {
        keys: vec![key_hash()],
        limits: Limits::default(),
        routes,
    }
}
