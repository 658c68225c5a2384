//! Contents of requests, and parts of prompts, under which targets ended; one under which several targets
//! ended in turn is quarantined.
//!
//! Each instance counts what it sees itself, and reports it to the few instances that keep account of
//! the fingerprint.

use {
    crate::{
        crashes::{Crash, MAX_QUARANTINE_TIME, PROOF_TIME, Record},
        fleet::Target,
        ids::{Fingerprint, TargetId, Time, ids_hash},
        keepers::Scope,
    },
    camphorweir_wire::crash::Suspect,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Number of crashes from which on all instances know of a fingerprint, so that a success at any of them
/// clears it.
const SHARED_CRASHES: usize = 2;
/// The same where the requests may not have begun to be answered: all that wait at a target break off with
/// it, so these are many.
const SHARED_WAITING_CRASHES: usize = 4;
/// How long after its last crash a fingerprint is remembered.
const TTL: Duration = MAX_QUARANTINE_TIME;
/// How long after a request broke off its target may be found to have ended: it starts again within
/// this time, and shows then that it has.
const LOSS_TTL: Duration = Duration::from_secs(6);
/// Pause between checks whether a target has ended under a request.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// How long a change is reported, as reports may be lost.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Limit on the fingerprints that are remembered.
const MAX_RECORDS: usize = 4096;
/// Limit on the fingerprints that are reported at a time.
const MAX_NEWS: usize = 128;

/// A request that broke off, as far as its target may have ended under it.
#[derive(Clone, Copy, Debug)]
pub struct Broken<'a> {
    /// Fingerprint of its content.
    pub fingerprint: Fingerprint,
    /// Parts of its prompt that others may share.
    pub prompt_parts: &'a [Fingerprint],
    /// When the target began to answer it, or else when it was sent.
    pub since: Time,
    /// Whether the target may not have begun to answer it.
    pub is_waiting: bool,
}

/// A content or part of a request that broke off.
#[derive(Clone, Debug)]
struct Loss {
    fingerprint: Fingerprint,
    is_part: bool,
    /// Target where it ran.
    target: TargetId,
    address: SocketAddr,
    /// Unix time of the target's start in ms.
    started_ms: u64,
    crash: Crash,
    /// When it is to be checked whether the target has ended.
    next_check: Time,
}

/// A content or part that is quarantined from now on, for the log and the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Quarantine {
    /// Its fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it is a part of prompts.
    pub is_part: bool,
    /// Number of crashes.
    pub crashes: usize,
}

/// All suspects.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: BTreeMap<Fingerprint, Record>,
    losses: Vec<Loss>,
    /// When a request with each fingerprint last succeeded here.
    successes: HashMap<Fingerprint, Time>,
    /// Suspects that this instance has sent to targets and that have not ended.
    running: Vec<(Fingerprint, TargetId)>,
}

impl Suspects {
    /// Records that a request broke off at a target, which may have ended under it.
    pub fn record_loss(&mut self, broken: &Broken<'_>, target: &Target, now: Time) {
        self.drop_old_losses(now);
        let parts: BTreeSet<Fingerprint> = broken.prompt_parts.iter().copied().collect();
        let keys = parts.into_iter().map(|part| (part, true));
        for (fingerprint, is_part) in keys.chain([(broken.fingerprint, false)]) {
            self.losses.push(Loss {
                fingerprint,
                is_part,
                target: target.id.clone(),
                address: target.address,
                started_ms: target.started_ms,
                crash: Crash {
                    since: broken.since,
                    at: now,
                    is_waiting: broken.is_waiting,
                    content: content_tag(broken.fingerprint),
                },
                next_check: now,
            });
        }
    }

    fn drop_old_losses(&mut self, now: Time) {
        self.losses
            .retain(|loss| now.saturating_sub(loss.crash.at) < LOSS_TTL);
    }

    /// Whether it is to be checked of some target whether it has ended.
    pub fn has_due_check(&self, now: Time) -> bool {
        self.losses.iter().any(|loss| loss.next_check <= now)
    }

    /// Targets of which it is to be checked whether they have ended; schedules the next check.
    pub fn take_due_checks(&mut self, now: Time) -> BTreeSet<TargetId> {
        self.drop_old_losses(now);
        let mut due = BTreeSet::new();
        for loss in self.losses.iter_mut().filter(|loss| loss.next_check <= now) {
            loss.next_check = now + CHECK_PAUSE;
            due.insert(loss.target.clone());
        }
        due
    }

    /// Records that a target is alive: what broke off there did not end it.
    pub fn record_alive(&mut self, target: &TargetId) {
        self.losses.retain(|loss| loss.target != *target);
    }

    /// Records that a target has ended; returns what is quarantined from now on.
    pub fn record_end(&mut self, target: &TargetId, now: Time) -> Vec<Quarantine> {
        self.take_losses(|loss| loss.target == *target, now)
    }

    /// Records that a target is listed; returns what is quarantined from now on, because the target has
    /// taken the place of one that broke it off.
    pub fn record_start(
        &mut self,
        target: &TargetId,
        address: SocketAddr,
        started_ms: u64,
        now: Time,
    ) -> Vec<Quarantine> {
        let is_successor = |loss: &Loss| {
            loss.address == address && (loss.target != *target || loss.started_ms < started_ms)
        };
        self.take_losses(is_successor, now)
    }

    /// Counts a crash for each loss that `has_ended` is true of.
    fn take_losses(&mut self, has_ended: impl Fn(&Loss) -> bool, now: Time) -> Vec<Quarantine> {
        self.drop_old_losses(now);
        let losses = std::mem::take(&mut self.losses).into_iter();
        let (ended, others): (Vec<Loss>, Vec<Loss>) = losses.partition(has_ended);
        self.losses = others;
        let mut quarantines = Vec::new();
        for loss in ended {
            let incarnation = format!("{}/{}", loss.target, loss.started_ms);
            let crash = (ids_hash(incarnation.as_bytes()), loss.crash);
            let succeeded_at = self.successes.get(&loss.fingerprint).copied();
            let record = self.record_mut(loss.fingerprint, loss.is_part, now);
            let was_quarantined = record.is_quarantined();
            if record.add([crash].into_iter(), [].into_iter(), succeeded_at) {
                (record.changed_at, record.is_own_change) = (now, true);
            }
            if record.is_quarantined() && !was_quarantined {
                record.is_first = true;
                quarantines.push(quarantine(loss.fingerprint, record));
            }
        }
        quarantines
    }

    /// The record of a fingerprint, made if there is none. Drops what is too old, and the oldest record
    /// where there is no room for another.
    fn record_mut(&mut self, fingerprint: Fingerprint, is_part: bool, now: Time) -> &mut Record {
        self.records
            .retain(|_, record| now.saturating_sub(record.last_crash()) < TTL);
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint) {
            let records = self.records.iter();
            let oldest =
                records.min_by_key(|(_, record)| (record.is_quarantined(), record.last_crash()));
            if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
                self.records.remove(&oldest);
            }
        }
        let record = self.records.entry(fingerprint);
        record.or_insert_with(|| Record::new(is_part))
    }

    /// Records that a request succeeded, which clears its content and its parts.
    pub fn record_success(
        &mut self,
        fingerprint: Fingerprint,
        prompt_parts: &[Fingerprint],
        now: Time,
    ) {
        if self.successes.len() >= MAX_RECORDS {
            let is_recent = |at: Time| now.saturating_sub(at) < PROOF_TIME;
            self.successes.retain(|_, at| is_recent(*at));
        }
        let keys = prompt_parts.iter().chain([&fingerprint]);
        for key in keys {
            if self.successes.len() < MAX_RECORDS {
                self.successes.insert(*key, now);
            }
            self.losses.retain(|loss| loss.fingerprint != *key);
            if let Some(record) = self.records.get_mut(key)
                && record.clear(now)
            {
                (record.changed_at, record.is_own_change) = (now, true);
            }
        }
    }

    /// Remaining time in which what has a fingerprint is quarantined; `None` if it is not.
    pub fn quarantine_left(&self, fingerprint: Fingerprint, now: Time) -> Option<Duration> {
        let until = self.records.get(&fingerprint)?.quarantined_until()?;
        (until > now).then(|| until - now)
    }

    /// Whether a target may have ended under a request.
    fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(Record::is_suspect)
            || self
                .losses
                .iter()
                .any(|loss| loss.fingerprint == fingerprint)
    }

    /// Records that a request was sent to a target.
    pub fn start(&mut self, fingerprint: Fingerprint, target: &TargetId) {
        if self.is_suspect(fingerprint) {
            self.running.push((fingerprint, target.clone()));
        }
    }

    /// Records that a request no longer runs at a target.
    pub fn end(&mut self, fingerprint: Fingerprint, target: &TargetId) {
        let mut running = self.running.iter();
        let index = running.position(|(other, at)| *other == fingerprint && at == target);
        if let Some(index) = index {
            self.running.swap_remove(index);
        }
    }

    /// Targets that a request should not use, as other suspects run there: a crash could not be put
    /// down to one of them. Empty for a request that is no suspect.
    pub fn targets_of_others(&self, fingerprint: Fingerprint) -> Vec<TargetId> {
        if self.running.is_empty() || !self.is_suspect(fingerprint) {
            return Vec::new();
        }
        let running = self.running.iter();
        let others = running.filter(|(other, _)| *other != fingerprint);
        others.map(|(_, target)| target.clone()).collect()
    }

    /// Applies the report of another instance; returns what is quarantined from now on.
    pub fn apply_report(&mut self, suspects: &[Suspect], now: Time) -> Vec<Quarantine> {
        let mut quarantines = Vec::new();
        for suspect in suspects {
            let at = |age_ms: u64| now.saturating_sub(Duration::from_millis(age_ms));
            let crashes = suspect.crashes.iter();
            let crashes = crashes.map(|crash| {
                let decoded = Crash {
                    since: at(crash.age_ms.saturating_add(crash.ran_ms)),
                    at: at(crash.age_ms),
                    is_waiting: crash.waited,
                    content: crash.content,
                };
                (crash.target, decoded)
            });
            let crashes: Vec<(u32, Crash)> = crashes.collect();
            let cleared = suspect.cleared.iter().copied();
            let mut reported = Record::new(suspect.part);
            let succeeded_at = suspect.succeeded_ms.map(at);
            reported.add(crashes.iter().copied(), cleared.clone(), succeeded_at);
            let own = self.successes.get(&suspect.fingerprint).copied();
            let succeeded_at = succeeded_at.max(own);
            let record = self.record_mut(suspect.fingerprint, suspect.part, now);
            let was_quarantined = record.is_quarantined();
            if record.add(crashes.into_iter(), cleared, succeeded_at) {
                (record.changed_at, record.is_own_change) = (now, false);
            }
            if record.is_quarantined() && !was_quarantined {
                record.is_first = !reported.is_quarantined();
                quarantines.push(quarantine(suspect.fingerprint, record));
            }
        }
        quarantines
    }

    /// What has changed lately, and who has to know it; what was quarantined first, as no more than
    /// [`MAX_NEWS`] are told at a time.
    pub fn news(&self, now: Time) -> Vec<(Suspect, Scope)> {
        let is_new = |record: &Record| now.saturating_sub(record.changed_at) < REPORT_TIME;
        let news = self.records.iter().filter(|(_, record)| is_new(record));
        let mut news: Vec<(&Fingerprint, &Record)> = news.collect();
        let weight = |record: &Record| (record.is_quarantined(), record.begun(), record.len());
        news.sort_by_key(|(_, record)| std::cmp::Reverse(weight(record)));
        news.truncate(MAX_NEWS);
        let news = news.into_iter().map(|(fingerprint, record)| {
            let scope = Scope {
                is_own: record.is_own_change,
                is_shared: record.begun() >= SHARED_CRASHES
                    || record.len() >= SHARED_WAITING_CRASHES,
            };
            (record.encode(*fingerprint, now), scope)
        });
        news.collect()
    }

    /// All that is quarantined.
    pub fn quarantined(&self, now: Time) -> Vec<Suspect> {
        let records = self.records.iter();
        records
            .filter(|(_, record)| record.is_quarantined())
            .map(|(fingerprint, record)| record.encode(*fingerprint, now))
            .collect()
    }

    /// What is quarantined and this instance has to write to the store.
    pub fn own_quarantines(&self, now: Time) -> Vec<Suspect> {
        let own = |suspect: &Suspect| {
            let record = self.records.get(&suspect.fingerprint);
            record.is_some_and(|record| record.is_first)
        };
        let mut quarantined = self.quarantined(now);
        quarantined.retain(own);
        quarantined
    }
}

fn quarantine(fingerprint: Fingerprint, record: &Record) -> Quarantine {
    Quarantine {
        fingerprint,
        is_part: record.is_part,
        crashes: record.len(),
    }
}

/// A short tag of a content, never 0.
fn content_tag(fingerprint: Fingerprint) -> u32 {
    ((fingerprint ^ (fingerprint >> 32)) as u32).max(1)
}
