//! An attempt on an engine: the states of its layers and how steps advance them.

use {
    crate::{
        cache::{Cache, States},
        reference_model::{next_state, token},
    },
    camphorweir_wire::{
        engine::{BLOCK_POSITIONS, Done, Layers, Open, Reason, Step},
        ids::Position,
    },
    tokio::time::Instant,
};

/// The model that an engine holds layers of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Model {
    /// Hash of the model's name.
    pub(crate) hash: u64,
    /// Number of layers of the whole model.
    pub(crate) layers: u32,
}

/// An open attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The message that opened the attempt.
    pub(crate) open: Open,
    /// When the attempt was opened or last had a step received or run.
    pub(crate) last_active: Instant,
    /// Cached states at block ends, from which the first step may start.
    cached: Vec<States>,
    next_position: Option<Position>,
    states: Vec<u64>,
}

impl Attempt {
    /// An attempt that has run no step yet.
    pub(crate) fn new(open: Open, cache: &mut Cache) -> Self {
        Self {
            cached: cache.longest_prefix(&open.prefix, open.layers),
            last_active: Instant::now(),
            next_position: None,
            states: vec![0; (open.layers.end - open.layers.first) as usize],
            open,
        }
    }

    /// Number of positions that the first step may skip because they are cached.
    pub(crate) fn cached_positions(&self) -> Position {
        self.cached.len() as Position * BLOCK_POSITIONS
    }

    /// Start position of the next step; `None` before the first.
    pub(crate) fn next_position(&self) -> Option<Position> {
        self.next_position
    }

    /// Runs a step.
    pub(crate) fn run(
        &mut self,
        step: &Step,
        model: Model,
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
        let output = self.run_positions(step, model.hash, cache);
        self.next_position = Some(end);
        Ok(done(step, model, output))
    }

    /// Sets the states to those at a position; `None` if they are not available.
    fn seek(&mut self, position: Position) -> Option<()> {
        if let Some(next_position) = self.next_position {
            return (next_position == position).then_some(());
        }
        if position > 0 {
            let block = (position / BLOCK_POSITIONS).checked_sub(1);
            let block = block.filter(|_| position.is_multiple_of(BLOCK_POSITIONS))?;
            self.states = self.cached.get(block as usize)?.to_vec();
        }
        self.cached = Vec::new();
        Some(())
    }

    fn run_positions(&mut self, step: &Step, model: u64, cache: &mut Cache) -> Vec<u64> {
        let mut output = Vec::with_capacity(step.input.len());
        for (position, input) in (step.position..).zip(&step.input) {
            output.push(run_layers(&mut self.states, *input, step.layers, model));
            self.cache_block(position + 1, cache);
        }
        output
    }

    /// Caches the states if the position is the end of a block of the prompt.
    fn cache_block(&self, end: Position, cache: &mut Cache) {
        if end.is_multiple_of(BLOCK_POSITIONS)
            && let Some(hash) = self.open.prefix.get((end / BLOCK_POSITIONS - 1) as usize)
        {
            cache.insert(*hash, self.open.layers, &self.states);
        }
    }
}

fn run_layers(states: &mut [u64], input: u64, layers: Layers, model: u64) -> u64 {
    let mut value = input;
    for (layer, state) in (layers.first..layers.end).zip(states) {
        *state = next_state(*state, value, layer, model);
        value = *state;
    }
    value
}

fn done(step: &Step, model: Model, output: Vec<u64>) -> Done {
    let is_last = step.layers.end == model.layers;
    Done {
        request: step.request,
        attempt: step.attempt,
        position: step.position,
        layers: step.layers,
        token: output.last().filter(|_| is_last).map(|state| token(*state)),
        output: if is_last { Vec::new() } else { output },
    }
}
