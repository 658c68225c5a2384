//! Rate limits of workspaces, divided among the entries without a coordinator.
//!
//! Each entry grants a share of every limit. The shares follow the demand that the entries report
//! to each other. A peer's last report counts until the peer is gone, so that an entry that is cut
//! off keeps its share and the entries together stay near the limit.

use {
    camphorweir_config::model::{Limits, WorkspaceId},
    std::{collections::HashMap, time::Duration},
};

/// Time constant of the demand average, in seconds.
const DEMAND_WINDOW_S: f64 = 2.0;
/// Burst size: the unused share that may be saved up, in seconds.
const BURST_S: f64 = 1.0;
/// Fraction of a limit that is divided evenly, whatever the demand.
const EVEN_FRACTION: f64 = 0.2;
/// Maximum number of workspaces whose demand is reported to peers.
const MAX_REPORTED: usize = 16;
/// Idle time after which a workspace's usage is dropped, so that only busy ones take memory.
const IDLE_EXPIRY: Duration = Duration::from_secs(30);

/// The usage of one workspace through this entry.
#[derive(Debug)]
struct Usage {
    /// Requests available in the token bucket.
    requests: f64,
    /// Model tokens available in the token bucket.
    tokens: f64,
    /// This entry's share of the limits, as computed when all peers were last reachable.
    share: Option<f64>,
    /// Number of requests in flight.
    in_flight: u32,
    /// Average rate of requests in 1/s, refused ones included.
    demand: f64,
    /// When `demand` was last updated.
    demand_at: Duration,
    /// When the last request arrived.
    last_request: Duration,
}

impl Usage {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.demand_at).as_secs_f64();
        self.demand *= (-age / DEMAND_WINDOW_S).exp();
        self.demand_at = now;
    }
}

/// The usage of all recently busy workspaces.
#[derive(Debug, Default)]
pub struct Table {
    usage: HashMap<WorkspaceId, Usage>,
    /// Number of other entries.
    peers: u32,
    /// When idle workspaces were last dropped.
    last_sweep: Duration,
}

impl Table {
    /// This entry's share of a workspace's limits; above 0 and at most 1.
    pub fn share(&self, workspace: &str) -> f64 {
        let share = self.usage.get(workspace).and_then(|usage| usage.share);
        share.unwrap_or(1.0 / (f64::from(self.peers) + 1.0))
    }

    /// Charges a request with so many tokens to its workspace's limits.
    ///
    /// # Errors
    ///
    /// The time after which to try again; nothing is charged.
    pub fn try_charge(
        &mut self,
        workspace: &WorkspaceId,
        limits: &Limits,
        tokens: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        self.sweep(now);
        let new = || Usage {
            requests: f64::INFINITY,
            tokens: f64::INFINITY,
            share: None,
            in_flight: 0,
            demand: 0.0,
            demand_at: now,
            last_request: now,
        };
        let usage = self.usage.entry(workspace.clone()).or_insert_with(new);
        usage.decay(now);
        usage.demand += 1.0 / DEMAND_WINDOW_S;
        let age = now.saturating_sub(usage.last_request).as_secs_f64();
        usage.last_request = now;
        let share = self.share(workspace);
        let Some(usage) = self.usage.get_mut(workspace) else {
            return Ok(());
        };
        let request_rate = (limits.requests * share).max(1e-6);
        let token_rate = (limits.tokens * share).max(1e-6);
        // The bucket holds at least one request, however long that takes to fill.
        let max_requests = (request_rate * BURST_S).max(1.0);
        usage.requests = (usage.requests + age * request_rate).min(max_requests);
        usage.tokens = (usage.tokens + age * token_rate).min(token_rate * BURST_S);
        let concurrent = (f64::from(limits.concurrent) * share).ceil();
        if f64::from(usage.in_flight) >= concurrent {
            return Err(Duration::from_secs(1));
        }
        // One request may overdraw the tokens, so that a large one can pass at all.
        let wait = ((1.0 - usage.requests) / request_rate).max(-usage.tokens / token_rate);
        if wait > 0.0 {
            return Err(Duration::from_secs_f64(wait.min(3600.0)));
        }
        usage.requests -= 1.0;
        usage.tokens -= f64::from(tokens);
        Ok(())
    }

    /// Counts an admitted request as in flight.
    pub fn opened(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.in_flight += 1;
        }
    }

    /// Counts the end of an admitted request.
    pub fn closed(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Drops idle workspaces, at most once per [`IDLE_EXPIRY`]; linear in the busy ones.
    fn sweep(&mut self, now: Duration) {
        if now < self.last_sweep + IDLE_EXPIRY {
            return;
        }
        self.last_sweep = now;
        self.usage
            .retain(|_, usage| usage.in_flight > 0 || now < usage.last_request + IDLE_EXPIRY);
    }

    /// The demand of the busiest workspaces, to be reported to peers.
    pub fn busiest(&mut self, now: Duration) -> Vec<(WorkspaceId, f64)> {
        let mut busiest: Vec<(WorkspaceId, f64)> = Vec::new();
        for (workspace, usage) in &mut self.usage {
            usage.decay(now);
            if usage.demand > 0.01 {
                busiest.push((workspace.clone(), usage.demand));
            }
        }
        busiest.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        busiest.truncate(MAX_REPORTED);
        busiest
    }

    /// Recomputes the shares from the demand that each peer last reported; `None` stands for a peer
    /// that is unreachable, in which case the shares stay as they are.
    pub fn update_shares<'a>(
        &mut self,
        peers: impl Iterator<Item = Option<&'a [(WorkspaceId, f64)]>>,
    ) {
        let Some(reports) = peers.collect::<Option<Vec<_>>>() else {
            return;
        };
        self.peers = reports.len() as u32;
        let mut others: HashMap<&str, f64> = HashMap::new();
        for (workspace, demand) in reports.into_iter().flatten() {
            if demand.is_finite() && *demand > 0.0 {
                *others.entry(workspace).or_default() += demand;
            }
        }
        let even = 1.0 / (f64::from(self.peers) + 1.0);
        for (workspace, usage) in &mut self.usage {
            let others = others.get(workspace.as_str()).copied().unwrap_or(0.0);
            let total = usage.demand + others;
            let proportional = if total > 0.0 {
                usage.demand / total
            } else {
                even
            };
            usage.share = Some(even * EVEN_FRACTION + proportional * (1.0 - EVEN_FRACTION));
        }
    }
}
