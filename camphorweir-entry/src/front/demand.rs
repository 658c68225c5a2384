//! Exchanges the demand of workspaces within the zone, and counts and logs who is admitted.

use {
    crate::front::{gossip::MAX_DATAGRAM_BYTES, state::State},
    camphorweir_relay::router::Admission,
    camphorweir_wire::{code::Code, codec, demand::Demand, digest::Datagram, outcome::Refusal},
    std::net::SocketAddr,
};

/// Number of digests for each message on demand.
pub const DEMAND_ROUNDS: u64 = 10;

/// Sends the demand at this instance to the aggregator of the zone, or as the aggregator the sum of all to
/// the zone; only where some service has ordered ranks.
pub fn send(state: &State) {
    let now = state.now();
    let own = &state.settings().instance;
    let aggregator = state.roles().aggregator(now).map(str::to_owned);
    let (demand, change) = {
        let mut router = state.router();
        if !router.has_ordered_ranks() {
            return;
        }
        let report = router.fairness.report(own, now);
        let demand = match aggregator.as_ref() == Some(own) {
            true => router.fairness.sum(&report, now),
            false => report,
        };
        let before = router.fairness.has_demotions();
        router.fairness.refresh(now);
        let after = router.fairness.has_demotions();
        (demand, (before != after).then_some(after))
    };
    if let Some(is_short) = change {
        log::info!(
            demoted = is_short,
            works = demand.works.len();
            "requests of workspaces above their fair rate are demoted, or no longer"
        );
    }
    let zone = &state.settings().zone;
    let addresses = state.instances().zone_digest_addresses(zone);
    let is_recipient = |name: &String| demand.is_sum || aggregator.as_ref() == Some(name);
    let recipients = addresses.iter().filter(|(name, _)| is_recipient(name));
    let recipients: Vec<SocketAddr> = recipients.map(|(_, address)| *address).collect();
    let bytes = encode_fitting(demand);
    for address in recipients {
        state.ports().send(&bytes, address);
    }
}

/// Encodes as much of the demand as fits in a datagram: the least work is left out first, then the requests
/// that were refused longest ago.
fn encode_fitting(mut demand: Demand) -> Vec<u8> {
    loop {
        let bytes = codec::encode(&Datagram::Demand(demand.clone()));
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            return bytes;
        }
        // The largest row has 18 bytes, so that no fewer than these are too many.
        let excess = (bytes.len() - MAX_DATAGRAM_BYTES).div_ceil(18);
        match demand.works.len() {
            0 => drop(demand.refused.pop()),
            works => demand.works.truncate(works.saturating_sub(excess)),
        }
    }
}

/// Encodes a datagram, without the refusals that do not fit, which are longest ago; `refused` is where it has
/// them.
pub fn encode_refused<T: Clone>(
    message: &T,
    datagram: impl Fn(T) -> Datagram,
    refused: impl Fn(&mut T) -> &mut Vec<u32>,
) -> Vec<u8> {
    let mut message = message.clone();
    loop {
        let bytes = codec::encode(&datagram(message.clone()));
        let excess = bytes.len().saturating_sub(MAX_DATAGRAM_BYTES);
        let told = refused(&mut message);
        if excess == 0 || told.is_empty() {
            return bytes;
        }
        // A tag takes up to 5 bytes.
        told.truncate(told.len().saturating_sub(excess.div_ceil(5)));
    }
}

/// Applies what another instance of the zone reports.
pub fn receive_demand(state: &State, demand: Demand) {
    let now = state.now();
    // Another instance may think that it is the aggregator for a moment.
    if demand.is_sum && state.roles().aggregator(now) != Some(demand.entry.as_str()) {
        return;
    }
    state.router().fairness.apply(demand, now);
}

/// Counts a request of a service with ordered ranks whose answer begins.
pub fn record_served(state: &State, admitted: &Admission) {
    let ranks = state.router().admission_ranks(admitted);
    if let Some(ranks) = ranks {
        state.metrics().record_admission(admitted, ranks, "served");
    }
}

/// Records a refused request of a service with ordered ranks, so that it has precedence when its caller
/// returns as told, and says in the log with which rank it was refused.
pub fn record_refused(state: &State, admitted: &Admission, refusal: &Refusal) {
    let now = state.now();
    let (ranks, share) = {
        let mut router = state.router();
        router.record_refused(admitted, refusal, now);
        let share = router.admission_share(admitted);
        (router.admission_ranks(admitted), share)
    };
    let Some(ranks) = ranks.filter(|_| refusal.retry_after.is_some()) else {
        return;
    };
    state.metrics().record_admission(admitted, ranks, "refused");
    if !matches!(refusal.code, Code::NoPath | Code::TargetRefused) {
        return;
    }
    log::info!(
        request:% = admitted.id,
        workspace = admitted.workspace.as_deref().unwrap_or_default(),
        rank = ranks.0,
        admitted_as = ranks.1,
        demoted = ranks.1 > ranks.0,
        standing:? = admitted.standing,
        memory_share = share,
        retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64);
        "request refused for lack of capacity"
    );
}
