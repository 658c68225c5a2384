use {
    camphorweir_relay::{
        path::{Demand, Hop, Offer, Path, path_choose},
        span::Span,
    },
    proptest::prelude::*,
};

const LAYERS: u16 = 12;

fn offer(name: &str, from: u16, to: u16, layer_ms: f64, free_token_layers: f64) -> Offer {
    Offer {
        target: name.into(),
        span: Span { from, to },
        layer_ms,
        free_token_layers,
        accepts_first_hop: true,
    }
}

fn demand(tokens: f64, hop_ms: f64) -> Demand {
    Demand {
        layers: LAYERS,
        tokens,
        hop_ms,
    }
}

fn hops(offers: &[Offer], demand: &Demand) -> Option<Vec<(String, u16, u16)>> {
    let path = path_choose(offers, demand)?;
    let hops = path.hops().iter();
    let hops = hops.map(|hop| (hop.target.to_string(), hop.span.from, hop.span.to));
    Some(hops.collect())
}

fn hop(name: &str, from: u16, to: u16) -> Hop {
    Hop {
        target: name.into(),
        span: Span { from, to },
    }
}

#[test]
fn a_path_can_not_have_a_gap_an_overlap_or_a_target_twice() {
    let path = |hops: &[Hop]| Path::new(hops.to_vec(), LAYERS, 0.0).is_some();
    assert!(path(&[hop("a", 0, 5), hop("b", 5, 12)]));
    assert!(!path(&[hop("a", 0, 5), hop("b", 6, 12)]));
    assert!(!path(&[hop("a", 0, 5), hop("b", 4, 12)]));
    assert!(!path(&[hop("a", 1, 5), hop("b", 5, 12)]));
    assert!(!path(&[hop("a", 0, 5), hop("b", 5, 11)]));
    assert!(!path(&[hop("a", 0, 5), hop("a", 5, 12)]));
    assert!(!path(&[hop("a", 0, 5), hop("b", 5, 5), hop("c", 5, 12)]));
    assert!(!path(&[]));
}

#[test]
fn the_fastest_path_is_chosen_and_a_hop_may_run_part_of_a_span() {
    let offers = [
        offer("slow", 0, 12, 2.0, 1e9),
        offer("fast", 3, 9, 1.0, 1e9),
    ];
    // A hop costs more than the fast target saves.
    let best = hops(&offers, &demand(1.0, 10.0));
    assert_eq!(best, Some(vec![("slow".to_owned(), 0, 12)]));
    let offers = [
        offer("head", 0, 6, 1.0, 1e9),
        offer("tail", 4, 12, 2.0, 1e9),
        offer("other", 6, 12, 3.0, 1e9),
    ];
    let best = hops(&offers, &demand(1.0, 0.5)).unwrap();
    assert_eq!(
        best,
        [("head".to_owned(), 0, 6), ("tail".to_owned(), 6, 12)]
    );
}

#[test]
fn a_target_without_free_memory_is_not_used() {
    let offers = [
        offer("full", 0, 12, 1.0, 100.0),
        offer("a", 0, 6, 5.0, 1_000.0),
        offer("b", 6, 12, 5.0, 1_000.0),
    ];
    let path = hops(&offers, &demand(10.0, 1.0)).unwrap();
    assert_eq!(path.len(), 2);
    assert_eq!(hops(&offers, &demand(500.0, 1.0)), None);
}

#[test]
fn a_target_without_a_free_slot_is_used_after_the_first_hop_only() {
    let mut offers = [
        offer("quick", 0, 12, 1.0, 1e9),
        offer("slow", 0, 12, 2.0, 1e9),
    ];
    offers[0].accepts_first_hop = false;
    let path = hops(&offers, &demand(1.0, 0.1)).unwrap();
    assert_eq!(path[0].0, "slow");
    offers[1].accepts_first_hop = false;
    assert_eq!(hops(&offers, &demand(1.0, 0.1)), None);
}

proptest! {
    /// For any offers, a path uses only layers that its targets hold; and there is a path whenever
    /// every layer is held and memory suffices.
    #[test]
    fn a_path_is_complete_and_is_found_when_every_layer_is_held(
        spans in prop::collection::vec((0..LAYERS, 1..=LAYERS, 1..9u32), 1..9),
    ) {
        let offers: Vec<Offer> = spans
            .iter()
            .enumerate()
            .map(|(index, (from, length, cost))| {
                let to = (from + length).min(LAYERS);
                offer(&index.to_string(), *from, to, f64::from(*cost), 1e9)
            })
            .collect();
        let all_held = (0..LAYERS).all(|layer| offers.iter().any(|offer| offer.span.has(layer)));
        let path = path_choose(&offers, &demand(1.0, 0.3));
        prop_assert_eq!(path.is_some(), all_held);
        for hop in path.iter().flat_map(|path| path.hops()) {
            let offer = offers.iter().find(|offer| offer.target == hop.target).unwrap();
            prop_assert!(offer.span.covers(&hop.span));
        }
    }
}
