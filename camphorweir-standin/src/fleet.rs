//! A small deployment: three zones, two chains of engines, a ledger and a lookup in each zone.

use {
    camphorweir_config::model::{
        Document, Engine, Kind, Limits, Link, Model, Pipeline, Priority, Repeat, Route, Serves,
        Service, Target, To, Workspace, Zone, ZoneId,
    },
    camphorweir_wire::{
        engine::Layers,
        list::{Instance, Role, State},
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Availability zones of the deployment.
pub const ZONES: [&str; 3] = ["southeast-a", "southeast-b", "southeast-c"];
/// The model of the pipeline `burn-notes`.
pub const MODEL: &str = "pine";
/// Number of layers of [`MODEL`].
pub const LAYERS: u32 = 12;
/// The bearer key of the workspace `depot-7`.
pub const KEY: &str = "depot-7-key";
/// The bearer key of the workspace `depot-9`.
pub const OTHER_KEY: &str = "depot-9-key";

/// A target of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Target id.
    pub id: String,
    /// Availability zone of the target.
    pub zone: ZoneId,
    /// What the target serves.
    pub serves: Serves,
}

/// All targets: chains of kind `l40` in the first zone and `t4` in the second, and plain services
/// in all three.
pub fn members() -> Vec<Member> {
    let mut members = Vec::new();
    for (zone, kind) in [(ZONES[0], "l40"), (ZONES[1], "t4")] {
        for stage in 0..3 {
            let engine = Engine {
                model: MODEL.to_owned(),
                first: stage * 4,
                end: stage * 4 + 4,
                kind: kind.to_owned(),
                fencing: kind == "l40",
            };
            members.push(Member {
                id: format!("{kind}-{stage}"),
                zone: zone.to_owned(),
                serves: Serves::Layers(engine),
            });
        }
    }
    for zone in ZONES {
        for service in ["ledger", "lookup"] {
            let letter = zone.trim_start_matches("southeast-");
            members.push(Member {
                id: format!("{service}-{letter}"),
                zone: zone.to_owned(),
                serves: Serves::Service(service.to_owned()),
            });
        }
    }
    members
}

/// The range of layers that an engine is configured to hold.
pub fn layers(engine: &Engine) -> Layers {
    Layers {
        first: engine.first,
        end: engine.end,
    }
}

/// The configuration of the deployment, with its targets at these addresses.
pub fn document(members: &[Member], addresses: &BTreeMap<String, SocketAddr>) -> Document {
    let mut document = Document::default();
    for (name, rate, decode) in [("l40", 200_000.0, 20.0), ("t4", 50_000.0, 80.0)] {
        let kind = Kind {
            prefill_rate: rate,
            decode_layer_us: decode,
            batch: 32,
        };
        document.kinds.insert(name.to_owned(), kind);
    }
    for zone in ZONES {
        let region = "southeast".to_owned();
        document.zones.insert(zone.to_owned(), Zone { region });
        document.links.push(Link {
            between: [zone.to_owned(), zone.to_owned()],
            delay_us: 100,
            rate: 1e9,
        });
    }
    let model = Model {
        layers: LAYERS,
        activation: 8192,
        end_token: None,
    };
    document.models.insert(MODEL.to_owned(), model);
    let pipeline = Pipeline {
        model: MODEL.to_owned(),
        max_prompt: 4096,
        max_tokens: 512,
    };
    document.pipelines.insert("burn-notes".to_owned(), pipeline);
    for service in ["ledger", "lookup"] {
        document
            .services
            .insert(service.to_owned(), Service { fencing: false });
    }
    for member in members {
        let Some(address) = addresses.get(&member.id) else {
            continue;
        };
        let target = Target {
            address: address.to_string(),
            zone: member.zone.clone(),
            serves: member.serves.clone(),
            drain: false,
        };
        document.targets.insert(member.id.clone(), target);
    }
    for (name, key) in [("depot-7", KEY), ("depot-9", OTHER_KEY)] {
        document.workspaces.insert(name.to_owned(), workspace(key));
    }
    document
}

fn workspace(key: &str) -> Workspace {
    let route = |to, priority, repeat| Route {
        to,
        priority,
        repeat,
        deadline_ms: 20_000,
    };
    let service = |name: &str| To::Service(name.to_owned());
    let notes = To::Pipeline("burn-notes".to_owned());
    let routes = BTreeMap::from([
        (
            "burn-notes".to_owned(),
            route(notes, Priority::Normal, Repeat::Idempotent),
        ),
        (
            "seal".to_owned(),
            route(service("ledger"), Priority::Normal, Repeat::Never),
        ),
        (
            "status".to_owned(),
            route(service("lookup"), Priority::Urgent, Repeat::Idempotent),
        ),
    ]);
    Workspace {
        keys: vec![blake3::hash(key.as_bytes()).to_hex().to_string()],
        limits: Limits::default(),
        routes,
    }
}

/// The platform's instance list of the deployment.
pub fn instances(
    members: &[Member],
    addresses: &BTreeMap<String, SocketAddr>,
    entries: &[(String, ZoneId, SocketAddr)],
) -> Vec<Instance> {
    let targets = members.iter().filter_map(|member| {
        Some(Instance {
            name: member.id.clone(),
            role: Role::Target,
            address: addresses.get(&member.id)?.to_string(),
            zone: member.zone.clone(),
            state: State::Live,
        })
    });
    let entries = entries.iter().map(|(name, zone, address)| Instance {
        name: name.clone(),
        role: Role::Entry,
        address: address.to_string(),
        zone: zone.clone(),
        state: State::Live,
    });
    targets.chain(entries).collect()
}
