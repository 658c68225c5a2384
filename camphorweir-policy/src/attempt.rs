//! The life cycle of one attempt at a pipeline request: opening, then running.

use {
    crate::{
        path::{Hop, Path},
        target::Index,
    },
    camphorweir_wire::{
        engine::{BLOCK, Done, Layers},
        ids::{AttemptId, Position},
    },
};

/// An attempt in one state of its life; a state's methods exist in that state only.
#[derive(Clone, Debug)]
pub struct Attempt<State> {
    /// Its number in the request.
    pub id: AttemptId,
    /// Its path; it never changes.
    pub path: Path,
    /// Invariant: grows with every step sent, so that an old timer is recognised.
    pub sequence: u32,
    state: State,
}

/// The hops are being asked what they hold of the prompt.
#[derive(Clone, Debug)]
pub struct Opening {
    /// Positions held, for each hop that has answered.
    held: Vec<Option<Position>>,
}

/// One step is under way.
#[derive(Clone, Debug)]
pub struct Running {
    /// The hop that computes now.
    hop: usize,
    /// The first position it computes.
    position: Position,
    /// How many it computes; at least 1.
    count: u32,
}

/// An attempt in any state.
#[derive(Clone, Debug)]
pub enum Any {
    /// Not all hops have opened.
    Opening(Attempt<Opening>),
    /// A step is under way.
    Running(Attempt<Running>),
}

impl Any {
    /// The number of the attempt.
    pub fn id(&self) -> AttemptId {
        match self {
            Self::Opening(attempt) => attempt.id,
            Self::Running(attempt) => attempt.id,
        }
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        match self {
            Self::Opening(attempt) => &attempt.path,
            Self::Running(attempt) => &attempt.path,
        }
    }

    /// The number of the step that it waits for.
    pub fn sequence(&self) -> u32 {
        match self {
            Self::Opening(attempt) => attempt.sequence,
            Self::Running(attempt) => attempt.sequence,
        }
    }

    /// The targets that it waits for.
    pub fn waits_for(&self) -> Vec<Index> {
        match self {
            Self::Opening(attempt) => attempt.missing(),
            Self::Running(attempt) => vec![attempt.hop().target],
        }
    }
}

/// What the answer to a step leads to.
#[derive(Clone, Debug)]
pub enum Next {
    /// The output goes to the next hop.
    Hop(Attempt<Running>),
    /// The last layer has run; the step is complete.
    Complete(Attempt<Running>),
}

impl Attempt<Opening> {
    /// A new attempt.
    pub fn new(id: AttemptId, path: Path) -> Self {
        let held = vec![None; path.hops().len()];
        Self {
            id,
            path,
            sequence: 0,
            state: Opening { held },
        }
    }

    /// A hop has opened; a second answer of the same hop changes nothing.
    pub fn opened(&mut self, target: Index, held: Position) {
        for (hop, slot) in self.path.hops().iter().zip(&mut self.state.held) {
            if hop.target == target && slot.is_none() {
                *slot = Some(held);
            }
        }
    }

    /// The hops that have not opened.
    fn missing(&self) -> Vec<Index> {
        self.path
            .hops()
            .iter()
            .zip(&self.state.held)
            .filter(|(_, held)| held.is_none())
            .map(|(hop, _)| hop.target)
            .collect()
    }

    /// Once all hops have opened: runs from the first position that some hop lacks.
    ///
    /// The last of the `total` positions is always computed, since its output is the next token.
    ///
    /// # Errors
    ///
    /// The attempt itself while hops are missing.
    pub fn run(self, total: Position) -> Result<Attempt<Running>, Self> {
        let Some(held) = self
            .state
            .held
            .iter()
            .copied()
            .collect::<Option<Vec<Position>>>()
        else {
            return Err(self);
        };
        let last = total.saturating_sub(1) / BLOCK * BLOCK;
        let start = held.into_iter().min().unwrap_or(0).min(last) / BLOCK * BLOCK;
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
    /// The hop that computes now.
    pub fn hop(&self) -> Hop {
        self.path.hops()[self.state.hop]
    }

    /// The first position that it computes.
    pub fn position(&self) -> Position {
        self.state.position
    }

    /// How many positions it computes.
    pub fn count(&self) -> u32 {
        self.state.count
    }

    /// Whether the step under way is the last layers'.
    fn is_last(&self) -> bool {
        self.state.hop + 1 == self.path.hops().len()
    }

    /// Whether this is the answer to the step under way; any other is dropped.
    pub fn expects(&self, target: Index, done: &Done) -> bool {
        let hop = self.hop();
        let layers: Layers = hop.layers;
        done.attempt == self.id
            && hop.target == target
            && layers == done.layers
            && done.position == self.state.position
    }

    /// Whether an expected answer has the shape that its step asks for.
    pub fn fits(&self, done: &Done) -> bool {
        if self.is_last() {
            return done.token.is_some();
        }
        done.output.len() == self.state.count as usize
    }

    /// Goes on after an answer that was expected and fits.
    pub fn advance(mut self) -> Next {
        self.sequence += 1;
        if self.is_last() {
            return Next::Complete(self);
        }
        self.state.hop += 1;
        Next::Hop(self)
    }

    /// Starts the step of the one position after those computed.
    pub fn decode(mut self) -> Self {
        self.state.hop = 0;
        self.state.position += self.state.count;
        self.state.count = 1;
        self
    }
}
