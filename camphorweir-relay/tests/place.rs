//! Placement: which layers targets are ordered to load.

use {
    camphorweir_relay::{
        configuration::{Engine, Hardware},
        ids::TargetId,
        placement::{Candidate, placement_plan},
        span::Span,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Number of targets of a zone by kind of hardware: a100, v100, l4.
type Zone = (usize, usize, usize);

/// Zones of the published deployments, and a small one.
const ZONES: &[Zone] = &[(1, 6, 6), (1, 10, 4), (2, 4, 4), (3, 14, 16), (1, 8, 0)];

/// Model and hardware of the published deployments.
fn engine() -> Engine {
    let kinds = [
        ("a100", 72_000.0, 2.4, 3.2),
        ("v100", 14_400.0, 5.3, 7.9),
        ("l4", 21_600.0, 16.0, 8.2),
    ];
    let kinds = kinds.map(|(name, memory_mb, step_factor, prompt_factor)| {
        (
            name.to_owned(),
            Hardware {
                memory_mb,
                step_factor,
                prompt_factor,
            },
        )
    });
    Engine {
        layers: 80,
        layer_mb: 1750.0,
        kv_token_bytes: 590_000.0,
        mean_tokens: (774.0, 210.0),
        hardware: kinds.into(),
        ..Engine::default()
    }
}

fn candidates(engine: &Engine, zone: Zone) -> Vec<Candidate> {
    let kinds = [("a100", zone.0), ("v100", zone.1), ("l4", zone.2)];
    let kinds = kinds.iter();
    kinds
        .flat_map(|(kind, count)| (0..*count).map(move |index| (*kind, index)))
        .map(|(kind, index)| Candidate {
            target: format!("{kind}-{index}").into(),
            zone: "z".into(),
            hardware: engine.hardware[kind],
            span: Span::default(),
            is_order_pending: false,
            time_since_first_seen: Duration::from_secs(5),
        })
        .collect()
}

/// Loads the planned layers, as targets do.
fn apply(candidates: &mut [Candidate], plan: Vec<(TargetId, Span)>) {
    let plan: BTreeMap<TargetId, Span> = plan.into_iter().collect();
    for candidate in candidates {
        if let Some(span) = plan.get(&candidate.target) {
            candidate.span = *span;
        }
    }
}

fn copies(candidates: &[Candidate], layers: u16) -> Vec<usize> {
    let count = |layer| {
        candidates
            .iter()
            .filter(|candidate| candidate.span.has(layer))
            .count()
    };
    (0..layers).map(count).collect()
}

#[test]
fn every_layer_of_a_zone_is_held_within_memory() {
    let engine = engine();
    for zone in ZONES {
        let mut candidates = candidates(&engine, *zone);
        let plan = placement_plan(&candidates, &engine);
        apply(&mut candidates, plan);
        assert!(
            copies(&candidates, 80).iter().all(|copies| *copies > 0),
            "{zone:?}"
        );
        for candidate in &candidates {
            assert!(
                candidate.span.len() <= engine.max_layers(&candidate.hardware),
                "{zone:?}"
            );
        }
        // Once all layers are loaded there is nothing more to order.
        assert_eq!(placement_plan(&candidates, &engine), [], "{zone:?}");
    }
}

#[test]
fn a_zone_waits_until_its_targets_have_reported() {
    let engine = engine();
    let mut candidates = candidates(&engine, (1, 2, 0));
    candidates[2].time_since_first_seen = Duration::from_millis(200);
    assert_eq!(placement_plan(&candidates, &engine), []);
    // Once some target holds layers, placement does not wait for new targets.
    candidates[0].span = Span { from: 0, to: 32 };
    assert_eq!(placement_plan(&candidates, &engine).len(), 2);
}

#[test]
fn the_layers_of_any_lost_target_are_held_again() {
    let engine = engine();
    for zone in [(1, 6, 6), (1, 10, 4), (2, 4, 4)] {
        let placed = {
            let mut candidates = candidates(&engine, zone);
            let plan = placement_plan(&candidates, &engine);
            apply(&mut candidates, plan);
            candidates
        };
        for index in 0..placed.len() {
            let mut candidates = placed.clone();
            let lost = candidates.remove(index);
            let plan = placement_plan(&candidates, &engine);
            apply(&mut candidates, plan);
            let uncovered = copies(&candidates, 80)
                .iter()
                .filter(|copies| **copies == 0)
                .count();
            assert_eq!(uncovered, 0, "{zone:?} without {}", lost.target);
        }
    }
}

#[test]
fn a_target_with_a_pending_order_gets_no_other() {
    let engine = engine();
    let mut candidates = candidates(&engine, (1, 6, 6));
    let plan = placement_plan(&candidates, &engine);
    apply(&mut candidates, plan);
    candidates.retain(|candidate| &*candidate.target != "a100-0");
    for candidate in &mut candidates {
        candidate.is_order_pending = true;
    }
    assert_eq!(placement_plan(&candidates, &engine), []);
}

#[test]
fn no_target_moves_where_the_model_does_not_fit() {
    let engine = engine();
    let mut candidates = candidates(&engine, (0, 4, 0));
    for (index, candidate) in (0..).zip(&mut candidates) {
        candidate.span = Span {
            from: 6 * (index / 2),
            to: 6 * (index / 2) + 6,
        };
    }
    assert_eq!(placement_plan(&candidates, &engine), []);
}
