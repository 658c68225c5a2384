//! Summaries of load that an aggregator sends: what all instances of a zone, or all instances
//! together, have in flight on each target.

use {
    crate::{
        ids::{Time, Zone},
        peers::{Load, failing_merge},
        router::Router,
    },
    camphorweir_wire::digest::{self, Failing, MEMORY_UNIT_TOKEN_LAYERS, Scope, Summary},
    std::collections::{BTreeMap, BTreeSet},
};

/// Limit on the targets in one part of a summary, so that it fits in a datagram: an entry takes up
/// to 14 bytes as load and 12 as failing.
const MAX_TARGETS_PER_PART: usize = 50;

/// The load of all instances on the targets of a zone, for the instances of the own zone.
///
/// [`crate::peers::Peers::use_digests`] must have been called for the current digests.
pub fn summary_for_zone(router: &Router, zone: &Zone, now: Time) -> Vec<Summary> {
    let is_in_zone = |tag: u32| {
        let target = router.fleet.by_tag(tag);
        target.is_some_and(|target| target.zone == *zone)
    };
    let mut loads: BTreeMap<u32, Load> = router
        .peers
        .loads()
        .iter()
        .filter(|(tag, _)| is_in_zone(**tag))
        .map(|(tag, load)| (*tag, *load))
        .collect();
    let own = router.digest(now);
    let own_loads = own.loads.iter().filter(|load| is_in_zone(load.target));
    add_loads(&mut loads, own_loads);
    let mut failing = with_own_failing(router.peers.failing(now), &own.failing);
    failing.retain(|tag, _| is_in_zone(*tag));
    let scope = Scope::TargetsOf(zone.to_string());
    let mut parts = split(scope, &loads, &failing, router.peers.count() + 1);
    if *zone == router.zone {
        let refused = router.fairness.refused_for_summary(now);
        for summary in &mut parts {
            let in_part = refused.iter().copied();
            let in_part = in_part.filter(|tag| tag % summary.parts == summary.part);
            summary.refused = in_part.collect();
        }
    }
    parts
}

/// The load of the own zone's instances on all targets, for the aggregators of other zones.
pub fn summary_for_others(router: &Router, now: Time) -> Vec<Summary> {
    let (mut loads, instances) = router.peers.sum_digests();
    let own = router.digest(now);
    add_loads(&mut loads, own.loads.iter());
    let failing = with_own_failing(router.peers.failing_in_zone(now), &own.failing);
    let scope = Scope::EntriesOf(router.zone.to_string());
    split(scope, &loads, &failing, instances + 1)
}

fn add_loads<'a>(loads: &mut BTreeMap<u32, Load>, others: impl Iterator<Item = &'a digest::Load>) {
    for load in others {
        loads.entry(load.target).or_default().add(load);
    }
}

fn with_own_failing(mut merged: BTreeMap<u32, Failing>, own: &[Failing]) -> BTreeMap<u32, Failing> {
    for failing in own {
        failing_merge(&mut merged, failing, failing.excluded_ms);
    }
    merged
}

/// Splits a summary into parts by tag, so that each part can replace its predecessor by itself.
fn split(
    scope: Scope,
    loads: &BTreeMap<u32, Load>,
    failing: &BTreeMap<u32, Failing>,
    instances: usize,
) -> Vec<Summary> {
    let tags: BTreeSet<&u32> = loads.keys().chain(failing.keys()).collect();
    let parts = tags.len().div_ceil(MAX_TARGETS_PER_PART).max(1) as u32;
    let part = |part: u32| {
        let is_in_part = |tag: &u32| tag % parts == part;
        let loads = loads.iter().filter(|(tag, _)| is_in_part(tag));
        let failing = failing.iter().filter(|(tag, _)| is_in_part(tag));
        Summary {
            scope: scope.clone(),
            part,
            parts,
            entries: u32::try_from(instances).unwrap_or(u32::MAX),
            loads: loads.map(|(tag, load)| encode_load(*tag, load)).collect(),
            failing: failing.map(|(_, failing)| *failing).collect(),
            ..Summary::default()
        }
    };
    (0..parts).map(part).collect()
}

fn encode_load(tag: u32, load: &Load) -> digest::Load {
    let count = |count: f64| count.min(f64::from(u16::MAX)) as u16;
    digest::Load {
        target: tag,
        streams: count(load.streams),
        first_stage: count(load.first_hops),
        memory: (load.token_layers / MEMORY_UNIT_TOKEN_LAYERS).ceil() as u32,
    }
}
