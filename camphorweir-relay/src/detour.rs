//! Which peer serves the requests of an instance that reaches no target of a service.

use {
    crate::{
        ids::{Time, Zone},
        retry::{Decision, Failure},
        router::{Admission, Destination, Outcome, Plan, Router},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    rand::Rng,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Limit on the peers that one request is offered to.
pub(crate) const MAX_DETOURS: u32 = 6;
/// How long a peer that turned a request away is left out: it has lost its links too, is shutting
/// down or has an older configuration.
const REFUSED_PAUSE: Duration = Duration::from_millis(1_000);
/// How long a peer is left out that could not be reached or broke off: about the time of a restart.
const FAILED_PAUSE: Duration = Duration::from_millis(3_000);
/// Least Retry-After of a request that no peer takes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// An instance that can serve requests for this one.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the instance.
    pub name: Arc<str>,
    /// Availability zone of the instance.
    pub zone: Zone,
    /// Address at which it serves peers.
    pub address: SocketAddr,
}

/// The known peers, and those that are left out for now.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    peers: Vec<Peer>,
    /// When each peer that failed is tried again.
    left_out_until: HashMap<Arc<str>, Time>,
}

impl Detours {
    /// Replaces the known peers.
    pub fn set_peers(&mut self, peers: Vec<Peer>) {
        self.left_out_until
            .retain(|name, _| peers.iter().any(|peer| peer.name == *name));
        self.peers = peers;
    }

    /// Whether any peer is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Chooses a peer at random: of the own zone, unless most of its instances are left out. One
    /// instance then doesn't get the load of a whole zone. `random` is in `0.0..1.0`.
    ///
    /// Linear in the peers.
    pub fn choose(&self, own_zone: &Zone, random: f64, now: Time) -> Option<&Peer> {
        let is_due = |peer: &&Peer| {
            self.left_out_until
                .get(&peer.name)
                .is_none_or(|at| *at <= now)
        };
        let is_near = |peer: &&Peer| peer.zone == *own_zone;
        let near_count = self.peers.iter().filter(is_near).count();
        let usable: Vec<&Peer> = self.peers.iter().filter(is_due).collect();
        let near: Vec<&Peer> = usable
            .iter()
            .copied()
            .filter(|peer| is_near(peer))
            .collect();
        let from = match !near.is_empty() && near.len() * 2 >= near_count {
            true => near,
            false => usable,
        };
        let index = (random * from.len() as f64) as usize;
        from.get(index).copied()
    }

    /// Leaves a peer out for a while.
    fn leave_out(&mut self, name: &str, until: Time) {
        self.left_out_until.insert(name.into(), until);
    }

    /// Time until the first peer that is left out is tried again.
    fn next_due(&self, now: Time) -> Duration {
        let due = self.left_out_until.values().min();
        due.map_or(Duration::ZERO, |due| due.saturating_sub(now))
    }
}

impl Router {
    /// Whether requests for a service go through a peer: none of its targets can be reached from
    /// here, and a peer is known.
    pub(crate) fn needs_detour(&self, service: &str) -> bool {
        self.is_cut_off(service) && !self.detours.is_empty()
    }

    /// Plans to send a request through a peer.
    ///
    /// # Errors
    ///
    /// The refusal when no peer is left, or the request came from a peer.
    pub(crate) fn plan_detour(
        &mut self,
        request: &mut Admission,
        now: Time,
    ) -> Result<Plan, Refusal> {
        let random = self.rng.random();
        let is_allowed = !request.is_from_peer && request.counts.detours < MAX_DETOURS;
        let peer = self.detours.choose(&self.zone, random, now);
        let Some(peer) = peer.filter(|_| is_allowed) else {
            let mut refusal = self.refusal(request, Code::NoTarget);
            let wait = self.detours.next_due(now).max(MIN_RETRY_AFTER);
            refusal.retry_after = refusal.retry_after.map(|usual| usual.max(wait));
            refusal.detail = "No target can be reached from here.".to_owned();
            return Err(refusal);
        };
        request.counts.detours += 1;
        Ok(Plan {
            target: peer.name.clone(),
            address: peer.address,
            destination: Destination::Peer,
            reserved_tokens: 0.0,
            max_connections: 0,
            chosen_at: now,
        })
    }

    /// Ends a send through a peer, which counts runs and retries against its own budget.
    pub(crate) fn finish_detour(
        &mut self,
        request: &mut Admission,
        plan: &Plan,
        outcome: Outcome,
        now: Time,
    ) -> Decision {
        match outcome {
            Outcome::Cancelled => Decision::End(Code::CallerGone),
            Outcome::Answered { .. } => {
                request.counts.runs += 1;
                Decision::End(Code::TargetFailed)
            }
            Outcome::Failed(failure, _) => {
                self.record_failed_detour(plan, failure, now);
                self.decide_after_failure(request, failure, now)
            }
        }
    }

    /// Leaves a peer out for a while after a failed send.
    pub(crate) fn record_failed_detour(&mut self, plan: &Plan, failure: Failure, now: Time) {
        let pause = match failure {
            Failure::Refused => REFUSED_PAUSE,
            Failure::Unsent | Failure::Outdated | Failure::Limited | Failure::Broken => {
                FAILED_PAUSE
            }
        };
        self.detours.leave_out(&plan.target, now + pause);
    }
}
