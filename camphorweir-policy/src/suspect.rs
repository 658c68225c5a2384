//! Requests that were in flight on targets that crashed: tried apart, and quarantined at the second
//! crash.
//!
//! A request is suspected by its fingerprint when a target is lost while it computes the request's
//! first pass. Suspects run on targets that no other suspect uses, so that a second crash has one
//! cause; one that finishes is cleared.

use {
    crate::{
        attempt::Any,
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

/// Crashes at which a request is quarantined.
const LIMIT: u32 = 2;
/// Time after its last crash in which a request stays under suspicion or in quarantine.
const REMEMBER: Duration = Duration::from_secs(3600);
/// Time after a release in which peers may not have read it.
const OLD_NEWS: Duration = Duration::from_secs(10);
/// Time in which a step may crash its target after its attempt was given up for another cause.
const AFTERMATH: Duration = Duration::from_secs(1);
/// Time between two tries to start a suspect apart from the others, the first of them after a crash:
/// peers that run its like tell of their crashes in it, several times the way between zones.
const APART: Duration = Duration::from_millis(20);

/// Crashes with one request in flight.
#[derive(Debug, Default)]
struct Record {
    crashes: u32,
    /// When it is forgotten, since the Unix epoch.
    until: Duration,
    /// Last crash that this entry saw, by the monotonic clock.
    seen: Option<Duration>,
}

/// A target whose connection was lost.
#[derive(Debug)]
struct Loss {
    incarnation: Incarnation,
    suspects: BTreeSet<u64>,
}

/// All requests under suspicion.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// By this entry's own sight, and quarantines learnt from peers.
    own: BTreeMap<u64, Record>,
    peers: HashMap<EntryId, Vec<Suspect>>,
    /// The last loss of each target, taken back when the same life of it returns.
    losses: HashMap<Index, Loss>,
    /// First passes that were given up while a target computed them, until they are forgotten.
    given_up: Vec<(u64, Index, Duration)>,
    /// When operators released a request; what peers say just after is old.
    released: HashMap<u64, Duration>,
}

impl Table {
    fn crashes(&self, fingerprint: u64) -> u32 {
        let own = self.own.get(&fingerprint).map_or(0, |own| own.crashes);
        let told = self.peers.values().flatten();
        let told = told.filter(|told| told.fingerprint == fingerprint);
        told.fold(own, |sum, told| sum.saturating_add(told.crashes))
    }

    /// The requests in quarantine and the crashes counted for each, by fingerprint.
    pub(crate) fn quarantined(&self) -> BTreeMap<u64, u32> {
        let told = self.peers.values().flatten().map(|told| told.fingerprint);
        let all = self.own.keys().copied().chain(told);
        let counted = all.map(|fingerprint| (fingerprint, self.crashes(fingerprint)));
        counted.filter(|(_, crashes)| *crashes >= LIMIT).collect()
    }

    /// Whether peers may have seen a crash at the same time as this entry and not told of it yet.
    fn fresh(&self, fingerprint: u64, now: Duration) -> bool {
        let seen = self.own.get(&fingerprint).and_then(|own| own.seen);
        seen.is_some_and(|at| now < at + APART)
    }

    /// First passes of a request that were given up and may yet crash their targets.
    fn pending(&self, fingerprint: u64, now: Duration) -> u32 {
        let given_up = self.given_up.iter();
        let pending = given_up.filter(|(print, _, until)| *print == fingerprint && now < *until);
        pending.count() as u32
    }

    /// Whether a peer runs a suspect now.
    fn runs_elsewhere(&self, fingerprint: u64) -> bool {
        let mut told = self.peers.values().flatten();
        told.any(|told| told.fingerprint == fingerprint && told.running)
    }

    /// A request finished: it crashes nothing.
    pub(crate) fn clear(&mut self, fingerprint: u64) {
        self.own.remove(&fingerprint);
    }

    /// A peer's heartbeat; a quarantine is kept here, too, so that it outlives the peer.
    pub(crate) fn told(&mut self, from: &str, suspects: &[Suspect], now: Duration) {
        self.released.retain(|_, at| now < *at + OLD_NEWS);
        let mut suspects = suspects.to_vec();
        suspects.retain(|told| !self.released.contains_key(&told.fingerprint));
        self.peers.insert(from.to_owned(), suspects.clone());
        for told in suspects {
            if self.crashes(told.fingerprint) >= LIMIT {
                let own = self.own.entry(told.fingerprint).or_default();
                own.crashes = own.crashes.max(LIMIT);
                own.until = own.until.max(Duration::from_millis(told.expires_ms));
            }
        }
    }
}

impl Core {
    /// Whether a request is quarantined, or is under suspicion and runs elsewhere.
    pub(crate) fn check_suspect(&self, fingerprint: u64) -> Result<(), Refusal> {
        if self.suspects.crashes(fingerprint) >= LIMIT {
            let detail = "requests like this one have crashed targets";
            return Err(Refusal::not_run(Code::Quarantined, detail));
        }
        if self.suspects.crashes(fingerprint) > 0 && self.suspects.runs_elsewhere(fingerprint) {
            let detail = "a request like this one is tried apart from others now";
            return Err(Refusal::not_run(Code::Quarantined, detail).with_retry_after(APART * 50));
        }
        Ok(())
    }

    /// Whether a request has to wait: what it has started may yet crash as many targets as it takes
    /// for a quarantine, or it is a suspect and has just crashed a target, its like runs now or
    /// `targets` has another suspect.
    ///
    /// Linear in the requests in flight for suspects, in the passes given up just now for others.
    pub(crate) fn keep_apart(&mut self, id: RequestId, targets: &[Index]) -> bool {
        let Some(fingerprint) = self.requests.get(&id).map(|one| one.head.fingerprint) else {
            return false;
        };
        let now = self.now.mono;
        let crashes = self.suspects.crashes(fingerprint);
        let pending = self.suspects.pending(fingerprint, now);
        if crashes == 0 && pending < LIMIT {
            return false;
        }
        let unsettled = crashes + pending >= LIMIT || self.suspects.fresh(fingerprint, now);
        let clash = unsettled
            || self.requests.values().any(|other| {
                let Some(attempt) = attempt_of(other) else {
                    return false;
                };
                let print = other.head.fingerprint;
                let shares = targets
                    .iter()
                    .any(|target| attempt.path().contains(*target));
                print == fingerprint || (shares && self.suspects.crashes(print) > 0)
            });
        if clash {
            self.timers.set(now + APART, Timer::Apart(id));
        }
        clash
    }

    /// A suspect that had to wait is tried again.
    pub(crate) fn retry_apart(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|one| attempt_of(one).is_none())
        {
            self.queue_again(id);
        }
    }

    /// The connection to an engine was lost without its having said that it leaves.
    ///
    /// A cut costs a request one crash at most, since it computes on one target at a time; that one is
    /// taken back when the same life of the target returns.
    pub(crate) fn crashed(&mut self, index: Index) {
        let target = self.targets.get(index);
        let Link::Up { incarnation, .. } = target.link else {
            return;
        };
        if target.leaving.is_leaving() {
            return;
        }
        let now = self.now.mono;
        let hit = self.requests.values().filter(|one| first_pass(one, index));
        let hit = hit.map(|one| one.head.fingerprint);
        let given_up = self.suspects.given_up.iter();
        let given_up = given_up.filter(|(_, target, until)| *target == index && now < *until);
        let given_up = given_up.map(|(fingerprint, ..)| *fingerprint);
        let suspects: BTreeSet<u64> = hit.chain(given_up).collect();
        // What it was computing has ended with it.
        self.suspects
            .given_up
            .retain(|(_, target, _)| *target != index);
        for fingerprint in &suspects {
            let own = self.suspects.own.entry(*fingerprint).or_default();
            own.crashes += 1;
            own.until = self.now.wall + REMEMBER;
            own.seen = Some(now);
            if self.suspects.crashes(*fingerprint) >= LIMIT {
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
            // Peers are told at once.
            self.heartbeat = now;
        }
        let loss = Loss {
            incarnation,
            suspects,
        };
        self.suspects.losses.insert(index, loss);
    }

    /// An attempt is given up; a target that computes its first pass now may yet crash of it.
    pub(crate) fn remember_pass(&mut self, fingerprint: u64, attempt: &Any) {
        let Any::Running(running) = attempt else {
            return;
        };
        let target = running.hop().target;
        let linked = matches!(self.targets.get(target).link, Link::Up { .. });
        if !linked || !is_first_pass(attempt) {
            return;
        }
        let now = self.now.mono;
        let given_up = &mut self.suspects.given_up;
        given_up.retain(|(.., until)| now < *until);
        given_up.push((fingerprint, target, now + AFTERMATH));
    }

    /// An engine is back; if it is the same life, only its connection had been lost.
    pub(crate) fn returned(&mut self, index: Index, incarnation: Incarnation) {
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

    /// A part of the stream of quarantined requests was read.
    pub(crate) fn page_of_suspects(&mut self, page: &Page) {
        for stored in &page.records {
            let landed = Duration::from_millis(stored.time_ms);
            match codec::decode::<records::Record>(&stored.body) {
                Ok(record) if record.format <= records::FORMAT => self.judged(&record, landed),
                Ok(_) | Err(_) => {}
            }
        }
    }

    fn judged(&mut self, record: &records::Record, landed: Duration) {
        let now = self.now.mono;
        let (table, fingerprint) = (&mut self.suspects, record.fingerprint);
        match record.body {
            records::Body::Quarantine if self.now.wall < landed + REMEMBER => {
                let own = table.own.entry(fingerprint).or_default();
                own.crashes = own.crashes.max(LIMIT);
                own.until = own.until.max(landed + REMEMBER);
            }
            records::Body::Quarantine => {}
            records::Body::Release { .. } => {
                table.own.remove(&fingerprint);
                for told in table.peers.values_mut() {
                    told.retain(|told| told.fingerprint != fingerprint);
                }
                table.released.insert(fingerprint, now);
            }
        }
    }

    /// What peers are told.
    pub(crate) fn suspects(&mut self) -> Vec<Suspect> {
        let now = self.now.wall;
        self.suspects
            .own
            .retain(|_, own| own.crashes > 0 && now < own.until);
        let running: BTreeSet<u64> = self
            .requests
            .values()
            .filter(|one| attempt_of(one).is_some())
            .map(|one| one.head.fingerprint)
            .collect();
        let told = |(fingerprint, own): (&u64, &Record)| Suspect {
            fingerprint: *fingerprint,
            crashes: own.crashes,
            running: running.contains(fingerprint),
            expires_ms: own.until.as_millis() as u64,
        };
        self.suspects.own.iter().map(told).collect()
    }
}

fn attempt_of(request: &Request) -> Option<&Any> {
    match &request.body {
        Body::Stream(stream) => stream.attempt.as_ref(),
        Body::Plain(_) | Body::Once(_) => None,
    }
}

/// Whether the target computes a request's first pass of an attempt now.
fn first_pass(request: &Request, target: Index) -> bool {
    match attempt_of(request) {
        Some(any @ Any::Running(attempt)) => attempt.hop().target == target && is_first_pass(any),
        Some(Any::Opening(_)) | None => false,
    }
}

/// Whether an attempt has not run through all its hops once.
fn is_first_pass(attempt: &Any) -> bool {
    attempt.sequence() as usize <= attempt.path().hops().len()
}
