//! Limits of workspaces, shared by the entries without a coordinator.
//!
//! Each entry grants a share of every limit. The shares follow the demand that entries tell each
//! other; what an entry last heard counts until the peer is gone, so that an entry that is cut off
//! keeps its share and the entries together stay near the limit.

use {
    camphorweir_config::model::{Limits, WorkspaceId},
    std::{collections::HashMap, time::Duration},
};

/// Time over which demand is averaged.
const AVERAGE: f64 = 2.0;
/// Seconds of a share that may be saved up.
const SAVED: f64 = 1.0;
/// The part of a limit that is split evenly, whatever the demand.
const EVEN: f64 = 0.2;
/// Workspaces that are told to peers.
const TOLD: usize = 16;
/// Idle time after which a workspace is forgotten, which bounds the memory by the busy ones.
const IDLE: Duration = Duration::from_secs(30);

/// What one workspace has used here.
#[derive(Debug)]
struct Usage {
    /// Requests and tokens that may start now.
    requests: f64,
    tokens: f64,
    /// The part of the limits granted here, as it was when all peers were last heard.
    share: Option<f64>,
    /// Requests in hand.
    open: u32,
    /// Requests that came, refused ones too, averaged, as a rate in 1/s.
    demand: f64,
    /// When the demand was last averaged.
    averaged: Duration,
    /// When a request last came.
    at: Duration,
}

impl Usage {
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.averaged).as_secs_f64();
        self.demand *= (-age / AVERAGE).exp();
        self.averaged = now;
    }
}

/// The usage of all workspaces that were busy lately.
#[derive(Debug, Default)]
pub struct Table {
    usage: HashMap<WorkspaceId, Usage>,
    /// The other entries.
    peers: u32,
    swept: Duration,
}

impl Table {
    /// The part of a workspace's limits that this entry grants; above 0 and at most 1.
    pub fn share(&self, workspace: &str) -> f64 {
        let share = self.usage.get(workspace).and_then(|usage| usage.share);
        share.unwrap_or(1.0 / (f64::from(self.peers) + 1.0))
    }

    /// Takes a request with so many tokens in, or says when to come back.
    ///
    /// # Errors
    ///
    /// The time after which the share allows it.
    pub fn take(
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
            open: 0,
            demand: 0.0,
            averaged: now,
            at: now,
        };
        let usage = self.usage.entry(workspace.clone()).or_insert_with(new);
        usage.decay(now);
        usage.demand += 1.0 / AVERAGE;
        let age = now.saturating_sub(usage.at).as_secs_f64();
        usage.at = now;
        let share = self.share(workspace);
        let Some(usage) = self.usage.get_mut(workspace) else {
            return Ok(());
        };
        let requests = (limits.requests * share).max(1e-6);
        let rate = (limits.tokens * share).max(1e-6);
        // One request may always be saved up, however long it takes.
        let most = (requests * SAVED).max(1.0);
        usage.requests = (usage.requests + age * requests).min(most);
        usage.tokens = (usage.tokens + age * rate).min(rate * SAVED);
        let concurrent = (f64::from(limits.concurrent) * share).ceil();
        if f64::from(usage.open) >= concurrent {
            return Err(Duration::from_secs(1));
        }
        // Tokens may be overdrawn by one request, so that a large one passes at all.
        let wait = ((1.0 - usage.requests) / requests).max(-usage.tokens / rate);
        if wait > 0.0 {
            return Err(Duration::from_secs_f64(wait.min(3600.0)));
        }
        usage.requests -= 1.0;
        usage.tokens -= f64::from(tokens);
        Ok(())
    }

    /// A request is in hand.
    pub fn opened(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.open += 1;
        }
    }

    /// A request is over.
    pub fn closed(&mut self, workspace: &str) {
        if let Some(usage) = self.usage.get_mut(workspace) {
            usage.open = usage.open.saturating_sub(1);
        }
    }

    /// Forgets idle workspaces, once in their idle time; linear in the busy ones.
    fn sweep(&mut self, now: Duration) {
        if now < self.swept + IDLE {
            return;
        }
        self.swept = now;
        self.usage
            .retain(|_, usage| usage.open > 0 || now < usage.at + IDLE);
    }

    /// The demand of the busiest workspaces, for the peers.
    pub fn busiest(&mut self, now: Duration) -> Vec<(WorkspaceId, f64)> {
        let mut out: Vec<(WorkspaceId, f64)> = Vec::new();
        for (workspace, usage) in &mut self.usage {
            usage.decay(now);
            if usage.demand > 0.01 {
                out.push((workspace.clone(), usage.demand));
            }
        }
        out.sort_by(|one, two| two.1.total_cmp(&one.1).then_with(|| one.0.cmp(&two.0)));
        out.truncate(TOLD);
        out
    }

    /// What each peer last told, `None` from one that is not heard; shares then stay as they are.
    pub fn heard<'a>(&mut self, peers: impl Iterator<Item = Option<&'a [(WorkspaceId, f64)]>>) {
        let Some(told) = peers.collect::<Option<Vec<_>>>() else {
            return;
        };
        self.peers = told.len() as u32;
        let mut others: HashMap<&str, f64> = HashMap::new();
        for (workspace, demand) in told.into_iter().flatten() {
            if demand.is_finite() && *demand > 0.0 {
                *others.entry(workspace).or_default() += demand;
            }
        }
        let even = 1.0 / (f64::from(self.peers) + 1.0);
        for (workspace, usage) in &mut self.usage {
            let others = others.get(workspace.as_str()).copied().unwrap_or(0.0);
            let all = usage.demand + others;
            let part = if all > 0.0 { usage.demand / all } else { even };
            usage.share = Some(even * EVEN + part * (1.0 - EVEN));
        }
    }
}
