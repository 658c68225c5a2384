//! The status of an entry for operators.

use {
    crate::{
        claim::Unresolved,
        clock::Now,
        core::{Core, LOG_UNREACHABLE_AFTER},
        member::{self, Liveness, Peer},
        target::{Link, Target},
    },
    camphorweir_config::model::{Priority, Serves},
    camphorweir_wire::{
        ids::EntryId,
        status::{
            self, Claim, Configuration, Member, MemberState, Quarantined, Queue, Status,
            TargetState,
        },
    },
    std::time::Duration,
    uuid::Uuid,
};

impl Core {
    /// The status of the entry; linear in the targets, members and open claims.
    pub fn status(&self, now: Now) -> Status {
        let open = self.unresolved();
        let unresolved = open
            .iter()
            .filter(|open| self.why_unknown(open, now).is_some());
        Status {
            entry: self.setup.entry.clone(),
            zone: self.setup.zone.clone(),
            incarnation: format!("{:016x}", self.setup.incarnation),
            uptime_ms: millis(now.mono),
            stopping: self.stopping_since.is_some(),
            configuration: self.configuration(),
            log: self.log(now),
            members: self
                .members
                .iter()
                .map(|(id, peer)| member(id, peer, now.mono))
                .collect(),
            targets: self.target_states(now),
            queues: Priority::ALL
                .iter()
                .map(|class| Queue {
                    class: *class,
                    waiting: self.queue.len(*class) as u64,
                })
                .collect(),
            in_flight: self.requests.len() as u64,
            unresolved: unresolved.count() as u64,
            open_claims: open.len() as u64,
            quarantined: self.quarantined(),
        }
    }

    /// Every key whose outcome is unknown, as far as the log has been read.
    pub fn unknown_claims(&self, now: Now) -> Vec<Claim> {
        let open = self.unresolved();
        let describe = |open: &Unresolved| {
            let why = self.why_unknown(open, now)?;
            Some(Claim {
                key: Uuid::from_u128(open.key.id).to_string(),
                workspace: open.key.workspace.clone(),
                owner: open.start.owner.entry.clone(),
                claimed_ms: millis(open.start.appended_at),
                why: why.to_owned(),
            })
        };
        open.iter().filter_map(describe).collect()
    }

    /// Why the outcome of a claim is unknown; `None` while its owner may still record it.
    fn why_unknown(&self, open: &Unresolved, now: Now) -> Option<&'static str> {
        if open.start.unknown {
            return Some("the target failed without saying whether it ran, or its entry is gone");
        }
        let owner = &open.start.owner;
        if owner.entry == self.setup.entry {
            let gone = owner.incarnation != self.setup.incarnation;
            return gone.then_some("the entry that ran it was restarted");
        }
        match self.members.owner_liveness(owner, now.mono) {
            Liveness::Gone => Some("the entry that ran it is gone"),
            Liveness::Alive | Liveness::Unreachable => None,
        }
    }

    fn quarantined(&self) -> Vec<Quarantined> {
        let quarantined = self.suspects.quarantined();
        let shown = quarantined
            .into_iter()
            .map(|(fingerprint, crashes)| Quarantined {
                fingerprint: format!("{fingerprint:016x}"),
                crashes,
            });
        shown.collect()
    }

    fn configuration(&self) -> Configuration {
        Configuration {
            version: self.version(),
            stopped_at_format: self.fold.unknown_format(),
        }
    }

    fn log(&self, now: Now) -> status::Log {
        let reachable = self.partitions.iter().all(|partition| {
            let read_recently = partition
                .last_read
                .is_some_and(|at| now.mono < at + LOG_UNREACHABLE_AFTER);
            partition.ready && read_recently
        });
        status::Log {
            reachable,
            waiting: self.outbox.unconfirmed().count() as u64,
        }
    }

    fn target_states(&self, now: Now) -> Vec<status::Target> {
        let document = self.fold.document();
        let mut targets: Vec<_> = self
            .targets
            .iter()
            .filter(|target| target.in_flight > 0 || document.targets.contains_key(&target.id))
            .map(|target| {
                let drained = document.targets.get(&target.id).map(|target| target.drain);
                target_state(target, drained, now.mono)
            })
            .collect();
        targets.sort_by(|a, b| a.target.cmp(&b.target));
        targets
    }
}

fn member(id: &EntryId, peer: &Peer, now: Duration) -> Member {
    let reachable = peer
        .last_contact
        .is_some_and(|at| now < at + member::UNREACHABLE_AFTER);
    let state = match (reachable, peer.leaving.is_leaving()) {
        (_, true) => MemberState::Leaving,
        (true, false) => MemberState::Live,
        (false, false) => MemberState::Silent,
    };
    Member {
        entry: id.clone(),
        zone: peer.digest.zone.clone(),
        address: peer.address.clone(),
        state,
        age_ms: peer.last_contact.map(|at| millis(now.saturating_sub(at))),
        version: peer.digest.version,
    }
}

fn target_state(target: &Target, drained: Option<bool>, now: Duration) -> status::Target {
    let (state, why) = classify(target, drained, now);
    status::Target {
        target: target.id.clone(),
        zone: target.zone.clone(),
        address: target.address.clone(),
        serves: match &target.serves {
            Serves::Service(service) => service.clone(),
            Serves::Layers(engine) => format!("{} {}..{}", engine.model, engine.first, engine.end),
        },
        state,
        why,
        open: target.in_flight,
    }
}

/// The state of a target and the reason; decisions of operators take precedence over events.
fn classify(target: &Target, drained: Option<bool>, now: Duration) -> (TargetState, String) {
    match drained {
        None => return (TargetState::Removed, String::new()),
        Some(true) => return (TargetState::Drained, String::new()),
        Some(false) => {}
    }
    if target.leaving.is_leaving() {
        let why = match target.leaving.incarnation() {
            Some(_) => "it says so itself, or a peer heard it",
            None => "the platform's list says so or lacks it",
        };
        return (TargetState::Leaving, why.to_owned());
    }
    if matches!(target.serves, Serves::Layers(_)) {
        match target.link {
            Link::Down => return (TargetState::Down, "there is no connection to it".to_owned()),
            Link::Up { loading: true, .. } => return (TargetState::Loading, String::new()),
            Link::Up { .. } => {}
        }
    }
    if !target.health.is_available(now) {
        let wait = millis(target.health.available_in(now));
        let why = format!("earlier work on it failed; it is tried again in {wait} ms");
        return (TargetState::Ejected, why);
    }
    let share = target.health.share(now);
    if share < 1.0 {
        let why = format!("it came {:.0}% of its way to a full share", share * 100.0);
        return (TargetState::SlowStart, why);
    }
    (TargetState::Usable, String::new())
}

/// A time in whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
