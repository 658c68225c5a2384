//! Placement: which layers targets are ordered to load.

use {
    camphorweir_relay::{
        balance::Balance,
        configuration::{Engine, Hardware},
        flow::{Holder, flow_compute},
        ids::TargetId,
        placement::{Candidate, Order, Reason, placement_balance, placement_plan},
        span::Span,
    },
    proptest::prelude::*,
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
        step_ms: 1.02,
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
            is_zone_settled: false,
            limit: None,
        })
        .collect()
}

/// Loads the planned layers, as targets do.
fn apply(candidates: &mut [Candidate], plan: Vec<Order>) {
    let plan = plan.into_iter().map(|order| (order.target, order.span));
    let plan: BTreeMap<TargetId, Span> = plan.collect();
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

/// The flow of a zone, and that of a new arrangement.
fn balance(candidates: &[Candidate], engine: &Engine) -> Balance {
    let candidates: Vec<&Candidate> = candidates.iter().collect();
    placement_balance(&candidates, engine)
}

fn set_settled(candidates: &mut [Candidate], is_settled: bool) {
    for candidate in candidates {
        candidate.is_zone_settled = is_settled;
    }
}

fn placed(engine: &Engine, zone: Zone) -> Vec<Candidate> {
    let mut candidates = candidates(engine, zone);
    let plan = placement_plan(&candidates, engine);
    apply(&mut candidates, plan);
    candidates
}

/// A zone of which these targets are placed first, and the others once the layers of those are loaded.
fn placed_in_two_groups(engine: &Engine, zone: Zone, first: &[&str]) -> Vec<Candidate> {
    let all = candidates(engine, zone);
    let (mut early, late): (Vec<Candidate>, Vec<Candidate>) = all
        .into_iter()
        .partition(|candidate| first.contains(&&*candidate.target));
    let plan = placement_plan(&early, engine);
    apply(&mut early, plan);
    early.extend(late);
    let plan = placement_plan(&early, engine);
    apply(&mut early, plan);
    early
}

/// Targets of a zone (1, 6, 6) that alone can hold the model.
const EARLY_TARGETS: &[&str] = &[
    "v100-0", "v100-1", "v100-2", "v100-3", "l4-0", "l4-1", "l4-2",
];

#[test]
fn a_zone_placed_before_half_of_its_targets_were_listed_reaches_its_flow() {
    let engine = engine();
    let zone = placed_in_two_groups(&engine, (1, 6, 6), EARLY_TARGETS);
    let mut all = zone.clone();
    let other = placed(&engine, (1, 10, 4)).into_iter();
    all.extend(other.map(|candidate| Candidate {
        target: format!("other-{}", candidate.target).into(),
        zone: "other".into(),
        ..candidate
    }));
    let before = balance(&zone, &engine);
    assert!(before.now < 0.5 * before.reference, "{before:?}");
    for _ in 0..4 {
        set_settled(&mut all, true);
        let plan = placement_plan(&all, &engine);
        apply(&mut all, plan);
    }
    let after = balance(&all[..zone.len()], &engine);
    assert!(
        after.now >= 0.92 * after.reference,
        "{after:?}, before {before:?}"
    );
    assert_eq!(placement_plan(&all, &engine), []);
}

#[test]
fn a_zone_that_alone_serves_is_not_arranged_anew_as_a_whole() {
    let engine = engine();
    let mut zone = placed_in_two_groups(&engine, (1, 6, 6), EARLY_TARGETS);
    settle(&mut zone, &engine, "no other zone");
    let mut all = zone.clone();
    // Another zone whose targets still load takes nothing.
    let other = placed(&engine, (1, 10, 4)).into_iter();
    all.extend(other.map(|candidate| Candidate {
        target: format!("other-{}", candidate.target).into(),
        zone: "other".into(),
        is_order_pending: true,
        ..candidate
    }));
    set_settled(&mut all, true);
    assert_eq!(placement_plan(&all, &engine), []);
}

/// Loads what is ordered, round by round, until nothing is; checks that the targets that stay hold a copy
/// of every layer. Returns the number of orders.
fn settle(candidates: &mut [Candidate], engine: &Engine, case: &str) -> usize {
    let mut count = 0;
    for _ in 0..20 {
        set_settled(candidates, true);
        let plan = placement_plan(candidates, engine);
        if plan.is_empty() {
            return count;
        }
        let is_moved = |candidate: &&Candidate| {
            let mut orders = plan.iter();
            orders.any(|order| order.target == candidate.target && !candidate.span.is_empty())
        };
        let staying = candidates.iter().filter(|candidate| !is_moved(candidate));
        let staying: Vec<Candidate> = staying.cloned().collect();
        let is_repair = plan.iter().any(|order| order.reason == Reason::Gap);
        if !is_repair && copies(candidates, 80).iter().all(|copies| *copies > 0) {
            assert!(
                copies(&staying, 80).iter().all(|copies| *copies > 0),
                "{case}"
            );
        }
        count += plan.len();
        apply(candidates, plan);
    }
    panic!("{case}: orders without end");
}

#[test]
fn a_zone_returns_to_the_flow_of_before_once_a_lost_target_is_back() {
    let engine = engine();
    for zone in [(1, 6, 6), (1, 10, 4), (2, 4, 4), (3, 14, 16)] {
        let before = placed(&engine, zone);
        let flow = balance(&before, &engine).now;
        for index in 0..before.len() {
            let mut candidates = before.clone();
            let case = format!("{zone:?} without {}", candidates[index].target);
            let mut lost = candidates.remove(index);
            let repair = placement_plan(&candidates, &engine);
            apply(&mut candidates, repair);
            lost.span = Span::default();
            lost.target = "back".into();
            candidates.push(lost);
            let orders = settle(&mut candidates, &engine, &case);
            let after = balance(&candidates, &engine);
            assert!(after.now >= 0.92 * flow, "{case}: {after:?}, before {flow}");
            assert!(orders <= 1 + 12, "{case}: {orders} orders");
        }
    }
}

#[test]
fn two_targets_that_were_lost_one_after_the_other_leave_no_lasting_loss() {
    let engine = engine();
    let before = placed(&engine, (2, 10, 8));
    let flow = balance(&before, &engine).now;
    let mut candidates = before;
    let mut lost = Vec::new();
    for name in ["a100-0", "a100-1"] {
        let index = candidates
            .iter()
            .position(|candidate| &*candidate.target == name);
        lost.push(candidates.remove(index.unwrap()));
        let repair = placement_plan(&candidates, &engine);
        apply(&mut candidates, repair);
    }
    for (number, mut target) in lost.into_iter().enumerate() {
        target.span = Span::default();
        target.target = format!("back-{number}").into();
        candidates.push(target);
        let plan = placement_plan(&candidates, &engine);
        apply(&mut candidates, plan);
    }
    settle(&mut candidates, &engine, "two lost");
    let after = balance(&candidates, &engine);
    assert!(after.now >= 0.92 * flow, "{after:?}, before {flow}");
}

#[test]
fn a_settled_zone_that_lost_nothing_gets_no_orders() {
    let engine = engine();
    for zone in ZONES {
        let mut candidates = placed(&engine, *zone);
        set_settled(&mut candidates, true);
        assert_eq!(placement_plan(&candidates, &engine), [], "{zone:?}");
    }
}

#[test]
fn targets_move_for_the_flow_only_once_the_zone_has_settled() {
    let engine = engine();
    let mut candidates = placed(&engine, (1, 6, 6));
    let index = candidates
        .iter()
        .position(|candidate| &*candidate.target == "a100-0");
    let mut lost = candidates.remove(index.unwrap());
    let repair = placement_plan(&candidates, &engine);
    apply(&mut candidates, repair);
    lost.span = Span::default();
    candidates.push(lost);
    let fill = placement_plan(&candidates, &engine);
    assert_eq!(fill.len(), 1);
    apply(&mut candidates, fill);
    assert_eq!(placement_plan(&candidates, &engine), []);
    set_settled(&mut candidates, true);
    let moves = placement_plan(&candidates, &engine);
    assert!(!moves.is_empty());
    let is_for_flow = |order: &Order| matches!(order.reason, Reason::Flow(_));
    assert!(moves.iter().all(is_for_flow), "{moves:?}");
}

/// Lets every first hop of a zone name a limit.
fn limit_first_hops(candidates: &mut [Candidate], limit: f64) {
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| candidate.span.has(0))
    {
        candidate.limit = Some(limit);
    }
}

#[test]
fn a_zone_whose_first_hops_have_limits_below_its_flow_gets_another() {
    let engine = engine();
    let mut moved = 0;
    for zone in ZONES {
        let mut candidates = placed(&engine, *zone);
        set_settled(&mut candidates, true);
        let before = balance(&candidates, &engine).now;
        limit_first_hops(&mut candidates, 0.1);
        let orders = placement_plan(&candidates, &engine);
        assert!(orders.len() <= 1, "{zone:?}: {orders:?}");
        for order in &orders {
            assert_eq!((order.reason, order.span.from), (Reason::FirstHop, 0));
            moved += 1;
            let loading: Vec<Candidate> = candidates
                .iter()
                .filter(|candidate| candidate.target != order.target)
                .cloned()
                .collect();
            assert!(balance(&loading, &engine).now >= 0.8 * before, "{zone:?}");
        }
        apply(&mut candidates, orders);
        assert!(copies(&candidates, 80).iter().all(|copies| *copies > 0));
        // One first hop without a limit is enough, also while the limits last.
        assert_eq!(placement_plan(&candidates, &engine), []);
    }
    assert!(moved >= 3, "{moved}");
}

#[test]
fn limits_above_the_flow_of_a_zone_move_nothing() {
    let engine = engine();
    for zone in ZONES {
        let mut candidates = placed(&engine, *zone);
        set_settled(&mut candidates, true);
        let flow = balance(&candidates, &engine).now;
        limit_first_hops(&mut candidates, flow);
        assert_eq!(placement_plan(&candidates, &engine), []);
    }
}

proptest! {
    #[test]
    fn moves_keep_a_copy_of_every_layer_and_most_of_the_flow(
        spans in prop::collection::vec((0_u16..80, 0_usize..3, any::<bool>()), 4..40),
    ) {
        let engine = engine();
        let kinds = ["a100", "v100", "l4"];
        let candidates = spans.iter().enumerate().map(|(index, (from, kind, is_pending))| {
            let hardware = engine.hardware[kinds[*kind]];
            let len = engine.max_layers(&hardware).min(30);
            let from = (*from).min(80 - len);
            Candidate {
                target: format!("t{index}").into(),
                zone: "z".into(),
                hardware,
                span: Span { from, to: from + len },
                is_order_pending: *is_pending,
                time_since_first_seen: Duration::from_secs(5),
                is_zone_settled: true,
                limit: None,
            }
        });
        let candidates: Vec<Candidate> = candidates.collect();
        let orders = placement_plan(&candidates, &engine);
        let moves: Vec<&Order> = orders
            .iter()
            .filter(|order| matches!(order.reason, Reason::Flow(_)))
            .collect();
        let loaded = candidates.iter().filter(|candidate| !candidate.is_order_pending);
        let is_staying = |candidate: &&Candidate| {
            moves.iter().all(|order| order.target != candidate.target)
        };
        let holder = |candidate: &Candidate| Holder {
            span: candidate.span,
            hardware: candidate.hardware,
        };
        let before: Vec<Holder> = loaded.clone().map(holder).collect();
        let staying: Vec<Holder> = loaded.filter(is_staying).map(holder).collect();
        if !moves.is_empty() {
            let (before, kept) = (flow_compute(&before, &engine), flow_compute(&staying, &engine));
            prop_assert!(kept > 0.0 && kept >= 0.8 * before, "{kept} of {before}");
        }
    }
}
