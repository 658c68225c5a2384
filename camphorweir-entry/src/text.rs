//! Text to tokens and back: a token below 256 is a byte of UTF-8.

use camphorweir_wire::ids::Token;

/// Stands for a token that is no byte and for bytes that are no UTF-8.
const REPLACEMENT: &str = "\u{fffd}";

/// The tokens of a text.
pub fn tokens(text: &str) -> Vec<Token> {
    text.bytes().map(Token::from).collect()
}

/// Turns tokens into text as they come; a character cut between two tokens waits for its end.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Less than one character, at most three bytes between two calls.
    pending: Vec<u8>,
}

impl Decoder {
    /// Adds the text of some tokens.
    pub fn push(&mut self, tokens: &[Token], text: &mut String) {
        for token in tokens {
            match u8::try_from(*token) {
                Ok(byte) => {
                    self.pending.push(byte);
                    self.drain(text);
                }
                Err(_) => {
                    self.finish(text);
                    text.push_str(REPLACEMENT);
                }
            }
        }
    }

    /// Adds what is left at the end.
    pub fn finish(&mut self, text: &mut String) {
        text.push_str(&String::from_utf8_lossy(&self.pending));
        self.pending.clear();
    }

    fn drain(&mut self, text: &mut String) {
        while !self.pending.is_empty() {
            match std::str::from_utf8(&self.pending) {
                Ok(whole) => {
                    text.push_str(whole);
                    self.pending.clear();
                }
                Err(error) => match error.error_len() {
                    None => return,
                    Some(bad) => {
                        text.push_str(REPLACEMENT);
                        self.pending.drain(..error.valid_up_to() + bad);
                    }
                },
            }
        }
    }
}
