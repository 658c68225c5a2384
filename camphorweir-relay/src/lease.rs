//! Lease on placement: held by the instance to which the store assigns a group's only partition.

use {
    crate::{ids::Time, store::Era},
    std::time::Duration,
};

/// Number of bits of a fencing token that hold the generation; the era is above them. Targets read
/// tokens as JSON numbers, which are exact up to 53 bits.
const GENERATION_BITS: u32 = 32;

/// The store's response to a member that joins the group or renews its membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Rises with every change of the group, within an era of the store.
    pub generation: u64,
    /// Whether the partition is assigned to this member.
    pub is_holder: bool,
}

/// This instance's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    term: Duration,
    /// The last grant, when its request was sent, and the era of its response.
    grant: Option<(Grant, Time, Era)>,
    era: Era,
    /// After a restore, grants are not used before this time: until then an earlier holder that has
    /// not heard of the restore may give orders.
    unused_until: Time,
}

impl Lease {
    /// A lease without a grant; each grant is valid for `term` from the sending of its request.
    pub fn new(term: Duration) -> Self {
        Self {
            term,
            grant: None,
            era: Era::default(),
            unused_until: Time::ZERO,
        }
    }

    /// Applies a grant whose request was sent at `sent_at` and answered in `era`.
    ///
    /// The term counts from the sending, the earliest time at which the store may have started it.
    pub fn renew(&mut self, grant: Grant, sent_at: Time, era: Era) {
        self.grant = Some((grant, sent_at, era));
    }

    /// Gives up the grant of an earlier era, as the store gives out its generations again; `term` is
    /// that of the store. `is_restore` is false for the first era that this instance hears of.
    pub fn enter_era(&mut self, era: Era, is_restore: bool, now: Time, term: Duration) {
        if era == self.era {
            return;
        }
        self.era = era;
        self.grant = self.grant.filter(|(_, _, granted)| *granted == era);
        if is_restore {
            self.unused_until = now + term;
        }
    }

    /// Gives up the grant.
    pub fn give_up(&mut self) {
        self.grant = None;
    }

    /// Generation of the last grant, 0 before any.
    pub fn generation(&self) -> u64 {
        self.grant.map_or(0, |(grant, _, _)| grant.generation)
    }

    /// The fencing token while the lease is held: above those of all earlier eras.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        let (grant, sent_at, era) = self.grant?;
        let is_in_term = now.saturating_sub(sent_at) < self.term;
        let is_valid = is_in_term && era == self.era && now >= self.unused_until;
        (grant.is_holder && is_valid).then_some((era.0 << GENERATION_BITS) | grant.generation)
    }
}
