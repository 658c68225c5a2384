//! The computation of the stand-in model, and the right answer worked out in one piece.

use camphorweir_wire::ids::Token;

/// First token that the stand-in model gives out; tokens are printable ASCII.
const FIRST_TOKEN: u64 = 32;
/// How many tokens the stand-in model gives out.
const TOKENS: u64 = 95;

/// The tokens that `model` with `layers` layers answers to `prompt`.
///
/// It knows nothing of ranges, caches or steps, so that it can judge engines that have them.
pub fn expected(model: &str, layers: u32, prompt: &[Token], n: usize) -> Vec<Token> {
    let hash = model_hash(model);
    let mut states = vec![0_u64; layers as usize];
    let mut last = 0;
    for token in prompt {
        last = climb(&mut states, *token, hash);
    }
    let mut tokens = Vec::with_capacity(n);
    while tokens.len() < n {
        tokens.push(token(last));
        last = climb(&mut states, token(last), hash);
    }
    tokens
}

fn climb(states: &mut [u64], token: Token, hash: u64) -> u64 {
    let mut value = u64::from(token);
    for (layer, state) in (0..).zip(states) {
        *state = mix(*state, value, layer, hash);
        value = *state;
    }
    value
}

/// The state of a layer at a position, from its state at the position before and the layer below.
pub fn mix(before: u64, below: u64, layer: u32, model: u64) -> u64 {
    let own = scramble(before ^ model.rotate_left(layer % 64));
    scramble(own.wrapping_add(scramble(below ^ u64::from(layer).rotate_left(40))))
}

/// The token that a state of the last layer stands for.
pub fn token(state: u64) -> Token {
    (FIRST_TOKEN + state % TOKENS) as Token
}

/// What makes models differ from one another.
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
