//! Requests with a part that ends targets, among sound ones, over many instances that tell each other:
//! the part is refused soon everywhere, and nothing else.

use {
    camphorweir_relay::{
        fleet::Target,
        ids::{Fingerprint, Time, Zone},
        keepers::keepers_recipients,
        span::Span,
        suspects::{Broken, Suspects},
    },
    camphorweir_wire::crash::Suspect,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time between two steps of the simulation.
const STEP: Duration = Duration::from_millis(10);
/// Steps between two reports of an instance.
const REPORT_STEPS: usize = 10;
/// Share of the datagrams that are lost.
const LOSS: f64 = 0.05;
/// Time until a target that ended is back.
const RESTART: Duration = Duration::from_secs(3);
/// Longest time from a send to the response head, and from there to the target's end.
const WAIT: Duration = Duration::from_millis(300);
const CRASH_DELAY: Duration = Duration::from_millis(120);
/// Time from a response head to the first event, and to where the request is sound.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const SETTLED: Duration = Duration::from_millis(300);
/// Length of a stream.
const STREAM: Duration = Duration::from_secs(2);
/// Number of targets a request may run on, and of attempts of its caller.
const RUNS: u32 = 2;
const ATTEMPTS: u32 = 2;
/// Parts that sound requests share; the popular ones come first.
const PARTS: u64 = 60;
const CRASHING_PART: Fingerprint = 1_000;
/// When requests with that part begin to come, and when the simulation ends.
const START: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(30);
/// Ends of targets after which instances must refuse the part within this time.
const ENDS: usize = 5;
const CONTACT: Duration = Duration::from_secs(3);
/// Requests that may reach targets later.
const MAX_LATER: usize = 3;
/// Largest share of sound requests that may be refused for their parts or content.
const MAX_REFUSED: f64 = 0.01;

#[derive(Clone, Debug)]
struct Call {
    content: Fingerprint,
    parts: Vec<Fingerprint>,
    attempts: u32,
    runs: u32,
}

impl Call {
    fn is_crashing(&self) -> bool {
        self.parts.contains(&CRASHING_PART)
    }
}

/// A request that runs on a target.
#[derive(Clone, Debug)]
struct Run {
    call: Call,
    instance: usize,
    target: usize,
    sent_at: Time,
    head_at: Time,
    /// When it ends its target.
    crash_at: Option<Time>,
    has_settled: bool,
}

struct World {
    rng: SmallRng,
    now: Time,
    names: Vec<String>,
    zones: BTreeMap<Zone, BTreeSet<String>>,
    zone_of: Vec<Zone>,
    instances: Vec<Suspects>,
    /// Start of each target, in the future while it is down.
    targets: Vec<Time>,
    runs: Vec<Run>,
    /// Calls that come again at a time.
    again: Vec<(Time, Call)>,
    ends: Vec<Time>,
    /// When requests with the crashing part were sent to targets.
    sent: Vec<Time>,
    /// Sound requests sent and refused since the part came.
    sound: (usize, usize),
    contents: Fingerprint,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Instances in each of three zones.
    instances: usize,
    /// Targets that are the first of a path.
    targets: usize,
    per_second: f64,
    /// Share of the requests that have the crashing part.
    share: f64,
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let zones: Vec<Zone> = ["a", "b", "c"].into_iter().map(Zone::from).collect();
        let zone_of: Vec<Zone> = (0..3 * scenario.instances)
            .map(|index| zones[index % 3].clone())
            .collect();
        let names: Vec<String> = (0..zone_of.len())
            .map(|index| format!("i{index}"))
            .collect();
        let mut by_zone: BTreeMap<Zone, BTreeSet<String>> = BTreeMap::new();
        for (zone, name) in zone_of.iter().zip(&names) {
            by_zone
                .entry(zone.clone())
                .or_default()
                .insert(name.clone());
        }
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::ZERO,
            instances: vec![Suspects::default(); names.len()],
            names,
            zones: by_zone,
            zone_of,
            targets: vec![Time::ZERO; scenario.targets],
            runs: Vec::new(),
            again: Vec::new(),
            ends: Vec::new(),
            sent: Vec::new(),
            sound: (0, 0),
            contents: 1 << 20,
        }
    }

    fn run(mut self, scenario: Scenario) -> Self {
        let mut step = 0;
        while self.now < END {
            self.now += STEP;
            step += 1;
            let chance = scenario.per_second * STEP.as_secs_f64();
            if self.rng.random_bool(chance.min(1.0)) {
                let call = self.new_call(scenario.share);
                self.send(call, None);
            }
            let (due, later) = std::mem::take(&mut self.again)
                .into_iter()
                .partition(|(at, _)| *at <= self.now);
            self.again = later;
            let due: Vec<(Time, Call)> = due;
            for (_, call) in due {
                self.send(call, None);
            }
            self.settle();
            self.end_targets();
            for index in 0..self.instances.len() {
                if (step + index).is_multiple_of(REPORT_STEPS) {
                    self.report(index);
                }
            }
        }
        self
    }

    fn new_call(&mut self, share: f64) -> Call {
        // The popularity of a part falls with its number.
        let part = (PARTS as f64).powf(self.rng.random::<f64>()) as u64;
        let mut parts = vec![part];
        if self.now > START && self.rng.random_bool(share) {
            let place = self.rng.random_range(0..=1);
            parts.insert(place, CRASHING_PART);
        }
        self.contents += 1;
        Call {
            content: self.contents,
            parts,
            attempts: 1,
            runs: 0,
        }
    }

    /// Sends a call from an instance, or from any one for a new attempt.
    fn send(&mut self, mut call: Call, instance: Option<usize>) {
        let count = self.instances.len();
        let instance = instance.unwrap_or_else(|| self.rng.random_range(0..count));
        let suspects = &self.instances[instance];
        let is_quarantined = |key: &u64| suspects.quarantine_left(*key, self.now).is_some();
        let is_refused = is_quarantined(&call.content) || call.parts.iter().any(is_quarantined);
        if !call.is_crashing() && self.now > START {
            self.sound.0 += 1;
            self.sound.1 += usize::from(is_refused);
        }
        let targets: Vec<usize> = (0..self.targets.len())
            .filter(|target| self.targets[*target] <= self.now)
            .collect();
        if is_refused || targets.is_empty() {
            return;
        }
        let target = targets[self.rng.random_range(0..targets.len())];
        let head_at = self.now + WAIT.mul_f64(self.rng.random());
        let delay = CRASH_DELAY.mul_f64(self.rng.random());
        let crash_at = call.is_crashing().then(|| head_at + delay);
        if call.is_crashing() {
            self.sent.push(self.now);
        }
        call.runs += 1;
        self.runs.push(Run {
            call,
            instance,
            target,
            sent_at: self.now,
            head_at,
            crash_at,
            has_settled: false,
        });
    }

    /// Records the requests that are sound, and drops those that are complete.
    fn settle(&mut self) {
        for run in &mut self.runs {
            let is_due = !run.has_settled && run.head_at + SETTLED <= self.now;
            if is_due && !run.call.is_crashing() {
                run.has_settled = true;
                self.instances[run.instance].record_success(
                    run.call.content,
                    &run.call.parts,
                    self.now,
                );
            }
        }
        let now = self.now;
        self.runs.retain(|run| run.head_at + STREAM > now);
    }

    fn end_targets(&mut self) {
        let due = self
            .runs
            .iter()
            .filter(|run| run.crash_at.is_some_and(|at| at <= self.now));
        let ended: BTreeSet<usize> = due.map(|run| run.target).collect();
        for target in ended {
            self.ends.push(self.now);
            let record = self.target(target);
            self.targets[target] = self.now + RESTART;
            let (broken, others): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
                .into_iter()
                .partition(|run| run.target == target);
            self.runs = others;
            for run in &broken {
                self.lose(run, &record);
            }
            let instances: BTreeSet<usize> = broken.iter().map(|run| run.instance).collect();
            for instance in instances {
                self.instances[instance].record_end(&record.id, self.now);
            }
            for run in broken {
                self.go_on(run);
            }
        }
    }

    fn lose(&mut self, run: &Run, target: &Target) {
        let has_begun = run.head_at <= self.now;
        if run.has_settled {
            return;
        }
        let broken = Broken {
            fingerprint: run.call.content,
            prompt_parts: &run.call.parts,
            since: if has_begun { run.head_at } else { run.sent_at },
            is_waiting: !has_begun
                || run.head_at + FIRST_EVENT <= self.now && !run.call.is_crashing(),
        };
        self.instances[run.instance].record_loss(&broken, target, self.now);
    }

    /// What becomes of a request that broke off.
    fn go_on(&mut self, run: Run) {
        let mut call = run.call;
        if call.runs < RUNS {
            self.send(call, Some(run.instance));
        } else if call.attempts < ATTEMPTS {
            (call.attempts, call.runs) = (call.attempts + 1, 0);
            let pause = Duration::from_millis(self.rng.random_range(0..300));
            self.again.push((self.now + pause, call));
        }
    }

    fn target(&self, index: usize) -> Target {
        let started_ms = self.targets[index].as_millis() as u64;
        Target {
            id: format!("t{index}").into(),
            service: "s".into(),
            address: SocketAddr::from(([127, 0, 0, 1], index as u16)),
            zone: "z".into(),
            started_ms,
            sequence: 1,
            slots: 1,
            draining: false,
            hardware: None,
            span: Span::default(),
        }
    }

    fn report(&mut self, index: usize) {
        let mut by_recipient: BTreeMap<usize, Vec<Suspect>> = BTreeMap::new();
        let own = &self.names[index];
        for (suspect, scope) in self.instances[index].news(self.now) {
            let zone = &self.zone_of[index];
            let names = keepers_recipients(suspect.fingerprint, scope, own, zone, &self.zones);
            for name in names {
                let recipient = name[1..].parse().unwrap();
                let suspects: &mut Vec<Suspect> = by_recipient.entry(recipient).or_default();
                suspects.push(suspect.clone());
            }
        }
        for (recipient, suspects) in by_recipient {
            if !self.rng.random_bool(LOSS) {
                self.instances[recipient].apply_report(&suspects, self.now);
            }
        }
    }

    /// Requests with the crashing part that were sent when all had to know it.
    fn later(&self) -> usize {
        let known = self.ends.get(ENDS - 1).map(|at| *at + CONTACT);
        known.map_or(0, |known| {
            self.sent.iter().filter(|at| **at > known).count()
        })
    }
}

#[test]
fn a_part_that_ends_targets_is_refused_everywhere_and_sound_requests_are_not() {
    let small = Scenario {
        instances: 3,
        targets: 6,
        per_second: 95.0,
        share: 0.015,
    };
    let scenarios = [
        small,
        Scenario {
            share: 0.1,
            ..small
        },
        Scenario {
            share: 0.002,
            ..small
        },
        Scenario {
            targets: 2,
            ..small
        },
        Scenario {
            instances: 21,
            targets: 20,
            per_second: 100.0,
            ..small
        },
        Scenario {
            instances: 65,
            targets: 40,
            per_second: 100.0,
            share: 0.02,
        },
    ];
    for (scenario, seed) in scenarios
        .into_iter()
        .flat_map(|scenario| (1..=10).map(move |seed| (scenario, seed)))
    {
        let world = World::new(scenario, seed).run(scenario);
        let case = format!("{scenario:?} seed {seed}: {} ends", world.ends.len());
        assert!(
            world.later() <= MAX_LATER,
            "{case}, {} later",
            world.later()
        );
        let (sound, refused) = world.sound;
        let share = refused as f64 / sound as f64;
        assert!(
            share < MAX_REFUSED,
            "{case}, {refused} of {sound} sound requests refused"
        );
    }
}
