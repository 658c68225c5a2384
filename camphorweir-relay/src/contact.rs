//! Whether this instance reaches the targets of a service at all, so that a fault of its own links
//! is not taken for a fault of the targets.
//!
//! As long as no target has answered since another did not, either may be at fault. Meanwhile peers
//! hear of no failing target, and other targets are asked, which answer at once if the links work.

use {
    crate::{
        fleet::Target,
        ids::{ServiceName, TargetId, Time, Zone},
        router::Router,
    },
    rand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Number of silent targets, all of them where fewer are known, from which on the own links are
/// at fault.
const MIN_SILENT: usize = 3;
/// Number of other targets that are asked at once.
const CHECKS: usize = 3;
/// Pause between two rounds of checks; longer than a probe may take.
const CHECK_PAUSE: Duration = Duration::from_millis(450);

/// A change of the contact to targets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// No target answers any more.
    Lost {
        /// Number of targets that did not answer.
        silent: usize,
    },
    /// A target answers again.
    Regained {
        /// Time since the first target did not answer.
        after: Duration,
    },
}

/// What is known of the own links to the targets of one service.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    /// When the first of the silent targets did not answer; `None` while none is silent.
    silent_since: Option<Time>,
    /// Targets that have not answered since any target did.
    silent: BTreeSet<TargetId>,
    /// Targets that were asked as a check since any target answered.
    asked: BTreeSet<TargetId>,
    next_checks: Time,
    lost: bool,
}

impl Contact {
    /// Whether no target has answered since another did not, so that the own links may be at fault.
    pub fn is_in_doubt(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Whether this instance reaches no target.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether a round of checks is due.
    fn has_due_checks(&self, now: Time) -> bool {
        self.is_in_doubt() && self.next_checks <= now
    }

    /// Records that one of `known` targets did not answer on a new connection.
    ///
    /// Targets that fail together may be the only ones that were tried; so the links count as lost
    /// only once a target that was asked as a check is silent too.
    fn record_silence(&mut self, target: &TargetId, known: usize, now: Time) -> Option<Change> {
        self.silent_since.get_or_insert(now);
        self.silent.insert(target.clone());
        let is_check_silent = self.asked.iter().any(|asked| self.silent.contains(asked));
        let silent = self.silent.len();
        if self.lost || !is_check_silent || silent < MIN_SILENT.min(known) {
            return None;
        }
        self.lost = true;
        Some(Change::Lost { silent })
    }

    /// Records that a target answered on a new connection.
    fn record_answer(&mut self, now: Time) -> Option<Change> {
        let last = std::mem::take(self);
        let since = last.silent_since?;
        last.lost.then_some(Change::Regained {
            after: now.saturating_sub(since),
        })
    }

    /// Chooses the targets of a round of checks: in different zones, where there are enough, and not
    /// asked before, until all have been. `random` is in `0.0..1.0`.
    ///
    /// Linear in the targets.
    fn choose_checks(&mut self, targets: &[&Target], random: f64, now: Time) -> Vec<TargetId> {
        if !self.has_due_checks(now) {
            return Vec::new();
        }
        self.next_checks = now + CHECK_PAUSE;
        let is_new = |target: &&Target| !self.asked.contains(&target.id);
        let is_unknown = |target: &&Target| !self.silent.contains(&target.id);
        let targets = targets.iter().copied();
        let mut candidates = by_zone(targets.clone().filter(is_new).filter(is_unknown));
        if candidates.is_empty() {
            self.asked.clear();
            candidates = by_zone(targets);
        }
        let mut chosen = Vec::new();
        while chosen.len() < CHECKS && !candidates.is_empty() {
            for targets in candidates.values_mut() {
                let index = (random * targets.len() as f64) as usize;
                chosen.push(targets.swap_remove(index.min(targets.len() - 1)));
            }
            candidates.retain(|_, targets| !targets.is_empty());
        }
        chosen.truncate(CHECKS);
        self.asked.extend(chosen.iter().cloned());
        chosen
    }
}

fn by_zone<'a>(targets: impl Iterator<Item = &'a Target>) -> BTreeMap<&'a Zone, Vec<TargetId>> {
    let mut by_zone: BTreeMap<&Zone, Vec<TargetId>> = BTreeMap::new();
    for target in targets {
        let ids = by_zone.entry(&target.zone).or_default();
        ids.push(target.id.clone());
    }
    by_zone
}

/// Contact with the targets of each service; a service without an entry has never failed.
pub type Contacts = HashMap<ServiceName, Contact>;

impl Router {
    /// Whether this instance reaches no target of a service.
    pub fn is_cut_off(&self, service: &str) -> bool {
        self.contacts.get(service).is_some_and(Contact::is_lost)
    }

    /// Whether the links to the targets of a service may be at fault.
    pub fn is_in_doubt(&self, service: &str) -> bool {
        self.contacts.get(service).is_some_and(Contact::is_in_doubt)
    }

    /// Services whose targets this instance doesn't reach.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.contacts.iter().filter(|(_, contact)| contact.lost);
        lost.map(|(service, _)| service)
    }

    /// Records that a target answered on a connection that was opened for this.
    pub fn record_answer(&mut self, target: &TargetId, now: Time) -> Option<Change> {
        let service = self.fleet.get(target)?.service.clone();
        let contact = self.contacts.get_mut(&service)?;
        let since = contact.silent_since?;
        let change = contact.record_answer(now);
        let targets = self.fleet.targets();
        let targets = targets.filter(|target| target.service == service);
        let targets = targets.map(|target| &target.id);
        match change {
            Some(_) => self.tracker.forget_suspicions(targets, since),
            None => self.tracker.confirm_again(targets, since, now),
        }
        change
    }

    /// Records that a target did not answer on a new connection, or that none could be opened.
    pub fn record_silence(&mut self, target: &TargetId, now: Time) -> Option<Change> {
        let service = &self.fleet.get(target)?.service;
        // Another target has answered since this one became suspected, so the links are sound.
        if self.tracker.is_suspected(target) && !self.is_in_doubt(service) {
            return None;
        }
        let targets = self.fleet.targets();
        let known = targets.filter(|target| target.service == *service).count();
        let contact = self.contacts.entry(service.clone()).or_default();
        contact.record_silence(target, known, now)
    }

    /// Targets to probe now: suspected ones, and others while the own links are in doubt; schedules
    /// the next probe of each.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<TargetId> {
        let mut due = self.tracker.take_due_probes(now);
        let random = self.rng.random();
        for (service, contact) in &mut self.contacts {
            let targets = self.fleet.available(service);
            let is_open = |target: &&Target| !self.tracker.is_closed(&target.id, now);
            let targets: Vec<&Target> = targets.filter(is_open).collect();
            due.extend(contact.choose_checks(&targets, random, now));
        }
        due.sort_unstable();
        due.dedup();
        due
    }

    /// Whether a probe is due.
    pub fn has_due_probe(&self, now: Time) -> bool {
        let mut contacts = self.contacts.values();
        self.tracker.has_due_probe(now) || contacts.any(|contact| contact.has_due_checks(now))
    }
}
