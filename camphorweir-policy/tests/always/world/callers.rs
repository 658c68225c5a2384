//! Callers' requests.

use super::*;

impl World {
    /// Sends a request through an entry and returns the request's id.
    pub(crate) fn send_request(&mut self, number: usize, kind: call::Kind, sent: Sent) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.oracle.record_sent(id, number, sent);
        let call = Call {
            id,
            key: key_hash(),
            kind,
        };
        self.deliver_event(number, Event::Arrive(call));
        id
    }

    /// Sends a request for tokens.
    pub(crate) fn prompt(&mut self, number: usize, prompt: Vec<u32>, count: u32) -> u64 {
        let expected = engine::expected(LAYERS, &prompt, count);
        let kind = call::Kind::Tokens(call::Tokens {
            pipeline: "notes".to_owned(),
            prompt,
            max_tokens: count,
        });
        self.send_request(number, kind, Sent::Tokens(expected))
    }

    /// Sends an idempotent call.
    pub(crate) fn lookup(&mut self, number: usize) -> u64 {
        let kind = call::Kind::Plain(call::Plain {
            route: "status".to_owned(),
            idempotency_key: None,
            fingerprint: self.next_call,
        });
        self.send_request(number, kind, Sent::Lookup)
    }

    /// Sends a never-repeat call under an idempotency key.
    pub(crate) fn never_repeat(&mut self, number: usize, key: u128, fingerprint: u64) -> u64 {
        let kind = call::Kind::Plain(call::Plain {
            route: "seal".to_owned(),
            idempotency_key: Some(uuid::Uuid::from_u128(key).to_string()),
            fingerprint,
        });
        self.send_request(number, kind, Sent::NeverRepeat(key))
    }

    /// Returns an idempotency key that is issued now: a UUID of version 7.
    pub(crate) fn new_key(&mut self) -> u128 {
        let ms = self.wall().as_millis() << 80;
        let random: u128 = self.rng.random();
        let low = random & ((1 << 80) - 1);
        let version = low & !(0xf << 76) | 0x7 << 76;
        ms | (version & !(0x3 << 62) | 0x2 << 62)
    }
}

/// Hash of the API key that every caller presents.
pub(super) fn key_hash() -> String {
    "ab".repeat(32)
}
