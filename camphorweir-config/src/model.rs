//! The configuration document that operators write.

use {
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Name of an availability zone, such as `southeast-a`.
pub type ZoneId = String;
/// Name of a target, such as `log-a1`.
pub type TargetId = String;
/// Name of a workspace, such as `depot-7`.
pub type WorkspaceId = String;
/// Name of a kind of accelerator, such as `l40`.
pub type KindId = String;
/// Name of a model.
pub type ModelId = String;
/// Name of a pipeline; callers give it in the `model` field.
pub type PipelineId = String;
/// Name of a plain service.
pub type ServiceId = String;
/// Name of a route inside its workspace.
pub type RouteId = String;
/// Number of a published configuration; the empty configuration has 0.
pub type Version = u64;
/// Hex digits of the BLAKE3 hash of a bearer key.
pub type KeyHash = String;

/// Everything that operators publish.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Kinds of accelerator by name.
    pub kinds: BTreeMap<KindId, Kind>,
    /// Availability zones by name.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Links between zones; a pair that is not listed gets [`Link::default`].
    pub links: Vec<Link>,
    /// Models by name.
    pub models: BTreeMap<ModelId, Model>,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, Pipeline>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, Target>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
}

/// A kind of accelerator.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Positions that one layer processes in a second while prefilling.
    pub prefill_rate: f64,
    /// Time of one decode step through one layer, in microseconds.
    pub decode_layer_us: f64,
    /// Requests that a target of this kind processes in one decode step.
    pub batch: u32,
}

impl Kind {
    /// A kind from its prefill rate in positions a second for one layer, its time of a decode step
    /// through one layer in microseconds, and its batch size in requests.
    pub fn new(prefill_rate: f64, decode_layer_us: f64, batch: u32) -> Self {
        Self {
            prefill_rate,
            decode_layer_us,
            batch,
        }
    }
}

/// An availability zone.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// The region of the zone.
    pub region: String,
}

/// A link between two zones, the same in both directions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The two ends; the same zone twice describes the link inside it.
    pub between: [ZoneId; 2],
    /// One-way delay in microseconds.
    pub delay_us: u64,
    /// Bytes carried in a second.
    pub rate: f64,
}

impl Default for Link {
    /// A delay of 1 ms and a rate of 1 Gbit/s.
    fn default() -> Self {
        Self {
            between: [ZoneId::new(), ZoneId::new()],
            delay_us: 1000,
            rate: 125e6,
        }
    }
}

/// A language model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Layers, numbered `0..layers`; at least 1.
    pub layers: u32,
    /// Bytes of one position's activation on a link.
    #[serde(default = "Model::default_activation")]
    pub activation: u64,
    /// The token that ends an answer before its length limit.
    #[serde(default)]
    pub end_token: Option<u32>,
}

impl Model {
    /// A model with this many layers, the default activation and no end token.
    pub fn new(layers: u32) -> Self {
        Self {
            layers,
            activation: Self::default_activation(),
            end_token: None,
        }
    }

    /// Sets the token that ends an answer before its length limit.
    pub fn end_token(mut self, token: u32) -> Self {
        self.end_token = Some(token);
        self
    }

    fn default_activation() -> u64 {
        8192
    }
}

/// A pipeline that callers address as a model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    /// The model it runs.
    pub model: ModelId,
    /// Longest prompt, in tokens.
    #[serde(default = "Pipeline::default_prompt")]
    pub max_prompt: u32,
    /// Longest answer, in tokens.
    #[serde(default = "Pipeline::default_tokens")]
    pub max_tokens: u32,
}

impl Pipeline {
    fn default_prompt() -> u32 {
        8192
    }

    fn default_tokens() -> u32 {
        1024
    }
}

/// A plain service beside the model engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether the service's targets refuse a call with an outdated fencing number.
    #[serde(default)]
    pub fencing: bool,
}

/// A back end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// `IP:PORT`.
    pub address: String,
    /// The target's availability zone.
    pub zone: ZoneId,
    /// What the target serves.
    pub serves: Serves,
    /// Whether operators are draining it; it gets no new work.
    #[serde(default)]
    pub drain: bool,
}

/// What a target serves.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Serves {
    /// A range of a model's layers.
    Layers(Engine),
    /// A plain service, by name.
    Service(ServiceId),
}

/// An engine that holds a range of layers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// The model whose layers it holds.
    pub model: ModelId,
    /// First layer held.
    pub first: u32,
    /// One past the last layer held; above `first`.
    pub end: u32,
    /// The engine's kind of accelerator.
    pub kind: KindId,
    /// Whether the engine refuses a layer assignment with an outdated fencing number.
    #[serde(default)]
    pub fencing: bool,
}

/// A customer.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Hashes of the bearer keys that its callers present.
    #[serde(default)]
    pub keys: Vec<KeyHash>,
    /// The workspace's limits.
    #[serde(default)]
    pub limits: Limits,
    /// The workspace's routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteId, Route>,
}

/// Limits of a workspace over all entries together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests a second.
    pub requests: f64,
    /// Prompt and answer tokens a second.
    pub tokens: f64,
    /// Requests in flight.
    pub concurrent: u32,
}

impl Limits {
    /// Limits of this many requests a second, and 500 times as many tokens a second.
    pub fn of(requests: f64) -> Self {
        Self {
            requests,
            tokens: requests * 500.0,
            ..Self::default()
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests: 100.0,
            tokens: 100_000.0,
            concurrent: 256,
        }
    }
}

/// A name that a workspace's callers may address, and how its requests are treated.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The destination of the route's requests.
    pub to: To,
    /// The class of the route's requests.
    #[serde(default)]
    pub priority: Priority,
    /// Whether a request may be repeated.
    #[serde(default)]
    pub repeat: Repeat,
    /// Longest time from arrival to the end of the answer.
    #[serde(default = "Route::default_deadline")]
    pub deadline_ms: u64,
}

impl Route {
    /// A route of the normal class whose requests may be repeated.
    pub fn new(to: To) -> Self {
        Self {
            to,
            priority: Priority::default(),
            repeat: Repeat::default(),
            deadline_ms: Self::default_deadline(),
        }
    }

    fn default_deadline() -> u64 {
        30_000
    }

    /// The deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// The destination of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum To {
    /// A model pipeline.
    Pipeline(PipelineId),
    /// A plain service.
    Service(ServiceId),
}

/// A class of requests; an earlier one is served first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Someone is waiting for the answer, for example a driver at the gate.
    Urgent,
    /// The default class.
    #[default]
    Normal,
    /// Work that can wait, for example a nightly report.
    Bulk,
}

impl Priority {
    /// All classes, first served first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Bulk];
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Idempotent: running it twice does no harm.
    #[default]
    Idempotent,
    /// Must run at most once, for example a shipment seal.
    Never,
}
