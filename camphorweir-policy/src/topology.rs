//! Groups, costs and capacity limits of engines, as seen from one zone.

use {
    crate::{
        route::{Rule, Spec},
        target::{Index, Table, Target},
    },
    camphorweir_config::model::{Document, Kind, Link, ModelId, ZoneId},
    camphorweir_wire::engine::Layers,
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

/// Initial limit of the attempts in flight on a target, as a multiple of the number that keeps its
/// batches full by Little's law.
const OVERCOMMIT: f64 = 1.5;
/// Minimum of this multiple, below which batches are not full.
const OVERCOMMIT_MIN: f64 = 1.3;
/// Maximum of this multiple, above which attempts only wait for each other.
const OVERCOMMIT_MAX: f64 = 2.2;
/// Increase of this multiple per fast answer; a slow answer decreases it by twice as much.
const OVERCOMMIT_STEP: f64 = 0.002;
/// An answer counts as fast if it takes, from the start of its first attempt, less than this
/// fraction of the time from arrival to deadline.
const FAST_FRACTION: f64 = 0.4;
/// Factor by which the limit is raised for attempts that resume an interrupted answer.
const RESUMED_FACTOR: f64 = 1.5;
/// Weight of prefill time against waiting time: the wait delays one request, while prefill takes
/// engine time from all.
const PREFILL_WEIGHT: f64 = 16.0;
/// One-way delay of a link that is not configured.
const DEFAULT_DELAY: Duration = Duration::from_millis(1);
/// Rate of a link that is not configured, in bytes per second.
const DEFAULT_RATE: f64 = 1e9;
/// Links slower than this, in bytes per second, or with a longer delay than [`FAR_DELAY`] lead to
/// far zones.
const FAR_RATE: f64 = 100e6;
/// One-way delay above which a link leads to a far zone.
const FAR_DELAY: Duration = Duration::from_millis(5);
/// Age at which the weight of a load report has halved.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Age from which a load report no longer counts for a target's free capacity.
const REPORT_EXPIRY: Duration = Duration::from_secs(2);

/// Targets that hold the same layers and are in the same tier.
#[derive(Clone, Debug)]
pub struct Group {
    /// The layers that the targets hold.
    pub layers: Layers,
    /// Distance: 0 for the entry's own zone, 1 for near zones, 2 for far ones.
    pub tier: u8,
    /// The targets; not empty.
    pub members: Vec<Index>,
}

/// Properties of a target that are fixed between two calls of [`Topology::regroup`].
#[derive(Clone, Debug)]
struct Profile {
    kind: Kind,
    /// One-way delay of the link.
    delay: Duration,
    /// Rate of the link in bytes per second.
    rate: f64,
    /// As in [`Group::tier`].
    tier: u8,
    /// Number of attempts, of all entries together, that just keep the target's batches full.
    full_batches: f64,
}

/// Groups, costs and capacity limits of all engines.
#[derive(Debug, Default)]
pub struct Topology {
    zone: ZoneId,
    kinds: HashMap<String, Kind>,
    /// Links from the entry's own zone, by the other zone.
    links: HashMap<ZoneId, Link>,
    /// Number of layers of each model.
    layers: HashMap<ModelId, u32>,
    groups: HashMap<ModelId, Vec<Group>>,
    /// By target index; `None` for targets that are not engines of a configured model.
    profiles: Vec<Option<Profile>>,
    /// Number of live entries by zone, this one included.
    entries: HashMap<ZoneId, u32>,
    /// Limit of the attempts in flight on a target, as a multiple of the number that keeps its
    /// batches full; grows while answers are fast.
    overcommit: Overcommit,
    /// How paths are compared.
    pub(crate) rule: Rule,
}

/// A multiple that defaults to [`OVERCOMMIT`].
#[derive(Debug)]
struct Overcommit(f64);

impl Default for Overcommit {
    fn default() -> Self {
        Self(OVERCOMMIT)
    }
}

impl Topology {
    /// Applies a configuration, as seen by an entry in `zone`.
    pub fn configure(&mut self, zone: &str, document: &Document) {
        let peer_zone = |link: &Link| {
            let [first, second] = &link.between;
            if first == zone {
                return Some(second.clone());
            }
            (second == zone).then(|| first.clone())
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
            .filter_map(|link| Some((peer_zone(link)?, link.clone())))
            .collect();
    }

    /// Adapts the limit of attempts in flight to a successful answer; `fraction` is the time from
    /// its first attempt to its end, divided by the time from arrival to deadline.
    pub fn adapt(&mut self, fraction: f64) {
        let step = if fraction < FAST_FRACTION {
            OVERCOMMIT_STEP
        } else {
            -2.0 * OVERCOMMIT_STEP
        };
        self.overcommit.0 = (self.overcommit.0 + step).clamp(OVERCOMMIT_MIN, OVERCOMMIT_MAX);
    }

    /// Sets the live entries other than this one, each given by its zone.
    pub fn set_peers(&mut self, peers: impl Iterator<Item = ZoneId>) {
        self.entries.clear();
        self.entries.insert(self.zone.clone(), 1);
        for zone in peers {
            *self.entries.entry(zone).or_default() += 1;
        }
    }

    /// Recomputes groups and profiles after a configuration change or when engines hold other
    /// layers; linear in the targets.
    pub fn regroup(&mut self, table: &Table) {
        self.groups.clear();
        self.profiles.clear();
        let models: Vec<(ModelId, u32)> = self
            .layers
            .iter()
            .map(|(id, layers)| (id.clone(), *layers))
            .collect();
        self.profiles.resize(table.len(), None);
        for (model, layers) in models {
            let mut groups: BTreeMap<(u8, Layers), Vec<Index>> = BTreeMap::new();
            let engines = table.engines(&model);
            let mean_us = self.mean_layer_time(table, engines);
            for index in engines {
                let target = table.get(*index);
                let (Some(range), Some(kind)) = (target.layers(), self.kind(target).cloned())
                else {
                    continue;
                };
                let profile = self.profile(target, kind, range, layers, mean_us);
                groups
                    .entry((profile.tier, range))
                    .or_default()
                    .push(*index);
                self.profiles[index.as_usize()] = Some(profile);
            }
            let groups = groups.into_iter().map(|((tier, layers), members)| Group {
                layers,
                tier,
                members,
            });
            self.groups.insert(model, groups.collect());
        }
    }

    /// Mean decode time of a layer over a model's engines, in microseconds.
    fn mean_layer_time(&self, table: &Table, engines: &[Index]) -> f64 {
        let kinds = engines
            .iter()
            .filter_map(|index| self.kind(table.get(*index)));
        let times: Vec<f64> = kinds.map(|kind| kind.decode_layer_us).collect();
        times.iter().sum::<f64>() / (times.len().max(1)) as f64
    }

    /// The profile of a target that holds the layers `range` of a model with `layers` layers, whose
    /// mean decode time is `mean_us` per layer.
    fn profile(
        &self,
        target: &Target,
        kind: Kind,
        range: Layers,
        layers: u32,
        mean_us: f64,
    ) -> Profile {
        let local = target.zone == self.zone;
        let (delay, rate) = match self.links.get(&target.zone) {
            Some(link) => (Duration::from_micros(link.delay_us), link.rate.max(1.0)),
            None => (DEFAULT_DELAY, DEFAULT_RATE),
        };
        let far = delay > FAR_DELAY || rate < FAR_RATE;
        let depth = f64::from(range.end.saturating_sub(range.first).max(1));
        let time_us = kind.decode_layer_us.max(1e-3);
        // Duration of a token's pass through all layers, relative to this target's share of it.
        let pass = f64::from(layers) / depth * (mean_us / time_us);
        Profile {
            full_batches: f64::from(kind.batch.max(1)) * pass.max(1.0),
            kind,
            delay,
            rate,
            tier: if local { 0 } else { 1 + u8::from(far) },
        }
    }

    /// The groups of a model's engines, nearest first.
    pub fn groups(&self, model: &str) -> &[Group] {
        self.groups.get(model).map_or(&[], Vec::as_slice)
    }

    /// Whether a target is in the entry's own zone.
    pub fn is_local(&self, target: &Target) -> bool {
        target.zone == self.zone
    }

    fn kind(&self, target: &Target) -> Option<&Kind> {
        self.kinds.get(&target.engine()?.kind)
    }

    /// Whether this entry may start one more attempt on a target.
    ///
    /// The limit is higher for an interrupted answer than for a new one.
    pub fn has_capacity(
        &self,
        target: &Target,
        index: Index,
        spec: &Spec<'_>,
        now: Duration,
    ) -> bool {
        if target.health.on_probation() {
            return target.in_flight == 0 && !spec.resumed;
        }
        let factor = if spec.resumed { RESUMED_FACTOR } else { 1.0 };
        let share = target.health.share(now) * factor;
        f64::from(target.in_flight)
            < (self.limit(target, index, spec.resumed, now) * share).max(self.min_limit(index))
    }

    /// The lower bound of [`Topology::limit`]: one attempt on each target of the own zone.
    fn min_limit(&self, index: Index) -> f64 {
        let profile = self.profiles.get(index.as_usize()).and_then(Option::as_ref);
        profile.map_or(0.0, |profile| if profile.tier == 0 { 1.0 } else { 0.0 })
    }

    /// Maximum number of this entry's attempts in flight on a target.
    ///
    /// The capacity of a target in the own zone is divided among the zone's entries. That of a
    /// target in another zone is divided among all entries if its zone has no entry, for a resumed
    /// answer or without a recent report; otherwise this entry has no part of its own. In each
    /// case, what a recent report shows as free is divided among all entries in addition.
    fn limit(&self, target: &Target, index: Index, resumed: bool, now: Duration) -> f64 {
        let Some(Some(profile)) = self.profiles.get(index.as_usize()) else {
            return 0.0;
        };
        let entries: u32 = self.entries.values().sum();
        let entries = f64::from(entries.max(1));
        let zone_entries = self.entries.get(&target.zone).copied().unwrap_or(0);
        let fresh = target
            .report
            .as_ref()
            .filter(|report| now < report.at + REPORT_EXPIRY);
        let capacity = profile.full_batches * self.overcommit.0;
        let own = match (profile.tier, zone_entries) {
            (0, zone_entries) => capacity / f64::from(zone_entries.max(1)),
            (_, 0) => capacity / entries,
            _ if resumed || fresh.is_none() => capacity / entries,
            _ => 0.0,
        };
        let free = fresh.map_or(0.0, |report| {
            (capacity - f64::from(report.load.open_attempts)).max(0.0)
        });
        own + free / entries
    }

    /// Projected time that a request needs for `layers` on a target.
    ///
    /// This entry's outstanding work counts in full; other entries' work, known from the target's
    /// load report, counts less the older the report is.
    ///
    /// For the rules round robin and least outstanding, a count takes the place of the time.
    pub fn cost(
        &self,
        target: &Target,
        index: Index,
        layers: Layers,
        spec: &Spec<'_>,
        now: Duration,
    ) -> Duration {
        match self.rule {
            Rule::RoundRobin => return Duration::from_millis(target.times_chosen),
            Rule::LeastOutstanding => return Duration::from_millis(u64::from(target.in_flight)),
            Rule::Production | Rule::Projected | Rule::PrefixHolder => {}
        }
        let Some(Some(profile)) = self.profiles.get(index.as_usize()) else {
            return Duration::MAX / 4;
        };
        let kind = &profile.kind;
        let depth = f64::from(layers.end - layers.first);
        let cached = match self.rule {
            Rule::Production | Rule::PrefixHolder => target.cache.cached(spec.prefix),
            Rule::Projected | Rule::RoundRobin | Rule::LeastOutstanding => 0,
        };
        let positions = f64::from(spec.positions.saturating_sub(cached));
        let weight = match self.rule {
            Rule::Production => PREFILL_WEIGHT,
            _ => 1.0,
        };
        let tokens = f64::from(spec.tokens);
        let (open, queued) = outstanding(target, now);
        let prefill = (positions * weight + queued) * depth / kind.prefill_rate.max(1.0);
        let batch_factor = 1.0 + open / f64::from(kind.batch.max(1));
        let decode = tokens * depth * kind.decode_layer_us * batch_factor / 1e6;
        let compute = (prefill + decode) / target.health.share(now);
        let bytes = spec.activation as f64;
        let transfer = |bytes: f64| profile.delay.as_secs_f64() + bytes / profile.rate;
        let link = transfer(bytes * positions) + transfer(bytes) * 2.0 * tokens.max(1.0);
        Duration::from_secs_f64((compute + link).min(1e9))
    }
}

/// Attempts in flight and queued positions on a target: this entry's own, and other entries' as
/// known from the target's report, weighted by its age.
fn outstanding(target: &Target, now: Duration) -> (f64, f64) {
    let open = f64::from(target.in_flight);
    let queued = target.queued_positions as f64;
    let Some(report) = &target.report else {
        return (open, queued);
    };
    let age = now.saturating_sub(report.at).as_secs_f64();
    let weight = 0.5_f64.powf(age / REPORT_HALF_LIFE.as_secs_f64());
    let combine = |reported: f64, own: f64| own + (reported - own).max(0.0) * weight;
    (
        combine(f64::from(report.load.open_attempts), open),
        combine(report.load.queued_positions as f64, queued),
    )
}
