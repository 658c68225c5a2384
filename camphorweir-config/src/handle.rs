//! Typed names of items that were added to a [`Builder`](crate::build::Builder).

use {
    crate::model::{KindId, ModelId, PipelineId, ServiceId, ZoneId},
    std::fmt::{self, Display, Formatter},
};

/// A kind of accelerator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Kind(pub(crate) KindId);

/// A model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Model(pub(crate) ModelId);

/// A pipeline.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pipeline(pub(crate) PipelineId);

/// A plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service(pub(crate) ServiceId);

/// An availability zone.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Zone(pub(crate) ZoneId);

impl Display for Zone {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
