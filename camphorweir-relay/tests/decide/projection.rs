//! Projection of load, and the room that requests use.

use {
    camphorweir_relay::{
        configuration::Engine,
        peers::{Load, Peers},
        projection::{
            Rate, projection_after_rejection, projection_cost_factor, projection_draw_two,
            projection_load, projection_room,
        },
    },
    camphorweir_wire::digest::{self, MEMORY_UNIT_TOKEN_LAYERS, Scope, Summary},
    proptest::prelude::*,
    std::time::Duration,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn engine() -> Engine {
    Engine {
        mean_tokens: (760.0, 210.0),
        ..Engine::default()
    }
}

fn load(token_layers: f64) -> Load {
    Load {
        streams: token_layers / 10.0,
        first_hops: token_layers / 20.0,
        token_layers,
    }
}

fn summary(sequence: u64, memory: u32) -> Summary {
    let load = digest::Load {
        target: 5,
        streams: 4,
        first_stage: 1,
        memory,
    };
    Summary {
        entry: "aggregator".to_owned(),
        sequence,
        scope: Scope::TargetsOf("a".to_owned()),
        parts: 1,
        entries: 78,
        loads: vec![load],
        ..Summary::default()
    }
}

/// Guards against instances that see a target grow and still count what was known before.
#[test]
fn growth_is_projected_and_decline_is_not() {
    let (before, after) = (load(100.0), load(140.0));
    let growth = Rate::between(&before, &after, ms(200));
    let projected = projection_load(&after, &growth, ms(100));
    assert_eq!(projected, load(160.0));
    let decline = Rate::between(&after, &before, ms(200));
    assert_eq!(projection_load(&before, &decline, ms(100)), before);
    // Two summaries at the same moment name no rate.
    let none = Rate::between(&before, &after, ms(0));
    assert_eq!(projection_load(&after, &none, ms(100)), after);
}

/// Guards against an instance that is cut off and projects without end what it last heard.
#[test]
fn projection_ends_with_the_timeout_of_summaries() {
    let mut peers = Peers::default();
    peers.apply_summary(summary(1, 10), ms(1_000));
    assert_eq!(peers.rate(5, ms(1_000)), None);
    peers.apply_summary(summary(2, 14), ms(1_200));
    let (rate, age) = peers.rate(5, ms(1_300)).unwrap();
    assert_eq!(age, ms(100));
    assert!((rate.token_layers - 20.0 * MEMORY_UNIT_TOKEN_LAYERS).abs() < 1e-6);
    assert_eq!(peers.age_in_zone("a", ms(1_300)), Some(ms(100)));
    assert_eq!(peers.age_in_zone("b", ms(1_300)), None);
    assert!(peers.rate(5, ms(4_199)).is_some());
    assert_eq!(peers.rate(5, ms(4_200)), None);
    peers.use_summaries(ms(4_200));
    assert_eq!(peers.load(5), Load::default());
}

/// Guards against an instance without news that fills targets as one that is well informed.
#[test]
fn without_news_less_memory_is_used() {
    for draw in [0.0, 0.5, 1.0] {
        let known = projection_room(&engine(), Some(ms(499)), draw);
        for age in [Some(ms(500)), None] {
            assert!(projection_room(&engine(), age, draw) < 0.7 * known);
        }
    }
}

/// Guards against plain targets that are all drawn alike however few of their slots are free.
#[test]
fn two_targets_are_drawn_in_proportion_to_free_slots() {
    let weights = [30.0, 0.0, 10.0, -2.0];
    let mut counts = [0; 4];
    for index in 0..400 {
        let draws = (f64::from(index) / 400.0, 1.0 - f64::from(index) / 400.0);
        let (first, second) = projection_draw_two(&weights, draws).unwrap();
        counts[first] += 1;
        counts[second] += 1;
    }
    assert!(
        (598..=602).contains(&counts[0]) && (198..=202).contains(&counts[2]),
        "{counts:?}"
    );
    assert_eq!((counts[1], counts[3]), (0, 0));
    assert_eq!(projection_draw_two(&[0.0, -1.0], (0.5, 0.5)), None);
}

proptest! {
    /// Guards against a projection that invents load without bound, or loses known load, whatever the age.
    #[test]
    fn a_projected_load_is_at_least_what_is_known_and_at_most_twice_that(
        known in 0.0..1e6_f64, before in 0.0..1e6_f64, apart in 1_u64..3_000, age in 0_u64..100_000,
    ) {
        let rate = Rate::between(&load(before), &load(known), ms(apart));
        let projected = projection_load(&load(known), &rate, ms(age)).token_layers;
        prop_assert!((known..=2.0 * known).contains(&projected), "{projected}");
    }

    /// Guards against instances that all see the same free memory and all use it: the fuller a target is,
    /// the fewer of 9 to 195 instances may send to it.
    #[test]
    fn as_a_target_fills_up_fewer_instances_use_it(
        instances in 9_u32..=195, used in 0.0..1.3_f64, more in 0.0..0.3_f64,
        age in prop::option::of(0_u64..2_000),
    ) {
        let users = |used: f64| {
            let draws = (0..instances).map(|index| f64::from(index) / f64::from(instances));
            draws.filter(|draw| projection_room(&engine(), age.map(ms), *draw) > used).count()
        };
        prop_assert!(users(used + more) <= users(used));
        prop_assert_eq!(users(1.12), 0);
        prop_assert_eq!(users(0.35), instances as usize);
    }

    /// Guards against a cost that falls as a target fills up, or that no draw can change at load.
    #[test]
    fn the_cost_rises_with_use_and_differs_more_with_old_knowledge(
        used in 0.0..1.2_f64, more in 0.0..0.5_f64, draw in 0.0..1.0_f64,
    ) {
        let cost = |used, draw| projection_cost_factor(used, Some(ms(100)), draw);
        prop_assert!(cost(used + more, draw) >= cost(used, draw));
        let spread = |age| projection_cost_factor(used, age, 1.0) / projection_cost_factor(used, age, 0.0);
        prop_assert!(spread(None) >= spread(Some(ms(100))));
        prop_assert!(spread(Some(ms(100))) >= 1.0);
    }

    /// Guards against a rejection that counts for nothing at once, or for good.
    #[test]
    fn a_rejecting_target_is_full_and_frees_memory(since in 0_u64..10_000) {
        let used = projection_after_rejection(100.0, ms(since));
        prop_assert!(used <= 100.0 && used > 0.0);
        prop_assert!(since > 100 || used > 90.0);
        prop_assert!(since < 7_000 || used < 1.0);
    }
}
