//! The life cycle of one attempt at a token request: opening, then running.

use {
    crate::{
        path::{Hop, Path},
        target::Index,
    },
    camphorweir_wire::{
        engine::{BLOCK_POSITIONS, Done, Layers},
        ids::{AttemptId, Position},
    },
};

/// An attempt in one state; each state has its own methods.
#[derive(Clone, Debug)]
pub struct Attempt<State> {
    /// Number of the attempt within its request.
    pub id: AttemptId,
    /// The engines and layers; fixed for the attempt.
    pub path: Path,
    /// Invariant: grows with every step sent, so that the timer of an earlier step is recognised.
    pub sequence: u32,
    state: State,
}

/// The engines of the path are being asked how much of the prompt they have cached.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Number of cached positions, for each hop that has answered.
    cached: Vec<Option<Position>>,
}

/// One step is under way.
#[derive(Clone, Debug)]
pub struct Running {
    /// Index of the hop that computes the step.
    hop: usize,
    /// The first position of the step.
    position: Position,
    /// Number of positions in the step; at least 1.
    count: u32,
}

/// An attempt whose state is known at run time only.
#[derive(Clone, Debug)]
pub enum AnyAttempt {
    /// Not all hops have opened the attempt.
    Opening(Attempt<Opening>),
    /// A step is under way.
    Running(Attempt<Running>),
}

impl AnyAttempt {
    /// The number of the attempt.
    pub fn id(&self) -> AttemptId {
        match self {
            Self::Opening(attempt) => attempt.id,
            Self::Running(attempt) => attempt.id,
        }
    }

    /// The path of the attempt.
    pub fn path(&self) -> &Path {
        match self {
            Self::Opening(attempt) => &attempt.path,
            Self::Running(attempt) => &attempt.path,
        }
    }

    /// The sequence number of the current step.
    pub fn sequence(&self) -> u32 {
        match self {
            Self::Opening(attempt) => attempt.sequence,
            Self::Running(attempt) => attempt.sequence,
        }
    }

    /// The targets whose answers the attempt is waiting for.
    pub fn awaited(&self) -> Vec<Index> {
        match self {
            Self::Opening(attempt) => attempt.unopened(),
            Self::Running(attempt) => vec![attempt.hop().target],
        }
    }
}

/// How an attempt continues after the answer to a step.
#[derive(Clone, Debug)]
pub enum Next {
    /// The output is the input of the next hop.
    Hop(Attempt<Running>),
    /// The last layer has run; the positions are complete.
    Complete(Attempt<Running>),
}

impl Attempt<Opening> {
    /// A new attempt.
    pub fn new(id: AttemptId, path: Path) -> Self {
        let cached = vec![None; path.hops().len()];
        Self {
            id,
            path,
            sequence: 0,
            state: Opening { cached },
        }
    }

    /// Records that a hop has opened the attempt; duplicate answers are ignored.
    pub fn opened(&mut self, target: Index, cached: Position) {
        for (hop, slot) in self.path.hops().iter().zip(&mut self.state.cached) {
            if hop.target == target && slot.is_none() {
                *slot = Some(cached);
            }
        }
    }

    /// The targets that have not opened the attempt.
    fn unopened(&self) -> Vec<Index> {
        self.path
            .hops()
            .iter()
            .zip(&self.state.cached)
            .filter(|(_, cached)| cached.is_none())
            .map(|(hop, _)| hop.target)
            .collect()
    }

    /// Sets up the first step once all hops have opened: from the start of the block with the first
    /// position that some hop has not cached, or of the last block if all is cached.
    ///
    /// The last of the `total` positions is always computed, because its output is the next token.
    ///
    /// # Errors
    ///
    /// Returns the attempt itself while some hop has not opened.
    pub fn run(self, total: Position) -> Result<Attempt<Running>, Self> {
        let Some(cached) = self
            .state
            .cached
            .iter()
            .copied()
            .collect::<Option<Vec<Position>>>()
        else {
            return Err(self);
        };
        let last = total.saturating_sub(1) / BLOCK_POSITIONS * BLOCK_POSITIONS;
        let start =
            cached.into_iter().min().unwrap_or(0).min(last) / BLOCK_POSITIONS * BLOCK_POSITIONS;
        Ok(Attempt {
            id: self.id,
            path: self.path,
            sequence: self.sequence + 1,
            state: Running {
                hop: 0,
                position: start,
                count: total - start,
            },
        })
    }
}

impl Attempt<Running> {
    /// The hop that computes the current step.
    pub fn hop(&self) -> Hop {
        self.path.hops()[self.state.hop]
    }

    /// The first position of the current step.
    pub fn position(&self) -> Position {
        self.state.position
    }

    /// Number of positions in the current step.
    pub fn count(&self) -> u32 {
        self.state.count
    }

    /// Whether the current step is that of the last hop.
    fn is_last(&self) -> bool {
        self.state.hop + 1 == self.path.hops().len()
    }

    /// Whether `done` is the answer to the current step; all others are to be dropped.
    pub fn expects(&self, target: Index, done: &Done) -> bool {
        let hop = self.hop();
        let layers: Layers = hop.layers;
        done.attempt == self.id
            && hop.target == target
            && layers == done.layers
            && done.position == self.state.position
    }

    /// Whether an expected answer has the outputs that the current step needs.
    pub fn has_expected_shape(&self, done: &Done) -> bool {
        if self.is_last() {
            return done.token.is_some();
        }
        done.output.len() == self.state.count as usize
    }

    /// Continues after a valid answer to the current step.
    pub fn advance(mut self) -> Next {
        self.sequence += 1;
        if self.is_last() {
            return Next::Complete(self);
        }
        self.state.hop += 1;
        Next::Hop(self)
    }

    /// Starts the decode step of the single position after those computed.
    pub fn decode(mut self) -> Self {
        self.state.hop = 0;
        self.state.position += self.state.count;
        self.state.count = 1;
        self
    }
}
