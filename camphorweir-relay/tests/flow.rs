//! The flow of a zone.

use {
    camphorweir_relay::{
        configuration::{Engine, Hardware},
        flow::{Holder, flow_compute, flow_streams},
        span::Span,
    },
    proptest::prelude::*,
};

/// Layers of a model that is small enough to look at every set of them.
const LAYERS: u16 = 6;

/// A model of which each layer takes a unit of memory, as does a stream for each layer.
fn engine() -> Engine {
    Engine {
        layers: LAYERS,
        layer_mb: 1.0,
        kv_token_bytes: 1e6 * f64::from(LAYERS),
        mean_tokens: (0.5, 0.5),
        step_ms: 1.0,
        ..Engine::default()
    }
}

fn hardware(memory_mb: f64, step_factor: f64) -> Hardware {
    Hardware {
        memory_mb,
        step_factor,
        prompt_factor: 1.0,
    }
}

fn holder(from: u16, to: u16, room: f64) -> Holder {
    Holder {
        span: Span { from, to },
        hardware: hardware(f64::from(to - from) + room, 1.0),
    }
}

/// The streams that fit, by looking at every set of layers: they need no more room than all targets have
/// together that hold one of them.
fn streams_of_all_sets(holders: &[(u16, u16, f64)]) -> f64 {
    let sets = (1_u32..1 << LAYERS).map(|set| {
        let holds =
            |(from, to, _): &&(u16, u16, f64)| (*from..*to).any(|layer| set >> layer & 1 == 1);
        let room: f64 = holders.iter().filter(holds).map(|(_, _, room)| room).sum();
        room / f64::from(set.count_ones())
    });
    sets.fold(f64::INFINITY, f64::min)
}

proptest! {
    #[test]
    fn no_set_of_layers_has_room_for_more_streams(
        holders in prop::collection::vec((0_u16..LAYERS, 1_u16..=LAYERS, 0_u32..20), 1..9),
    ) {
        let holders: Vec<(u16, u16, f64)> = holders
            .into_iter()
            .map(|(from, len, room)| (from, (from + len).min(LAYERS), f64::from(room)))
            .collect();
        let expected = streams_of_all_sets(&holders);
        let found: Vec<Holder> = holders
            .iter()
            .map(|(from, to, room)| holder(*from, *to, *room))
            .collect();
        let found = flow_streams(&found, &engine());
        prop_assert!((found - expected).abs() <= 0.01 * expected + 0.02, "{found}, {expected}");
    }
}

#[test]
fn the_flow_falls_with_a_layer_and_with_slower_targets() {
    let engine = engine();
    let whole = [holder(0, 3, 30.0), holder(3, 6, 30.0)];
    let flow = flow_compute(&whole, &engine);
    assert!(flow > 0.0);
    assert!(flow_compute(&whole[..1], &engine).abs() < f64::EPSILON);
    let mut slow = whole;
    slow[1].hardware.step_factor = 4.0;
    assert!(flow_compute(&slow, &engine) < flow);
    // Twice the room in one half is of no use, in both halves it is twice the flow.
    let half = [holder(0, 3, 60.0), holder(3, 6, 30.0)];
    assert!((flow_compute(&half, &engine) / flow - 1.0).abs() < 0.01);
    let both = [holder(0, 3, 60.0), holder(3, 6, 60.0)];
    assert!((flow_compute(&both, &engine) / flow - 2.0).abs() < 0.01);
}
