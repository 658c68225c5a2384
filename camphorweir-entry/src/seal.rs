//! Authenticates messages between entries with a MAC, and rejects forged, stale and replayed ones.

use {
    crate::{settings::Secret, units::millis},
    camphorweir_wire::{
        codec,
        ids::Nonce,
        peer::{Envelope, FORMAT, Message},
    },
    snafu::Snafu,
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
};

/// Largest difference between the send time of a message and the receiver's clock.
pub const FRESHNESS_WINDOW: Duration = Duration::from_secs(30);
/// Most nonces remembered; further messages are rejected, which only holders of the key can cause.
pub const MAX_NONCES: usize = 1 << 16;

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The MAC is wrong.
    #[snafu(display("not authentic"))]
    Forged,
    /// The send time is too far in the past or future.
    #[snafu(display("not fresh"))]
    Stale,
    /// The message was accepted before.
    #[snafu(display("taken before"))]
    Replayed,
    /// Too many nonces are remembered.
    #[snafu(display("too many letters"))]
    Crowded,
    /// The format is unknown to this release.
    #[snafu(display("unknown format"))]
    Format,
    /// The body can't be decoded as a message.
    #[snafu(display("not a message"))]
    Malformed,
}

/// Seals a message with a MAC, the send time and a nonce.
pub fn seal(key: &Secret, now: Duration, nonce: Nonce, message: &Message) -> Envelope {
    let mut sealed = Envelope {
        format: FORMAT,
        sent_ms: millis(now),
        nonce,
        mac: [0; 32],
        body: codec::encode(message),
    };
    sealed.mac = *mac(key, &sealed).as_bytes();
    sealed
}

/// Verifies sealed messages and remembers their nonces to detect replays.
#[derive(Debug)]
pub struct Opener {
    key: Secret,
    /// Nonces of accepted messages, the same as in `expiries`.
    nonces: HashSet<Nonce>,
    /// Time after which each nonce may be forgotten, in milliseconds, and the nonce.
    expiries: VecDeque<(u64, Nonce)>,
}

impl Opener {
    /// An opener that remembers no nonces yet.
    pub fn new(key: Secret) -> Self {
        Self {
            key,
            nonces: HashSet::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Verifies and decodes a sealed message.
    ///
    /// # Errors
    ///
    /// [`Error`] when the message is rejected.
    pub fn open(&mut self, now: Duration, sealed: &Envelope) -> Result<Message, Error> {
        // `blake3::Hash` compares in constant time.
        if mac(&self.key, sealed) != blake3::Hash::from_bytes(sealed.mac) {
            return Err(Error::Forged);
        }
        let (now_ms, window_ms) = (millis(now), millis(FRESHNESS_WINDOW));
        if now_ms.abs_diff(sealed.sent_ms) > window_ms {
            return Err(Error::Stale);
        }
        self.forget_expired(now_ms);
        if self.nonces.contains(&sealed.nonce) {
            return Err(Error::Replayed);
        }
        if self.nonces.len() >= MAX_NONCES {
            return Err(Error::Crowded);
        }
        self.nonces.insert(sealed.nonce);
        // A message from a clock that is ahead stays fresh for up to two windows from now.
        self.expiries
            .push_back((now_ms.saturating_add(2 * window_ms), sealed.nonce));
        if sealed.format != FORMAT {
            return Err(Error::Format);
        }
        codec::decode(&sealed.body).map_err(|_| Error::Malformed)
    }

    /// Forgets expired nonces; each is added and removed once, so the work is linear in the number
    /// of messages.
    fn forget_expired(&mut self, now_ms: u64) {
        while let Some((until_ms, nonce)) = self.expiries.front().copied()
            && until_ms < now_ms
        {
            self.expiries.pop_front();
            self.nonces.remove(&nonce);
        }
    }
}

fn mac(key: &Secret, sealed: &Envelope) -> blake3::Hash {
    let mut hash = blake3::Hasher::new_keyed(key.bytes());
    hash.update(&sealed.format.to_le_bytes());
    hash.update(&sealed.sent_ms.to_le_bytes());
    hash.update(&sealed.nonce.to_le_bytes());
    hash.update(&sealed.body);
    hash.finalize()
}
