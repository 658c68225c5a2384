//! Requests that were in flight on targets that crashed: isolated from each other, and quarantined
//! at the second crash.
//!
//! A request becomes a suspect, identified by its fingerprint, when the connection to a target is
//! lost while the target computes the request's first pass. A suspect runs on targets that no other
//! suspect uses, so that a second crash has one cause; a suspect that finishes is cleared.

use {
    crate::{
        attempt::AnyAttempt,
        core::Core,
        request::{Body, Request},
        target::{Index, Link},
        timer::Timer,
    },
    camphorweir_wire::{
        code::Code,
        codec,
        ids::{EntryId, Incarnation, RequestId},
        log::Page,
        outcome::Refusal,
        peer::Suspect,
        suspect as records,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Number of crashes at which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 2;
/// How long after its last crash a request remains a suspect or in quarantine.
const SUSPICION_TTL: Duration = Duration::from_secs(3600);
/// How long after a release heartbeats may come from peers that have not read the release yet.
const RELEASE_PROPAGATION: Duration = Duration::from_secs(10);
/// How long after an attempt was given up for another cause its step may still crash the target.
const GIVEN_UP_CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Delay before a suspect that has to wait is tried again, and before any start after a crash.
///
/// It is several times the latency between zones, so that peers which run a request with the same
/// fingerprint report their crashes within it.
const ISOLATION_RETRY: Duration = Duration::from_millis(20);

/// Crashes counted for one fingerprint.
#[derive(Debug, Default)]
struct Record {
    crashes: u32,
    /// When the record expires, since the Unix epoch.
    expires: Duration,
    /// The last crash that this entry saw, on the monotonic clock.
    last_crash: Option<Duration>,
}

/// A lost connection to a target.
#[derive(Debug)]
struct Loss {
    incarnation: Incarnation,
    /// Fingerprints for which a crash was counted.
    suspects: BTreeSet<u64>,
}

/// All suspects.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Crashes that this entry saw and quarantines that it learnt of, by fingerprint.
    own: BTreeMap<u64, Record>,
    /// The suspects in the last heartbeat of each peer.
    peers: HashMap<EntryId, Vec<Suspect>>,
    /// The last loss of each target; undone when the target returns with the same incarnation.
    losses: HashMap<Index, Loss>,
    /// First passes that were given up while a target computed them: fingerprint, target, expiry.
    given_up: Vec<(u64, Index, Duration)>,
    /// When operators released a request, by fingerprint; for a short time afterwards peers may
    /// still report it.
    released: HashMap<u64, Duration>,
}

impl Table {
    /// Crashes that this entry and its peers have counted for a fingerprint.
    fn crashes(&self, fingerprint: u64) -> u32 {
        let own = self.own.get(&fingerprint).map_or(0, |own| own.crashes);
        let reported = self.peers.values().flatten();
        let reported = reported.filter(|suspect| suspect.fingerprint == fingerprint);
        reported.fold(own, |sum, suspect| sum.saturating_add(suspect.crashes))
    }

    /// The quarantined requests by fingerprint, with the crashes counted for each.
    pub(crate) fn quarantined(&self) -> BTreeMap<u64, u32> {
        let reported = self
            .peers
            .values()
            .flatten()
            .map(|suspect| suspect.fingerprint);
        let all = self.own.keys().copied().chain(reported);
        let counted = all.map(|fingerprint| (fingerprint, self.crashes(fingerprint)));
        counted
            .filter(|(_, crashes)| *crashes >= QUARANTINE_CRASHES)
            .collect()
    }

    /// Whether this entry saw a crash so recently that peers may not have reported theirs yet.
    fn is_crash_recent(&self, fingerprint: u64, now: Duration) -> bool {
        let seen = self.own.get(&fingerprint).and_then(|own| own.last_crash);
        seen.is_some_and(|at| now < at + ISOLATION_RETRY)
    }

    /// The number of first passes of a request that were given up and may still crash their
    /// targets.
    fn pending_passes(&self, fingerprint: u64, now: Duration) -> u32 {
        let given_up = self.given_up.iter();
        let pending =
            given_up.filter(|(other, _, expires)| *other == fingerprint && now < *expires);
        pending.count() as u32
    }

    /// Whether a peer runs a request with this fingerprint now.
    fn runs_on_peer(&self, fingerprint: u64) -> bool {
        let mut reported = self.peers.values().flatten();
        reported.any(|suspect| suspect.fingerprint == fingerprint && suspect.running)
    }

    /// Clears a request that has finished without a crash.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.own.remove(&fingerprint);
    }

    /// Takes in the suspects of a peer's heartbeat. Quarantines are stored as this entry's own,
    /// too, so that they outlive the peer.
    pub(crate) fn apply_heartbeat(&mut self, from: &str, suspects: &[Suspect], now: Duration) {
        self.released
            .retain(|_, at| now < *at + RELEASE_PROPAGATION);
        let mut suspects = suspects.to_vec();
        suspects.retain(|suspect| !self.released.contains_key(&suspect.fingerprint));
        self.peers.insert(from.to_owned(), suspects.clone());
        for suspect in suspects {
            if self.crashes(suspect.fingerprint) >= QUARANTINE_CRASHES {
                let own = self.own.entry(suspect.fingerprint).or_default();
                own.crashes = own.crashes.max(QUARANTINE_CRASHES);
                own.expires = own.expires.max(Duration::from_millis(suspect.expires_ms));
            }
        }
    }
}

impl Core {
    /// Refuses a request that is quarantined, or that is a suspect and runs at a peer.
    pub(crate) fn check_suspect(&self, fingerprint: u64) -> Result<(), Refusal> {
        if self.suspects.crashes(fingerprint) >= QUARANTINE_CRASHES {
            let detail = "requests like this one have crashed targets";
            return Err(Refusal::not_run(Code::Quarantined, detail));
        }
        if self.suspects.crashes(fingerprint) > 0 && self.suspects.runs_on_peer(fingerprint) {
            let detail = "a request like this one is tried apart from others now";
            return Err(
                Refusal::not_run(Code::Quarantined, detail).with_retry_after(ISOLATION_RETRY * 50)
            );
        }
        Ok(())
    }

    /// Whether a request has to wait for isolation; if so, a timer for the next try is set.
    ///
    /// It waits while its given-up passes could bring its crashes to the quarantine limit. A
    /// suspect also waits just after a crash, while a request with the same fingerprint runs, and
    /// while another suspect uses one of `targets`.
    ///
    /// Linear in the requests in flight for suspects, in the recently given-up passes for others.
    pub(crate) fn defer_suspect(&mut self, id: RequestId, targets: &[Index]) -> bool {
        let Some(fingerprint) = self
            .requests
            .get(&id)
            .map(|request| request.head.fingerprint)
        else {
            return false;
        };
        let now = self.now.mono;
        let crashes = self.suspects.crashes(fingerprint);
        let pending_passes = self.suspects.pending_passes(fingerprint, now);
        if crashes == 0 && pending_passes < QUARANTINE_CRASHES {
            return false;
        }
        let unsettled = crashes + pending_passes >= QUARANTINE_CRASHES
            || self.suspects.is_crash_recent(fingerprint, now);
        let must_wait = unsettled
            || self.requests.values().any(|other| {
                let Some(attempt) = attempt_of(other) else {
                    return false;
                };
                let other_fingerprint = other.head.fingerprint;
                let shares = targets
                    .iter()
                    .any(|target| attempt.path().contains(*target));
                other_fingerprint == fingerprint
                    || (shares && self.suspects.crashes(other_fingerprint) > 0)
            });
        if must_wait {
            self.timers
                .set(now + ISOLATION_RETRY, Timer::RetrySuspect(id));
        }
        must_wait
    }

    /// Queues a suspect again that had to wait for isolation.
    pub(crate) fn retry_suspect(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|request| attempt_of(request).is_none())
        {
            self.queue_again(id);
        }
    }

    /// Counts a crash for every request whose first pass an engine computed when its connection was
    /// lost, unless the engine had announced that it was leaving.
    ///
    /// A network failure counts at most one crash for a request, since a request computes on one
    /// target at a time; that count is undone when the target returns with the same incarnation.
    pub(crate) fn count_crash(&mut self, index: Index) {
        let target = self.targets.get(index);
        let Link::Up { incarnation, .. } = target.link else {
            return;
        };
        if target.leaving.is_leaving() {
            return;
        }
        let now = self.now.mono;
        let running = self
            .requests
            .values()
            .filter(|request| computes_first_pass(request, index));
        let running = running.map(|request| request.head.fingerprint);
        let given_up = self.suspects.given_up.iter();
        let given_up = given_up.filter(|(_, target, expires)| *target == index && now < *expires);
        let given_up = given_up.map(|(fingerprint, ..)| *fingerprint);
        let suspects: BTreeSet<u64> = running.chain(given_up).collect();
        // The given-up passes have ended with the engine.
        self.suspects
            .given_up
            .retain(|(_, target, _)| *target != index);
        for fingerprint in &suspects {
            let own = self.suspects.own.entry(*fingerprint).or_default();
            own.crashes += 1;
            own.expires = self.now.wall + SUSPICION_TTL;
            own.last_crash = Some(now);
            if self.suspects.crashes(*fingerprint) >= QUARANTINE_CRASHES {
                let record = records::Record {
                    format: records::FORMAT,
                    fingerprint: *fingerprint,
                    body: records::Body::Quarantine,
                };
                let bytes = codec::encode(&record);
                self.append(records::STREAM.to_owned(), bytes, false);
            }
        }
        if !suspects.is_empty() {
            // The heartbeat that reports the crash is due at once.
            self.next_heartbeat = now;
        }
        let loss = Loss {
            incarnation,
            suspects,
        };
        self.suspects.losses.insert(index, loss);
    }

    /// Remembers the first pass of an attempt that is given up, since it may still crash the target
    /// that computes it.
    pub(crate) fn record_given_up_pass(&mut self, fingerprint: u64, attempt: &AnyAttempt) {
        let AnyAttempt::Running(running) = attempt else {
            return;
        };
        let target = running.hop().target;
        let linked = matches!(self.targets.get(target).link, Link::Up { .. });
        if !linked || !is_first_pass(attempt) {
            return;
        }
        let now = self.now.mono;
        let given_up = &mut self.suspects.given_up;
        given_up.retain(|(.., expires)| now < *expires);
        given_up.push((fingerprint, target, now + GIVEN_UP_CRASH_WINDOW));
    }

    /// Undoes the counted crashes when an engine returns with the same incarnation: then only
    /// its connection had been lost.
    pub(crate) fn undo_crash(&mut self, index: Index, incarnation: Incarnation) {
        let Some(loss) = self.suspects.losses.remove(&index) else {
            return;
        };
        if loss.incarnation != incarnation {
            return;
        }
        for fingerprint in loss.suspects {
            if let Some(own) = self.suspects.own.get_mut(&fingerprint) {
                own.crashes = own.crashes.saturating_sub(1);
            }
        }
    }

    /// Applies a page of the stream of quarantines and releases.
    pub(crate) fn apply_suspect_page(&mut self, page: &Page) {
        for stored in &page.records {
            let time = Duration::from_millis(stored.time_ms);
            match codec::decode::<records::Record>(&stored.body) {
                Ok(record) if record.format <= records::FORMAT => self.apply_record(&record, time),
                Ok(_) | Err(_) => {}
            }
        }
    }

    fn apply_record(&mut self, record: &records::Record, time: Duration) {
        let now = self.now.mono;
        let (table, fingerprint) = (&mut self.suspects, record.fingerprint);
        match record.body {
            records::Body::Quarantine if self.now.wall < time + SUSPICION_TTL => {
                let own = table.own.entry(fingerprint).or_default();
                own.crashes = own.crashes.max(QUARANTINE_CRASHES);
                own.expires = own.expires.max(time + SUSPICION_TTL);
            }
            records::Body::Quarantine => {}
            records::Body::Release { .. } => {
                table.own.remove(&fingerprint);
                for suspects in table.peers.values_mut() {
                    suspects.retain(|suspect| suspect.fingerprint != fingerprint);
                }
                table.released.insert(fingerprint, now);
            }
        }
    }

    /// The suspects that a heartbeat reports to peers.
    pub(crate) fn suspect_digest(&mut self) -> Vec<Suspect> {
        let now = self.now.wall;
        self.suspects
            .own
            .retain(|_, own| own.crashes > 0 && now < own.expires);
        let running: BTreeSet<u64> = self
            .requests
            .values()
            .filter(|request| attempt_of(request).is_some())
            .map(|request| request.head.fingerprint)
            .collect();
        let report = |(fingerprint, own): (&u64, &Record)| Suspect {
            fingerprint: *fingerprint,
            crashes: own.crashes,
            running: running.contains(fingerprint),
            expires_ms: own.expires.as_millis() as u64,
        };
        self.suspects.own.iter().map(report).collect()
    }
}

fn attempt_of(request: &Request) -> Option<&AnyAttempt> {
    match &request.body {
        Body::Stream(stream) => stream.attempt.as_ref(),
        Body::Plain(_) | Body::NeverRepeat(_) => None,
    }
}

/// Whether a target computes the first pass of a request's attempt now.
fn computes_first_pass(request: &Request, target: Index) -> bool {
    match attempt_of(request) {
        Some(attempt @ AnyAttempt::Running(running)) => {
            running.hop().target == target && is_first_pass(attempt)
        }
        Some(AnyAttempt::Opening(_)) | None => false,
    }
}

/// Whether an attempt has not passed through all hops of its path once.
fn is_first_pass(attempt: &AnyAttempt) -> bool {
    attempt.sequence() as usize <= attempt.path().hops().len()
}
