//! When the targets of a zone, or their layers, last changed: moves that only raise the flow wait until a
//! zone has settled.

use {
    crate::{
        fleet::Target,
        ids::{ServiceName, TargetId, Time, Zone},
        span::Span,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a zone must not have changed before targets are moved for its flow.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// The same after a target was lost: one that crashed is back within a few seconds, and takes its place then.
const LOSS_TIME: Duration = Duration::from_secs(5);

/// What the targets of a zone hold, with the start of each.
type Held = BTreeMap<TargetId, (u64, Span)>;

/// What is known of the changes of a zone.
#[derive(Clone, Debug)]
struct History {
    held: Held,
    changed_at: Time,
    /// When a target was last found to be missing.
    lost_at: Option<Time>,
}

/// When the targets of each service and zone, or their layers, last changed.
#[derive(Clone, Debug, Default)]
pub struct Changes(BTreeMap<(ServiceName, Zone), History>);

impl Changes {
    /// Records targets, with what they hold.
    pub fn record<'a>(&mut self, targets: impl Iterator<Item = &'a Target>, now: Time) {
        let mut zones: BTreeMap<(ServiceName, Zone), Held> = BTreeMap::new();
        for target in targets {
            let key = (target.service.clone(), target.zone.clone());
            let held = zones.entry(key).or_default();
            held.insert(target.id.clone(), (target.started_ms, target.span));
        }
        for key in self.0.keys() {
            zones.entry(key.clone()).or_default();
        }
        for (key, held) in zones {
            let history = self.0.entry(key).or_insert_with(|| History {
                held: held.clone(),
                changed_at: now,
                lost_at: None,
            });
            if history.held == held {
                continue;
            }
            if history.held.keys().any(|target| !held.contains_key(target)) {
                history.lost_at = Some(now);
            }
            (history.held, history.changed_at) = (held, now);
        }
    }

    /// Whether a zone has not changed for a while.
    pub fn is_settled(&self, service: &ServiceName, zone: &Zone, now: Time) -> bool {
        let history = self.0.get(&(service.clone(), zone.clone()));
        history.is_some_and(|history| {
            let is_old = |at: Time, time: Duration| now.saturating_sub(at) >= time;
            is_old(history.changed_at, SETTLE_TIME)
                && history.lost_at.is_none_or(|at| is_old(at, LOSS_TIME))
        })
    }
}
