//! A simulation of cores, fake engines and servers, and the links between them, on a virtual clock.

use {
    crate::{
        engine::Engine,
        fleet::{self, Fleet, LAYERS, SERVER_RATE, ZONE_LINK_RATE},
    },
    camphorweir_config::{
        edit,
        fold::{self, Fold},
        model::{Document, Serves},
        record::{self, Publication},
    },
    camphorweir_policy::{
        action::{Action, Forward, Note},
        call::{Call, End, Kind, Plain, Tokens},
        clock::Now,
        core::{Core, Setup},
        event::{Answered, Event, Exchange, TICK},
        route::Rule,
    },
    camphorweir_wire::{
        codec,
        engine::{Command, Hello, LayersHeld, Reply, Step},
        list::{Instance, Role, State},
        log::{Page, Stored},
        outcome::{Answer, Refusal},
        peer::Message,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    serde_bytes::ByteBuf,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

const MS: Duration = Duration::from_millis(1);
/// Time between two reports of an engine, and the delay of a report.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Calls that a server serves concurrently.
const SERVER_SLOTS: usize = 4;

/// A fault: an engine killed or frozen, or a zone lost.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Fault {
    Killed(String),
    Frozen(String),
    Zone(String),
}

/// A scheduled delivery.
enum Delivery {
    Event(usize, Event),
    Order(usize, String, Command),
    Batch(String),
    Call(usize, Forward),
    Report,
    Tick,
}

/// A caller's request and its outcome.
pub(crate) struct Sent {
    pub(crate) urgent: bool,
    pub(crate) lookup: bool,
    pub(crate) at: Duration,
    pub(crate) end: Option<(Duration, Result<u32, Refusal>)>,
}

/// The simulation.
pub(crate) struct World {
    pub(crate) now: Duration,
    pub(crate) engines: BTreeMap<String, Engine>,
    pub(crate) sent: Vec<Sent>,
    /// When tokens reached callers.
    pub(crate) tokens: Vec<Duration>,
    /// Number of attempts opened, and how many of them were retries.
    pub(crate) opens: u64,
    pub(crate) retries: u64,
    fleet: Fleet,
    cores: Vec<Core>,
    lost_zones: HashSet<String>,
    links: HashMap<(usize, String, bool), Duration>,
    servers: BTreeMap<String, Vec<Duration>>,
    opened_requests: HashSet<u64>,
    queue: BTreeMap<(Duration, u64), Delivery>,
    sequence: u64,
    rng: SmallRng,
}

impl World {
    pub(crate) fn new(fleet: &Fleet, rule: Rule, cache_blocks: usize, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            engines: BTreeMap::new(),
            sent: Vec::new(),
            tokens: Vec::new(),
            opens: 0,
            retries: 0,
            fleet: fleet.clone(),
            cores: Vec::new(),
            lost_zones: HashSet::new(),
            links: HashMap::new(),
            servers: BTreeMap::new(),
            opened_requests: HashSet::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for (id, target) in &fleet.document.targets {
            match &target.serves {
                Serves::Layers(engine) => {
                    let layers = camphorweir_wire::engine::Layers {
                        first: engine.first,
                        end: engine.end,
                    };
                    let kind = fleet.document.kinds[&engine.kind].clone();
                    let engine = Engine::new(kind, layers, target.zone.clone(), cache_blocks);
                    world.engines.insert(id.clone(), engine);
                }
                Serves::Service(_) => {
                    let slots = vec![Duration::ZERO; SERVER_SLOTS];
                    world.servers.insert(id.clone(), slots);
                }
            }
        }
        for (number, zone) in fleet.entries.iter().enumerate() {
            let mut core = core(number, zone, &fleet.document, seed);
            core.set_route_rule(rule);
            world.cores.push(core);
        }
        world.connect_all();
        world.schedule(TICK, Delivery::Tick);
        world.schedule(REPORT_INTERVAL, Delivery::Report);
        world
    }

    /// Gives each core the instance list and a connection to every engine.
    fn connect_all(&mut self) {
        let names = 0..self.cores.len();
        let list: Vec<Instance> = names
            .map(|number| Instance {
                name: format!("n{number}"),
                role: Role::Entry,
                address: format!("n{number}"),
                zone: self.fleet.entries[number].clone(),
                state: State::Live,
            })
            .collect();
        let hellos: Vec<Event> = self
            .engines
            .iter()
            .map(|(id, engine)| Event::Connected(id.clone(), hello(engine)))
            .collect();
        for number in 0..self.cores.len() {
            self.deliver_event(number, Event::InstancesListed(list.clone()));
            for hello in &hellos {
                self.deliver_event(number, hello.clone());
            }
        }
    }

    fn schedule(&mut self, after: Duration, delivery: Delivery) {
        self.sequence += 1;
        self.queue
            .insert((self.now + after, self.sequence), delivery);
    }

    /// Advances the clock to `until`, making all deliveries that are due.
    pub(crate) fn run(&mut self, until: Duration) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), delivery) = entry.remove_entry();
            self.now = at;
            self.deliver(delivery);
        }
        self.now = until;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(entry, event) => self.deliver_event(entry, event),
            Delivery::Order(entry, id, order) => self.order(entry, id, order),
            Delivery::Batch(id) => self.finish(id),
            Delivery::Call(entry, forward) => self.serve(entry, forward),
            Delivery::Report => self.report(),
            Delivery::Tick => {
                for entry in 0..self.cores.len() {
                    self.deliver_event(entry, Event::Tick);
                }
                self.schedule(TICK, Delivery::Tick);
            }
        }
    }

    fn deliver_event(&mut self, entry: usize, event: Event) {
        if self.lost_zones.contains(&self.fleet.entries[entry]) {
            return;
        }
        let actions = self.cores[entry].handle(clock(self.now), event);
        for action in actions {
            self.execute(entry, action);
        }
    }

    fn execute(&mut self, entry: usize, action: Action) {
        match action {
            Action::SendCommand(id, order) => {
                if let Command::Open(open) = &order
                    && open.layers.first == 0
                {
                    self.opens += 1;
                    self.retries += u64::from(!self.opened_requests.insert(open.request));
                }
                let count = if let Command::Step(step) = &order {
                    input_count(step)
                } else {
                    0
                };
                let wait = self.reserve_link(entry, &id, true, count);
                self.schedule(wait, Delivery::Order(entry, id, order));
            }
            Action::Forward(forward) => self.schedule(MS / 2, Delivery::Call(entry, forward)),
            Action::Token(..) => self.tokens.push(self.now),
            Action::Reply(id, end) => {
                let end = match end {
                    End::Finished(finished) => Ok(finished.tokens),
                    End::Answered(_) => Ok(0),
                    End::Refused(refusal) => Err(refusal),
                };
                self.sent[id as usize].end = Some((self.now, end));
            }
            Action::SendToPeer(to, _, body) => {
                let number: usize = to[1..].parse().expect("a core's name");
                let from = format!("n{entry}");
                let message = Message {
                    sender: from,
                    incarnation: 1,
                    body,
                };
                self.schedule(MS, Delivery::Event(number, Event::PeerMessage(message)));
            }
            Action::Note(Note::Unusual(what, detail)) => eprintln!("{what}: {detail}"),
            _ => {}
        }
    }

    /// Reserves the link between an entry and a target for a message, behind earlier ones, and
    /// returns the time until the message arrives.
    fn reserve_link(&mut self, entry: usize, id: &str, out: bool, count: usize) -> Duration {
        let (from, to) = (&self.fleet.entries[entry], &self.engines[id].zone);
        let link = self.fleet.document.links.iter().find(|link| {
            let [a, b] = &link.between;
            (a == from && b == to) || (b == from && a == to)
        });
        let (delay, rate) = link.map_or((MS / 5, ZONE_LINK_RATE), |link| {
            (Duration::from_micros(link.delay_us), link.rate)
        });
        let free = self.links.entry((entry, to.clone(), out)).or_default();
        let bytes = count as f64 * 8192.0;
        *free = (*free).max(self.now) + Duration::from_secs_f64(bytes / rate);
        *free - self.now + delay
    }

    fn order(&mut self, entry: usize, id: String, order: Command) {
        let Some(engine) = self
            .engines
            .get_mut(&id)
            .filter(|engine| engine.up && !engine.frozen)
        else {
            return;
        };
        if let Some(reply) = engine.order(entry, order) {
            self.reply(entry, &id, reply);
        }
        self.start_batch(id);
    }

    fn start_batch(&mut self, id: String) {
        if let Some(time) = self.engines.get_mut(&id).and_then(Engine::start) {
            self.schedule(time, Delivery::Batch(id));
        }
    }

    fn finish(&mut self, id: String) {
        let engine = self.engines.get_mut(&id).expect("an engine");
        if !engine.up || engine.frozen {
            return;
        }
        for (entry, reply) in engine.finish(LAYERS) {
            self.reply(entry, &id, reply);
        }
        self.start_batch(id);
    }

    fn reply(&mut self, entry: usize, id: &str, reply: Reply) {
        let count = if let Reply::Done(done) = &reply {
            done.output.len()
        } else {
            0
        };
        let wait = self.reserve_link(entry, id, false, count);
        self.schedule(
            wait,
            Delivery::Event(entry, Event::EngineReply(id.to_owned(), reply)),
        );
    }

    /// Serves a plain call in the server's next free slot.
    fn serve(&mut self, entry: usize, forward: Forward) {
        let slots = self.servers.get_mut(&forward.target).expect("a server");
        let slot = slots.iter_mut().min().expect("a slot");
        let time = self.rng.random_range(0.5..1.5) * SERVER_SLOTS as f64 / SERVER_RATE;
        *slot = (*slot).max(self.now) + Duration::from_secs_f64(time);
        let wait = *slot - self.now + MS / 2;
        let answer = Answer {
            status: 200,
            content_type: String::new(),
            body: Vec::new(),
        };
        let answered = Answered {
            answer,
            not_run: false,
            leaving: false,
        };
        let event = Event::ExchangeEnded(
            forward.request,
            forward.attempt,
            Exchange::Answered(answered),
        );
        self.schedule(wait, Delivery::Event(entry, event));
    }

    fn report(&mut self) {
        let mut reports = Vec::new();
        for (id, engine) in self
            .engines
            .iter_mut()
            .filter(|(_, engine)| engine.up && !engine.frozen)
        {
            for reply in engine.report() {
                reports.push((id.clone(), reply));
            }
        }
        for (id, reply) in reports {
            // One cache event in twenty is lost.
            if matches!(reply, Reply::Cached(_)) && self.rng.random_ratio(1, 20) {
                continue;
            }
            for entry in 0..self.cores.len() {
                self.schedule(
                    REPORT_INTERVAL,
                    Delivery::Event(entry, Event::EngineReply(id.clone(), reply.clone())),
                );
            }
        }
        self.schedule(REPORT_INTERVAL, Delivery::Report);
    }

    /// Sends a caller's request through a random entry that is not lost, as a load balancer does.
    pub(crate) fn send_request(&mut self, workspace: usize, kind: Kind, urgent: bool) {
        let id = self.sent.len() as u64;
        let lookup = matches!(kind, Kind::Plain(_));
        self.sent.push(Sent {
            urgent,
            lookup,
            at: self.now,
            end: None,
        });
        let available: Vec<usize> = (0..self.cores.len())
            .filter(|entry| !self.lost_zones.contains(&self.fleet.entries[*entry]))
            .collect();
        let entry = available[self.rng.random_range(0..available.len())];
        self.deliver_event(entry, Event::Arrive(call(id, workspace, kind)));
    }

    /// Removes a core from the simulation, to time that core alone.
    pub(crate) fn take_core(&mut self) -> Core {
        self.cores.swap_remove(0)
    }

    pub(crate) fn fault(&mut self, fault: &Fault) {
        let mut killed = Vec::new();
        for (id, engine) in &mut self.engines {
            match fault {
                Fault::Killed(name) if name == id => killed.push(id.clone()),
                Fault::Frozen(name) if name == id => engine.frozen = true,
                Fault::Zone(zone) if *zone == engine.zone => engine.frozen = true,
                _ => {}
            }
        }
        if let Fault::Zone(zone) = fault {
            self.lost_zones.insert(zone.clone());
        }
        for id in killed {
            self.engines.get_mut(&id).expect("an engine").up = false;
            for entry in 0..self.cores.len() {
                self.schedule(MS, Delivery::Event(entry, Event::Disconnected(id.clone())));
            }
        }
    }
}

fn input_count(step: &Step) -> usize {
    if step.layers.first == 0 {
        0
    } else {
        step.input.len()
    }
}

fn hello(engine: &Engine) -> Hello {
    let holds = LayersHeld {
        model: "m".to_owned(),
        layers: engine.layers,
        fence: 0,
        loading: false,
    };
    Hello {
        incarnation: 1,
        layers_held: holds,
        kind: String::new(),
    }
}

pub(crate) fn clock(now: Duration) -> Now {
    // The start is past every slow start.
    Now {
        mono: now,
        wall: now + Duration::from_secs(1_800_000_000),
    }
}

/// Returns a core that has adopted a configuration.
pub(crate) fn core(number: usize, zone: &str, document: &Document, seed: u64) -> Core {
    let mut core = Core::new(Setup {
        entry: format!("n{number}"),
        incarnation: 1,
        zone: zone.to_owned(),
        seed: seed + number as u64,
        grace: MS,
    });
    let edits = edit::edits(&Document::default(), document);
    let publication = Publication {
        nonce: 1,
        author: "bench".to_owned(),
        base: 0,
        edits,
    };
    let body = record::Body::Publication(publication);
    let bytes = codec::encode(&record::Record {
        format: record::FORMAT,
        body,
    });
    let stored = Stored {
        offset: 0,
        time_ms: 0,
        body: ByteBuf::from(bytes),
    };
    let page = Page {
        oldest: 0,
        end: 1,
        records: vec![stored],
    };
    let step = Fold::new().apply(0, &page.records[0].body);
    assert!(matches!(step, fold::Effect::Accepted(_)), "{step:?}");
    core.start(Now::default());
    core.handle(
        clock(Duration::ZERO),
        Event::StreamPage(record::STREAM.to_owned(), page),
    );
    core
}

pub(crate) fn call(id: u64, workspace: usize, kind: Kind) -> Call {
    let key = fleet::key(workspace);
    Call { id, key, kind }
}

pub(crate) fn tokens(prompt: Vec<u32>, max_tokens: u32) -> Kind {
    Kind::Tokens(Tokens {
        pipeline: "notes".to_owned(),
        prompt,
        max_tokens,
    })
}

pub(crate) fn plain(route: &str, fingerprint: u64) -> Kind {
    Kind::Plain(Plain {
        route: route.to_owned(),
        idempotency_key: None,
        fingerprint,
    })
}
