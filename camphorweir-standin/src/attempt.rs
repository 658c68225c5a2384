//! An attempt on an engine: the states of its layers and the steps that move it on.

use {
    crate::{
        cache::{Cache, States},
        chain::{mix, token},
    },
    camphorweir_wire::{
        engine::{BLOCK_POSITIONS, Done, Layers, Open, Reason, Step},
        ids::Position,
    },
    tokio::time::Instant,
};

/// What an attempt runs on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stack {
    /// Hash of the model's name.
    pub(crate) model: u64,
    /// Layers of the whole model.
    pub(crate) layers: u32,
}

/// An open attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// How it was opened.
    pub(crate) open: Open,
    /// When it was last spoken of.
    pub(crate) touched: Instant,
    /// States at block ends that its first step may start from.
    held: Vec<States>,
    next: Option<Position>,
    states: Vec<u64>,
}

impl Attempt {
    /// An attempt that has not run yet.
    pub(crate) fn new(open: Open, cache: &mut Cache) -> Self {
        Self {
            held: cache.held(&open.prefix, open.layers),
            touched: Instant::now(),
            next: None,
            states: vec![0; (open.layers.end - open.layers.first) as usize],
            open,
        }
    }

    /// Positions that it may skip.
    pub(crate) fn held(&self) -> Position {
        self.held.len() as Position * BLOCK_POSITIONS
    }

    /// The position that its next step starts at; `None` before its first.
    pub(crate) fn next(&self) -> Option<Position> {
        self.next
    }

    /// Runs a step.
    pub(crate) fn run(
        &mut self,
        step: &Step,
        on: Stack,
        cache: &mut Cache,
    ) -> Result<Done, Reason> {
        if step.layers != self.open.layers {
            return Err(Reason::WrongLayers);
        }
        let end = u32::try_from(step.input.len()).ok();
        let end = end.and_then(|length| step.position.checked_add(length));
        let end = end.filter(|end| *end > step.position);
        let end = end.ok_or(Reason::UnknownAttempt)?;
        self.seek(step.position).ok_or(Reason::UnknownAttempt)?;
        let output = self.climb(step, on.model, cache);
        self.next = Some(end);
        Ok(done(step, on, output))
    }

    /// Goes to a position where the states are known.
    fn seek(&mut self, position: Position) -> Option<()> {
        if let Some(next) = self.next {
            return (next == position).then_some(());
        }
        if position > 0 {
            let block = (position / BLOCK_POSITIONS).checked_sub(1);
            let block = block.filter(|_| position.is_multiple_of(BLOCK_POSITIONS))?;
            self.states = self.held.get(block as usize)?.to_vec();
        }
        self.held = Vec::new();
        Some(())
    }

    fn climb(&mut self, step: &Step, model: u64, cache: &mut Cache) -> Vec<u64> {
        let mut output = Vec::with_capacity(step.input.len());
        for (position, input) in (step.position..).zip(&step.input) {
            output.push(climb(&mut self.states, *input, step.layers, model));
            self.keep(position + 1, cache);
        }
        output
    }

    /// Keeps the states at the end of a block of the prompt.
    fn keep(&self, end: Position, cache: &mut Cache) {
        if end.is_multiple_of(BLOCK_POSITIONS)
            && let Some(hash) = self.open.prefix.get((end / BLOCK_POSITIONS - 1) as usize)
        {
            cache.put(*hash, self.open.layers, &self.states);
        }
    }
}

fn climb(states: &mut [u64], input: u64, layers: Layers, model: u64) -> u64 {
    let mut value = input;
    for (layer, state) in (layers.first..layers.end).zip(states) {
        *state = mix(*state, value, layer, model);
        value = *state;
    }
    value
}

fn done(step: &Step, on: Stack, output: Vec<u64>) -> Done {
    let last = step.layers.end == on.layers;
    Done {
        request: step.request,
        attempt: step.attempt,
        position: step.position,
        layers: step.layers,
        token: output.last().filter(|_| last).map(|state| token(*state)),
        output: if last { Vec::new() } else { output },
    }
}
