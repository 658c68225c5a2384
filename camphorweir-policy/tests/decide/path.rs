use {
    camphorweir_config::{
        build::{Builder, Hosts},
        model::{Kind, Model},
    },
    camphorweir_policy::{
        path::{Hop, Path},
        target::{Index, Table},
    },
    camphorweir_wire::engine::Layers,
    std::time::Duration,
};

const LAYERS: u32 = 12;

/// Returns the indexes of three configured engines.
fn engines() -> Vec<Index> {
    let mut b = Builder::new();
    let zones = b.region("r", ["z"], Duration::from_millis(1), 125e6);
    let kind = b.kind("k", Kind::new(40_000.0, 900.0, 16));
    let model = b.model("m", Model::new(LAYERS).end_token(2));
    let mut hosts = Hosts::from(([10, 1, 0, 10], 8000));
    let stages = [(4, &kind), (4, &kind), (4, &kind)];
    b.chain("e", &mut hosts, &zones[0], &model, &stages);
    let document = b.finish().expect("a configuration");
    let mut table = Table::default();
    table.configure(&document, Duration::ZERO);
    table.engines("m").to_vec()
}

fn is_path(hops: &[(u32, u32)]) -> bool {
    let engines = engines();
    let hops = engines.iter().zip(hops).map(|(target, (first, end))| Hop {
        target: *target,
        layers: Layers {
            first: *first,
            end: *end,
        },
    });
    Path::tile(LAYERS, hops.collect()).is_some()
}

#[test]
fn only_hops_that_tile_all_layers_are_a_path() {
    assert!(is_path(&[(0, 4), (4, 8), (8, 12)]));
    assert!(is_path(&[(0, 12)]));
    // A gap between hops, at the start, at the end.
    assert!(!is_path(&[(0, 4), (5, 8), (8, 12)]));
    assert!(!is_path(&[(1, 8), (8, 12)]));
    assert!(!is_path(&[(0, 4), (4, 8)]));
    // An overlap, an empty hop, one layer too many, nothing at all.
    assert!(!is_path(&[(0, 4), (3, 8), (8, 12)]));
    assert!(!is_path(&[(0, 4), (4, 4), (4, 12)]));
    assert!(!is_path(&[(0, 4), (4, 13)]));
    assert!(!is_path(&[]));
}
