//! Placement: which layers each target is ordered to load.
//!
//! Each zone is placed by itself, as paths stay inside a zone: a hop between zones costs more than
//! a request is worth. A target keeps its layers unless the zone lacks a layer and other targets of
//! the zone hold all the layers of this one.

use {
    crate::{
        balance::{Balance, balance_displaced, balance_moves},
        configuration::{Engine, Hardware},
        fleet::Target,
        flow::{Holder, flow_compute},
        ids::{Layer, TargetId, Zone},
        span::Span,
    },
    std::{cmp::Ordering, collections::BTreeMap, ops::Range, time::Duration},
};

/// Concurrent requests of mean size for which each target should have memory beside its layers.
const REQUESTS_PER_TARGET: f64 = 85.0;
/// Shares of that memory that are tried in turn until a zone's targets can hold all layers.
const MEMORY_SHARES: &[f64] = &[1.0, 0.5, 0.25, 0.1, 0.0];
/// Worth of a layer without a copy, above all else.
const NO_COPY_WORTH: f64 = 1e6;
/// Worth of a layer with a single copy, above all layers that have more.
const SINGLE_COPY_WORTH: f64 = 1e3;
/// Worth of a layer with more copies, divided by the number of requests that they have memory for.
const MORE_COPIES_WORTH: f64 = 100.0;

/// Part of a zone's flow that its first hops must take.
const MIN_FIRST_HOPS: f64 = 0.8;
/// Part of the flow that a move that adds one must leave, while the target loads and once it has.
const MIN_FIRST_HOP_KEPT: (f64, f64) = (0.8, 0.95);
/// Time for which all targets of a zone without any layers must have been listed before the zone is
/// placed: targets report about every second, and the first few alone would have to hold the whole
/// model.
const ZONE_START_DELAY: Duration = Duration::from_millis(1500);

/// A target that may hold layers.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Identifier of the target.
    pub target: TargetId,
    /// Zone of the target.
    pub zone: Zone,
    /// Hardware of the target.
    pub hardware: Hardware,
    /// Layers that the target holds or was ordered to load; empty for neither.
    pub span: Span,
    /// Whether `span` was ordered and the target does not report it yet.
    pub is_order_pending: bool,
    /// Time since the target was first seen after its start.
    pub time_since_first_seen: Duration,
    /// Whether the targets of its zone, and their layers, have not changed for a while.
    pub is_zone_settled: bool,
    /// Requests a second that the target takes as the first hop of paths, if it names a limit.
    pub limit: Option<f64>,
}

/// Why a target is ordered to load layers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reason {
    /// It holds none.
    Empty,
    /// Its layers have other copies, and another layer has none.
    Gap,
    /// The limits of the zone's first hops are below its flow.
    FirstHop,
    /// The zone serves less than it could.
    Flow(Balance),
}

/// An order to load layers.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// The target.
    pub target: TargetId,
    /// The layers that it is to hold.
    pub span: Span,
    /// Why.
    pub reason: Reason,
}

/// Orders to load layers: for empty targets, for targets whose layers have other copies while another layer
/// has none, and in zones that have settled for targets that raise the flow elsewhere.
pub fn placement_plan(candidates: &[Candidate], engine: &Engine) -> Vec<Order> {
    let mut zones = Zones::new();
    for candidate in candidates {
        zones.entry(&candidate.zone).or_default().push(candidate);
    }
    zones
        .iter()
        .flat_map(|(zone, candidates)| plan_zone(zone, candidates, &zones, engine))
        .collect()
}

/// The targets of each zone.
type Zones<'a> = BTreeMap<&'a Zone, Vec<&'a Candidate>>;

fn plan_zone(
    zone: &Zone,
    candidates: &[&Candidate],
    zones: &Zones<'_>,
    engine: &Engine,
) -> Vec<Order> {
    let holds_nothing = candidates.iter().all(|candidate| candidate.span.is_empty());
    if holds_nothing
        && candidates
            .iter()
            .any(|candidate| candidate.time_since_first_seen < ZONE_START_DELAY)
    {
        return Vec::new();
    }
    let plan = plan_cover(candidates, engine);
    if plan.spans.is_empty() && plan.covers_all {
        let has_limit = |candidate: &&&Candidate| candidate.limit.is_some();
        return match candidates.iter().any(|candidate| has_limit(&candidate)) {
            true => placement_first_hop(candidates, engine)
                .into_iter()
                .collect(),
            false => balance_zone(zone, candidates, zones, engine),
        };
    }
    if plan.covers_all && plan.is_without_moves() {
        let places = displaced(candidates, engine);
        if let Some(plan) = plan.with_places(candidates, &places, engine) {
            return plan.into_orders();
        }
    }
    plan.into_orders()
}

/// Orders that bring the flow of a zone back to what a new arrangement would give, once it has settled.
fn balance_zone(
    zone: &Zone,
    candidates: &[&Candidate],
    zones: &Zones<'_>,
    engine: &Engine,
) -> Vec<Order> {
    if !candidates.iter().all(|candidate| candidate.is_zone_settled) {
        return Vec::new();
    }
    let balance = placement_balance(candidates, engine);
    if balance.is_good() {
        return Vec::new();
    }
    let displaced = displaced(candidates, engine);
    let is_loading = candidates
        .iter()
        .any(|candidate| candidate.is_order_pending);
    let moves = match balance.is_poor() && !is_loading {
        true if loaded_flow_beside(zone, zones, engine) >= balance.now => displaced
            .iter()
            .map(|(candidate, span)| (candidate.target.clone(), *span))
            .collect(),
        _ => balance_moves(candidates, &displaced, engine),
    };
    let orders = moves.into_iter().map(|(target, span)| Order {
        target,
        span,
        reason: Reason::Flow(balance),
    });
    orders.collect()
}

/// The flow of the other zones' targets that are not loading.
fn loaded_flow_beside(zone: &Zone, zones: &Zones<'_>, engine: &Engine) -> f64 {
    let others = zones.iter().filter(|(other, _)| **other != zone);
    let flows = others.map(|(_, candidates)| {
        let loaded = candidates
            .iter()
            .filter(|candidate| !candidate.is_order_pending);
        let holders: Vec<Holder> = loaded.map(|candidate| candidate.holder()).collect();
        flow_compute(&holders, engine)
    });
    flows.sum()
}

/// An order that adds a first hop where those of a zone have limits that are below its flow. Later hops
/// have none, so the target may hold few layers.
pub fn placement_first_hop(candidates: &[&Candidate], engine: &Engine) -> Option<Order> {
    let mut first_hops = candidates.iter().filter(|candidate| candidate.span.has(0));
    let allowed: Option<f64> = first_hops.try_fold(0.0, |sum, hop| Some(sum + hop.limit?));
    let holders: Vec<Holder> = candidates.iter().map(|other| other.holder()).collect();
    let flow = flow_compute(&holders, engine);
    let is_loading = candidates
        .iter()
        .any(|candidate| candidate.is_order_pending);
    if is_loading || allowed.is_none_or(|allowed| allowed >= MIN_FIRST_HOPS * flow) {
        return None;
    }
    let mut coverage = Coverage::new(engine.layers);
    for candidate in candidates {
        coverage.add(candidate.span, &candidate.hardware, engine);
    }
    let spare = candidates.iter().filter(|candidate| {
        candidate.is_movable() && candidate.limit.is_none() && coverage.is_redundant(candidate.span)
    });
    let moved = spare.filter_map(|candidate| {
        let layers = layers_with_memory(engine, &candidate.hardware, wanted_tokens(engine));
        let span = Span::new(0, layers)?;
        let others = candidates
            .iter()
            .filter(|other| other.target != candidate.target);
        let mut holders: Vec<Holder> = others.map(|other| other.holder()).collect();
        // It serves nothing while it loads.
        let while_loading = flow_compute(&holders, engine);
        holders.push(Holder {
            span,
            hardware: candidate.hardware,
        });
        let kept = flow_compute(&holders, engine);
        let is_enough =
            while_loading >= MIN_FIRST_HOP_KEPT.0 * flow && kept >= MIN_FIRST_HOP_KEPT.1 * flow;
        is_enough.then_some((kept, candidate, span))
    });
    let (_, candidate, span) = moved.max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Order {
        target: candidate.target.clone(),
        span,
        reason: Reason::FirstHop,
    })
}

/// The spans of a zone's targets if all were placed anew.
fn reference<'a>(candidates: &[&'a Candidate], engine: &Engine) -> Vec<(&'a Candidate, Span)> {
    let empty: Vec<Candidate> = candidates
        .iter()
        .map(|candidate| Candidate {
            span: Span::default(),
            ..(*candidate).clone()
        })
        .collect();
    let empty: Vec<&Candidate> = empty.iter().collect();
    let spans = plan_cover(&empty, engine).spans.into_iter();
    let spans: BTreeMap<TargetId, Span> = spans.map(|(target, span, _)| (target, span)).collect();
    let placed = candidates.iter().filter_map(|candidate| {
        let span = *spans.get(&candidate.target)?;
        Some((*candidate, span))
    });
    placed.collect()
}

/// The targets of a zone that do not have a place of a new arrangement, each with one that nobody has.
fn displaced<'a>(candidates: &[&'a Candidate], engine: &Engine) -> Vec<(&'a Candidate, Span)> {
    balance_displaced(candidates, &reference(candidates, engine))
}

/// The flow of a zone as it is, and as it would be if all targets were placed anew.
pub fn placement_balance(candidates: &[&Candidate], engine: &Engine) -> Balance {
    let now: Vec<Holder> = candidates
        .iter()
        .map(|candidate| candidate.holder())
        .collect();
    let anew = reference(candidates, engine).into_iter();
    let anew = anew.map(|(candidate, span)| Holder {
        span,
        hardware: candidate.hardware,
    });
    let anew: Vec<Holder> = anew.collect();
    Balance {
        now: flow_compute(&now, engine),
        reference: flow_compute(&anew, engine),
    }
}

/// The first plan with a copy of every layer; where there is none, empty targets are still filled, and the
/// others keep their layers.
fn plan_cover(candidates: &[&Candidate], engine: &Engine) -> Plan {
    let tokens = MEMORY_SHARES
        .iter()
        .map(|share| share * wanted_tokens(engine));
    let mut plans = tokens.map(|tokens| plan_with_memory(candidates, engine, tokens));
    let covering = plans.find(|plan| plan.covers_all);
    covering.unwrap_or_else(|| {
        let mut plan = plan_with_memory(candidates, engine, 0.0);
        plan.spans.retain(|(_, _, is_move)| !is_move);
        plan
    })
}

struct Plan {
    /// Layers to load, with whether they replace layers that the target holds.
    spans: Vec<(TargetId, Span, bool)>,
    /// Whether every layer then has a copy.
    covers_all: bool,
}

impl Plan {
    /// Whether no target that holds layers is to load others.
    fn is_without_moves(&self) -> bool {
        self.spans.iter().all(|(_, _, is_move)| !is_move)
    }

    /// The plan with the given places for its targets, if every layer has a copy then too.
    fn with_places(
        &self,
        candidates: &[&Candidate],
        places: &[(&Candidate, Span)],
        engine: &Engine,
    ) -> Option<Self> {
        let place = |target: &TargetId| {
            let mut places = places.iter();
            let place = places.find(|(candidate, _)| candidate.target == *target);
            place.map(|(_, span)| *span)
        };
        let spans = self.spans.iter();
        let spans = spans.map(|(target, span, is_move)| {
            (target.clone(), place(target).unwrap_or(*span), *is_move)
        });
        let spans: Vec<(TargetId, Span, bool)> = spans.collect();
        let mut coverage = Coverage::new(engine.layers);
        for candidate in candidates {
            let mut planned = spans.iter();
            let planned = planned.find(|(target, _, _)| *target == candidate.target);
            let span = planned.map_or(candidate.span, |(_, span, _)| *span);
            coverage.add(span, &candidate.hardware, engine);
        }
        (!coverage.has_gap()).then_some(Self {
            spans,
            covers_all: true,
        })
    }

    fn into_orders(self) -> Vec<Order> {
        let orders = self.spans.into_iter().map(|(target, span, is_move)| Order {
            target,
            span,
            reason: if is_move { Reason::Gap } else { Reason::Empty },
        });
        orders.collect()
    }
}

/// Plans a zone so that each target keeps memory for this many tokens.
fn plan_with_memory(candidates: &[&Candidate], engine: &Engine, tokens: f64) -> Plan {
    let mut coverage = Coverage::new(engine.layers);
    let mut empty: Vec<&Candidate> = Vec::new();
    for candidate in candidates {
        match candidate.span.is_empty() {
            true => empty.push(candidate),
            false => coverage.add(candidate.span, &candidate.hardware, engine),
        }
    }
    // Fast hardware first, so that the first copy of each layer is a fast one.
    empty.sort_by(|a, b| by_step_time(a, b));
    let mut spans = Vec::new();
    for candidate in empty {
        let layers = layers_with_memory(engine, &candidate.hardware, tokens);
        let Some(span) = coverage.best_window(layers) else {
            continue;
        };
        coverage.add(span, &candidate.hardware, engine);
        spans.push((candidate.target.clone(), span, false));
    }
    plan_moves(candidates, engine, tokens, &mut coverage, &mut spans);
    Plan {
        covers_all: !coverage.has_gap(),
        spans,
    }
}

/// Moves targets whose layers all have another copy to layers without one; slow targets first, as
/// they cost the least capacity. Each target moves at most once, so this ends after as many steps
/// as there are targets.
fn plan_moves(
    candidates: &[&Candidate],
    engine: &Engine,
    tokens: f64,
    coverage: &mut Coverage,
    spans: &mut Vec<(TargetId, Span, bool)>,
) {
    let mut movable: Vec<&Candidate> = candidates
        .iter()
        .copied()
        .filter(|candidate| candidate.is_movable())
        .collect();
    movable.sort_by(|a, b| by_step_time(b, a));
    while coverage.has_gap() {
        let spare = movable
            .iter()
            .position(|candidate| coverage.is_redundant(candidate.span));
        let Some(spare) = spare else {
            return;
        };
        let candidate = movable.remove(spare);
        let layers = layers_with_memory(engine, &candidate.hardware, tokens);
        coverage.remove(candidate.span, &candidate.hardware, engine);
        let span = coverage.best_window(layers).unwrap_or(candidate.span);
        coverage.add(span, &candidate.hardware, engine);
        spans.push((candidate.target.clone(), span, true));
    }
}

/// Orders by step time, fastest first, then by identifier.
fn by_step_time(a: &Candidate, b: &Candidate) -> Ordering {
    let by_step = a.hardware.step_factor.total_cmp(&b.hardware.step_factor);
    by_step.then_with(|| a.target.cmp(&b.target))
}

impl Candidate {
    /// A target without orders in a zone that has settled; `None` if its hardware is unknown.
    pub fn of(target: &Target, engine: &Engine) -> Option<Self> {
        Some(Self {
            target: target.id.clone(),
            zone: target.zone.clone(),
            hardware: *engine.hardware.get(target.hardware.as_ref()?)?,
            span: target.span,
            is_order_pending: false,
            time_since_first_seen: Duration::MAX,
            is_zone_settled: true,
            limit: None,
        })
    }

    pub(crate) fn holder(&self) -> Holder {
        Holder {
            span: self.span,
            hardware: self.hardware,
        }
    }

    /// Whether the target holds layers and has no order in progress.
    fn is_movable(&self) -> bool {
        !self.span.is_empty() && !self.is_order_pending
    }
}

/// Tokens that each target should have memory for beside its layers.
pub(crate) fn wanted_tokens(engine: &Engine) -> f64 {
    let (prompt, answer) = engine.mean_tokens;
    REQUESTS_PER_TARGET * (prompt + answer)
}

/// The most layers that leave memory for this many tokens.
pub(crate) fn layers_with_memory(engine: &Engine, hardware: &Hardware, tokens: f64) -> Layer {
    let max = engine.max_layers(hardware);
    let fits =
        |layers: &Layer| engine.free_token_layers(hardware, *layers) >= tokens * f64::from(*layers);
    (0..=max).rev().find(fits).unwrap_or(0)
}

/// Requests of mean size for which a target has memory beside a span.
fn requests_beside(engine: &Engine, hardware: &Hardware, span: Span) -> f64 {
    let (prompt, answer) = engine.mean_tokens;
    let per_request = f64::from(span.len()) * (prompt + answer);
    engine.free_token_layers(hardware, span.len()) / per_request.max(1.0)
}

/// Copies of each layer in a zone, by index of the layer.
struct Coverage {
    copies: Vec<u32>,
    /// Steps per ms of all copies together, relative to the reference hardware.
    rate: Vec<f64>,
    /// Requests of mean size for which all copies together have memory.
    requests: Vec<f64>,
}

impl Coverage {
    fn new(layers: Layer) -> Self {
        Self {
            copies: vec![0; layers.into()],
            rate: vec![0.0; layers.into()],
            requests: vec![0.0; layers.into()],
        }
    }

    fn add(&mut self, span: Span, hardware: &Hardware, engine: &Engine) {
        let requests = requests_beside(engine, hardware, span);
        for layer in self.indices(span) {
            self.copies[layer] += 1;
            self.rate[layer] += 1.0 / hardware.step_factor.max(0.1);
            self.requests[layer] += requests;
        }
    }

    /// Indices of the layers of a span, cut to the model's.
    fn indices(&self, span: Span) -> Range<usize> {
        let end = self.copies.len();
        usize::from(span.from).min(end)..usize::from(span.to).min(end)
    }

    fn remove(&mut self, span: Span, hardware: &Hardware, engine: &Engine) {
        let requests = requests_beside(engine, hardware, span);
        for layer in self.indices(span) {
            self.copies[layer] = self.copies[layer].saturating_sub(1);
            self.rate[layer] -= 1.0 / hardware.step_factor.max(0.1);
            self.requests[layer] -= requests;
        }
    }

    /// Whether some layer has no copy.
    fn has_gap(&self) -> bool {
        self.copies.contains(&0)
    }

    /// Whether every layer of a span has another copy.
    fn is_redundant(&self, span: Span) -> bool {
        self.copies[self.indices(span)]
            .iter()
            .all(|copies| *copies > 1)
    }

    /// Worth of one more copy of a layer.
    fn worth(&self, layer: usize) -> f64 {
        match self.copies[layer] {
            0 => NO_COPY_WORTH,
            1 => SINGLE_COPY_WORTH + 1.0 / self.rate[layer],
            _ => MORE_COPIES_WORTH / self.requests[layer].max(1.0),
        }
    }

    /// The window of this many layers whose worth is highest; the first of equals.
    ///
    /// Linear in the layers, by a running sum.
    fn best_window(&self, layers: Layer) -> Option<Span> {
        let count = usize::from(layers);
        if count == 0 || count > self.copies.len() {
            return None;
        }
        let worth: Vec<f64> = (0..self.copies.len())
            .map(|layer| self.worth(layer))
            .collect();
        let mut sum: f64 = worth[..count].iter().sum();
        let (mut best, mut best_sum) = (0, sum);
        for from in 1..=worth.len() - count {
            sum += worth[from + count - 1] - worth[from - 1];
            if sum > best_sum + 1e-6 {
                (best, best_sum) = (from, sum);
            }
        }
        let from = Layer::try_from(best).ok()?;
        Span::new(from, from + layers)
    }
}
