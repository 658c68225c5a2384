//! What callers do: send requests.

use super::*;

impl World {
    /// A caller sends a request through an entry.
    pub(crate) fn call(&mut self, number: usize, kind: call::Kind, sent: Sent) -> u64 {
        self.next_call += 1;
        let id = self.next_call;
        self.oracle.send(id, number, sent);
        let call = Call {
            id,
            key: key_hash(),
            kind,
        };
        self.tell(number, Event::Arrive(call));
        id
    }

    /// A caller asks for tokens.
    pub(crate) fn prompt(&mut self, number: usize, prompt: Vec<u32>, count: u32) -> u64 {
        let right = engine::expected(LAYERS, &prompt, count);
        let kind = call::Kind::Tokens(call::Tokens {
            pipeline: "notes".to_owned(),
            prompt,
            max_tokens: count,
        });
        self.call(number, kind, Sent::Tokens(right))
    }

    /// A caller makes an idempotent call.
    pub(crate) fn lookup(&mut self, number: usize) -> u64 {
        let kind = call::Kind::Plain(call::Plain {
            route: "status".to_owned(),
            idempotency_key: None,
            fingerprint: self.next_call,
        });
        self.call(number, kind, Sent::Lookup)
    }

    /// A caller makes a never-repeat call under a key issued now.
    pub(crate) fn seal(&mut self, number: usize, key: u128, fingerprint: u64) -> u64 {
        let kind = call::Kind::Plain(call::Plain {
            route: "seal".to_owned(),
            idempotency_key: Some(uuid::Uuid::from_u128(key).to_string()),
            fingerprint,
        });
        self.call(number, kind, Sent::Seal(key))
    }

    /// A key that is issued now.
    pub(crate) fn new_key(&mut self) -> u128 {
        let ms = self.wall().as_millis() << 80;
        let random: u128 = self.rng.random();
        let low = random & ((1 << 80) - 1);
        let version = low & !(0xf << 76) | 0x7 << 76;
        ms | (version & !(0x3 << 62) | 0x2 << 62)
    }
}

/// The hash of the key that every caller presents.
pub(super) fn key_hash() -> String {
    "ab".repeat(32)
}
