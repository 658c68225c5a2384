//! Which requests may fill up the memory of targets while it is scarce.

/// How a request stands among those of its rank; the first in this order goes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Standing {
    /// A stream that was interrupted at its target and goes on elsewhere.
    Resumed,
    /// A caller that was refused and returns when it was told to.
    Returning,
    /// Any other request.
    #[default]
    Newcomer,
}
