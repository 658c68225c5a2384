//! How much memory clients may make an instance hold, and which of their request bodies yields when it is used up.
//!
//! Whatever is held for a client is booked first, so the sum of all bookings stays within the limit.

use {
    crate::ids::{Time, Workspace},
    std::{
        collections::{BTreeMap, HashMap},
        net::IpAddr,
        time::Duration,
    },
};

/// Size of a body, in bytes, up to which it counts as small.
pub const SMALL_BYTES: usize = 64 << 10;
/// One part in this many of the limit is for [`Class::Small`] alone, so that an ordinary request finds room beside
/// any number of large ones.
const SMALL_SHARE: usize = 8;
/// One part in this many of the machine's memory is for buffers of the system and of the allocator.
const SYSTEM_SHARE: usize = 8;
/// Memory of the program itself, in bytes.
const PROGRAM_BYTES: usize = 24 << 20;
/// Memory that the records of a target take in all tables, in bytes.
const TARGET_BYTES: usize = 24 << 10;
/// The program never takes more than one part in this many of the memory in this calculation, so that a small
/// machine serves single requests.
const MAX_OWN_SHARE: usize = 2;
/// A body makes no progress while it gets fewer than these bytes in this time.
const PROGRESS: (usize, Duration) = (16 << 10, Duration::from_secs(1));
/// A body that makes progress yields to one whose sender would hold this part of what its own sender holds.
const FAIR_DIVISOR: usize = 2;

/// The most that clients may make an instance hold, in bytes, on a machine with so much memory while it knows
/// so many targets.
pub fn memory_limit(machine_bytes: usize, targets: usize) -> usize {
    let own = PROGRAM_BYTES.saturating_add(targets.saturating_mul(TARGET_BYTES));
    let own = own.min(machine_bytes / MAX_OWN_SHARE);
    machine_bytes - machine_bytes / SYSTEM_SHARE - own
}

/// What a booking is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Connections, and bodies and answers that are small.
    Small,
    /// All else.
    Large,
}

impl Class {
    /// The class of a body or answer of so many bytes.
    pub fn of(bytes: usize) -> Self {
        match bytes {
            ..=SMALL_BYTES => Self::Small,
            _ => Self::Large,
        }
    }
}

/// What may still be booked while `booked` of `limit` bytes are.
pub fn memory_room(limit: usize, booked: usize, class: Class) -> usize {
    let kept = match class {
        Class::Small => 0,
        Class::Large => limit / SMALL_SHARE,
    };
    limit.saturating_sub(kept).saturating_sub(booked)
}

/// When a caller comes back whose body found no room; `random` is from `0.0..1.0`. Bodies that make no progress
/// have yielded by then, and the callers of a crowd don't all return at once.
pub fn memory_retry_after(random: f64) -> Duration {
    PROGRESS.1 + PROGRESS.1.mul_f64(random)
}

/// Whose requests a body belongs to.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Sender {
    /// Address of the connection.
    pub address: IpAddr,
    /// The workspace, where the request has a key.
    pub workspace: Option<Workspace>,
}

/// Identifies a body that arrives.
pub type BodyId = u64;

#[derive(Clone, Debug)]
struct Body {
    sender: Sender,
    booked: usize,
    /// Bytes since the start of the current period of [`PROGRESS`].
    received: usize,
    since: Time,
    /// Whether the last whole period brought too little.
    was_slow: bool,
    /// Whether it was chosen to yield.
    yields: bool,
}

impl Body {
    fn is_slow(&self, now: Time) -> bool {
        let (bytes, period) = PROGRESS;
        let is_over = now.saturating_sub(self.since) >= period;
        if is_over {
            self.received < bytes
        } else {
            self.was_slow && self.received < bytes
        }
    }
}

/// The bodies that arrive and aren't whole yet.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    next: BodyId,
    bodies: BTreeMap<BodyId, Body>,
    /// Sum of what is booked for the bodies of each sender.
    by_sender: HashMap<Sender, usize>,
}

impl Arrivals {
    /// Records a body for which so many bytes are booked.
    pub fn begin(&mut self, sender: Sender, booked: usize, now: Time) -> BodyId {
        let id = self.next;
        self.next += 1;
        *self.by_sender.entry(sender.clone()).or_default() += booked;
        let body = Body {
            sender,
            booked,
            received: 0,
            since: now,
            was_slow: false,
            yields: false,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Records that more is booked for a body.
    pub fn grow(&mut self, id: BodyId, more: usize) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.booked += more;
            *self.by_sender.entry(body.sender.clone()).or_default() += more;
        }
    }

    /// Records bytes of a body.
    pub fn record(&mut self, id: BodyId, bytes: usize, now: Time) {
        let Some(body) = self.bodies.get_mut(&id) else {
            return;
        };
        if now.saturating_sub(body.since) >= PROGRESS.1 {
            body.was_slow = body.received < PROGRESS.0;
            body.received = 0;
            body.since = now;
        }
        body.received += bytes;
    }

    /// Removes a body that is whole, or was given up.
    pub fn end(&mut self, id: BodyId) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        if let Some(sum) = self.by_sender.get_mut(&body.sender) {
            *sum = sum.saturating_sub(body.booked);
            if *sum == 0 {
                self.by_sender.remove(&body.sender);
            }
        }
    }

    /// Number of bodies that arrive.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// The sender that holds most, and how much.
    pub fn largest_sender(&self) -> Option<(&Sender, usize)> {
        let sums = self.by_sender.iter();
        let largest = sums.max_by_key(|(_, booked)| **booked);
        largest.map(|(sender, booked)| (sender, *booked))
    }

    /// Chooses the bodies that yield `need` bytes to a body of `sender`, which is `own` if it
    /// has begun; none where all that may would not be
    /// enough. Those without progress yield first, then those of the sender that holds most; a body that makes
    /// progress yields only to a sender that holds much less than its own.
    ///
    /// `n log n` in the bodies that arrive, of which there are at most as many as connections.
    pub fn choose(
        &mut self,
        sender: &Sender,
        own: Option<BodyId>,
        need: usize,
        now: Time,
    ) -> Vec<BodyId> {
        let would_hold = self.by_sender.get(sender).copied().unwrap_or_default() + need;
        let bodies = self.bodies.iter();
        let bodies =
            bodies.filter(|(id, body)| body.booked > 0 && !body.yields && Some(**id) != own);
        let ranked = bodies.filter_map(|(id, body)| {
            let sum = self.by_sender.get(&body.sender).copied();
            let sum = sum.unwrap_or_default();
            let is_slow = body.is_slow(now);
            let is_unfair = body.sender != *sender && would_hold <= sum / FAIR_DIVISOR;
            (is_slow || is_unfair).then_some((is_slow, sum, body.booked, *id))
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let (mut freed, mut chosen) = (0, Vec::new());
        for (_, _, booked, id) in ranked {
            if freed >= need {
                break;
            }
            freed += booked;
            chosen.push(id);
        }
        if freed < need {
            return Vec::new();
        }
        for id in &chosen {
            if let Some(body) = self.bodies.get_mut(id) {
                body.yields = true;
            }
        }
        chosen
    }
}
