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

/// Limit on the targets of a digest that are listed only because they rejected a send for lack of
/// memory: the newest rejections are the most useful ones.
const MAX_FULL: usize = 16;
/// Limit on the entries of a digest, of up to 14 bytes each, up to which such targets are listed; a
/// digest that exceeds the size of a datagram is not sent at all.
const MAX_ENTRIES_WITH_FULL: usize = 80;

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
        let loads: Vec<Load> = loads.collect();
        let mut failing: Vec<Failing> = failing.collect();
        self.add_full(&mut failing, loads.len(), now);
        Digest {
            loads,
            failing,
            refused: self.fairness.refused_for_digest(now),
            ..Digest::default()
        }
    }

    /// Adds targets of uneven services that rejected a send of this instance for lack of memory, so
    /// that peers avoid them without a rejection of their own.
    fn add_full(&self, failing: &mut Vec<Failing>, loads: usize, now: Time) {
        let is_listed = |target: &TargetId, failing: &[Failing]| {
            let tag = ids_tag(target);
            failing.iter().any(|failing| failing.target == tag)
        };
        let full = self.tracker.full(now).filter(|(target, _)| {
            self.is_uneven(target)
                && !self.is_target_in_doubt(target)
                && !is_listed(target, failing)
        });
        let mut full: Vec<(&TargetId, Duration)> = full.collect();
        full.sort_by(|(a, a_left), (b, b_left)| b_left.cmp(a_left).then_with(|| a.cmp(b)));
        let room = MAX_ENTRIES_WITH_FULL.saturating_sub(loads + failing.len());
        full.truncate(room.min(MAX_FULL));
        failing.extend(full.into_iter().map(|(target, left)| Failing {
            target: ids_tag(target),
            excluded_ms: u16::try_from(left.as_millis()).unwrap_or(u16::MAX),
            unresponsive: false,
        }));
    }

    /// Whether the load of a target is projected and spread.
    fn is_uneven(&self, target: &TargetId) -> bool {
        let target = self.fleet.get(target);
        target.is_some_and(|target| self.is_load_spread(&target.service))
    }

    /// Whether the links to a target's service may be at fault.
    fn is_target_in_doubt(&self, target: &TargetId) -> bool {
        let target = self.fleet.get(target);
        target.is_some_and(|target| self.is_in_doubt(&target.service))
    }

    /// Applies the digest of a peer; returns the targets that are unresponsive here from now on
    /// because that peer says so.
    pub fn apply_digest(&mut self, digest: Digest, now: Time) -> Vec<TargetId> {
        let (failing, refused) = (digest.failing.clone(), digest.refused.clone());
        if !self.peers.apply_digest(digest, now) {
            return Vec::new();
        }
        self.fairness.record_heard(&refused, now);
        self.record_failing(&failing, now)
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
        self.fairness.record_heard(&summary.refused, now);
        self.record_failing(&summary.failing, now)
    }

    /// Clears what peers reported of the targets that a summary covers and does not list as failing;
    /// a target of an uneven service that is only full responds.
    fn clear_recovered(&mut self, zone: &str, summary: &Summary) {
        let may_not_respond = |failing: &&Failing| {
            let target = self.fleet.by_tag(failing.target);
            failing.unresponsive || !target.is_some_and(|target| self.is_uneven(&target.id))
        };
        let failing = summary.failing.iter().filter(may_not_respond);
        let failing: Vec<u32> = failing.map(|failing| failing.target).collect();
        let is_covered = |target: &&Target| {
            let tag = ids_tag(&target.id);
            *target.zone == *zone
                && tag % summary.parts.max(1) == summary.part
                && !failing.contains(&tag)
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
