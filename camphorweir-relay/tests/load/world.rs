//! Zones of many instances and targets under load, on a simulated clock.
//!
//! Instances decide as in production, on what summaries tell them of each other. Targets refuse a
//! request when a hop of its path has no memory for its prompt, and lose their streams when they
//! crash. Refused callers come back once, when they are told to.

use {
    camphorweir_relay::{
        budget::Policy,
        configuration::{self, Configuration, Engine, Kind, Route, Service},
        fleet::Target,
        head::Head,
        ids::{TargetId, Time},
        placement::{Candidate, placement_plan},
        retry::{Decision, Failure},
        router::{Admission, Outcome, Plan, Router},
        settings::Bounds,
        summary::{summary_for_others, summary_for_zone},
    },
    camphorweir_wire::{
        codec,
        digest::{Datagram, Digest, Summary},
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
};

/// Most priorities that a load has.
pub(crate) const MAX_CLASSES: usize = 3;
/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(5);
/// Steps between two digests of an instance, and between two summaries.
const DIGEST_STEPS: u64 = 20;
const SUMMARY_STEPS: u64 = 40;
/// The same for summaries to other zones, and for those of the load on other zones' targets.
const CROSS_ZONE_STEPS: u64 = 100;
const OTHER_TARGETS_STEPS: u64 = 200;
/// Steps between two attempts of a waiting request.
const WAIT_STEPS: u64 = 3;
/// Time that a replacement of lost layers takes: to notice, order and load them.
const REPAIR: Duration = Duration::from_millis(3000);
/// Mean tokens of a prompt and of an answer.
const MEAN_TOKENS: (f64, f64) = (760.0, 210.0);

/// A zone and the requests of its callers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Zone {
    /// Number of targets of each of the kinds.
    pub(crate) targets: &'static [usize],
    /// Requests a second.
    pub(crate) per_second: f64,
}

/// A kind of hardware.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hardware {
    /// Name, without a hyphen.
    pub(crate) name: &'static str,
    /// Memory in MB.
    pub(crate) memory_mb: f64,
    /// Time of a step relative to the reference.
    pub(crate) step_factor: f64,
    /// Time of a prompt token relative to the reference.
    pub(crate) prompt_factor: f64,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Kinds of hardware.
    pub(crate) kinds: &'static [Hardware],
    /// Instances of each zone.
    pub(crate) instances: usize,
    /// The zones.
    pub(crate) zones: &'static [Zone],
    /// Factor on the requests of all zones.
    pub(crate) factor: f64,
    /// Shares of the requests by priority, the most urgent first.
    pub(crate) classes: &'static [f64],
    /// Simulated time.
    pub(crate) length: Duration,
    /// When a third of the first zone's targets is lost, if ever.
    pub(crate) loss_at: Option<Time>,
    /// Seed of the random numbers.
    pub(crate) seed: u64,
}

/// What callers got, and what it took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Result {
    /// Requests of callers, without their returns.
    pub(crate) asked: u32,
    /// Requests whose first token came within the latency objective of the first attempt.
    pub(crate) in_time: u32,
    /// Requests served later.
    pub(crate) late: u32,
    /// Requests refused on their return, or not run for another reason.
    pub(crate) refused: u32,
    /// Requests that failed after they had run.
    pub(crate) failed: u32,
    /// Sends, and those that a target refused.
    pub(crate) sends: u32,
    /// Sends that a target refused for want of memory.
    pub(crate) rejected: u32,
    /// Longest time until a refusal.
    pub(crate) longest_refusal: Duration,
    /// Requests by priority, without their returns.
    pub(crate) asked_of: [u32; MAX_CLASSES],
    /// Requests by priority that were served.
    pub(crate) served_of: [u32; MAX_CLASSES],
    /// Mean over time of the used share of the memory of the busiest target, and of all targets.
    pub(crate) busiest_use: f64,
    pub(crate) mean_use: f64,
    /// The largest mean over time of the used share of a target.
    pub(crate) busiest_mean_use: f64,
    /// Datagrams between instances, and their bytes.
    pub(crate) datagrams: (u64, u64),
}

impl Result {
    /// Share of the requests of each priority that were served.
    pub(crate) fn shares_served(&self) -> [f64; MAX_CLASSES] {
        std::array::from_fn(|class| {
            f64::from(self.served_of[class]) / f64::from(self.asked_of[class].max(1))
        })
    }

    /// Share of all requests that were served.
    pub(crate) fn share_served(&self) -> f64 {
        let (served, asked) = (&self.served_of, &self.asked_of);
        f64::from(served.iter().sum::<u32>()) / f64::from(asked.iter().sum::<u32>().max(1))
    }

    /// Share of the requests that were served within their objective.
    pub(crate) fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }

    /// Share of the sends that targets refused.
    pub(crate) fn share_rejected(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.sends.max(1))
    }
}

/// Time after which the use of targets is measured; before, the load of all instances grows from 0.
const SETTLED_AT: Time = Duration::from_secs(3);

#[derive(Debug)]
struct Machine {
    zone: camphorweir_relay::ids::Zone,
    span: camphorweir_relay::span::Span,
    capacity: f64,
    used: f64,
    /// Sum over the measured steps of the used share of the memory.
    use_sum: f64,
    streams: u32,
    step_factor: f64,
    prompt_factor: f64,
    is_alive: bool,
}

/// A caller's request.
#[derive(Clone, Debug)]
struct Call {
    zone: usize,
    class: usize,
    id: u64,
    began_at: Time,
    tokens: (f64, f64),
    is_return: bool,
}

/// A request at an instance that waits for memory or runs.
#[derive(Debug)]
struct Active {
    call: Call,
    instance: usize,
    admission: Admission,
}

#[derive(Debug)]
struct Stream {
    active: Active,
    plan: Plan,
    hops: Vec<(TargetId, f64)>,
    ends_at: Time,
    first_token_at: Time,
}

/// The simulated zone.
#[derive(Debug)]
pub(crate) struct World {
    load: Load,
    rng: SmallRng,
    now: Time,
    steps: u64,
    engine: Engine,
    routers: Vec<Router>,
    machines: BTreeMap<TargetId, Machine>,
    streams: Vec<Stream>,
    waiting: Vec<Active>,
    returns: Vec<(Time, Call)>,
    next_call: u64,
    repair_at: Option<Time>,
    result: Result,
}

fn engine(kinds: &[Hardware]) -> Engine {
    let kinds = kinds.iter().map(|kind| {
        let hardware = configuration::Hardware {
            memory_mb: kind.memory_mb,
            step_factor: kind.step_factor,
            prompt_factor: kind.prompt_factor,
        };
        (kind.name.to_owned(), hardware)
    });
    Engine {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 590_000.0,
        step_ms: 1.02,
        stream_ms: 0.00459,
        context_ms_per_1k: 0.00615,
        prompt_tokens_per_ms: 164.0,
        mean_tokens: MEAN_TOKENS,
        hardware: kinds.collect(),
        ..Engine::default()
    }
}

fn configuration(engine: &Engine, classes: usize) -> Configuration {
    let routes = (0..classes).map(|class| Route {
        name: format!("text-{class}"),
        host: "h".to_owned(),
        prefix: format!("/{class}"),
        kind: Kind::Stream { resumable: true },
        weights: vec![("scribe".into(), 1)],
        timeout: Duration::from_secs(20),
        latency_objective: Duration::from_millis(600),
        priority: class as u8,
        max_runs: 2,
        public: true,
    });
    let service = Service {
        max_connections: 2_068,
        engine: Some(engine.clone()),
    };
    Configuration {
        version: 1,
        routes: routes.map(Arc::new).collect(),
        services: [("scribe".into(), service)].into(),
        ..Configuration::default()
    }
}

fn zone_name(index: usize) -> camphorweir_relay::ids::Zone {
    format!("zone-{index}").into()
}

fn router(zone: usize, instances: usize, seed: u64) -> Router {
    let bounds = Bounds {
        stop_grace: Duration::from_secs(8),
        drain: Duration::from_secs(2),
        contact: Duration::from_secs(3),
        key_revocation: Duration::from_secs(5),
        retry_budget: Policy {
            ratio: 0.2,
            base_retries: 574.0,
            window: Duration::from_secs(10),
        },
    };
    let mut router = Router::new(zone_name(zone), bounds, 3.0, seed);
    router.listed_instances = instances;
    router
}

impl World {
    /// A zone with all layers placed and no request yet.
    pub(crate) fn new(load: Load) -> Self {
        let engine = engine(load.kinds);
        let mut rng = SmallRng::seed_from_u64(load.seed);
        let configuration = Arc::new(configuration(&engine, load.classes.len()));
        let instances = load.instances * load.zones.len();
        let routers = (0..instances).map(|index| {
            let mut router = router(index / load.instances, instances, rng.random());
            router.set_configuration(configuration.clone(), Time::ZERO);
            router
        });
        let mut world = Self {
            routers: routers.collect(),
            rng,
            load,
            now: Time::ZERO,
            steps: 0,
            engine,
            machines: BTreeMap::new(),
            streams: Vec::new(),
            waiting: Vec::new(),
            returns: Vec::new(),
            next_call: 0,
            repair_at: None,
            result: Result::default(),
        };
        for (zone, Zone { targets, .. }) in load.zones.iter().enumerate() {
            for (kind, count) in load.kinds.iter().zip(*targets) {
                (0..*count).for_each(|index| world.add_machine(zone, kind.name, index));
            }
        }
        world.place();
        world
    }

    fn add_machine(&mut self, zone: usize, kind: &str, index: usize) {
        let hardware = self.engine.hardware[kind];
        let machine = Machine {
            zone: zone_name(zone),
            span: Default::default(),
            capacity: 0.0,
            used: 0.0,
            use_sum: 0.0,
            streams: 0,
            step_factor: hardware.step_factor,
            prompt_factor: hardware.prompt_factor,
            is_alive: true,
        };
        self.machines
            .insert(format!("{kind}-{zone}-{index}").into(), machine);
    }

    /// Loads layers as the placement asks for, at once, and lists the result at all instances.
    fn place(&mut self) {
        let hardware = |id: &str| self.engine.hardware[id.split('-').next().unwrap_or_default()];
        let live = self.machines.iter().filter(|(_, machine)| machine.is_alive);
        let candidates = live.map(|(id, machine)| Candidate {
            target: id.clone(),
            zone: machine.zone.clone(),
            hardware: hardware(id),
            span: machine.span,
            is_order_pending: false,
            time_since_first_seen: Duration::from_secs(5),
            is_zone_settled: false,
            limit: None,
        });
        let candidates: Vec<Candidate> = candidates.collect();
        for order in placement_plan(&candidates, &self.engine) {
            let (id, span) = (order.target, order.span);
            let capacity = self.engine.free_token_layers(&hardware(&id), span.len());
            let machine = self.machines.get_mut(&id).unwrap();
            (machine.span, machine.capacity) = (span, capacity);
        }
        self.list_machines();
    }

    fn list_machines(&mut self) {
        for (port, (id, machine)) in (1..).zip(&self.machines) {
            for router in &mut self.routers {
                if !machine.is_alive {
                    router.fleet.remove(id, self.now);
                    continue;
                }
                let target = Target {
                    id: id.clone(),
                    service: "scribe".into(),
                    address: SocketAddr::from(([127, 0, 0, 1], port)),
                    zone: machine.zone.clone(),
                    started_ms: 1,
                    sequence: 1,
                    slots: 192,
                    draining: false,
                    hardware: id.split('-').next().map(str::to_owned),
                    span: machine.span,
                };
                router.fleet.upsert(target, self.now);
            }
        }
    }

    /// Plays the load to its end.
    pub(crate) fn run(mut self) -> Result {
        while self.now < self.load.length {
            self.now += STEP;
            self.steps += 1;
            self.lose_and_repair();
            self.end_streams();
            self.exchange_load();
            self.retry_waiting();
            self.call_again();
            self.call_anew();
            self.measure_use();
        }
        let measured =
            self.load.length.saturating_sub(SETTLED_AT).as_secs_f64() / STEP.as_secs_f64();
        let means = self
            .machines
            .values()
            .map(|machine| machine.use_sum / measured.max(1.0));
        self.result.busiest_mean_use = means.fold(0.0, f64::max);
        self.result.busiest_use /= measured.max(1.0);
        self.result.mean_use /= measured.max(1.0);
        // Streams that go on are neither served nor lost yet.
        self.result.asked -= self.streams.len() as u32;
        for stream in &self.streams {
            self.result.asked_of[stream.active.call.class] -= 1;
        }
        self.result
    }

    fn measure_use(&mut self) {
        if self.now <= SETTLED_AT {
            return;
        }
        let (mut busiest, mut sum, mut count) = (0.0, 0.0, 0.0_f64);
        for machine in self
            .machines
            .values_mut()
            .filter(|machine| machine.capacity > 0.0)
        {
            let share = machine.used / machine.capacity;
            machine.use_sum += share;
            busiest = share.max(busiest);
            sum += share;
            count += 1.0;
        }
        self.result.busiest_use += busiest;
        self.result.mean_use += sum / count.max(1.0);
    }

    fn lose_and_repair(&mut self) {
        if self.load.loss_at.is_some_and(|at| at <= self.now) {
            self.load.loss_at = None;
            self.repair_at = Some(self.now + REPAIR);
            let zone = zone_name(0);
            let of_zone = self.machines.values_mut();
            let lost = of_zone.filter(|machine| machine.zone == zone).step_by(3);
            lost.for_each(|machine| machine.is_alive = false);
            self.break_streams();
            self.list_machines();
        }
        if self.repair_at.is_some_and(|at| at <= self.now) {
            self.repair_at = None;
            self.place();
        }
    }

    fn break_streams(&mut self) {
        let streams = std::mem::take(&mut self.streams);
        for mut stream in streams {
            let lost = stream
                .hops
                .iter()
                .find(|(id, _)| !self.machines[id].is_alive);
            let Some((lost, _)) = lost else {
                self.streams.push(stream);
                continue;
            };
            let address = self.routers[stream.active.instance].fleet.get(lost);
            let address = address.map(|target| target.address);
            self.release(&stream.hops);
            let router = &mut self.routers[stream.active.instance];
            let outcome = Outcome::Failed(Failure::Broken, address);
            let admission = &mut stream.active.admission;
            router.finish_send(admission, &stream.plan, outcome, self.now);
            self.result.failed += 1;
        }
    }

    fn release(&mut self, hops: &[(TargetId, f64)]) {
        for (id, memory) in hops {
            let machine = self.machines.get_mut(id).unwrap();
            machine.used -= memory;
            machine.streams -= 1;
        }
    }

    fn end_streams(&mut self) {
        let (ended, running) = std::mem::take(&mut self.streams)
            .into_iter()
            .partition(|stream| stream.ends_at <= self.now);
        self.streams = running;
        let ended: Vec<Stream> = ended;
        for mut stream in ended {
            self.release(&stream.hops);
            let outcome = Outcome::Answered { is_success: true };
            let admission = &mut stream.active.admission;
            self.routers[stream.active.instance].finish_send(
                admission,
                &stream.plan,
                outcome,
                self.now,
            );
            let began_at = stream.active.call.began_at;
            self.result.served_of[stream.active.call.class] += 1;
            match stream.first_token_at.saturating_sub(began_at) <= Duration::from_millis(600) {
                true => self.result.in_time += 1,
                false => self.result.late += 1,
            }
        }
    }

    /// Digests and summaries, as the front sends them; the first instance of a zone aggregates.
    fn exchange_load(&mut self) {
        for index in 0..self.routers.len() {
            if !(self.steps + index as u64).is_multiple_of(DIGEST_STEPS) {
                continue;
            }
            let digest = Digest {
                entry: format!("entry-{index}"),
                sequence: self.steps,
                ..self.routers[index].digest(self.now)
            };
            let aggregator = index - index % self.load.instances;
            self.routers[index].peers.record_own_digest(digest.clone());
            if index != aggregator {
                self.count(&Datagram::Digest(digest.clone()));
                self.routers[aggregator].apply_digest(digest, self.now);
            }
        }
        let zones = self.load.zones.len();
        for zone in 0..zones {
            let aggregator = zone * self.load.instances;
            self.routers[aggregator].peers.use_digests(self.now);
            if self.steps.is_multiple_of(CROSS_ZONE_STEPS) {
                self.summarize_for_others(aggregator);
            }
            for targets in 0..zones {
                let period = match targets == zone {
                    true => SUMMARY_STEPS,
                    false => OTHER_TARGETS_STEPS,
                };
                // Summaries of the zones are spread over their period.
                if (self.steps + targets as u64 * CROSS_ZONE_STEPS).is_multiple_of(period) {
                    self.summarize_for_zone(aggregator, targets);
                }
            }
        }
    }

    fn summarize_for_others(&mut self, aggregator: usize) {
        for summary in summary_for_others(&self.routers[aggregator], self.now) {
            for other in (0..self.routers.len()).step_by(self.load.instances) {
                if other != aggregator {
                    let summary = self.stamp(summary.clone(), aggregator);
                    self.count(&Datagram::Summary(summary.clone()));
                    self.routers[other].apply_summary(summary, self.now);
                }
            }
        }
    }

    fn summarize_for_zone(&mut self, aggregator: usize, targets: usize) {
        let router = &self.routers[aggregator];
        let summaries = summary_for_zone(router, &zone_name(targets), self.now);
        let sequences = router.peers.sequences();
        let sequences = sequences.map(|(name, sequence)| (name.to_owned(), sequence));
        let sequences: HashMap<String, u64> = sequences.collect();
        for index in aggregator + 1..aggregator + self.load.instances {
            for summary in &summaries {
                let mut summary = self.stamp(summary.clone(), aggregator);
                summary.included_sequence = sequences.get(&format!("entry-{index}")).copied();
                self.count(&Datagram::Summary(summary.clone()));
                self.routers[index].apply_summary(summary, self.now);
            }
        }
    }

    fn count(&mut self, datagram: &Datagram) {
        self.result.datagrams.0 += 1;
        self.result.datagrams.1 += codec::encode(datagram).len() as u64;
    }

    fn stamp(&self, summary: Summary, sender: usize) -> Summary {
        Summary {
            entry: format!("entry-{sender}"),
            sequence: self.steps,
            ..summary
        }
    }

    fn call_anew(&mut self) {
        for zone in 0..self.load.zones.len() {
            self.call_anew_in(zone);
        }
    }

    fn call_anew_in(&mut self, zone: usize) {
        let mean = self.load.zones[zone].per_second * self.load.factor * STEP.as_secs_f64();
        let mut left = 1.0 - self.rng.random::<f64>();
        // Poisson arrivals: counts the uniform factors until their product falls below exp(-mean).
        while left > (-mean).exp() {
            left *= 1.0 - self.rng.random::<f64>();
            let spread = |rng: &mut SmallRng| 0.3 + 1.4 * rng.random::<f64>();
            let tokens = (
                MEAN_TOKENS.0 * spread(&mut self.rng),
                MEAN_TOKENS.1 * spread(&mut self.rng),
            );
            self.next_call += 1;
            self.result.asked += 1;
            let class = self.draw_class();
            self.result.asked_of[class] += 1;
            self.call(Call {
                zone,
                class,
                id: self.next_call,
                began_at: self.now,
                tokens,
                is_return: false,
            });
        }
    }

    fn draw_class(&mut self) -> usize {
        let Some(last) = self
            .load
            .classes
            .len()
            .checked_sub(1)
            .filter(|last| *last > 0)
        else {
            return 0;
        };
        let total: f64 = self.load.classes.iter().sum();
        let mut left = total * self.rng.random::<f64>();
        let mut classes = self.load.classes.iter();
        let class = classes.position(|share| {
            left -= share;
            left < 0.0
        });
        class.unwrap_or(last)
    }

    fn call_again(&mut self) {
        let (due, later) = std::mem::take(&mut self.returns)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.returns = later;
        let due: Vec<(Time, Call)> = due;
        for (_, call) in due {
            self.call(call);
        }
    }

    fn call(&mut self, call: Call) {
        let instance = self.rng.random_range(0..self.load.instances);
        let instance = instance + call.zone * self.load.instances;
        let head = Head {
            id: format!("{}-{}", call.id, call.is_return).into(),
            host: "h".to_owned(),
            path: format!("/{}", call.class),
            timeout: Some(Duration::from_secs(20)),
            tokens: Some((call.tokens.0 as u32, 630)),
            ..Head::default()
        };
        let admission = self.routers[instance].admit(&head, self.now);
        let active = Active {
            call,
            instance,
            admission: admission.unwrap(),
        };
        self.send(active);
    }

    fn retry_waiting(&mut self) {
        if self.steps.is_multiple_of(WAIT_STEPS) {
            for active in std::mem::take(&mut self.waiting) {
                self.send(active);
            }
        }
    }

    fn send(&mut self, mut active: Active) {
        loop {
            let router = &mut self.routers[active.instance];
            let plan = match router.plan(&mut active.admission, self.now) {
                Ok(plan) => plan,
                Err(refusal) => {
                    if router.may_wait_for_memory(&active.admission, &refusal, self.now) {
                        self.waiting.push(active);
                    } else {
                        let retry_after = refusal.retry_after.unwrap_or_default();
                        self.refuse(active, retry_after);
                    }
                    return;
                }
            };
            self.result.sends += 1;
            let (path, addresses) = plan.path().unwrap();
            let hops = path.hops().iter();
            let hops = hops.map(|hop| (hop.target.clone(), f64::from(hop.span.len())));
            let hops: Vec<(TargetId, f64)> = hops.collect();
            let full = hops.iter().position(|(id, layers)| {
                let machine = &self.machines[id];
                machine.used + active.call.tokens.0 * layers > machine.capacity
            });
            let Some(full) = full else {
                let stream = self.start(active, plan, &hops);
                self.streams.push(stream);
                return;
            };
            self.result.rejected += 1;
            let outcome = Outcome::Failed(Failure::Refused, Some(addresses[full]));
            let router = &mut self.routers[active.instance];
            let decision = router.finish_send(&mut active.admission, &plan, outcome, self.now);
            // The target is alive, which the probe that follows finds out at once.
            router.tracker.record_probe(&hops[full].0, true, self.now);
            if let Decision::End(code) = decision {
                let refusal = router.refusal(&active.admission, code);
                self.refuse(active, refusal.retry_after.unwrap_or_default());
                return;
            }
        }
    }

    fn start(&mut self, active: Active, plan: Plan, hops: &[(TargetId, f64)]) -> Stream {
        let (prompt, answer) = active.call.tokens;
        let (mut prompt_ms, mut token_ms) = (0.0, 0.0);
        let mut memory = Vec::new();
        for (id, layers) in hops {
            let machine = self.machines.get_mut(id).unwrap();
            let share = layers / f64::from(self.engine.layers);
            let streams = f64::from(machine.streams);
            let per_stream = self.engine.stream_ms + self.engine.context_ms_per_1k;
            token_ms += share * machine.step_factor * (self.engine.step_ms + per_stream * streams);
            let prompt_factor = machine.prompt_factor / self.engine.prompt_tokens_per_ms;
            prompt_ms += share * prompt_factor * prompt;
            let used = (prompt + answer / 2.0) * layers;
            machine.used += used;
            machine.streams += 1;
            memory.push((id.clone(), used));
        }
        let first_token_at = self.now + Duration::from_secs_f64(prompt_ms / 1e3);
        Stream {
            active,
            plan,
            hops: memory,
            first_token_at,
            ends_at: first_token_at + Duration::from_secs_f64(token_ms * answer / 1e3),
        }
    }

    fn refuse(&mut self, active: Active, retry_after: Duration) {
        let held = self.now.saturating_sub(active.admission.arrived_at);
        self.result.longest_refusal = self.result.longest_refusal.max(held);
        if active.call.is_return {
            self.result.refused += 1;
            return;
        }
        let call = Call {
            is_return: true,
            ..active.call
        };
        self.returns.push((self.now + retry_after, call));
    }
}
