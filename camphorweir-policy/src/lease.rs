//! The lease under which one entry gives orders to engines.

use {
    camphorweir_wire::{
        claim::Owner,
        codec,
        ids::{Fence, Nonce, Offset},
        lease::{Body, FORMAT, Record, TERM},
        log::Stored,
    },
    std::time::Duration,
};

/// The holder stops this much before its lease can be taken over.
const MARGIN: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEW: Duration = Duration::from_secs(3);

/// A lease in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// Its fencing number.
    pub fence: Fence,
    /// Who holds it.
    pub owner: Owner,
    /// When it was taken or last renewed, by the log service's clock, since the Unix epoch.
    pub renewed: Duration,
}

/// The fold of the lease stream.
///
/// Invariant: it depends on the records alone, so that every reader of the same records names the
/// same holder. A reader that starts past retention takes the first renewal that it meets for the
/// lease in force; should that be wrong for a moment, the fencing number decides at the engine.
#[derive(Debug, Default)]
pub struct Fold {
    lease: Option<Lease>,
    next: Offset,
    /// Records before the first one read were dropped by retention.
    partial: bool,
    /// Set by a record of another format; nothing after it is folded.
    stopped: bool,
}

impl Fold {
    /// The lease in force, lapsed or not.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Whether a record of another format has stopped the fold.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Folds one record in; gives its nonce when it changed or confirmed the lease.
    pub fn apply(&mut self, stored: &Stored) -> Option<Nonce> {
        if self.stopped || stored.offset < self.next {
            return None;
        }
        self.partial |= self.next == 0 && stored.offset > 0;
        let Ok(record) = codec::decode::<Record>(&stored.body) else {
            self.stopped = true;
            return None;
        };
        if record.format > FORMAT {
            self.stopped = true;
            return None;
        }
        self.next = stored.offset + 1;
        let landed = Duration::from_millis(stored.time_ms);
        let counts = match record.body {
            Body::Take => self.take(stored.offset, record.owner, landed),
            Body::Renew(fence) => self.renew(fence, record.owner, landed),
            Body::Release(fence) => self.release(fence, &record.owner),
        };
        counts.then_some(record.nonce)
    }

    fn take(&mut self, offset: Offset, owner: Owner, landed: Duration) -> bool {
        let free = match &self.lease {
            Some(lease) => landed >= lease.renewed + TERM,
            None => true,
        };
        if free {
            self.partial = false;
            self.lease = Some(Lease {
                fence: offset,
                owner,
                renewed: landed,
            });
        }
        free
    }

    /// A lapsed lease that nobody has taken over may still be renewed.
    fn renew(&mut self, fence: Fence, owner: Owner, landed: Duration) -> bool {
        if self.lease.is_none() && self.partial {
            self.partial = false;
            self.lease = Some(Lease {
                fence,
                owner,
                renewed: landed,
            });
            return true;
        }
        match &mut self.lease {
            Some(lease) if lease.fence == fence && lease.owner == owner => {
                lease.renewed = lease.renewed.max(landed);
                true
            }
            Some(_) | None => false,
        }
    }

    fn release(&mut self, fence: Fence, owner: &Owner) -> bool {
        let own = self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.fence == fence && lease.owner == *owner);
        if own {
            self.lease = None;
        }
        own
    }
}

/// One entry's part in the lease.
#[derive(Debug, Default)]
pub struct Holder {
    /// The last record appended, and when on the entry's own clock.
    sent: Option<(Nonce, Duration)>,
    /// Until when orders may be given, on the entry's own clock.
    until: Duration,
    /// When the last renewal or another's was seen, on the entry's own clock.
    seen: Duration,
}

impl Holder {
    /// A record of this entry is appended now.
    pub fn sent(&mut self, nonce: Nonce, now: Duration) {
        self.sent = Some((nonce, now));
    }

    /// A record that counts was read back.
    ///
    /// Time runs from the moment before the append, so the lease lapses here before it does in the
    /// log, however long the append and the reading took.
    pub fn counted(&mut self, nonce: Nonce, now: Duration) {
        self.seen = now;
        if let Some((own, at)) = self.sent
            && own == nonce
        {
            self.until = at + TERM - MARGIN;
        }
    }

    /// Whether orders may be given now.
    pub fn may_order(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether it is time to append again.
    pub fn is_due(&self, now: Duration) -> bool {
        self.sent.is_none_or(|(_, at)| now >= at + RENEW)
    }

    /// Whether no renewal was seen for a whole term, so that a try to take the lease may succeed.
    pub fn looks_lapsed(&self, now: Duration) -> bool {
        now >= self.seen + TERM
    }

    /// The lease is another's.
    pub fn lose(&mut self) {
        self.until = Duration::ZERO;
    }
}
