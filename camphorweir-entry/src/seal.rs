//! Seals letters between entries, and opens only those that are authentic, fresh and new.

use {
    crate::{settings::Secret, units::millis},
    camphorweir_wire::{
        codec,
        ids::Nonce,
        peer::{FORMAT, Letter, Message},
    },
    snafu::Snafu,
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
};

/// A letter may be this old or, by a clock that is ahead, this early.
pub const WINDOW: Duration = Duration::from_secs(30);
/// Nonces remembered; letters beyond it are refused, which only holders of the key can bring about.
pub const NONCES: usize = 1 << 16;

/// Why a letter is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The MAC does not fit.
    #[snafu(display("not authentic"))]
    Forged,
    /// It was sent too long ago or in the future.
    #[snafu(display("not fresh"))]
    Stale,
    /// It was taken before.
    #[snafu(display("taken before"))]
    Replayed,
    /// Too many letters in the time that they are remembered.
    #[snafu(display("too many letters"))]
    Crowded,
    /// A format that this release does not know.
    #[snafu(display("unknown format"))]
    Format,
    /// Not a message.
    #[snafu(display("not a message"))]
    Malformed,
}

/// Seals a message.
pub fn seal(key: &Secret, now: Duration, nonce: Nonce, message: &Message) -> Letter {
    let mut letter = Letter {
        format: FORMAT,
        sent_ms: millis(now),
        nonce,
        mac: [0; 32],
        body: codec::encode(message),
    };
    letter.mac = *mac(key, &letter).as_bytes();
    letter
}

/// Opens letters and remembers which it has taken.
#[derive(Debug)]
pub struct Reader {
    key: Secret,
    /// Nonces taken, in the order of `ages`.
    taken: HashSet<Nonce>,
    /// When each nonce may be forgotten, and the nonce.
    ages: VecDeque<(u64, Nonce)>,
}

impl Reader {
    /// A reader that has taken nothing yet.
    pub fn new(key: Secret) -> Self {
        Self {
            key,
            taken: HashSet::new(),
            ages: VecDeque::new(),
        }
    }

    /// Opens a letter.
    ///
    /// # Errors
    ///
    /// [`Error`] when it is not to be taken.
    pub fn open(&mut self, now: Duration, letter: &Letter) -> Result<Message, Error> {
        // `blake3::Hash` compares in constant time.
        if mac(&self.key, letter) != blake3::Hash::from_bytes(letter.mac) {
            return Err(Error::Forged);
        }
        let (now, window) = (millis(now), millis(WINDOW));
        if now.abs_diff(letter.sent_ms) > window {
            return Err(Error::Stale);
        }
        self.forget(now);
        if self.taken.contains(&letter.nonce) {
            return Err(Error::Replayed);
        }
        if self.taken.len() >= NONCES {
            return Err(Error::Crowded);
        }
        self.taken.insert(letter.nonce);
        // A letter from a clock that is ahead stays fresh for up to two windows from now.
        self.ages
            .push_back((now.saturating_add(2 * window), letter.nonce));
        if letter.format != FORMAT {
            return Err(Error::Format);
        }
        codec::decode(&letter.body).map_err(|_| Error::Malformed)
    }

    /// Each nonce is added and removed once, so the work stays linear in the letters.
    fn forget(&mut self, now: u64) {
        while let Some((until, nonce)) = self.ages.front().copied()
            && until < now
        {
            self.ages.pop_front();
            self.taken.remove(&nonce);
        }
    }
}

fn mac(key: &Secret, letter: &Letter) -> blake3::Hash {
    let mut hash = blake3::Hasher::new_keyed(key.bytes());
    hash.update(&letter.format.to_le_bytes());
    hash.update(&letter.sent_ms.to_le_bytes());
    hash.update(&letter.nonce.to_le_bytes());
    hash.update(&letter.body);
    hash.finalize()
}
