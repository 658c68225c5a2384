//! Moves that bring the flow of a zone back after a repair, which takes the targets that cover the layers
//! soonest and leaves an arrangement behind that serves less.

use {
    crate::{
        configuration::{Engine, Hardware},
        flow::{Holder, flow_compute},
        ids::{TargetId, Time, Zone},
        placement::{Candidate, placement_balance},
        router::Router,
        span::Span,
    },
    std::collections::BTreeMap,
};

/// A zone whose flow is at least this share of what a new arrangement would give stays as it is.
const GOOD_SHARE: f64 = 0.92;
/// A zone below this share is arranged anew as a whole if the other zones can take its requests meanwhile:
/// what its targets lose while they load is regained in less time than they load.
const POOR_SHARE: f64 = 0.5;
/// Share of the flow that the other targets must keep while some load.
const MIN_KEPT: f64 = 0.8;
/// Limit on the moves of a zone at a time.
const MAX_MOVES: usize = 12;

/// The flow of a zone as it is, and what its targets would give if they were arranged anew, in streams of
/// mean size a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Balance {
    /// The flow now.
    pub now: f64,
    /// The flow of a new arrangement.
    pub reference: f64,
}

impl Balance {
    /// Whether moves would not gain enough.
    pub fn is_good(&self) -> bool {
        self.now >= GOOD_SHARE * self.reference
    }

    /// Whether a new arrangement gains more than is lost while targets load.
    pub fn is_poor(&self) -> bool {
        self.now < POOR_SHARE * self.reference
    }
}

impl Router {
    /// The flow of each zone with targets that hold layers, for metrics.
    pub fn zone_balances(&self, now: Time) -> Vec<(Zone, Balance)> {
        let configuration = self.configuration().into_iter();
        let services = configuration.flat_map(|configuration| &configuration.services);
        let mut balances = Vec::new();
        for (name, service) in services {
            let Some(engine) = service.engine.as_ref().filter(|engine| engine.layers > 0) else {
                continue;
            };
            let mut zones: BTreeMap<Zone, Vec<Candidate>> = BTreeMap::new();
            let available = self.fleet.available(name);
            for target in available.filter(|target| !self.tracker.is_unresponsive(&target.id, now))
            {
                let zone = zones.entry(target.zone.clone()).or_default();
                zone.extend(Candidate::of(target, engine));
            }
            balances.extend(zones.into_iter().map(|(zone, candidates)| {
                let candidates: Vec<&Candidate> = candidates.iter().collect();
                (zone, placement_balance(&candidates, engine))
            }));
        }
        balances
    }
}

/// The targets that do not have a place of a new arrangement, each with one that nobody has. Targets with
/// the same hardware are interchangeable, so the fewest change their layers.
pub(crate) fn balance_displaced<'a>(
    candidates: &[&'a Candidate],
    reference: &[(&'a Candidate, Span)],
) -> Vec<(&'a Candidate, Span)> {
    let mut places: Vec<(Hardware, Vec<Span>)> = Vec::new();
    for (candidate, span) in reference {
        match places
            .iter_mut()
            .find(|(hardware, _)| *hardware == candidate.hardware)
        {
            Some((_, spans)) => spans.push(*span),
            None => places.push((candidate.hardware, vec![*span])),
        }
    }
    let mut displaced = Vec::new();
    for candidate in candidates {
        let spans = places
            .iter_mut()
            .find(|(hardware, _)| *hardware == candidate.hardware);
        let Some((_, spans)) = spans else {
            continue;
        };
        match spans.iter().position(|span| *span == candidate.span) {
            Some(index) => drop(spans.remove(index)),
            None => displaced.push(*candidate),
        }
    }
    let moves = displaced.into_iter().filter_map(|candidate| {
        let spans = places
            .iter_mut()
            .find(|(hardware, _)| *hardware == candidate.hardware);
        let (_, spans) = spans.filter(|(_, spans)| !spans.is_empty())?;
        Some((candidate, spans.remove(0)))
    });
    moves.collect()
}

/// Those of the moves that may be made now: the targets that stay hold a copy of every layer, and keep
/// [`MIN_KEPT`] of the flow while the others load.
pub(crate) fn balance_moves(
    candidates: &[&Candidate],
    displaced: &[(&Candidate, Span)],
    engine: &Engine,
) -> Vec<(TargetId, Span)> {
    let loaded = candidates
        .iter()
        .filter(|candidate| !candidate.is_order_pending);
    let mut staying: BTreeMap<&TargetId, Holder> = loaded
        .map(|candidate| (&candidate.target, candidate.holder()))
        .collect();
    let flow = |staying: &BTreeMap<&TargetId, Holder>| {
        let holders: Vec<Holder> = staying.values().copied().collect();
        flow_compute(&holders, engine)
    };
    let min_kept = MIN_KEPT * flow(&staying);
    let mut moves = Vec::new();
    for (candidate, span) in displaced {
        if moves.len() == MAX_MOVES || candidate.is_order_pending {
            continue;
        }
        let Some(holder) = staying.remove(&candidate.target) else {
            continue;
        };
        let kept = flow(&staying);
        match kept > 0.0 && kept >= min_kept {
            true => moves.push((candidate.target.clone(), *span)),
            false => drop(staying.insert(&candidate.target, holder)),
        }
    }
    moves
}
