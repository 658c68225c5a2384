//! The cheapest path through targets of one availability zone that runs every layer once, in order.

use crate::{
    ids::{Layer, TargetId},
    span::Span,
};

/// Limit on the hops of a path; targets refuse longer paths.
const MAX_HOPS: usize = 32;

/// What a target offers to a path.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The target.
    pub target: TargetId,
    /// Layers that the target holds.
    pub span: Span,
    /// Projected time for each layer in ms.
    pub layer_ms: f64,
    /// Free memory, in tokens times layers.
    pub free_token_layers: f64,
    /// Whether the target accepts another request as the first hop of a path.
    pub accepts_first_hop: bool,
}

/// What a request needs of a path.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Layers of the model.
    pub layers: Layer,
    /// Tokens to be kept in memory for each layer.
    pub tokens: f64,
    /// Projected time of each hop in ms.
    pub hop_ms: f64,
}

/// One hop of a path: a target and the layers it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hop {
    /// The target.
    pub target: TargetId,
    /// Layers that the target runs.
    pub span: Span,
}

/// Hops that cover every layer exactly once, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Path {
    hops: Vec<Hop>,
    cost_ms: f64,
}

impl Path {
    /// A path, or `None` where the hops leave a gap, overlap, use a target twice or are too many.
    pub fn new(hops: Vec<Hop>, layers: Layer, cost_ms: f64) -> Option<Self> {
        let mut next_layer = 0;
        for (index, hop) in hops.iter().enumerate() {
            let is_repeated = hops[..index].iter().any(|other| other.target == hop.target);
            if hop.span.from != next_layer || hop.span.is_empty() || is_repeated {
                return None;
            }
            next_layer = hop.span.to;
        }
        let is_complete = next_layer == layers && !hops.is_empty() && hops.len() <= MAX_HOPS;
        is_complete.then_some(Self { hops, cost_ms })
    }

    /// Hops in order.
    pub fn hops(&self) -> &[Hop] {
        &self.hops
    }

    /// Projected time in ms.
    pub fn cost_ms(&self) -> f64 {
        self.cost_ms
    }
}

/// The path of least projected time through the offered targets.
///
/// A shortest-path search over the boundaries of the offered spans; work is at most offers times
/// boundaries squared, and there are at most two boundaries more than twice the offers.
pub fn path_choose(offers: &[Offer], demand: &Demand) -> Option<Path> {
    let cheapest = search(offers, demand, false);
    // A hop that ends before its target's span does may let the same target occur again later, and
    // such a path is rejected; hops that run to the end of the span rule that out.
    cheapest.or_else(|| search(offers, demand, true))
}

/// Cheapest way to reach a boundary: the last hop, by index of its first boundary and of its offer.
#[derive(Clone, Copy)]
struct Step {
    cost_ms: f64,
    from: usize,
    offer: usize,
}

/// Searches for the cheapest path; with `whole_spans` each hop runs to the end of its target's
/// span.
fn search(offers: &[Offer], demand: &Demand, whole_spans: bool) -> Option<Path> {
    let bounds = boundaries(offers, demand.layers);
    let mut best: Vec<Option<Step>> = vec![None; bounds.len()];
    for at in 0..bounds.len() {
        let base = match (at, best[at]) {
            (0, _) => 0.0,
            (_, Some(step)) => step.cost_ms,
            (_, None) => continue,
        };
        for (index, offer) in offers.iter().enumerate() {
            // A second step at one target would be a longer hop, whose memory was not checked.
            let is_repeated = at > 0 && best[at].is_some_and(|step| step.offer == index);
            if is_repeated || at == 0 && !offer.accepts_first_hop || !offer.span.has(bounds[at]) {
                continue;
            }
            for to in at + 1..bounds.len() {
                if bounds[to] > offer.span.to {
                    break;
                }
                if whole_spans && bounds[to] != offer.span.to.min(demand.layers) {
                    continue;
                }
                let layers = f64::from(bounds[to] - bounds[at]);
                if layers * demand.tokens > offer.free_token_layers {
                    break;
                }
                let cost_ms = base + demand.hop_ms + layers * offer.layer_ms;
                if best[to].is_none_or(|step| cost_ms < step.cost_ms) {
                    let from = at;
                    best[to] = Some(Step {
                        cost_ms,
                        from,
                        offer: index,
                    });
                }
            }
        }
    }
    build_path(offers, &bounds, &best, demand.layers)
}

/// Ends of all offered spans and of the model, in order.
fn boundaries(offers: &[Offer], layers: Layer) -> Vec<Layer> {
    let ends = offers
        .iter()
        .flat_map(|offer| [offer.span.from, offer.span.to]);
    let mut bounds: Vec<Layer> = ends.chain([0, layers]).filter(|at| *at <= layers).collect();
    bounds.sort_unstable();
    bounds.dedup();
    bounds
}

/// Follows the cheapest steps back from the last boundary.
fn build_path(
    offers: &[Offer],
    bounds: &[Layer],
    best: &[Option<Step>],
    layers: Layer,
) -> Option<Path> {
    let mut at = bounds.len() - 1;
    let cost_ms = best[at]?.cost_ms;
    let mut hops: Vec<Hop> = Vec::new();
    while at > 0 {
        let step = best[at]?;
        let target = offers[step.offer].target.clone();
        let span = Span::new(bounds[step.from], bounds[at])?;
        hops.push(Hop { target, span });
        at = step.from;
    }
    hops.reverse();
    Path::new(hops, layers, cost_ms)
}
