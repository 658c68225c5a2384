//! What the configuration says about the cost of targets and links, as seen from one zone.

use {
    crate::{
        route::{Rule, Want},
        target::{Index, Table, Target},
    },
    camphorweir_config::model::{Document, Kind, Link, ModelId, ZoneId},
    camphorweir_wire::engine::Layers,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Attempts open on a target at first, as a multiple of what keeps its batches full by Little's law.
const SLACK: f64 = 1.5;
/// The least of this multiple, below which batches are not full.
const SLACK_MIN: f64 = 1.3;
/// The most of it, above which attempts only wait for each other.
const SLACK_MAX: f64 = 2.2;
/// By how much one answer moves it.
const SLACK_STEP: f64 = 0.002;
/// The part of the time until its deadline that an answer may take, once started, for the multiple
/// to grow.
const SLACK_PART: f64 = 0.4;
/// How far above the limit interrupted answers may go.
const RESUMED: f64 = 1.5;
/// What a second of missing prefill counts against a second of waiting: the wait is one request's,
/// the prefill takes the engine's time from all.
const PREFIX_WEIGHT: f64 = 16.0;
/// One-way delay of a link that the configuration does not describe.
const DELAY: Duration = Duration::from_millis(1);
/// Bytes a second of a link that the configuration does not describe.
const RATE: f64 = 1e9;
/// Links slower than this, or with a longer delay, lead to far zones.
const FAR_RATE: f64 = 100e6;
/// One-way delay of links to far zones.
const FAR_DELAY: Duration = Duration::from_millis(5);
/// Age at which a load report counts half.
const REPORT_HALF: Duration = Duration::from_secs(1);
/// Age at which a load report says nothing about room any more.
const REPORT_OLD: Duration = Duration::from_secs(2);

/// Targets with the same layers and about the same link.
#[derive(Clone, Debug)]
pub struct Group {
    /// Their layers.
    pub layers: Layers,
    /// 0 in the entry's own zone, 1 in near zones, 2 in far ones.
    pub tier: u8,
    /// The targets; not empty.
    pub members: Vec<Index>,
}

/// What does not change of a target between configurations.
#[derive(Clone, Debug)]
struct Fact {
    kind: Kind,
    delay: Duration,
    /// Bytes a second.
    rate: f64,
    tier: u8,
    /// Attempts of all entries together that just keep its batches full.
    full: f64,
}

/// Costs, groups and limits.
#[derive(Debug, Default)]
pub struct Map {
    zone: ZoneId,
    kinds: HashMap<String, Kind>,
    links: HashMap<ZoneId, Link>,
    layers: HashMap<ModelId, u32>,
    groups: HashMap<ModelId, Vec<Group>>,
    facts: Vec<Option<Fact>>,
    /// Entries that are live, this one among them, by zone.
    entries: HashMap<ZoneId, u32>,
    /// Attempts open on a target, as a multiple of what keeps its batches full; grows while answers
    /// take a small part of their time.
    slack: Slack,
    pub(crate) rule: Rule,
}

/// See [`Map`].
#[derive(Debug)]
struct Slack(f64);

impl Default for Slack {
    fn default() -> Self {
        Self(SLACK)
    }
}

impl Map {
    /// Takes the part of a configuration over that concerns an entry in `zone`.
    pub fn configure(&mut self, zone: &str, document: &Document) {
        let other = |link: &Link| {
            let [one, two] = &link.between;
            if one == zone {
                return Some(two.clone());
            }
            (two == zone).then(|| one.clone())
        };
        self.zone = zone.to_owned();
        self.kinds = document.kinds.clone().into_iter().collect();
        self.layers = document
            .models
            .iter()
            .map(|(id, model)| (id.clone(), model.layers))
            .collect();
        self.links = document
            .links
            .iter()
            .filter_map(|link| Some((other(link)?, link.clone())))
            .collect();
    }

    /// A whole answer took this part of the time until its deadline.
    pub fn finished(&mut self, part: f64) {
        let step = if part < SLACK_PART {
            SLACK_STEP
        } else {
            -2.0 * SLACK_STEP
        };
        self.slack.0 = (self.slack.0 + step).clamp(SLACK_MIN, SLACK_MAX);
    }

    /// Counts the live entries besides this one by zone.
    pub fn count(&mut self, peers: impl Iterator<Item = ZoneId>) {
        self.entries.clear();
        self.entries.insert(self.zone.clone(), 1);
        for zone in peers {
            *self.entries.entry(zone).or_default() += 1;
        }
    }

    /// Sorts the targets into groups again, after a configuration or when layers moved; linear in
    /// the targets.
    pub fn regroup(&mut self, table: &Table) {
        self.groups.clear();
        self.facts.clear();
        let models: Vec<(ModelId, u32)> = self
            .layers
            .iter()
            .map(|(id, layers)| (id.clone(), *layers))
            .collect();
        self.facts.resize(table.len(), None);
        for (model, layers) in models {
            let mut groups: BTreeMap<(u8, Layers), Vec<Index>> = BTreeMap::new();
            let engines = table.engines(&model);
            let mean = self.mean_time(table, engines);
            for index in engines {
                let target = table.get(*index);
                let (Some(held), Some(kind)) = (target.layers(), self.kind(target).cloned()) else {
                    continue;
                };
                let fact = self.fact(target, kind, held, layers, mean);
                groups.entry((fact.tier, held)).or_default().push(*index);
                self.facts[index.place()] = Some(fact);
            }
            let groups = groups.into_iter().map(|((tier, layers), members)| Group {
                layers,
                tier,
                members,
            });
            self.groups.insert(model, groups.collect());
        }
    }

    /// Mean time of a layer over a model's engines, in microseconds.
    fn mean_time(&self, table: &Table, engines: &[Index]) -> f64 {
        let kinds = engines
            .iter()
            .filter_map(|index| self.kind(table.get(*index)));
        let times: Vec<f64> = kinds.map(|kind| kind.decode_layer_us).collect();
        times.iter().sum::<f64>() / (times.len().max(1)) as f64
    }

    fn fact(&self, target: &Target, kind: Kind, held: Layers, layers: u32, mean: f64) -> Fact {
        let near = target.zone == self.zone;
        let (delay, rate) = match self.links.get(&target.zone) {
            Some(link) => (Duration::from_micros(link.delay_us), link.rate.max(1.0)),
            None => (DELAY, RATE),
        };
        let far = delay > FAR_DELAY || rate < FAR_RATE;
        let depth = f64::from(held.end.saturating_sub(held.first).max(1));
        let time = kind.decode_layer_us.max(1e-3);
        let cycle = f64::from(layers) / depth * (mean / time);
        Fact {
            full: f64::from(kind.batch.max(1)) * cycle.max(1.0),
            kind,
            delay,
            rate,
            tier: if near { 0 } else { 1 + u8::from(far) },
        }
    }

    /// The groups of a model's targets, nearest first.
    pub fn groups(&self, model: &str) -> &[Group] {
        self.groups.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether a target stands in the entry's own zone.
    pub fn is_near(&self, target: &Target) -> bool {
        target.zone == self.zone
    }

    fn kind(&self, target: &Target) -> Option<&Kind> {
        self.kinds.get(&target.engine()?.kind)
    }

    /// Whether this entry may start one more attempt on a target.
    ///
    /// An interrupted answer may go a little further than a new one.
    pub fn has_room(&self, target: &Target, index: Index, want: &Want<'_>, now: Duration) -> bool {
        if target.health.on_probation() {
            return target.open == 0 && !want.resumed;
        }
        let more = if want.resumed { RESUMED } else { 1.0 };
        let share = target.health.share(now) * more;
        f64::from(target.open)
            < (self.limit(target, index, want.resumed, now) * share).max(self.least(index))
    }

    fn least(&self, index: Index) -> f64 {
        let fact = self.facts.get(index.place()).and_then(Option::as_ref);
        fact.map_or(0.0, |fact| if fact.tier == 0 { 1.0 } else { 0.0 })
    }

    /// Attempts that a target takes at most from this entry: its part of the target where that is
    /// in its own zone, and a part of what the last report leaves free.
    fn limit(&self, target: &Target, index: Index, resumed: bool, now: Duration) -> f64 {
        let Some(Some(fact)) = self.facts.get(index.place()) else {
            return 0.0;
        };
        let all: u32 = self.entries.values().sum();
        let all = f64::from(all.max(1));
        let there = self.entries.get(&target.zone).copied().unwrap_or(0);
        let fresh = target
            .report
            .as_ref()
            .filter(|report| now < report.at + REPORT_OLD);
        let full = fact.full * self.slack.0;
        let own = match (fact.tier, there) {
            (0, there) => full / f64::from(there.max(1)),
            (_, 0) => full / all,
            _ if resumed || fresh.is_none() => full / all,
            _ => 0.0,
        };
        let free = fresh.map_or(0.0, |report| (full - f64::from(report.load.open)).max(0.0));
        own + free / all
    }

    /// Projected time that a request spends on `layers` of a target.
    ///
    /// The entry's own outstanding work counts in full; a report counts less the older it is.
    pub fn cost(
        &self,
        target: &Target,
        index: Index,
        layers: Layers,
        want: &Want<'_>,
        now: Duration,
    ) -> Duration {
        match self.rule {
            Rule::RoundRobin => return Duration::from_millis(target.chosen),
            Rule::LeastOutstanding => return Duration::from_millis(u64::from(target.open)),
            Rule::Product | Rule::Projected | Rule::PrefixHolder => {}
        }
        let Some(Some(fact)) = self.facts.get(index.place()) else {
            return Duration::MAX / 4;
        };
        let kind = &fact.kind;
        let depth = f64::from(layers.end - layers.first);
        let held = match self.rule {
            Rule::Product | Rule::PrefixHolder => target.cache.cached(want.prefix),
            Rule::Projected | Rule::RoundRobin | Rule::LeastOutstanding => 0,
        };
        let positions = f64::from(want.positions.saturating_sub(held));
        let weight = match self.rule {
            Rule::Product => PREFIX_WEIGHT,
            _ => 1.0,
        };
        let tokens = f64::from(want.tokens);
        let (open, queued) = outstanding(target, now);
        let prefill = (positions * weight + queued) * depth / kind.prefill_rate.max(1.0);
        let crowd = 1.0 + open / f64::from(kind.batch.max(1));
        let decode = tokens * depth * kind.decode_layer_us * crowd / 1e6;
        let compute = (prefill + decode) / target.health.share(now);
        let bytes = want.activation as f64;
        let carry = |bytes: f64| fact.delay.as_secs_f64() + bytes / fact.rate;
        let link = carry(bytes * positions) + carry(bytes) * 2.0 * tokens.max(1.0);
        Duration::from_secs_f64((compute + link).min(1e9))
    }
}

/// Open attempts and queued positions on a target, by this entry's count and the target's report.
fn outstanding(target: &Target, now: Duration) -> (f64, f64) {
    let open = f64::from(target.open);
    let queued = target.queued as f64;
    let Some(report) = &target.report else {
        return (open, queued);
    };
    let age = now.saturating_sub(report.at).as_secs_f64();
    let weight = 0.5_f64.powf(age / REPORT_HALF.as_secs_f64());
    let others = |reported: f64, own: f64| own + (reported - own).max(0.0) * weight;
    (
        others(f64::from(report.load.open), open),
        others(report.load.queued as f64, queued),
    )
}
