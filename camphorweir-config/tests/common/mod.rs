//! A small document for tests, and shared helper functions.
#![allow(dead_code, reason = "each test file uses a part")]

use {
    camphorweir_config::{
        model::{Document, Serves, Target, Workspace},
        parse,
        record::{Body, Edit, FORMAT, Nonce, Publication, Record},
    },
    proptest::test_runner::{Config, RngSeed},
    std::sync::LazyLock,
};

/// One model in two stages, a ledger, and a workspace with a route to each.
pub(crate) const SMALL: &str = include_str!("../cases/small.yaml");

/// A configuration that runs this many cases with a fixed seed.
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

/// The document of [`SMALL`].
pub(crate) fn document() -> Document {
    static PARSED: LazyLock<Document> = LazyLock::new(|| parse::checked(SMALL).unwrap());
    PARSED.clone()
}

/// A target that holds `first..end` of model `log`.
pub(crate) fn engine(address: &str, first: u32, end: u32) -> Target {
    let mut target = document().targets["log-a1"].clone();
    target.address = address.to_owned();
    if let Serves::Layers(engine) = &mut target.serves {
        (engine.first, engine.end) = (first, end);
    }
    target
}

/// A workspace with a never-repeat route and a pipeline route.
pub(crate) fn workspace(seed: u64) -> Workspace {
    let mut workspace = document().workspaces["depot-7"].clone();
    workspace.keys = vec![key_hash(seed)];
    workspace
}

/// An encoded publication record.
pub(crate) fn publication(nonce: Nonce, author: &str, base: u64, edits: Vec<Edit>) -> Vec<u8> {
    record(Body::Publication(Publication {
        nonce,
        author: author.to_owned(),
        base,
        edits,
    }))
}

/// An encoded record.
pub(crate) fn record(body: Body) -> Vec<u8> {
    rmp_serde::to_vec(&Record {
        format: FORMAT,
        body,
    })
    .unwrap()
}
