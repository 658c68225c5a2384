//! Operators' commands: publishing configurations and resolving keys.

use super::*;

impl World {
    pub(super) fn document(&mut self) -> Document {
        let mut document = Document::default();
        let kind = Kind {
            prefill_rate: 1e6,
            decode_layer_us: 10.0,
            batch: 16,
        };
        document.kinds.insert("k".to_owned(), kind);
        let model = Model {
            layers: LAYERS,
            activation: 8192,
            end_token: None,
        };
        document.models.insert("m".to_owned(), model);
        let pipeline = Pipeline {
            model: "m".to_owned(),
            max_prompt: 4096,
            max_tokens: 256,
        };
        document.pipelines.insert("notes".to_owned(), pipeline);
        for service in ["ledger", "lookup"] {
            document
                .services
                .insert(service.to_owned(), Plain { fencing: false });
        }
        for (number, zone) in ZONES.into_iter().enumerate() {
            let region = "r".to_owned();
            document.zones.insert(zone.to_owned(), Zone { region });
            for stage in 0..3 {
                let range = Layers {
                    first: stage * 4,
                    end: stage * 4 + 4,
                };
                let id = format!("{zone}{stage}");
                let serves = Serves::Layers(camphorweir_config::model::Engine {
                    model: "m".to_owned(),
                    first: range.first,
                    end: range.end,
                    kind: "k".to_owned(),
                    fencing: false,
                });
                self.engines.insert(id.clone(), Engine::new(range, LAYERS));
                self.place(
                    &mut document,
                    id,
                    zone,
                    serves,
                    number * 10 + stage as usize,
                );
            }
            for (offset, service) in ["ledger", "lookup"].into_iter().enumerate() {
                let id = format!("{service}-{zone}");
                let up = Service {
                    up: true,
                    ..Service::default()
                };
                self.services.insert(id.clone(), up);
                let serves = Serves::Service(service.to_owned());
                self.place(&mut document, id, zone, serves, number * 10 + 5 + offset);
            }
        }
        document.workspaces.insert("w".to_owned(), workspace());
        document
    }

    pub(super) fn place(
        &mut self,
        document: &mut Document,
        id: String,
        zone: &'static str,
        serves: Serves,
        number: usize,
    ) {
        let target = Target {
            address: format!("10.0.0.{}:80", number + 1),
            zone: zone.to_owned(),
            serves,
            drain: false,
        };
        self.zones.insert(id.clone(), zone);
        document.targets.insert(id, target);
    }

    /// Appends a publication of `document` on top of the version `base`.
    pub(crate) fn publish(&mut self, base: u64, document: &Document) -> u64 {
        let edits = camphorweir_config::edit::edits(&Document::default(), document);
        self.publish_edits(base, edits)
    }

    /// Appends a publication of `edits` on top of the version `base` and returns the nonce.
    pub(crate) fn publish_edits(&mut self, base: u64, edits: Vec<record::Edit>) -> u64 {
        let nonce = self.rng.random();
        let record = record::Record {
            format: record::FORMAT,
            body: record::Body::Publication(Publication {
                nonce,
                author: "test".to_owned(),
                base,
                edits,
            }),
        };
        let wall = self.wall();
        self.log
            .append(wall, record::STREAM, &[codec::encode(&record)]);
        nonce
    }

    /// Two operators resolve a key: the first by what the services ran, the second to the contrary.
    pub(crate) fn resolve(&mut self, id: u128) {
        let runs = self.runs();
        let ran = runs.keys().any(
            |call| matches!(self.oracle.calls[call].sent, Sent::NeverRepeat(key) if key == id),
        );
        if !ran && !self.log.down {
            self.oracle.resolved_not_run.push(id);
        }
        let key = Key {
            workspace: "w".to_owned(),
            id,
        };
        let record = |ran| claim::Record {
            format: claim::FORMAT,
            key: key.clone(),
            nonce: 0,
            body: claim::Body::Resolve(claim::Resolve {
                ran,
                operator: "test".to_owned(),
            }),
        };
        let records = [codec::encode(&record(ran)), codec::encode(&record(!ran))];
        let wall = self.wall();
        let stream = claim::stream_name(key.partition());
        self.log.append(wall, &stream, &records);
    }
}

fn workspace() -> Workspace {
    let route = |to, repeat| Route {
        to,
        priority: Priority::Normal,
        repeat,
        deadline_ms: 10_000,
    };
    let service = |name: &str| To::Service(name.to_owned());
    let routes = BTreeMap::from([
        (
            "notes".to_owned(),
            route(To::Pipeline("notes".to_owned()), Repeat::Idempotent),
        ),
        ("seal".to_owned(), route(service("ledger"), Repeat::Never)),
        (
            "status".to_owned(),
            route(service("lookup"), Repeat::Idempotent),
        ),
    ]);
    Workspace {
        keys: vec![callers::key_hash()],
        limits: Limits::default(),
        routes,
    }
}
