//! The choice of a layer path by projected completion.

use {
    crate::{
        path::{Hop, Path},
        target::{Index, Table, Target},
    },
    camphorweir_config::model::{Document, Kind, Link, ZoneId},
    camphorweir_wire::engine::Layers,
    rand::{Rng, rngs::SmallRng},
    std::{collections::HashMap, time::Duration},
};

/// Targets of one zone and range of layers that are compared.
const SAMPLE: usize = 4;
/// Targets of other zones that are compared beside those of the entry's own.
const SAMPLE_FAR: usize = 2;
/// Attempts open on a target, as a multiple of its batch, above which it gets no more.
const DEPTH: u32 = 2;
/// One-way delay of a link that the configuration does not describe.
const DELAY: Duration = Duration::from_millis(1);
/// Bytes a second of a link that the configuration does not describe.
const RATE: f64 = 1e9;
/// Age at which a load report counts half.
const REPORT_HALF: Duration = Duration::from_secs(1);

/// What a path is wanted for.
#[derive(Clone, Debug)]
pub struct Want<'a> {
    /// The model.
    pub model: &'a str,
    /// Its layers.
    pub layers: u32,
    /// Bytes of an activation.
    pub activation: u64,
    /// Positions to prefill.
    pub positions: u32,
    /// Tokens to decode.
    pub tokens: u32,
    /// Targets to keep off where there are others.
    pub avoid: &'a [Index],
}

/// How paths are compared; all but the first exist to be measured against it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// By all that this module knows.
    #[default]
    Product,
    /// The targets chosen least often.
    RoundRobin,
    /// The targets with the fewest of the entry's own attempts.
    LeastOutstanding,
    /// Projected completion alone, blind to prefix caches.
    Projected,
    /// The holder of the longest prefix unless it is overloaded.
    PrefixHolder,
}

/// Why there is no path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Miss {
    /// Some layers are held by no usable target.
    Uncovered,
    /// Some layers are held only by targets that have all the work they can take.
    Full,
}

/// What the configuration says about the cost of targets and links, as seen from one zone.
#[derive(Debug, Default)]
pub struct Map {
    zone: ZoneId,
    kinds: HashMap<String, Kind>,
    links: HashMap<ZoneId, Link>,
    pub(crate) rule: Rule,
}

impl Map {
    /// The part of a configuration that concerns an entry in `zone`.
    pub fn new(zone: &str, document: &Document) -> Self {
        let other = |link: &Link| {
            let [one, two] = &link.between;
            if one == zone {
                return Some(two.clone());
            }
            (two == zone).then(|| one.clone())
        };
        Self {
            rule: Rule::default(),
            zone: zone.to_owned(),
            kinds: document.kinds.clone().into_iter().collect(),
            links: document
                .links
                .iter()
                .filter_map(|link| Some((other(link)?, link.clone())))
                .collect(),
        }
    }

    /// Whether a target stands in the entry's own zone.
    pub fn is_near(&self, target: &Target) -> bool {
        target.zone == self.zone
    }

    /// Time to carry `bytes` to a zone, one way.
    fn carry(&self, zone: &str, bytes: f64) -> Duration {
        let Some(link) = self.links.get(zone) else {
            return DELAY + Duration::from_secs_f64(bytes / RATE);
        };
        Duration::from_micros(link.delay_us) + Duration::from_secs_f64(bytes / link.rate.max(1.0))
    }

    /// Attempts that a target takes at most from this entry.
    pub fn limit(&self, target: &Target) -> u32 {
        let batch = self.kind(target).map_or(1, |kind| kind.batch.max(1));
        batch.saturating_mul(DEPTH)
    }

    fn kind(&self, target: &Target) -> Option<&Kind> {
        self.kinds.get(&target.engine()?.kind)
    }

    /// Projected time that a request spends on `layers` of a target.
    ///
    /// The entry's own outstanding work counts in full; a report counts less the older it is.
    pub fn cost(
        &self,
        target: &Target,
        layers: Layers,
        want: &Want<'_>,
        now: Duration,
    ) -> Duration {
        match self.rule {
            Rule::RoundRobin => return Duration::from_millis(target.chosen),
            Rule::LeastOutstanding => return Duration::from_millis(u64::from(target.open)),
            Rule::Product | Rule::Projected | Rule::PrefixHolder => {}
        }
        let Some(kind) = self.kind(target) else {
            return Duration::MAX / 4;
        };
        let depth = f64::from(layers.end - layers.first);
        let positions = f64::from(want.positions);
        let tokens = f64::from(want.tokens);
        let (open, queued) = outstanding(target, now);
        let prefill = (positions + queued) * depth / kind.prefill_rate.max(1.0);
        let crowd = 1.0 + open / f64::from(kind.batch.max(1));
        let decode = tokens * depth * kind.decode_layer_us * crowd / 1e6;
        let compute = (prefill + decode) / target.health.share(now);
        let bytes = want.activation as f64;
        let link = self.carry(&target.zone, bytes * positions)
            + self.carry(&target.zone, bytes) * 2 * want.tokens.max(1);
        Duration::from_secs_f64(compute.min(1e9)) + link
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

/// A target under consideration.
struct Candidate {
    target: Index,
    layers: Layers,
}

/// Chooses a path of least projected completion.
///
/// Linear in the sampled candidates times the boundaries between layer ranges.
///
/// # Errors
///
/// [`Miss`] tells whether waiting helps.
pub fn choose(
    table: &Table,
    map: &Map,
    want: &Want<'_>,
    now: Duration,
    rng: &mut SmallRng,
) -> Result<Path, Miss> {
    let usable = usable(table, map, want, now);
    let free: Vec<Index> = usable
        .iter()
        .copied()
        .filter(|index| has_room(table.get(*index), map))
        .collect();
    let candidates = sample(table, map, &free, rng);
    if let Some(path) = shortest(table, map, want, &candidates, now) {
        return Ok(path);
    }
    let all = candidates_of(table, &usable);
    match shortest(table, map, want, &all, now) {
        Some(_) => Err(Miss::Full),
        None => Err(Miss::Uncovered),
    }
}

fn has_room(target: &Target, map: &Map) -> bool {
    target.open < map.limit(target)
}

/// The usable engines of the model, without those to avoid unless layers depend on them.
fn usable(table: &Table, map: &Map, want: &Want<'_>, now: Duration) -> Vec<Index> {
    let all: Vec<Index> = table
        .engines(want.model)
        .iter()
        .copied()
        .filter(|index| table.get(*index).usable(now))
        .collect();
    if want.avoid.is_empty() {
        return all;
    }
    let kept: Vec<Index> = all
        .iter()
        .copied()
        .filter(|index| !want.avoid.contains(index))
        .collect();
    match shortest(table, map, want, &candidates_of(table, &kept), now) {
        Some(_) => kept,
        None => all,
    }
}

fn candidates_of(table: &Table, indexes: &[Index]) -> Vec<Candidate> {
    indexes
        .iter()
        .filter_map(|index| {
            Some(Candidate {
                target: *index,
                layers: table.get(*index).layers()?,
            })
        })
        .collect()
}

/// A few candidates of every range of layers, the entry's own zone before the others.
fn sample(table: &Table, map: &Map, free: &[Index], rng: &mut SmallRng) -> Vec<Candidate> {
    let mut groups: HashMap<(Layers, bool), Vec<Candidate>> = HashMap::new();
    for candidate in candidates_of(table, free) {
        let near = map.is_near(table.get(candidate.target));
        groups
            .entry((candidate.layers, near))
            .or_default()
            .push(candidate);
    }
    let mut keys: Vec<(Layers, bool)> = groups.keys().copied().collect();
    keys.sort_unstable();
    let mut out = Vec::new();
    for key in keys {
        let Some(mut group) = groups.remove(&key) else {
            continue;
        };
        let room = if key.1 { SAMPLE } else { SAMPLE_FAR };
        while group.len() > room {
            let drop = rng.random_range(0..group.len());
            group.swap_remove(drop);
        }
        out.extend(group);
    }
    out
}

/// The best way to cover the layers up to a boundary.
#[derive(Clone, Copy)]
struct Best {
    cost: Duration,
    from: usize,
    hop: Hop,
}

/// Dynamic programming over the boundaries of layer ranges.
fn shortest(
    table: &Table,
    map: &Map,
    want: &Want<'_>,
    candidates: &[Candidate],
    now: Duration,
) -> Option<Path> {
    let bounds = bounds(want.layers, candidates);
    let mut best: Vec<Option<Best>> = vec![None; bounds.len()];
    for from in 0..bounds.len() {
        let base = match (from, best[from]) {
            (0, _) => Duration::ZERO,
            (_, Some(found)) => found.cost,
            (_, None) => continue,
        };
        let first = bounds[from];
        for candidate in candidates {
            let covers = candidate.layers.first <= first && candidate.layers.end > first;
            if !covers || is_on_chain(&best, from, candidate.target) {
                continue;
            }
            let target = table.get(candidate.target);
            for (to, end) in bounds.iter().enumerate().skip(from + 1) {
                if *end > candidate.layers.end {
                    break;
                }
                let layers = Layers { first, end: *end };
                let cost = base + map.cost(target, layers, want, now);
                if best[to].is_none_or(|found| cost < found.cost) {
                    let hop = Hop {
                        target: candidate.target,
                        layers,
                    };
                    best[to] = Some(Best { cost, from, hop });
                }
            }
        }
    }
    trace(want.layers, &best)
}

/// Whether a target already runs earlier layers; an engine runs one range for each attempt.
fn is_on_chain(best: &[Option<Best>], mut at: usize, target: Index) -> bool {
    while let Some(found) = best[at] {
        if found.hop.target == target {
            return true;
        }
        at = found.from;
    }
    false
}

/// The first layer, the last and every boundary of a candidate's range, in order.
fn bounds(layers: u32, candidates: &[Candidate]) -> Vec<u32> {
    let mut bounds = vec![0, layers];
    for candidate in candidates {
        bounds.push(candidate.layers.first.min(layers));
        bounds.push(candidate.layers.end.min(layers));
    }
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

fn trace(layers: u32, best: &[Option<Best>]) -> Option<Path> {
    let mut hops = Vec::new();
    let mut at = best.len() - 1;
    while at > 0 {
        let found = best[at]?;
        hops.push(found.hop);
        at = found.from;
    }
    hops.reverse();
    Path::tile(layers, hops)
}
