//! Lease on placement: held by the instance to which the store assigns a group's only partition.

use {crate::ids::Time, std::time::Duration};

/// The store's response to a member that joins the group or renews its membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Rises with every change of the group; serves as the fencing token of orders.
    pub generation: u64,
    /// Whether the partition is assigned to this member.
    pub is_holder: bool,
}

/// This instance's view of the lease.
#[derive(Clone, Debug)]
pub struct Lease {
    term: Duration,
    grant: Option<(Grant, Time)>,
}

impl Lease {
    /// A lease without a grant; each grant is valid for `term` from the sending of its request.
    pub fn new(term: Duration) -> Self {
        Self { term, grant: None }
    }

    /// Applies a grant whose request was sent at `sent_at`.
    ///
    /// The term counts from the sending, the earliest time at which the store may have started it.
    pub fn renew(&mut self, grant: Grant, sent_at: Time) {
        self.grant = Some((grant, sent_at));
    }

    /// Generation of the last grant, 0 before any.
    pub fn generation(&self) -> u64 {
        self.grant.map_or(0, |(grant, _)| grant.generation)
    }

    /// The fencing token while the lease is held.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        let (grant, sent_at) = self.grant?;
        let is_valid = now.saturating_sub(sent_at) < self.term;
        (grant.is_holder && is_valid).then_some(grant.generation)
    }
}
