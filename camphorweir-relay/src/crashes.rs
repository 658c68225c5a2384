//! The targets that ended under one content, or under one part of prompts, and whether that is enough
//! to refuse it.
//!
//! Crashes are told apart by target and incarnation, so that one that several instances saw counts
//! once, whatever the order of their reports.

use {
    crate::ids::{Fingerprint, Time},
    camphorweir_wire::crash::{self as wire, Suspect},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Number of crashes in turn, each as a request began to be answered, at which it is quarantined. One that
/// only ran beside the request at fault may break off with it twice, as both are sent on to the few
/// other targets.
const QUARANTINE_CRASHES: usize = 3;
/// The same for what succeeded shortly before: it is more likely to have run beside the request at fault.
const PROVEN_CRASHES: usize = 5;
/// Crashes are this many times as many where the requests may not have begun to be answered. All requests
/// that wait at a target break off with it.
const WAITING_FACTOR: usize = 2;
/// For how long a success speaks for a request. Requests may become harmful, as with a release of the
/// targets.
pub(crate) const PROOF_TIME: Duration = Duration::from_secs(10);
/// Number of contents with a part that must have ended targets; before, the part can't be told from the
/// content.
const MIN_CONTENTS: usize = 2;
/// How long a request is quarantined; twice as long after each crash that followed a quarantine. Then it
/// may run again: nobody can tell that its targets did not end for another reason.
const QUARANTINE_TIME: Duration = Duration::from_secs(120);
/// Limit on that time.
pub(crate) const MAX_QUARANTINE_TIME: Duration = Duration::from_secs(3600);
/// Limit on the crashes that are remembered of one content or part; more than quarantine takes.
const MAX_CRASHES: usize = 2 * PROVEN_CRASHES + 2;

/// A target that ended while a request ran there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    /// When the target began to answer the request, or else when the request was sent.
    pub(crate) since: Time,
    /// When the request broke off.
    pub(crate) at: Time,
    /// Whether the target may not have begun to answer it.
    pub(crate) is_waiting: bool,
    /// Tag of the request's content.
    pub(crate) content: u32,
}

/// What is known of one content or part.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Whether it is a part of prompts.
    pub(crate) is_part: bool,
    /// The targets that ended under it, by the tags of their incarnations.
    crashes: BTreeMap<u32, Crash>,
    /// Those of them that it has been cleared of; crashes that came before a success.
    cleared: BTreeSet<u32>,
    /// When a request with it last succeeded before or between these crashes.
    succeeded_at: Option<Time>,
    /// When this instance last learned something new of it.
    pub(crate) changed_at: Time,
    /// Whether the last change was seen by this instance, and not reported to it.
    pub(crate) is_own_change: bool,
    /// Whether this instance was the first to count as many crashes as quarantine takes.
    pub(crate) is_first: bool,
}

impl Record {
    /// A record without crashes.
    pub(crate) fn new(is_part: bool) -> Self {
        Self {
            is_part,
            ..Self::default()
        }
    }

    /// Adds crashes, crashes that it was cleared of, and a success; returns whether any was new.
    pub(crate) fn add(
        &mut self,
        crashes: impl Iterator<Item = (u32, Crash)>,
        cleared: impl Iterator<Item = u32>,
        succeeded_at: Option<Time>,
    ) -> bool {
        let before = (self.crashes.len(), self.cleared.len());
        let proven = self.is_proven();
        for (target, crash) in crashes {
            let known = self.crashes.entry(target).or_insert(crash);
            // Several requests with a part may run on one target; one that had begun says more.
            if known.is_waiting && !crash.is_waiting {
                *known = crash;
            }
        }
        self.cleared.extend(cleared);
        self.succeeded_at = self.succeeded_at.max(succeeded_at);
        while self.crashes.len() > MAX_CRASHES {
            self.drop_oldest();
        }
        before != (self.crashes.len(), self.cleared.len()) || proven != self.is_proven()
    }

    fn drop_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(target) = oldest.map(|(target, _)| *target) {
            self.crashes.remove(&target);
            self.cleared.remove(&target);
        }
    }

    /// Records a success; returns whether that cleared it of crashes.
    pub(crate) fn clear(&mut self, now: Time) -> bool {
        self.succeeded_at = self.succeeded_at.max(Some(now));
        let is_suspect = self.is_suspect();
        self.cleared.extend(self.crashes.keys());
        is_suspect
    }

    /// Whether a target ended under it since it last succeeded.
    pub(crate) fn is_suspect(&self) -> bool {
        self.counted().next().is_some()
    }

    /// Number of targets that ended under it.
    pub(crate) fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Number of targets that ended as requests with it began to be answered.
    pub(crate) fn begun(&self) -> usize {
        let begun = self.crashes.values().filter(|crash| !crash.is_waiting);
        begun.count()
    }

    /// The crashes that it has not been cleared of, the first first.
    fn counted(&self) -> impl Iterator<Item = Crash> {
        let counted = self.crashes.iter();
        let counted = counted.filter(|(target, _)| !self.cleared.contains(target));
        let mut counted: Vec<Crash> = counted.map(|(_, crash)| *crash).collect();
        counted.sort_unstable_by_key(|crash| crash.at);
        counted.into_iter()
    }

    /// Whether it succeeded shortly before the first of the crashes that count.
    fn is_proven(&self) -> bool {
        let first = self.counted().next();
        let (Some(first), Some(succeeded_at)) = (first, self.succeeded_at) else {
            return false;
        };
        first.at.saturating_sub(succeeded_at) < PROOF_TIME
    }

    /// Whether requests with it are refused, until that time is over.
    pub(crate) fn is_quarantined(&self) -> bool {
        let limit = match self.is_proven() {
            true => PROVEN_CRASHES,
            false => QUARANTINE_CRASHES,
        };
        let begun = in_turn(self.counted().filter(|crash| !crash.is_waiting));
        let all = in_turn(self.counted());
        let contents: BTreeSet<u32> = self.counted().map(|crash| crash.content).collect();
        (begun >= limit || all >= WAITING_FACTOR * limit)
            && (!self.is_part || contents.len() >= MIN_CONTENTS)
    }

    /// When the last target ended under it.
    pub(crate) fn last_crash(&self) -> Time {
        let crashes = self.crashes.values().map(|crash| crash.at);
        crashes.max().unwrap_or_default()
    }

    /// Until when requests with it are refused, if they are.
    pub(crate) fn quarantined_until(&self) -> Option<Time> {
        if !self.is_quarantined() {
            return None;
        }
        let times: Vec<Time> = self.counted().map(|crash| crash.at).collect();
        let pauses = times.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
        let again = pauses.filter(|pause| *pause >= QUARANTINE_TIME).count();
        let factor = 2u32.saturating_pow(u32::try_from(again).unwrap_or(u32::MAX));
        let time = QUARANTINE_TIME.saturating_mul(factor);
        Some(*times.last()? + time.min(MAX_QUARANTINE_TIME))
    }

    /// What is known, for other instances and the store.
    pub(crate) fn encode(&self, fingerprint: Fingerprint, now: Time) -> Suspect {
        let age_ms = |at: Time| millis(now.saturating_sub(at));
        let crashes = self.crashes.iter();
        let crashes = crashes.map(|(target, crash)| wire::Crash {
            target: *target,
            age_ms: age_ms(crash.at),
            ran_ms: millis(crash.at.saturating_sub(crash.since)),
            waited: crash.is_waiting,
            content: crash.content,
        });
        Suspect {
            fingerprint,
            crashes: crashes.collect(),
            cleared: self.cleared.iter().copied().collect(),
            part: self.is_part,
            succeeded_ms: self.succeeded_at.map(age_ms),
        }
    }
}

/// Number of crashes of which each began after the one before. Targets that end while the same request
/// runs on all of them may have lost power together.
fn in_turn(crashes: impl Iterator<Item = Crash>) -> usize {
    let mut last: Option<Time> = None;
    let in_turn = crashes.filter(|crash| {
        let is_in_turn = last.is_none_or(|last| crash.since >= last);
        if is_in_turn {
            last = Some(crash.at);
        }
        is_in_turn
    });
    in_turn.count()
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
