//! A small document that several tests start from, and what they share.
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

/// The document of [`SMALL`].
pub(crate) fn document() -> Document {
    static READ: LazyLock<Document> = LazyLock::new(|| parse::checked(SMALL).unwrap());
    READ.clone()
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
