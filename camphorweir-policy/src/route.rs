//! The choice of a layer path by projected completion.

use {
    crate::{
        map::{Group, Map},
        path::{Hop, Path},
        target::{Index, Table, Target},
    },
    camphorweir_wire::engine::Layers,
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Targets of one group that are compared: of the entry's own zone, of near zones, of far ones.
const SAMPLE: [usize; 3] = [4, 3, 2];
/// Targets of one group that are looked at to find those to compare; bounds a decision.
const TRIES: usize = 48;
/// Targets of one group that a prompt's first block points to.
const HOMES: usize = 2;

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
    /// Hashes of the prompt's blocks.
    pub prefix: &'a [u64],
    /// Whether an interrupted answer goes on.
    pub resumed: bool,
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

/// A target under consideration.
struct Candidate {
    target: Index,
    layers: Layers,
}

/// Chooses a path of least projected completion.
///
/// Linear in the groups of the model and the sampled candidates times the boundaries between layer
/// ranges, whatever the number of targets; only where no path is found are the groups searched.
///
/// Far zones are only used for layers that no near target holds: their links carry so little that
/// waiting for room is faster.
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
    // Groups stand in the order of their distance.
    let all = map.groups(want.model);
    let near = all.partition_point(|group| group.tier < 2);
    let groups = match near {
        near if covers(table, map, want, &all[..near], now, &[]) => &all[..near],
        _ => all,
    };
    let avoid = match want.avoid {
        [] => want.avoid,
        avoid if covers(table, map, want, groups, now, avoid) => avoid,
        _ => &[],
    };
    let candidates = sample(table, map, want, groups, now, avoid, rng);
    if let Some(path) = shortest(table, map, want, &candidates, now) {
        return Ok(path);
    }
    if covers(table, map, want, groups, now, avoid) {
        return Err(Miss::Full);
    }
    Err(Miss::Uncovered)
}

/// Whether usable targets cover the model without some; linear in its targets at worst.
fn covers(
    table: &Table,
    map: &Map,
    want: &Want<'_>,
    groups: &[Group],
    now: Duration,
    avoid: &[Index],
) -> bool {
    let good = |index: &&Index| !avoid.contains(index) && table.get(**index).usable(now);
    let mut candidates = Vec::new();
    for group in groups {
        // An engine runs one range for each attempt, so a long one may not stand in twice.
        candidates.extend(
            group
                .members
                .iter()
                .filter(good)
                .take(2)
                .map(|target| Candidate {
                    target: *target,
                    layers: group.layers,
                }),
        );
    }
    shortest(table, map, want, &candidates, now).is_some()
}

/// A few candidates of every group.
fn sample(
    table: &Table,
    map: &Map,
    want: &Want<'_>,
    groups: &[Group],
    now: Duration,
    avoid: &[Index],
    rng: &mut SmallRng,
) -> Vec<Candidate> {
    let mut out: Vec<Candidate> = Vec::new();
    for group in groups {
        let len = group.members.len();
        let first = out.len();
        let good = |target: Index, out: &[Candidate]| {
            let known = table.get(target);
            let fresh = out[first..].iter().all(|one| one.target != target);
            fresh
                && !avoid.contains(&target)
                && known.usable(now)
                && map.has_room(known, target, want, now)
        };
        let add = |target: Index, out: &mut Vec<Candidate>| {
            if good(target, out) {
                let layers = group.layers;
                out.push(Candidate { target, layers });
            }
        };
        if let (Rule::Product | Rule::PrefixHolder, 0, Some(block)) =
            (map.rule, group.tier, want.prefix.first())
        {
            for number in 0..HOMES.min(len) {
                add(
                    group.members[(*block as usize).wrapping_add(number) % len],
                    &mut out,
                );
            }
        }
        let room = out.len() - first + SAMPLE[usize::from(group.tier).min(2)];
        let start = rng.random_range(0..len);
        for number in 0..len.min(TRIES) {
            if out.len() - first >= room {
                break;
            }
            add(group.members[(start + number) % len], &mut out);
        }
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
            let target: &Target = table.get(candidate.target);
            for (to, end) in bounds.iter().enumerate().skip(from + 1) {
                if *end > candidate.layers.end {
                    break;
                }
                let layers = Layers { first, end: *end };
                let cost = base + map.cost(target, candidate.target, layers, want, now);
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
