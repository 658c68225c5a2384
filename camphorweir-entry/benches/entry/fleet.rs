//! Configurations and stand-in engines of the measured deployments.

use {
    crate::Failure,
    camphorweir_config::{
        check, edit,
        model::{
            Document, Engine, Kind, KindId, Limits, Model, Pipeline, Priority, Repeat, Route,
            Serves, Service, Target, To, Workspace, Zone,
        },
        record::{self, Body, FORMAT, Publication, Record},
    },
    camphorweir_standin::{engine, log},
    camphorweir_wire::{codec, engine::Layers},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
    },
};

/// The zone of every entry and target.
pub(crate) const ZONE: &str = "a";
/// The bearer key of the workspace whose requests are sent.
pub(crate) const KEY: &str = "bench-key";
/// Layers of every model.
pub(crate) const LAYERS: u32 = 12;
/// Stages of the longer pipelines.
pub(crate) const STAGES: u32 = 3;
/// Requests in one batch of an engine.
const BATCH_SIZE: u32 = 1024;
/// Maximum number of edits in one publication.
const MAX_EDITS: usize = 1000;
/// Time of a step through one layer of a paced engine, in microseconds.
const PACED_LAYER_US: f64 = 2500.0;
/// Time between two load reports of an engine, in milliseconds.
const LOAD_REPORT_INTERVAL_MS: u64 = 1000;
/// Deadline of every route, in milliseconds.
const DEADLINE_MS: u64 = 120_000;

/// An address on loopback with any free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Returns a loopback address that differs for each number; it reaches a listener that is bound to
/// `port` on all addresses.
pub(crate) fn loopback_alias(number: usize, port: u16) -> SocketAddr {
    let [high, low] = (number as u16 + 1).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], port))
}

/// Starts an engine that holds the layers of one stage; a paced one takes time for each step.
pub(crate) async fn engine(
    model: &str,
    layers: Layers,
    paced: bool,
) -> Result<engine::Handle, Failure> {
    let address = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
    let mut settings = engine::Settings::new(address, "any", model, LAYERS, layers);
    settings.batch = BATCH_SIZE as usize;
    settings.report_ms = LOAD_REPORT_INTERVAL_MS;
    if paced {
        settings.decode_layer_us = PACED_LAYER_US;
    }
    Ok(engine::spawn(settings).await?)
}

/// The layers of a stage out of `stages`.
pub(crate) fn stage_layers(number: u32, stages: u32) -> Layers {
    let depth = LAYERS / stages;
    Layers {
        first: number * depth,
        end: (number + 1) * depth,
    }
}

/// A document with a zone and a kind of accelerator.
pub(crate) fn document() -> Document {
    let mut document = Document::default();
    let region = "bench".to_owned();
    document.zones.insert(ZONE.to_owned(), Zone { region });
    let kind = Kind {
        prefill_rate: 1e9,
        decode_layer_us: 1.0,
        batch: BATCH_SIZE,
    };
    document.kinds.insert(KindId::from("any"), kind);
    document
}

/// Adds a model and a pipeline of the same name.
pub(crate) fn add_pipeline(document: &mut Document, name: &str) {
    let model = Model {
        layers: LAYERS,
        activation: 8,
        end_token: None,
    };
    document.models.insert(name.to_owned(), model);
    let pipeline = Pipeline {
        model: name.to_owned(),
        max_prompt: 4096,
        max_tokens: 4096,
    };
    document.pipelines.insert(name.to_owned(), pipeline);
}

/// Adds an engine.
pub(crate) fn add_engine(
    document: &mut Document,
    name: String,
    model: &str,
    layers: Layers,
    address: SocketAddr,
) {
    let engine = Engine {
        model: model.to_owned(),
        first: layers.first,
        end: layers.end,
        kind: KindId::from("any"),
        fencing: false,
    };
    let target = Target {
        address: address.to_string(),
        zone: ZONE.to_owned(),
        serves: Serves::Layers(engine),
        drain: false,
    };
    document.targets.insert(name, target);
}

/// Adds a plain service of idempotent lookups with one target.
pub(crate) fn add_lookup(document: &mut Document, address: SocketAddr) {
    let service = Service { fencing: false };
    document.services.insert("lookup".to_owned(), service);
    let target = Target {
        address: address.to_string(),
        zone: ZONE.to_owned(),
        serves: Serves::Service("lookup".to_owned()),
        drain: false,
    };
    document.targets.insert("lookup".to_owned(), target);
}

/// Adds a workspace with a route to every pipeline and service of the document.
pub(crate) fn add_workspace(document: &mut Document, name: String, key: &str) {
    let route = |to| Route {
        to,
        priority: Priority::Normal,
        repeat: Repeat::Idempotent,
        deadline_ms: DEADLINE_MS,
    };
    let pipelines = document.pipelines.keys();
    let pipelines = pipelines.map(|name| (name.clone(), route(To::Pipeline(name.clone()))));
    let services = document.services.keys();
    let services = services.map(|name| (name.clone(), route(To::Service(name.clone()))));
    let routes: BTreeMap<String, Route> = pipelines.chain(services).collect();
    let workspace = Workspace {
        keys: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
        limits: Limits {
            requests: 1e9,
            tokens: 1e12,
            concurrent: 1 << 20,
        },
        routes,
    };
    document.workspaces.insert(name, workspace);
}

/// Publishes a document in publications of bounded size; returns the resulting version.
pub(crate) fn publish(log: &log::Handle, document: &Document) -> Result<u64, Failure> {
    if let Some(fault) = check::document(document).first() {
        return Err(fault.to_string().into());
    }
    let edits = edit::edits(&Document::default(), document);
    let mut version = 0;
    for part in edits.chunks(MAX_EDITS) {
        let publication = Publication {
            nonce: version + 1,
            author: "bench".to_owned(),
            base: version,
            edits: part.to_vec(),
        };
        let record = Record {
            format: FORMAT,
            body: Body::Publication(publication),
        };
        log.append(record::STREAM, vec![codec::encode(&record)]);
        version += 1;
    }
    Ok(version)
}
