//! A contiguous range of layers.

use crate::ids::Layer;

/// Layers `from..to`; empty when both are equal.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Span {
    /// First layer.
    pub from: Layer,
    /// One past the last layer; never below `from`.
    pub to: Layer,
}

impl Span {
    /// A span, or `None` when `to` is below `from`.
    pub fn new(from: Layer, to: Layer) -> Option<Self> {
        (from <= to).then_some(Self { from, to })
    }

    /// Number of layers.
    pub fn len(&self) -> Layer {
        self.to - self.from
    }

    /// Whether the span has no layer.
    pub fn is_empty(&self) -> bool {
        self.from == self.to
    }

    /// Whether the span has every layer of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.from <= other.from && other.to <= self.to
    }

    /// Whether the span has this layer.
    pub fn has(&self, layer: Layer) -> bool {
        self.from <= layer && layer < self.to
    }
}
