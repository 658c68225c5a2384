//! Converts text to tokens and back; a token below 256 is a byte of UTF-8.

use camphorweir_wire::ids::Token;

/// Replaces tokens above 255 and bytes that are not valid UTF-8.
const REPLACEMENT: &str = "\u{fffd}";

/// Converts a text to tokens.
pub fn tokens(text: &str) -> Vec<Token> {
    text.bytes().map(Token::from).collect()
}

/// Converts tokens to text incrementally; an incomplete character is buffered until its last byte.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes of an incomplete character; at most three between calls.
    pending: Vec<u8>,
}

impl Decoder {
    /// Decodes tokens and appends to `text`.
    pub fn push(&mut self, tokens: &[Token], text: &mut String) {
        for token in tokens {
            match u8::try_from(*token) {
                Ok(byte) => {
                    self.pending.push(byte);
                    self.decode_pending(text);
                }
                Err(_) => {
                    self.finish(text);
                    text.push_str(REPLACEMENT);
                }
            }
        }
    }

    /// Appends a replacement for an incomplete character at the end.
    pub fn finish(&mut self, text: &mut String) {
        text.push_str(&String::from_utf8_lossy(&self.pending));
        self.pending.clear();
    }

    fn decode_pending(&mut self, text: &mut String) {
        while !self.pending.is_empty() {
            match std::str::from_utf8(&self.pending) {
                Ok(valid) => {
                    text.push_str(valid);
                    self.pending.clear();
                }
                Err(error) => match error.error_len() {
                    None => return,
                    Some(invalid_len) => {
                        text.push_str(REPLACEMENT);
                        self.pending.drain(..error.valid_up_to() + invalid_len);
                    }
                },
            }
        }
    }
}
