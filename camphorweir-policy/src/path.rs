//! A chain of targets that runs every layer of a model once, in order.

use {crate::target::Index, camphorweir_wire::engine::Layers};

/// One target of a path and the layers it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hop {
    /// The target.
    pub target: Index,
    /// The layers that the target runs.
    pub layers: Layers,
}

/// A chain of hops.
///
/// Invariant: the hops' layers tile `[0, layers)` of the model with no gap and no overlap;
/// [`Path::tile`] is the only way to make one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Path {
    hops: Vec<Hop>,
}

impl Path {
    /// A path of these hops, or `None` if they don't tile `[0, layers)`.
    pub fn tile(layers: u32, hops: Vec<Hop>) -> Option<Self> {
        let mut next = 0;
        for hop in &hops {
            if hop.layers.first != next || hop.layers.end <= next {
                return None;
            }
            next = hop.layers.end;
        }
        (next == layers && layers > 0).then_some(Self { hops })
    }

    /// The hops in the order of their layers.
    pub fn hops(&self) -> &[Hop] {
        &self.hops
    }

    /// Whether a target is on the path.
    pub fn contains(&self, target: Index) -> bool {
        self.hops.iter().any(|hop| hop.target == target)
    }
}
