//! A small document that several tests start from, and what they share.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    camphorweir_config::{
        model::{
            Document, Engine, Kind, Limits, Link, Model, Pipeline, Priority, Repeat, Route, Serves,
            Service, Target, To, Workspace, Zone,
        },
        record::{Body, Edit, FORMAT, Nonce, Publication, Record},
    },
    proptest::test_runner::{Config, RngSeed},
    std::collections::BTreeMap,
};

/// Runs this many cases, the same ones every time.
pub(crate) fn cases(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x00ca_3f02),
        ..Config::default()
    }
}

/// The hash of a made-up key.
pub(crate) fn key_hash(seed: u64) -> String {
    blake3::hash(&seed.to_le_bytes()).to_hex().to_string()
}

/// A target that holds `first..end` of model `log`.
pub(crate) fn engine(address: &str, first: u32, end: u32) -> Target {
    Target {
        address: address.to_owned(),
        zone: "southeast-a".to_owned(),
        serves: Serves::Layers(Engine {
            model: "log".to_owned(),
            first,
            end,
            kind: "l40".to_owned(),
            fencing: false,
        }),
        drain: false,
    }
}

/// One model in two stages, a ledger, and a workspace with a route to each.
pub(crate) fn document() -> Document {
    let ledger = Target {
        address: "10.0.0.9:7000".to_owned(),
        zone: "southeast-b".to_owned(),
        serves: Serves::Service("ledger".to_owned()),
        drain: false,
    };
    let kind = Kind {
        prefill_rate: 1500.0,
        decode_layer_us: 60.5,
        batch: 32,
    };
    let zone = Zone {
        region: "southeast".to_owned(),
    };
    Document {
        kinds: BTreeMap::from([("l40".to_owned(), kind)]),
        zones: BTreeMap::from([
            ("southeast-a".to_owned(), zone.clone()),
            ("southeast-b".to_owned(), zone),
        ]),
        links: vec![Link {
            between: ["southeast-a".to_owned(), "southeast-b".to_owned()],
            delay_us: 1000,
            rate: 1e8,
        }],
        models: BTreeMap::from([(
            "log".to_owned(),
            Model {
                layers: 24,
                activation: 8192,
                end_token: Some(2),
            },
        )]),
        pipelines: BTreeMap::from([(
            "notes".to_owned(),
            Pipeline {
                model: "log".to_owned(),
                max_prompt: 4096,
                max_tokens: 512,
            },
        )]),
        services: BTreeMap::from([("ledger".to_owned(), Service { fencing: true })]),
        targets: BTreeMap::from([
            ("log-a1".to_owned(), engine("10.0.0.1:8000", 0, 12)),
            ("log-a2".to_owned(), engine("10.0.0.2:8000", 12, 24)),
            ("ledger-b1".to_owned(), ledger),
        ]),
        workspaces: BTreeMap::from([("depot-7".to_owned(), workspace(7))]),
    }
}

/// A workspace with a never-repeat route and a pipeline route.
pub(crate) fn workspace(seed: u64) -> Workspace {
    let route = |to, priority, repeat| Route {
        to,
        priority,
        repeat,
        deadline_ms: 20_000,
    };
    let ledger = || To::Service("ledger".to_owned());
    Workspace {
        keys: vec![key_hash(seed)],
        limits: Limits::default(),
        routes: BTreeMap::from([
            (
                "burn-notes".to_owned(),
                route(
                    To::Pipeline("notes".to_owned()),
                    Priority::Normal,
                    Repeat::Idempotent,
                ),
            ),
            (
                "seal".to_owned(),
                route(ledger(), Priority::Urgent, Repeat::Never),
            ),
        ]),
    }
}

/// A publication in the log's form.
pub(crate) fn publication(nonce: Nonce, author: &str, base: u64, edits: Vec<Edit>) -> Vec<u8> {
    record(Body::Publication(Publication {
        nonce,
        author: author.to_owned(),
        base,
        edits,
    }))
}

/// A record in the log's form.
pub(crate) fn record(body: Body) -> Vec<u8> {
    rmp_serde::to_vec(&Record {
        format: FORMAT,
        body,
    })
    .unwrap()
}
