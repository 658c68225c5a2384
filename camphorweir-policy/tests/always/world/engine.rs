//! A fake layer-range engine whose tokens depend on every layer of every position.

use {
    camphorweir_wire::{
        engine::{
            Assignment, BLOCK_POSITIONS, Command, Done, Hello, Layers, LayersHeld, Open, Opened,
            Reason, Refused, Reply, Step,
        },
        ids::{AttemptId, RequestId, Token},
    },
    std::collections::HashMap,
};

fn mix(a: u64, b: u64) -> u64 {
    let mut z = a.rotate_left(23) ^ b.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z ^ (z >> 27)
}

fn run_layer(state: u64, input: u64, layer: u32) -> u64 {
    mix(mix(state, input), u64::from(layer) + 1)
}

fn token(output: u64) -> Token {
    32 + (output % 95) as Token
}

/// Computes the expected answer without an engine.
pub(crate) fn expected(layers: u32, prompt: &[Token], count: u32) -> Vec<Token> {
    let mut tokens = prompt.to_vec();
    let mut states = vec![0; layers as usize];
    let mut last = 0;
    for token in prompt {
        last = run_position(&mut states, 0, u64::from(*token));
    }
    for _ in 0..count {
        let next = token(last);
        tokens.push(next);
        last = run_position(&mut states, 0, u64::from(next));
    }
    tokens.split_off(prompt.len())
}

fn run_position(states: &mut [u64], first: u32, input: u64) -> u64 {
    let mut value = input;
    for (state, layer) in states.iter_mut().zip(first..) {
        *state = run_layer(*state, value, layer);
        value = *state;
    }
    value
}

/// Returns replies of a step's shape that belong to another attempt, request, position or layer
/// range.
pub(crate) fn forge(step: &Step, model_layers: u32) -> Vec<Reply> {
    let last = step.layers.end == model_layers;
    let wrong = Done {
        request: step.request,
        attempt: step.attempt,
        position: step.position,
        layers: step.layers,
        output: if last {
            Vec::new()
        } else {
            vec![7; step.input.len()]
        },
        token: last.then_some(7),
    };
    let mut forged = vec![wrong; 5];
    forged[0].attempt += 1;
    forged[1].attempt = step.attempt.wrapping_sub(1);
    forged[2].request += 1_000_000;
    forged[3].position += 1;
    forged[4].layers.end += 1;
    forged.into_iter().map(Reply::Done).collect()
}

/// First token of prompts that crash every engine that computes them.
pub(crate) const POISON: Token = 99_999;

struct Attempt {
    layers: Layers,
    prefix: Vec<u64>,
    position: u32,
    /// Positions that were available from the cache at the start.
    held: u32,
    states: Vec<u64>,
}

/// A fake of an engine.
pub(crate) struct Engine {
    pub(crate) layers: Layers,
    pub(crate) model_layers: u32,
    pub(crate) incarnation: u64,
    pub(crate) fence: u64,
    /// Number of orders with an older fencing number than one seen before.
    pub(crate) stale_orders: u32,
    pub(crate) up: bool,
    pub(crate) frozen: bool,
    pub(crate) leaving: bool,
    /// Number of next replies to steps that are lost.
    pub(crate) replies_to_drop: u32,
    /// Number of next replies to steps that are delivered twice.
    pub(crate) replies_to_duplicate: u32,
    /// The engine crashes on a prompt that begins with this token.
    pub(crate) poison: Option<Token>,
    attempts: HashMap<(usize, RequestId, AttemptId), Attempt>,
    cache: HashMap<(u64, Layers), Vec<u64>>,
}

impl Engine {
    pub(crate) fn new(layers: Layers, model_layers: u32) -> Self {
        Self {
            layers,
            model_layers,
            incarnation: 1,
            fence: 0,
            stale_orders: 0,
            up: true,
            frozen: false,
            leaving: false,
            replies_to_drop: 0,
            replies_to_duplicate: 0,
            poison: Some(POISON),
            attempts: HashMap::new(),
            cache: HashMap::new(),
        }
    }

    /// Restarts the engine with nothing in memory.
    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.up = true;
        self.frozen = false;
        self.leaving = false;
        self.attempts.clear();
        self.cache.clear();
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            incarnation: self.incarnation,
            layers_held: self.holds(),
            kind: "k".to_owned(),
        }
    }

    /// Number of open attempts, by which tests find one that was left behind.
    pub(crate) fn open_attempts(&self) -> usize {
        if self.up { self.attempts.len() } else { 0 }
    }

    /// Drops the attempts of an entry whose connection is lost.
    pub(crate) fn drop_attempts(&mut self, entry: usize) {
        self.attempts.retain(|(owner, ..), _| *owner != entry);
    }

    pub(crate) fn order(&mut self, entry: usize, order: Command) -> Vec<Reply> {
        match order {
            Command::Open(open) => vec![self.open_attempt(entry, open)],
            Command::Step(step) => self.step(entry, &step),
            Command::Cancel(request, attempt) => {
                self.attempts.remove(&(entry, request, attempt));
                Vec::new()
            }
            Command::Assign(hold) => self.hold(&hold),
        }
    }

    /// Loads the layers without delay; refuses an order with an older fencing number than one seen.
    fn hold(&mut self, hold: &Assignment) -> Vec<Reply> {
        if hold.fence < self.fence {
            self.stale_orders += 1;
        } else {
            self.fence = hold.fence;
            self.layers = hold.layers;
        }
        vec![Reply::LayersHeld(self.holds())]
    }

    fn holds(&self) -> LayersHeld {
        LayersHeld {
            model: "m".to_owned(),
            layers: self.layers,
            fence: self.fence,
            loading: false,
        }
    }

    fn open_attempt(&mut self, entry: usize, open: Open) -> Reply {
        let (request, attempt) = (open.request, open.attempt);
        if self.leaving {
            let why = Reason::Leaving;
            return Reply::Refused(Refused {
                request,
                attempt,
                reason: why,
            });
        }
        let held = open
            .prefix
            .iter()
            .take_while(|hash| self.cache.contains_key(&(**hash, open.layers)))
            .count() as u32
            * BLOCK_POSITIONS;
        let state = Attempt {
            layers: open.layers,
            prefix: open.prefix,
            position: 0,
            held,
            states: vec![0; (open.layers.end - open.layers.first) as usize],
        };
        self.attempts.insert((entry, request, attempt), state);
        Reply::Opened(Opened {
            request,
            attempt,
            cached: held,
        })
    }

    fn step(&mut self, entry: usize, step: &Step) -> Vec<Reply> {
        let (request, attempt) = (step.request, step.attempt);
        let poisoned = step.layers.first == 0
            && step.position == 0
            && self.poison.is_some()
            && step.input.first().map(|token| *token as Token) == self.poison;
        if poisoned {
            self.up = false;
            return Vec::new();
        }
        let refuse = |why| {
            vec![Reply::Refused(Refused {
                request,
                attempt,
                reason: why,
            })]
        };
        let Some(state) = self.attempts.get_mut(&(entry, request, attempt)) else {
            return refuse(Reason::UnknownAttempt);
        };
        if state.layers != step.layers {
            return refuse(Reason::WrongLayers);
        }
        if step.position != state.position {
            let block = step.position / BLOCK_POSITIONS;
            if !step.position.is_multiple_of(BLOCK_POSITIONS)
                || step.position > state.held
                || block == 0
            {
                return refuse(Reason::UnknownAttempt);
            }
            let key = (state.prefix[block as usize - 1], state.layers);
            state.states.clone_from(&self.cache[&key]);
            state.position = step.position;
        }
        let mut output = Vec::new();
        for input in &step.input {
            output.push(run_position(&mut state.states, state.layers.first, *input));
            state.position += 1;
            let block = (state.position / BLOCK_POSITIONS) as usize;
            if state.position % BLOCK_POSITIONS == 0 && block <= state.prefix.len() {
                let key = (state.prefix[block - 1], state.layers);
                self.cache.insert(key, state.states.clone());
            }
        }
        let last = step.layers.end == self.model_layers;
        let token = last.then(|| token(*output.last().expect("a step has input")));
        let done = Reply::Done(Done {
            request,
            attempt,
            position: step.position,
            layers: step.layers,
            output: if last { Vec::new() } else { output },
            token,
        });
        if self.replies_to_drop > 0 {
            self.replies_to_drop -= 1;
            return Vec::new();
        }
        if self.replies_to_duplicate > 0 {
            self.replies_to_duplicate -= 1;
            return vec![done.clone(), done];
        }
        vec![done]
    }
}
