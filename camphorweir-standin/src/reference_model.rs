//! The computation of the stand-in model, and its reference result without layer ranges.

use camphorweir_wire::ids::Token;

/// Lowest token that the stand-in model generates; tokens are printable ASCII.
const FIRST_TOKEN: u64 = 32;
/// Number of different tokens that the stand-in model generates.
const VOCABULARY_SIZE: u64 = 95;

/// The `n` tokens that `model` with `layers` layers generates for `prompt`.
///
/// Independent of layer ranges, caches and steps, so that engines that have them can be checked.
pub fn expected(model: &str, layers: u32, prompt: &[Token], n: usize) -> Vec<Token> {
    let hash = model_hash(model);
    let mut states = vec![0_u64; layers as usize];
    let mut last = 0;
    for token in prompt {
        last = run_layers(&mut states, *token, hash);
    }
    let mut tokens = Vec::with_capacity(n);
    while tokens.len() < n {
        tokens.push(token(last));
        last = run_layers(&mut states, token(last), hash);
    }
    tokens
}

fn run_layers(states: &mut [u64], token: Token, hash: u64) -> u64 {
    let mut value = u64::from(token);
    for (layer, state) in (0..).zip(states) {
        *state = next_state(*state, value, layer, hash);
        value = *state;
    }
    value
}

/// A layer's state, from its state at the previous position and the state of the layer below.
pub fn next_state(before: u64, below: u64, layer: u32, model: u64) -> u64 {
    let previous = scramble(before ^ model.rotate_left(layer % 64));
    scramble(previous.wrapping_add(scramble(below ^ u64::from(layer).rotate_left(40))))
}

/// The token that a state of the last layer decodes to.
pub fn token(state: u64) -> Token {
    (FIRST_TOKEN + state % VOCABULARY_SIZE) as Token
}

/// Hash of a model's name; mixed into every state, so that models give different results.
pub fn model_hash(model: &str) -> u64 {
    model
        .bytes()
        .fold(0, |hash, byte| scramble(hash ^ u64::from(byte)))
}

/// A bijection whose every output bit depends on every input bit.
fn scramble(word: u64) -> u64 {
    let mut z = word.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
