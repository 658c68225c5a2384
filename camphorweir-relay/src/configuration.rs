//! The configuration published by operators: routes, services, workspaces and limits.

use {
    crate::ids::{Layer, ServiceName, Workspace, Zone},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// A configuration as operators publish it.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    /// Rises with every publication, not always by 1.
    pub version: u64,
    /// Routes, in the order of publication.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// Whose requests are admitted.
    pub access: Access,
}

/// The owner of each API key.
pub type Keys = HashMap<String, Arc<Owner>>;

/// Whose requests a configuration admits on routes that are not public.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum Access {
    /// Everyone's, as the configuration has no section of workspaces.
    #[default]
    Open,
    /// Those with one of these keys; nobody's where there are none.
    Keyed(Keys),
}

impl Access {
    /// The keys of which a request needs one; `None` where it needs none.
    pub fn keys(&self) -> Option<&Keys> {
        match self {
            Self::Open => None,
            Self::Keyed(keys) => Some(keys),
        }
    }
}

/// Owner of an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The workspace.
    pub workspace: Workspace,
    /// Priority of the workspace's requests, 0 first; overrides the route's.
    pub priority: Option<u8>,
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once for each attempt of the caller.
    AtMostOnce,
    /// The response is a stream of events; a resumable stream may continue at another target.
    Stream {
        /// Whether another run may continue after the last event that the caller got.
        resumable: bool,
    },
}

/// A route: which requests match and which services they go to.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that requests name.
    pub host: String,
    /// Prefix of the request path, with a slash at both ends.
    pub prefix: String,
    /// How often a request may run.
    pub kind: Kind,
    /// Services with their weights. Requests are refused while no weight is above zero.
    pub weights: Vec<(ServiceName, u32)>,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Latency objective: the time within which a response has its full value.
    pub latency_objective: Duration,
    /// Priority, 0 first.
    pub priority: u8,
    /// Number of targets on which one attempt of a caller may run.
    pub max_runs: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service: what its targets have in common.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Connections that a target accepts from all instances together.
    pub max_connections: u32,
    /// Model and performance figures, where targets hold layers.
    pub engine: Option<Engine>,
}

/// Size of a model and performance of the targets that run it.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Layers of the model.
    pub layers: Layer,
    /// Memory of one layer in MB.
    pub layer_mb: f64,
    /// Memory of one token over all layers, in bytes.
    pub kv_token_bytes: f64,
    /// Time of one token step over all layers, in ms, on the reference hardware.
    pub step_ms: f64,
    /// Added to a step for each request that generates tokens, in ms.
    pub stream_ms: f64,
    /// Added to a step for each 1,000 tokens of context, in ms.
    pub context_ms_per_1k: f64,
    /// Prompt tokens processed in one ms, over all layers, on the reference hardware.
    pub prompt_tokens_per_ms: f64,
    /// Mean number of tokens of a prompt and of an answer.
    pub mean_tokens: (f64, f64),
    /// Time to load all layers from the weight store.
    pub load_time: Duration,
    /// Hardware by the name of its kind.
    pub hardware: BTreeMap<String, Hardware>,
    /// Delay between zones in ms, one way.
    pub delays: Vec<(Zone, Zone, f64)>,
}

/// A kind of accelerator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hardware {
    /// Memory in MB for layers and requests.
    pub memory_mb: f64,
    /// Factor on the time of a step; 1 for the reference hardware.
    pub step_factor: f64,
    /// Factor on the time to process a prompt; 1 for the reference hardware.
    pub prompt_factor: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Time for a head to arrive.
    pub head_timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits until a configuration has been read; equal to those published at both sites.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Configuration {
    /// The keys of which a request on a route needs one; `None` where it needs none.
    pub fn keys_for(&self, route: &Route) -> Option<&Keys> {
        self.access.keys().filter(|_| !route.public)
    }

    /// The route with the longest prefix of `path` on this host.
    ///
    /// Linear in the routes, whose number is bounded by the size of one record in the store.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split(':').next().unwrap_or(host);
        let routes = self.routes.iter();
        routes
            .filter(|route| path.starts_with(&route.prefix))
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .max_by_key(|route| route.prefix.len())
    }
}

impl Route {
    /// Picks a service by weight; `random` is from `0.0..1.0`. `None` when no weight is above zero.
    pub fn pick_service(&self, random: f64) -> Option<&ServiceName> {
        let sum: u32 = self.weights.iter().map(|(_, weight)| weight).sum();
        let mut rest = random * f64::from(sum);
        for (service, weight) in &self.weights {
            rest -= f64::from(*weight);
            if rest < 0.0 {
                return Some(service);
            }
        }
        let mut weights = self.weights.iter().rev();
        weights
            .find(|(_, weight)| *weight > 0)
            .map(|(name, _)| name)
    }
}

impl Engine {
    /// The most layers that fit in the memory of hardware of this kind.
    pub fn max_layers(&self, hardware: &Hardware) -> Layer {
        let max = (hardware.memory_mb / self.layer_mb).floor();
        (max.max(0.0) as Layer).min(self.layers)
    }

    /// Memory for requests beside `loaded` layers, in tokens times layers.
    pub fn free_token_layers(&self, hardware: &Hardware, loaded: Layer) -> f64 {
        let bytes = (hardware.memory_mb - f64::from(loaded) * self.layer_mb) * 1e6;
        let token_layer_bytes = self.kv_token_bytes / f64::from(self.layers.max(1));
        (bytes / token_layer_bytes).max(0.0)
    }
}
