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

/// The holder stops giving orders this long before its lease can be taken over.
const EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// A lease in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Lease {
    /// The fencing number of the lease.
    pub fence: Fence,
    /// The holder of the lease.
    pub owner: Owner,
    /// When the lease was taken or last renewed, by the log service's clock, since the Unix epoch.
    pub renewed: Duration,
}

/// The fold of the lease stream.
///
/// Invariant: the state depends on the records alone, so that every reader of the same records
/// finds the same holder. A reader that starts after retention dropped records accepts the first
/// renewal that it reads as the lease in force; if that is wrong for a moment, engines check the
/// fencing number.
#[derive(Debug, Default)]
pub struct Fold {
    lease: Option<Lease>,
    next: Offset,
    /// Whether retention dropped records before the first one read, and no lease is known yet.
    partial: bool,
    /// Set by a record of another format; nothing after it is folded.
    stopped: bool,
}

impl Fold {
    /// The last lease taken and not released, whether expired or not.
    pub fn lease(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    /// Whether a record of another format has stopped the fold.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Folds one record in; returns its nonce if it changed or renewed the lease.
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
        let appended_at = Duration::from_millis(stored.time_ms);
        let accepted = match record.body {
            Body::Take => self.acquire(stored.offset, record.owner, appended_at),
            Body::Renew(fence) => self.renew(fence, record.owner, appended_at),
            Body::Release(fence) => self.release(fence, &record.owner),
        };
        accepted.then_some(record.nonce)
    }

    fn acquire(&mut self, offset: Offset, owner: Owner, appended_at: Duration) -> bool {
        let free = match &self.lease {
            Some(lease) => appended_at >= lease.renewed + TERM,
            None => true,
        };
        if free {
            self.partial = false;
            self.lease = Some(Lease {
                fence: offset,
                owner,
                renewed: appended_at,
            });
        }
        free
    }

    /// Renews the lease; an expired lease that nobody has taken over may still be renewed.
    fn renew(&mut self, fence: Fence, owner: Owner, appended_at: Duration) -> bool {
        if self.lease.is_none() && self.partial {
            self.partial = false;
            self.lease = Some(Lease {
                fence,
                owner,
                renewed: appended_at,
            });
            return true;
        }
        match &mut self.lease {
            Some(lease) if lease.fence == fence && lease.owner == owner => {
                lease.renewed = lease.renewed.max(appended_at);
                true
            }
            Some(_) | None => false,
        }
    }

    fn release(&mut self, fence: Fence, owner: &Owner) -> bool {
        let is_holder = self
            .lease
            .as_ref()
            .is_some_and(|lease| lease.fence == fence && lease.owner == *owner);
        if is_holder {
            self.lease = None;
        }
        is_holder
    }
}

/// One entry's own view of its lease.
#[derive(Debug, Default)]
pub struct Holder {
    /// The last record appended and when, on the entry's own clock.
    last_append: Option<(Nonce, Duration)>,
    /// Until when the entry may give orders, on its own clock.
    orders_until: Duration,
    /// When a record that changed or renewed the lease, of any entry, was last read, on the entry's
    /// own clock.
    last_renewal: Duration,
}

impl Holder {
    /// Notes that this entry appends a record now.
    pub fn appended(&mut self, nonce: Nonce, now: Duration) {
        self.last_append = Some((nonce, now));
    }

    /// Notes that a record that changed or renewed the lease was read back.
    ///
    /// The term counts from before the append, so the lease expires here before it does in the log,
    /// however long the append and the read took.
    pub fn confirmed(&mut self, nonce: Nonce, now: Duration) {
        self.last_renewal = now;
        if let Some((last, at)) = self.last_append
            && last == nonce
        {
            self.orders_until = at + TERM - EXPIRY_MARGIN;
        }
    }

    /// Whether the entry may give orders now.
    pub fn may_order(&self, now: Duration) -> bool {
        now < self.orders_until
    }

    /// Whether the next record is due.
    pub fn is_due(&self, now: Duration) -> bool {
        self.last_append
            .is_none_or(|(_, at)| now >= at + RENEW_INTERVAL)
    }

    /// Whether no renewal was read for a whole term, so that an attempt to take the lease may
    /// succeed.
    pub fn looks_expired(&self, now: Duration) -> bool {
        now >= self.last_renewal + TERM
    }

    /// Notes that this entry does not hold the lease any more.
    pub fn lost(&mut self) {
        self.orders_until = Duration::ZERO;
    }
}
