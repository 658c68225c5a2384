//! A typed builder of documents.
//!
//! An item refers to another one by the handle that was returned when that was added. So a pipeline
//! can't be confused with a plain service, and only a route to a service can be set to never
//! repeat:
//!
//! ```compile_fail,E0599
//! use camphorweir_config::{build::Builder, model::Model};
//!
//! let mut builder = Builder::new();
//! let log = builder.model("log", Model { layers: 24, activation: 8192, end_token: None });
//! let notes = builder.pipeline("notes", &log, 4096, 512);
//! builder.workspace("depot-7").tokens("notes", &notes).never_repeat();
//! ```

use {
    crate::{
        check,
        fault::{Code, Fault},
        handle,
        model::{
            self, Document, Engine, KeyHash, Limits, Priority, Repeat, Route, Serves, Target, To,
        },
    },
    std::{
        collections::BTreeMap,
        net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr},
        ops::Range,
        time::Duration,
    },
};

/// The hash of a bearer key, as configurations hold it.
pub fn key_hash(key: &str) -> KeyHash {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}

/// Builds a document.
#[derive(Debug, Default)]
pub struct Builder {
    document: Document,
    /// Faults that are not visible in the document, such as duplicate names.
    faults: Vec<Fault>,
}

impl Builder {
    /// An empty document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a kind of accelerator.
    pub fn kind(&mut self, name: &str, kind: model::Kind) -> handle::Kind {
        add(
            &mut self.document.kinds,
            "kinds",
            name,
            kind,
            &mut self.faults,
        );
        handle::Kind(name.to_owned())
    }

    /// Adds an availability zone of a region.
    pub fn zone(&mut self, name: &str, region: &str) -> handle::Zone {
        let zone = model::Zone {
            region: region.to_owned(),
        };
        add(
            &mut self.document.zones,
            "zones",
            name,
            zone,
            &mut self.faults,
        );
        handle::Zone(name.to_owned())
    }

    /// Adds the zones of a region and links each pair, with the one-way delay and the rate in bytes
    /// a second.
    pub fn region<const N: usize>(
        &mut self,
        region: &str,
        zones: [&str; N],
        delay: Duration,
        rate: f64,
    ) -> [handle::Zone; N] {
        let zones = zones.map(|name| self.zone(name, region));
        for (index, zone) in zones.iter().enumerate() {
            for other in &zones[index + 1..] {
                self.link([zone, other], delay, rate);
            }
        }
        zones
    }

    /// Links two zones, or a zone with itself, with the one-way delay and the rate in bytes a
    /// second.
    pub fn link(&mut self, ends: [&handle::Zone; 2], delay: Duration, rate: f64) -> &mut Self {
        let delay_us = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.document.links.push(model::Link {
            between: ends.map(|zone| zone.0.clone()),
            delay_us,
            rate,
        });
        self
    }

    /// Adds a model.
    pub fn model(&mut self, name: &str, model: model::Model) -> handle::Model {
        add(
            &mut self.document.models,
            "models",
            name,
            model,
            &mut self.faults,
        );
        handle::Model(name.to_owned())
    }

    /// Adds a pipeline with the longest prompt and the longest answer, in tokens.
    pub fn pipeline(
        &mut self,
        name: &str,
        model: &handle::Model,
        max_prompt: u32,
        max_tokens: u32,
    ) -> handle::Pipeline {
        let pipeline = model::Pipeline {
            model: model.0.clone(),
            max_prompt,
            max_tokens,
        };
        let section = &mut self.document.pipelines;
        add(section, "pipelines", name, pipeline, &mut self.faults);
        handle::Pipeline(name.to_owned())
    }

    /// Adds a plain service; `fencing` says whether its targets refuse old fencing numbers.
    pub fn service(&mut self, name: &str, fencing: bool) -> handle::Service {
        let service = model::Service { fencing };
        let section = &mut self.document.services;
        add(section, "services", name, service, &mut self.faults);
        handle::Service(name.to_owned())
    }

    /// Adds a target that holds a range of a model's layers.
    pub fn engine(
        &mut self,
        name: &str,
        address: SocketAddr,
        zone: &handle::Zone,
        kind: &handle::Kind,
        model: &handle::Model,
        layers: Range<u32>,
    ) -> &mut Target {
        let serves = Serves::Layers(Engine {
            model: model.0.clone(),
            first: layers.start,
            end: layers.end,
            kind: kind.0.clone(),
            fencing: false,
        });
        self.target(name, address, zone, serves)
    }

    /// Adds a chain of engines that together hold a model's layers, named `NAME-0` and so on. A
    /// stage is the number of layers that the engine holds, and its kind of accelerator.
    pub fn chain(
        &mut self,
        name: &str,
        hosts: &mut Hosts,
        zone: &handle::Zone,
        model: &handle::Model,
        stages: &[(u32, &handle::Kind)],
    ) -> &mut Self {
        let mut first: u32 = 0;
        for (stage, (layers, kind)) in stages.iter().enumerate() {
            let end = first.saturating_add(*layers);
            let name = format!("{name}-{stage}");
            self.engine(&name, hosts.take(), zone, kind, model, first..end);
            first = end;
        }
        let model_layers = self.document.models.get(&model.0).map(|model| model.layers);
        if model_layers.is_some_and(|count| count != first) {
            let text = format!(
                "the chain holds {first} layers, which is not the number of the model's layers"
            );
            self.faults
                .push(Fault::new(Code::BadLayers, &["targets", name], text));
        }
        self
    }

    /// Adds a target that serves a plain service.
    pub fn server(
        &mut self,
        name: &str,
        address: SocketAddr,
        zone: &handle::Zone,
        service: &handle::Service,
    ) -> &mut Target {
        self.target(name, address, zone, Serves::Service(service.0.clone()))
    }

    /// Adds a workspace, or returns the existing one of this name.
    pub fn workspace(&mut self, name: &str) -> Workspace<'_> {
        let workspace = self.document.workspaces.entry(name.to_owned());
        Workspace {
            name: name.to_owned(),
            workspace: workspace.or_default(),
            faults: &mut self.faults,
        }
    }

    /// The document, if it can be published.
    ///
    /// # Errors
    ///
    /// All faults, duplicate names first.
    pub fn finish(self) -> Result<Document, Vec<Fault>> {
        let mut faults = self.faults;
        faults.extend(check::document(&self.document));
        if faults.is_empty() {
            return Ok(self.document);
        }
        Err(faults)
    }

    fn target(
        &mut self,
        name: &str,
        address: SocketAddr,
        zone: &handle::Zone,
        serves: Serves,
    ) -> &mut Target {
        let target = Target {
            address: address.to_string(),
            zone: zone.0.clone(),
            serves,
            drain: false,
        };
        let section = &mut self.document.targets;
        add(section, "targets", name, target, &mut self.faults)
    }
}

/// Adds an item. It replaces an earlier one of the same name, which is a fault.
fn add<'a, T>(
    section: &'a mut BTreeMap<String, T>,
    section_name: &str,
    name: &str,
    item: T,
    faults: &mut Vec<Fault>,
) -> &'a mut T {
    if section.contains_key(name) {
        faults.push(Fault::new(
            Code::DuplicateKey,
            &[section_name, name],
            "the name is already in use",
        ));
    }
    section.entry(name.to_owned()).insert_entry(item).into_mut()
}

/// Allocates consecutive addresses, all with the same port.
#[derive(Clone, Debug)]
pub struct Hosts {
    next: SocketAddr,
}

impl Hosts {
    /// Addresses from this one on.
    pub fn from(first: impl Into<SocketAddr>) -> Self {
        Self { next: first.into() }
    }

    /// The next address. After the highest address the lowest follows, so that reuse of an address
    /// is reported by `check` as a duplicate.
    pub fn take(&mut self) -> SocketAddr {
        let address = self.next;
        let next = match address.ip() {
            IpAddr::V4(ip) => IpAddr::from(Ipv4Addr::from(u32::from(ip).wrapping_add(1))),
            IpAddr::V6(ip) => IpAddr::from(Ipv6Addr::from(u128::from(ip).wrapping_add(1))),
        };
        self.next.set_ip(next);
        address
    }
}

/// A workspace under construction.
#[derive(Debug)]
pub struct Workspace<'a> {
    name: String,
    workspace: &'a mut model::Workspace,
    faults: &'a mut Vec<Fault>,
}

impl Workspace<'_> {
    /// Adds a key, by its hash, with which callers authenticate; see [`key_hash`].
    pub fn key(&mut self, hash: KeyHash) -> &mut Self {
        self.workspace.keys.push(hash);
        self
    }

    /// Sets the workspace's limits.
    pub fn limits(&mut self, limits: Limits) -> &mut Self {
        self.workspace.limits = limits;
        self
    }

    /// Adds a route to a pipeline, whose requests may be repeated.
    pub fn tokens(&mut self, name: &str, to: &handle::Pipeline) -> Tokens<'_> {
        Tokens {
            route: self.route(name, To::Pipeline(to.0.clone())),
        }
    }

    /// Adds a route to a plain service.
    pub fn calls(&mut self, name: &str, to: &handle::Service) -> Calls<'_> {
        Calls {
            route: self.route(name, To::Service(to.0.clone())),
        }
    }

    fn route(&mut self, name: &str, to: To) -> &mut Route {
        if self.workspace.routes.contains_key(name) {
            self.faults.push(Fault::new(
                Code::DuplicateKey,
                &["workspaces", &self.name, "routes", name],
                "the name is already in use",
            ));
        }
        let routes = self.workspace.routes.entry(name.to_owned());
        routes.insert_entry(Route::new(to)).into_mut()
    }
}

/// A route to a pipeline under construction.
#[derive(Debug)]
pub struct Tokens<'a> {
    route: &'a mut Route,
}

impl Tokens<'_> {
    /// Sets the class of the route's requests.
    pub fn priority(self, priority: Priority) -> Self {
        self.route.priority = priority;
        self
    }

    /// Sets the longest time from arrival to the end of the answer.
    pub fn deadline(self, deadline: Duration) -> Self {
        self.route.deadline_ms = millis(deadline);
        self
    }
}

/// A route to a plain service under construction.
#[derive(Debug)]
pub struct Calls<'a> {
    route: &'a mut Route,
}

impl Calls<'_> {
    /// Sets the class of the route's requests.
    pub fn priority(self, priority: Priority) -> Self {
        self.route.priority = priority;
        self
    }

    /// Sets the longest time from arrival to the end of the answer.
    pub fn deadline(self, deadline: Duration) -> Self {
        self.route.deadline_ms = millis(deadline);
        self
    }

    /// Runs a request at most once; callers have to send an `Idempotency-Key`.
    pub fn never_repeat(self) -> Self {
        self.route.repeat = Repeat::Never;
        self
    }
}

/// Whole milliseconds; saturates, since a duration too long for a `u64` is out of bounds anyway.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
