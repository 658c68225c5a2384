//! What instances tell each other of targets: load, and failures that are the targets' own.

use {
    crate::{
        fleet::Target,
        ids::{TargetId, Time, ids_tag},
        router::Router,
    },
    camphorweir_wire::digest::{Digest, Failing, Load, MEMORY_UNIT_TOKEN_LAYERS, Scope, Summary},
    std::time::Duration,
};

impl Router {
    /// The digest of load and ejections for peers; the caller fills in the sender's fields. While
    /// the own links are in doubt it names no failing target.
    pub fn digest(&self, now: Time) -> Digest {
        let loads = self.tracker.with_streams().map(|(target, state)| Load {
            target: ids_tag(target),
            streams: u16::try_from(state.streams).unwrap_or(u16::MAX),
            first_stage: u16::try_from(state.in_flight).unwrap_or(u16::MAX),
            memory: (state.token_layers / MEMORY_UNIT_TOKEN_LAYERS).ceil() as u32,
        });
        let failing = self
            .tracker
            .failing(now)
            .filter(|(target, _)| !self.is_target_in_doubt(target))
            .map(|(target, remaining)| Failing {
                target: ids_tag(target),
                excluded_ms: u16::try_from(remaining.as_millis()).unwrap_or(u16::MAX),
                unresponsive: self.tracker.state(target).is_unresponsive(now),
            });
        Digest {
            loads: loads.collect(),
            failing: failing.collect(),
            ..Digest::default()
        }
    }

    /// Whether the links to a target's service may be at fault.
    fn is_target_in_doubt(&self, target: &TargetId) -> bool {
        let target = self.fleet.get(target);
        target.is_some_and(|target| self.is_in_doubt(&target.service))
    }

    /// Applies the digest of a peer; returns the targets that are unresponsive here from now on
    /// because that peer says so.
    pub fn apply_digest(&mut self, digest: Digest, now: Time) -> Vec<TargetId> {
        let failing = digest.failing.clone();
        match self.peers.apply_digest(digest, now) {
            true => self.record_failing(&failing, now),
            false => Vec::new(),
        }
    }

    /// Applies a summary of the load of many instances; returns the targets that are unresponsive
    /// here from now on because those instances say so.
    pub fn apply_summary(&mut self, summary: Summary, now: Time) -> Vec<TargetId> {
        if !self.peers.apply_summary(summary.clone(), now) {
            return Vec::new();
        }
        if let Scope::TargetsOf(zone) = &summary.scope {
            self.peers.use_summaries(now);
            self.clear_recovered(zone, &summary);
        }
        self.record_failing(&summary.failing, now)
    }

    /// Clears what peers reported of the targets that a summary covers and does not list as failing.
    fn clear_recovered(&mut self, zone: &str, summary: &Summary) {
        let is_covered = |target: &&Target| {
            let tag = ids_tag(&target.id);
            *target.zone == *zone
                && tag % summary.parts.max(1) == summary.part
                && !summary.failing.iter().any(|failing| failing.target == tag)
        };
        for target in self.fleet.targets().filter(is_covered) {
            self.tracker.clear_peer_report(&target.id);
        }
    }

    fn record_failing(&mut self, failing: &[Failing], now: Time) -> Vec<TargetId> {
        let mut newly_unresponsive = Vec::new();
        for failing in failing {
            if let Some(target) = self.fleet.by_tag(failing.target) {
                let remaining = Duration::from_millis(failing.excluded_ms.into());
                let is_new = self.tracker.record_peer_ejection(
                    &target.id,
                    now,
                    remaining,
                    failing.unresponsive,
                );
                if is_new {
                    newly_unresponsive.push(target.id.clone());
                }
            }
        }
        newly_unresponsive
    }
}
