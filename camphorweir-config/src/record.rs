//! The records of the configuration stream.

use {
    crate::model::{
        Document, Kind, KindId, Link, Model, ModelId, Pipeline, PipelineId, Service, ServiceId,
        Target, TargetId, Version, Workspace, WorkspaceId, Zone, ZoneId,
    },
    serde::{Deserialize, Serialize},
};

/// Name of the stream that holds the configuration.
pub const STREAM: &str = "config";
/// The format that this release writes and the newest that it reads.
pub const FORMAT: u16 = 1;

/// Tells one publication from another; drawn at random by the publisher.
pub type Nonce = u64;
/// The place of a record in its stream, from 0 and without holes.
pub type Offset = u64;

/// One record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// What the record says.
    pub body: Body,
}

/// What a record of the configuration stream says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// A change that some operator asks for.
    Publication(Publication),
    /// A version in force, written again before retention drops it.
    Checkpoint(Checkpoint),
}

/// A change derived from one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publication {
    /// Finds the publication again when the append's answer is lost.
    pub nonce: Nonce,
    /// Who publishes, for the one who loses a race.
    pub author: String,
    /// The version it was derived from; accepted only while that is in force.
    pub base: Version,
    /// The change; the accepted result has version `base + 1`.
    pub edits: Vec<Edit>,
}

/// A version in force and its whole content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Checkpoint {
    /// The version.
    pub version: Version,
    /// The nonce of the publication that made it.
    pub nonce: Nonce,
    /// The author of that publication.
    pub author: String,
    /// One past the last offset that it takes into account. A reader that has every record from there
    /// on can go on from this checkpoint; one that lacks some can't, since a publication among them
    /// may have been accepted before the checkpoint landed.
    pub next: Offset,
    /// Its content.
    pub document: Document,
}

/// One small change; `None` removes the entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Edit {
    /// Sets or removes a kind of accelerator.
    Kind(KindId, Option<Kind>),
    /// Sets or removes a zone.
    Zone(ZoneId, Option<Zone>),
    /// Replaces all links.
    Links(Vec<Link>),
    /// Sets or removes a model.
    Model(ModelId, Option<Model>),
    /// Sets or removes a pipeline.
    Pipeline(PipelineId, Option<Pipeline>),
    /// Sets or removes a service.
    Service(ServiceId, Option<Service>),
    /// Sets or removes a target.
    Target(TargetId, Option<Target>),
    /// Sets or removes a workspace.
    Workspace(WorkspaceId, Option<Workspace>),
}
