//! A deployment in which targets name limits, played with the decisions of its instances: datagrams are lost,
//! instances are suspended, restarted and cut off, and the load is uneven.

use {
    camphorweir_relay::{
        ids::Time,
        permit::{
            Answer, Candidate, Grantor, Question, Silences, UNKNOWN_RETRY, VALIDITY,
            permit_candidates,
        },
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

/// Span in which a target gets no more requests than its limit allows.
const SPAN: Duration = Duration::from_secs(4);
/// Time that a question and its answer take.
const ROUND_TRIP: Duration = Duration::from_millis(2);
/// Time after which an answer counts as lost, and number of tries.
const TIMEOUT: Duration = Duration::from_millis(30);
const TRIES: u32 = 3;
/// Pause between signs of life.
const TICK: Duration = Duration::from_millis(100);
/// Length of a play.
const TIME: Duration = Duration::from_secs(40);
/// When the limits are first named, and when they must hold.
const NAMED: Duration = Duration::from_secs(2);
const KNOWN: Duration = Duration::from_secs(5);
/// What a target may get in a span at most, as a multiple of its limit, and more requests.
const MAX_FACTOR: f64 = 1.5;
const MAX_SLACK: f64 = 5.0;
/// When links between instances are lost for good.
const APART: Duration = Duration::from_secs(10);
/// Least part of the limits that is used while all instances run.
const MIN_USED: f64 = 0.95;
const TARGETS_ZONE: &str = "z0";

/// How a deployment is played.
#[derive(Clone, Debug)]
struct Setup {
    instances: usize,
    zones: usize,
    targets: usize,
    per_second: f64,
    /// Requests for each target, as a multiple of its limit.
    demand: f64,
    /// Share of all requests that come at the first instance.
    first_share: f64,
    /// Share of datagrams that are lost.
    loss: f64,
    /// How long a request can wait.
    max_wait: Duration,
    faults: Vec<Fault>,
    /// Instances that do not reach each other from [`APART`] on.
    apart: Vec<(usize, usize)>,
    seed: u64,
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Suspended,
    Restarted,
    CutOff,
}

#[derive(Clone, Copy, Debug)]
struct Fault {
    kind: Kind,
    instance: usize,
    from: Time,
    to: Time,
}

struct Instance {
    name: String,
    grantor: Grantor,
    silences: Silences,
    /// When permits of each target are asked for again.
    limited_until: BTreeMap<u32, Time>,
}

struct Play {
    setup: Setup,
    instances: Vec<Instance>,
    /// The instances that give permits of each target, by index.
    candidates: Vec<Vec<usize>>,
    rng: u64,
    number: u64,
    /// When each target got requests.
    arrivals: Vec<Vec<Time>>,
}

impl Play {
    fn new(setup: Setup) -> Self {
        let named = |index: usize| Candidate {
            name: format!("i-{index}"),
            zone: format!("z{}", index % setup.zones).into(),
            address: index,
        };
        let all: Vec<Candidate<usize>> = (0..setup.instances).map(named).collect();
        let candidates = (0..setup.targets).map(|target| {
            let order = permit_candidates(target as u32, &TARGETS_ZONE.into(), all.clone());
            order
                .into_iter()
                .map(|candidate| candidate.address)
                .collect()
        });
        Self {
            candidates: candidates.collect(),
            instances: all
                .into_iter()
                .map(|candidate| Instance {
                    name: candidate.name,
                    grantor: Grantor::new(Duration::ZERO),
                    silences: Silences::default(),
                    limited_until: BTreeMap::new(),
                })
                .collect(),
            rng: setup.seed | 1,
            number: 0,
            arrivals: vec![Vec::new(); setup.targets],
            setup,
        }
    }

    fn random(&mut self) -> f64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        (self.rng >> 11) as f64 / (1u64 << 53) as f64
    }

    fn has(&self, instance: usize, now: Time, is_kind: impl Fn(Kind) -> bool) -> bool {
        let mut faults = self.setup.faults.iter();
        faults.any(|fault| {
            fault.instance == instance
                && is_kind(fault.kind)
                && (fault.from..fault.to).contains(&now)
        })
    }

    fn runs(&self, instance: usize, now: Time) -> bool {
        !self.has(instance, now, |kind| !matches!(kind, Kind::CutOff))
    }

    fn is_cut_off(&self, instance: usize, now: Time) -> bool {
        self.has(instance, now, |kind| matches!(kind, Kind::CutOff))
    }

    /// Whether a datagram between two instances arrives.
    fn passes(&mut self, from: usize, to: usize, now: Time) -> bool {
        let mut apart = self.setup.apart.iter();
        let is_apart = apart.any(|pair| *pair == (from, to) || *pair == (to, from));
        let is_linked = !self.is_cut_off(from, now) && !self.is_cut_off(to, now);
        let is_linked = is_linked && !(is_apart && now >= APART);
        self.random() >= self.setup.loss && is_linked && self.runs(to, now)
    }

    /// Asks as an entry does; returns the answer and how long it took.
    fn ask(
        &mut self,
        asker: usize,
        target: usize,
        candidates: &[usize],
        own: usize,
        number: u64,
        now: Time,
    ) -> (Answer, Duration) {
        let mut took = Duration::ZERO;
        for (index, candidate) in candidates.iter().copied().enumerate() {
            if candidate == own {
                let before = candidates[..index].iter();
                let silences = &self.instances[own].silences;
                let wait = before.map(|other| silences.wait_for(&self.instances[*other].name, now));
                if let Some(wait) = wait.max().filter(|wait| !wait.is_zero()) {
                    return (Answer::Denied(wait), took);
                }
                let name = self.instances[asker].name.clone();
                let question = Question {
                    key: (target as u32, 1),
                    per_second: self.setup.per_second,
                    asker: &name,
                    number,
                    max_wait: self.setup.max_wait,
                    instances: self.setup.instances,
                    permitted: self.setup.instances,
                    is_out_of_turn: index > 0,
                };
                return (self.instances[own].grantor.grant(&question, now), took);
            }
            let name = self.instances[candidate].name.clone();
            if self.instances[own].silences.is_silent(&name, now) {
                continue;
            }
            for _ in 0..TRIES {
                if self.passes(own, candidate, now) {
                    let before = &candidates[..=index];
                    let (answer, more) = self.ask(asker, target, before, candidate, number, now);
                    let is_back = self.passes(candidate, own, now);
                    if is_back && more < TIMEOUT * (2 * index as u32 + 1) {
                        self.instances[own].silences.clear(&name);
                        return (answer, more + ROUND_TRIP);
                    }
                }
                took += TIMEOUT * (2 * index as u32 + 1);
            }
            self.instances[own].silences.record(&name, now);
        }
        (Answer::Denied(UNKNOWN_RETRY), took)
    }

    fn request(&mut self, instance: usize, target: usize, now: Time) {
        let limited = &self.instances[instance].limited_until;
        if limited
            .get(&(target as u32))
            .is_some_and(|until| *until > now)
        {
            return;
        }
        self.number += 1;
        let candidates = self.candidates[target].clone();
        let number = self.number;
        let (answer, took) = self.ask(instance, target, &candidates, instance, number, now);
        match answer {
            Answer::Free => unreachable!("the target has a limit"),
            Answer::After(wait) if took <= VALIDITY => {
                self.arrivals[target].push(now + took + wait);
            }
            Answer::After(_) => {}
            Answer::Denied(wait) => {
                let wait = wait.mul_f64(1.0 + 0.5 * self.random());
                let limited = &mut self.instances[instance].limited_until;
                limited.insert(target as u32, now + took + wait);
            }
        }
    }

    fn tick(&mut self, now: Time) {
        for index in 0..self.instances.len() {
            if self.runs(index, now) {
                self.instances[index].grantor.record_running(now);
            }
            let is_heard = self.setup.instances > 1 && !self.is_cut_off(index, now);
            if is_heard && self.runs(index, now) && self.random() >= self.setup.loss {
                self.instances[index].grantor.record_heard(now);
            }
        }
        if (now.as_millis() / TICK.as_millis()).is_multiple_of(2) {
            self.tell_accounts(now);
        }
        for fault in self.setup.faults.clone() {
            let is_over = now >= fault.to && now < fault.to + TICK;
            if is_over && matches!(fault.kind, Kind::Restarted) {
                let instance = &mut self.instances[fault.instance];
                instance.grantor = Grantor::new(now);
                instance.silences = Silences::default();
                instance.limited_until.clear();
            }
        }
    }

    /// Sends the accounts of permits to the other instances that may give some.
    fn tell_accounts(&mut self, now: Time) {
        for index in 0..self.instances.len() {
            let accounts = match self.runs(index, now) {
                true => self.instances[index].grantor.accounts(now),
                false => Vec::new(),
            };
            let name = self.instances[index].name.clone();
            for (key, account) in accounts {
                for other in self.candidates[key.0 as usize].clone() {
                    if other != index && self.passes(index, other, now) {
                        let grantor = &mut self.instances[other].grantor;
                        grantor.apply_account(key, &name, &account, now);
                    }
                }
            }
        }
    }

    /// Plays the whole time.
    fn run(&mut self) {
        let targets = self.setup.targets;
        let rate = self.setup.per_second * self.setup.demand * targets as f64;
        let (mut now, mut next_tick) = (Duration::ZERO, Duration::ZERO);
        while now < TIME {
            now += Duration::from_secs_f64(-self.random().max(1e-9).ln() / rate);
            while next_tick <= now {
                self.tick(next_tick);
                next_tick += TICK;
            }
            let instance = match self.random() < self.setup.first_share {
                true => 0,
                false => (self.random() * self.instances.len() as f64) as usize,
            };
            let target = (self.random() * targets as f64) as usize;
            match self.runs(instance, now) && now >= NAMED {
                true => self.request(instance, target, now),
                // The instance does not know the limit yet.
                false if now < NAMED => self.arrivals[target].push(now),
                false => {}
            }
        }
        for arrivals in &mut self.arrivals {
            arrivals.sort();
        }
    }

    /// The most requests of any target in a span once the limits must hold.
    fn most_in_span(&self) -> usize {
        let most = |arrivals: &Vec<Time>| {
            let known: Vec<Time> = arrivals.iter().copied().filter(|at| *at >= KNOWN).collect();
            let (mut first, mut most) = (0, 0);
            for last in 0..known.len() {
                while known[last] - known[first] > SPAN {
                    first += 1;
                }
                most = most.max(last + 1 - first);
            }
            most
        };
        self.arrivals.iter().map(most).max().unwrap_or_default()
    }

    /// The part of the limits that was used from [`KNOWN`] on.
    fn used(&self) -> f64 {
        let arrivals = self.arrivals.iter().flatten();
        let used = arrivals.filter(|at| (KNOWN..TIME).contains(at)).count();
        let allowed = self.setup.per_second * (TIME - KNOWN).as_secs_f64();
        used as f64 / allowed / self.setup.targets as f64
    }

    fn allowed(&self) -> usize {
        (self.setup.per_second * SPAN.as_secs_f64()) as usize
    }
}

fn setup(instances: usize, per_second: f64, seed: u64) -> Setup {
    Setup {
        instances,
        zones: if instances > 50 { 5 } else { 3 },
        targets: 1,
        per_second,
        demand: 2.0,
        first_share: 0.0,
        loss: 0.0,
        max_wait: Duration::from_millis(62),
        faults: Vec::new(),
        apart: Vec::new(),
        seed,
    }
}

fn play(setup: Setup) -> Play {
    let mut play = Play::new(setup);
    play.run();
    play
}

#[test]
fn all_instances_together_keep_to_a_limit_and_use_it() {
    for instances in [1, 2, 9, 37, 195] {
        for (per_second, demand, first_share) in [
            (18.5, 2.0, 0.0),
            (18.5, 1.5, 0.9),
            (10.0, 4.0, 0.5),
            (40.0, 1.2, 0.3),
            (200.0, 3.0, 0.0),
        ] {
            for targets in [1, 3] {
                let play = play(Setup {
                    demand,
                    first_share,
                    targets,
                    ..setup(instances, per_second, 17)
                });
                let (most, used) = (play.most_in_span(), play.used());
                let of = format!("{instances} {per_second} {demand} {first_share} {targets}");
                assert!(most <= play.allowed(), "{of}: {most}");
                assert!(used >= MIN_USED, "{of}: {used}");
            }
        }
    }
}

#[test]
fn a_suspended_giver_of_permits_gives_none_beside_its_successor() {
    for seed in 1..20 {
        let mut setup = setup(9, 20.0, seed);
        let first = Play::new(setup.clone()).candidates[0][0];
        setup.faults = vec![Fault {
            kind: Kind::Suspended,
            instance: first,
            from: Duration::from_secs(10),
            to: Duration::from_secs(13),
        }];
        let play = play(setup);
        assert!(
            play.most_in_span() <= play.allowed(),
            "{}",
            play.most_in_span()
        );
    }
}

/// Each of them reaches half of the other instances, and hears of these.
#[test]
fn two_givers_of_permits_that_do_not_reach_each_other_keep_to_a_bound() {
    let mut exceeded = Vec::new();
    for seed in 1..10 {
        let mut setup = setup(9, 18.5, seed);
        let candidates = Play::new(setup.clone()).candidates[0].clone();
        let (first, second) = (candidates[0], candidates[1]);
        let others = (0..setup.instances).filter(|other| !candidates.contains(other));
        let with_second = others.step_by(2);
        setup.apart = with_second.map(|other| (first, other)).collect();
        setup.apart.push((first, second));
        let play = play(setup);
        let limit = play.setup.per_second * SPAN.as_secs_f64();
        let (most, bound) = (play.most_in_span(), MAX_FACTOR * limit + MAX_SLACK);
        if most as f64 > bound {
            exceeded.push((seed, most));
        }
    }
    assert!(
        exceeded.is_empty(),
        "seeds and requests in a span: {exceeded:?}"
    );
}

fn any_fault() -> impl Strategy<Value = (u8, usize, u64, u64)> {
    (0..3u8, 0..200usize, 4_000..36_000u64, 300..9_000u64)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn a_limit_holds_whatever_state_instances_are_in(
        instances in prop_oneof![Just(1usize), Just(2), Just(9), Just(40), Just(195)],
        per_second in prop_oneof![Just(0.1), Just(0.6), Just(2.8), Just(18.5), 1.0..60.0],
        demand in 1.0..6.0,
        first_share in 0.0..1.0,
        targets in 1..4usize,
        loss in 0.0..0.1,
        max_wait in 0..70u64,
        faults in prop::collection::vec(any_fault(), 0..6),
        seed in any::<u64>(),
    ) {
        let faults = faults.into_iter().map(|(kind, instance, from, time)| Fault {
            kind: [Kind::Suspended, Kind::Restarted, Kind::CutOff][usize::from(kind)],
            // Mostly those that give permits.
            instance: instance % instances.min(9),
            from: Duration::from_millis(from),
            to: Duration::from_millis(from + time),
        });
        let play = play(Setup {
            demand,
            first_share,
            targets,
            loss,
            max_wait: Duration::from_millis(max_wait),
            faults: faults.collect(),
            ..setup(instances, per_second, seed)
        });
        prop_assert!(play.most_in_span() <= play.allowed().max(1), "{}", play.most_in_span());
    }
}
