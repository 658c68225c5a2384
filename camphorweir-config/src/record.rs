//! Records of the configuration stream.

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

/// Distinguishes publications; a random number chosen by the publisher.
pub type Nonce = u64;
/// The position of a record in its stream, from 0 and without gaps.
pub type Offset = u64;

/// One record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The format of `body`; a reader stops at one that it does not know.
    pub format: u16,
    /// The content.
    pub body: Body,
}

/// Content of a record of the configuration stream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Body {
    /// A change requested by an operator.
    Publication(Publication),
    /// A copy of the version in force, appended before retention drops the original records.
    Checkpoint(Checkpoint),
}

/// A change derived from one version.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Publication {
    /// Identifies the publication when the answer to its append is lost.
    pub nonce: Nonce,
    /// The publisher's name, shown to an author whose publication conflicts.
    pub author: String,
    /// The version that the change was derived from; accepted only while that is in force.
    pub base: Version,
    /// The change; the accepted result has version `base + 1`.
    pub edits: Vec<Edit>,
}

/// A version in force and its whole content.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Checkpoint {
    /// The version.
    pub version: Version,
    /// The nonce of the publication that produced the version.
    pub nonce: Nonce,
    /// The author of that publication.
    pub author: String,
    /// One past the last offset that the checkpoint takes into account. A reader that has every
    /// record from there on can continue from this checkpoint. One that lacks some can't, since a
    /// publication among them may have been accepted before the checkpoint was appended.
    pub next: Offset,
    /// The content of the version.
    pub document: Document,
}

/// A change of one item; `None` removes it.
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
