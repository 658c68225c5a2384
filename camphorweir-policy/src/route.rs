//! Selection of a path through a model's layers by projected completion time.

use {
    crate::{
        path::{Hop, Path},
        target::{Index, Table, Target},
        topology::{Group, Topology},
    },
    camphorweir_wire::engine::Layers,
    rand::{Rng, rngs::SmallRng},
    std::time::Duration,
};

/// Number of targets of a group that are compared, by the group's tier: own zone, near zones, far
/// zones.
const SAMPLE_SIZES: [usize; 3] = [4, 3, 2];
/// Maximum number of targets of a group that are examined to find those to compare; bounds the
/// cost of a decision.
const MAX_EXAMINED: usize = 48;
/// Number of targets of a group that the hash of a prompt's first block maps to, for prefix
/// affinity.
const AFFINITY_TARGETS: usize = 2;

/// What a path is needed for.
#[derive(Clone, Debug)]
pub struct Spec<'a> {
    /// The model to run.
    pub model: &'a str,
    /// Number of the model's layers.
    pub layers: u32,
    /// Size of one position's activation, in bytes.
    pub activation: u64,
    /// Number of positions to prefill.
    pub positions: u32,
    /// Number of tokens to decode.
    pub tokens: u32,
    /// Hashes of the prompt's blocks, for prefix cache lookups.
    pub prefix: &'a [u64],
    /// Whether the path resumes an interrupted answer.
    pub resumed: bool,
    /// Targets to avoid where the others cover the model.
    pub avoid: &'a [Index],
}

/// How paths are compared; all rules but [`Rule::Production`] exist only as baselines for
/// benchmarks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rule {
    /// The rule used in production: projected completion with prefix caches.
    #[default]
    Production,
    /// Prefers the targets chosen least often.
    RoundRobin,
    /// Prefers the targets with the fewest attempts of this entry.
    LeastOutstanding,
    /// Projected completion without regard to prefix caches.
    Projected,
    /// Projected completion in which a cached prefix counts only for the prefill time it saves.
    PrefixHolder,
}

/// Why no path was found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No usable target holds some of the layers.
    Uncovered,
    /// Only targets at their capacity limit hold some of the layers.
    Full,
}

/// A target that a path may use, and the layers it holds.
struct Candidate {
    target: Index,
    layers: Layers,
}

/// Chooses the path with the least projected completion time.
///
/// Takes time linear in the model's groups and in the sampled candidates times the boundaries
/// between layer ranges, independent of the number of targets; only when no path is found are whole
/// groups searched.
///
/// Targets in far zones are used only if nearer usable targets don't hold all layers, because the
/// links to far zones are so slow that waiting for capacity is faster.
///
/// # Errors
///
/// The [`Failure`] shows whether waiting may help.
pub fn choose(
    table: &Table,
    topology: &Topology,
    spec: &Spec<'_>,
    now: Duration,
    rng: &mut SmallRng,
) -> Result<Path, Failure> {
    // Groups are sorted by tier, nearest first.
    let all = topology.groups(spec.model);
    let near = all.partition_point(|group| group.tier < 2);
    let groups = match near {
        near if covers(table, topology, spec, &all[..near], now, &[]) => &all[..near],
        _ => all,
    };
    let avoid = match spec.avoid {
        [] => spec.avoid,
        avoid if covers(table, topology, spec, groups, now, avoid) => avoid,
        _ => &[],
    };
    let candidates = sample(table, topology, spec, groups, now, avoid, rng);
    if let Some(path) = shortest(table, topology, spec, &candidates, now) {
        return Ok(path);
    }
    if covers(table, topology, spec, groups, now, avoid) {
        return Err(Failure::Full);
    }
    Err(Failure::Uncovered)
}

/// Whether the usable targets outside `avoid` hold all layers of the model, regardless of capacity;
/// at worst linear in the model's targets.
fn covers(
    table: &Table,
    topology: &Topology,
    spec: &Spec<'_>,
    groups: &[Group],
    now: Duration,
    avoid: &[Index],
) -> bool {
    let is_eligible = |index: &&Index| !avoid.contains(index) && table.get(**index).usable(now);
    let mut candidates = Vec::new();
    for group in groups {
        // An engine runs one layer range per attempt, so a single engine whose range spans others
        // can't fill two places of a path.
        candidates.extend(
            group
                .members
                .iter()
                .filter(is_eligible)
                .take(2)
                .map(|target| Candidate {
                    target: *target,
                    layers: group.layers,
                }),
        );
    }
    shortest(table, topology, spec, &candidates, now).is_some()
}

/// Samples a few candidates with capacity from every group.
fn sample(
    table: &Table,
    topology: &Topology,
    spec: &Spec<'_>,
    groups: &[Group],
    now: Duration,
    avoid: &[Index],
    rng: &mut SmallRng,
) -> Vec<Candidate> {
    let mut out: Vec<Candidate> = Vec::new();
    for group in groups {
        let len = group.members.len();
        let first = out.len();
        let is_eligible = |target: Index, out: &[Candidate]| {
            let state = table.get(target);
            let is_new = out[first..]
                .iter()
                .all(|candidate| candidate.target != target);
            is_new
                && !avoid.contains(&target)
                && state.usable(now)
                && topology.has_capacity(state, target, spec, now)
        };
        let add = |target: Index, out: &mut Vec<Candidate>| {
            if is_eligible(target, out) {
                let layers = group.layers;
                out.push(Candidate { target, layers });
            }
        };
        if let (Rule::Production | Rule::PrefixHolder, 0, Some(block)) =
            (topology.rule, group.tier, spec.prefix.first())
        {
            for offset in 0..AFFINITY_TARGETS.min(len) {
                add(
                    group.members[(*block as usize).wrapping_add(offset) % len],
                    &mut out,
                );
            }
        }
        let wanted = out.len() - first + SAMPLE_SIZES[usize::from(group.tier).min(2)];
        let start = rng.random_range(0..len);
        for offset in 0..len.min(MAX_EXAMINED) {
            if out.len() - first >= wanted {
                break;
            }
            add(group.members[(start + offset) % len], &mut out);
        }
    }
    out
}

/// The cheapest chain found that covers the layers up to a boundary.
#[derive(Clone, Copy)]
struct Best {
    cost: Duration,
    /// Index of the boundary at which the chain's last hop starts.
    from: usize,
    /// The chain's last hop.
    hop: Hop,
}

/// The cheapest path over the candidates, by dynamic programming over the layer boundaries.
fn shortest(
    table: &Table,
    topology: &Topology,
    spec: &Spec<'_>,
    candidates: &[Candidate],
    now: Duration,
) -> Option<Path> {
    let bounds = bounds(spec.layers, candidates);
    let mut best: Vec<Option<Best>> = vec![None; bounds.len()];
    for from in 0..bounds.len() {
        let base_cost = match (from, best[from]) {
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
                let cost = base_cost + topology.cost(target, candidate.target, layers, spec, now);
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
    backtrack(spec.layers, &best)
}

/// Whether the best chain up to boundary `at` already uses a target; an engine runs one layer range
/// per attempt.
fn is_on_chain(best: &[Option<Best>], mut at: usize, target: Index) -> bool {
    while let Some(found) = best[at] {
        if found.hop.target == target {
            return true;
        }
        at = found.from;
    }
    false
}

/// All points at which a hop may start or end: 0, `layers` and the bounds of every candidate's
/// range, sorted.
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

/// The path whose hops lead to the last boundary.
fn backtrack(layers: u32, best: &[Option<Best>]) -> Option<Path> {
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
