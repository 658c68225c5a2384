//! Never-repeat calls of plain services: claimed in the log, sent at most once, recorded.
//!
//! A call is sent only while its own start is the first live one of its key, as read back from the
//! log. A start whose owner gives up is made void by its owner, and by nobody else.

use {
    crate::{
        action::{Action, Note},
        admit::RETRY_AFTER,
        call::{Answered, End},
        claim::{Live, Status},
        core::{Core, LOG_SILENCE, Partition},
        event::{self, Exchange},
        member::Fate,
        request::{Body, Head, Once, Stage},
        service::{no_target, too_large},
        target::Index,
        timer::Timer,
    },
    camphorweir_wire::{
        claim::{self, Key, MAX_CLOCK_SKEW, MAX_KEY_AGE, Record, Start},
        code::Code,
        codec,
        ids::{AttemptId, Nonce, RequestId},
        outcome::{Answer, Ran, Refusal},
        peer,
    },
    std::time::Duration,
};

/// Time in which a start must be read back.
const CLAIM_WITHIN: Duration = Duration::from_secs(3);
/// Time between two looks at a start whose owner is elsewhere.
const RECHECK: Duration = Duration::from_millis(250);
/// How long an answer is awaited after the caller's deadline, to record the outcome.
const OUTCOME_WITHIN: Duration = Duration::from_secs(60);
/// Largest body of an answer that is recorded.
pub(crate) const KEPT_BODY: usize = 64 << 10;

impl Core {
    /// A never-repeat call arrived.
    pub(crate) fn arrive_once(&mut self, head: Head, service: &str, idempotency: Option<&str>) {
        let id = head.id;
        let key = match self.check_key(&head, idempotency) {
            Ok(key) => key,
            Err(refusal) => return self.turn_away(id, refusal),
        };
        if let Err(refusal) = self.check_log(&key) {
            return self.turn_away(id, refusal);
        }
        self.keys.entry(key.id).or_default().insert(id);
        let once = Once {
            service: service.to_owned(),
            key,
            stage: Stage::Waiting,
            send_until: Duration::ZERO,
            avoid: Vec::new(),
        };
        self.admit(head, Body::Once(once));
        self.evaluate(id);
    }

    fn check_key(&self, head: &Head, idempotency: Option<&str>) -> Result<Key, Refusal> {
        let Some(text) = idempotency else {
            let detail = "this route needs an `Idempotency-Key`";
            return Err(Refusal::not_run(Code::KeyMissing, detail));
        };
        let parsed = uuid::Uuid::try_parse(text.trim()).ok();
        let Some(uuid) = parsed.filter(|uuid| uuid.get_version_num() == 7) else {
            let detail = "the `Idempotency-Key` is not a UUIDv7";
            return Err(Refusal::not_run(Code::KeyMalformed, detail));
        };
        let key = Key {
            workspace: head.workspace.clone(),
            id: uuid.as_u128(),
        };
        let issued = key.issued_at();
        if self.now.wall > issued + MAX_KEY_AGE || self.now.wall + MAX_CLOCK_SKEW < issued {
            let detail = "the key was issued outside the window in which keys are remembered";
            return Err(Refusal::not_run(Code::KeyExpired, detail));
        }
        Ok(key)
    }

    /// Whether the log can be written and read, as far as this entry knows.
    fn check_log(&self, key: &Key) -> Result<(), Refusal> {
        let partition = self.partition(key);
        if let Some(format) = partition.table.stopped() {
            let detail = format!("the claim stream holds a record of format {format}");
            return Err(Refusal::not_run(Code::UnknownFormat, &detail));
        }
        let now = self.now.mono;
        let heard = partition.heard.is_some_and(|at| now < at + LOG_SILENCE);
        let stream = claim::stream_name(key.partition());
        if !partition.ready || !heard || self.outbox.is_blocked(&stream, now) {
            let detail = "the log service can't be reached";
            return Err(
                Refusal::not_run(Code::LogUnavailable, detail).with_retry_after(RETRY_AFTER)
            );
        }
        Ok(())
    }

    fn partition(&self, key: &Key) -> &Partition {
        &self.partitions[key.partition() as usize]
    }

    fn once_mut(&mut self, id: RequestId) -> Option<&mut Once> {
        match &mut self.requests.get_mut(&id)?.body {
            Body::Once(once) => Some(once),
            Body::Stream(_) | Body::Plain(_) => None,
        }
    }

    /// Looks at what the log says about a request's key and acts on it.
    pub(crate) fn evaluate(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Body::Once(once) = &request.body else {
            return;
        };
        if matches!(once.stage, Stage::Sent { .. }) {
            return;
        }
        let (key, print) = (once.key.clone(), request.head.fingerprint);
        let table = &self.partition(&key).table;
        let foreign = table
            .fingerprint(key.id)
            .is_some_and(|first| first != print);
        match table.status(key.id) {
            Status::Free => self.claim(id),
            _ if foreign => self.reject(id, Code::KeyReused, "the key belongs to another request"),
            Status::Done(answer) => {
                let answer = answer.clone();
                self.replay(id, answer);
            }
            Status::Resolved { ran: true } => {
                self.settled(
                    id,
                    Code::ResolvedRan,
                    Ran::Yes,
                    "it ran; its answer is not kept",
                );
            }
            Status::Resolved { ran: false } => {
                self.settled(
                    id,
                    Code::ResolvedNotRun,
                    Ran::No,
                    "operators settled that it did not run",
                );
            }
            Status::Started(live) => {
                let live = live.clone();
                self.started(id, &key, &live);
            }
        }
    }

    /// Nobody has a live start: this entry appends one, unless it has done so.
    fn claim(&mut self, id: RequestId) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        if !matches!(once.stage, Stage::Waiting) {
            return;
        }
        let key = once.key.clone();
        if let Err(refusal) = self.check_log(&key) {
            return self.refuse(id, refusal);
        }
        let nonce = self.draw();
        let print = self
            .requests
            .get(&id)
            .map_or(0, |request| request.head.fingerprint);
        let start = Start {
            owner: self.owner(),
            fingerprint: print,
        };
        let send_until = self.now.mono + CLAIM_WITHIN;
        if let Some(once) = self.once_mut(id) {
            once.stage = Stage::Claiming(nonce);
            once.send_until = send_until;
        }
        self.record(&key, nonce, claim::Body::Start(start), false);
        let timer = Timer::Claim(id);
        self.timers.set(send_until, timer);
    }

    fn record(&mut self, key: &Key, nonce: Nonce, body: claim::Body, keep: bool) {
        let record = Record {
            format: claim::FORMAT,
            key: key.clone(),
            nonce,
            body,
        };
        self.append(
            claim::stream_name(key.partition()),
            codec::encode(&record),
            keep,
        );
    }

    /// The key has a first live start: this request's own, or another's.
    fn started(&mut self, id: RequestId, key: &Key, live: &Live) {
        let now = self.now.mono;
        let Some(once) = self.once_mut(id) else {
            return;
        };
        match once.stage {
            Stage::Claiming(_) if now >= once.send_until => return self.claim_late(id),
            Stage::Claiming(nonce) if nonce == live.nonce => return self.send_once(id, nonce),
            Stage::Claiming(nonce) => {
                once.stage = Stage::Waiting;
                self.record(key, nonce, claim::Body::Void, true);
            }
            Stage::Waiting | Stage::Sent { .. } => {}
        }
        self.wait_for(id, key, live);
    }

    /// Another's start stands first: its owner decides how long it is worth waiting.
    fn wait_for(&mut self, id: RequestId, key: &Key, live: &Live) {
        if live.unknown {
            return self.unknown(id, "the request may have run");
        }
        let fate = if live.owner == self.owner() {
            Fate::Alive
        } else if live.owner.entry == self.setup.entry {
            Fate::Gone
        } else {
            self.members.fate(&live.owner, self.now.mono)
        };
        match fate {
            Fate::Alive => {
                self.ask(key, live);
                let timer = Timer::Recheck(id);
                self.timers.set(self.now.mono + RECHECK, timer);
            }
            Fate::Gone => {
                self.record(key, live.nonce, claim::Body::Unknown, true);
                self.unknown(id, "the entry that ran the request is gone");
            }
            Fate::Silent => self.in_progress(id),
        }
    }

    /// Asks the owner of a start, whose answer shows whether it is still the same life.
    fn ask(&mut self, key: &Key, live: &Live) {
        if live.owner != self.owner() {
            let body = peer::Body::StartQuery(key.clone(), live.nonce);
            self.write(&live.owner.entry, body);
        }
    }

    fn in_progress(&mut self, id: RequestId) {
        let detail = "the request is claimed by an entry that does not answer now";
        let mut refusal = Refusal::not_run(Code::InProgress, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.refuse(id, refusal);
    }

    /// The answer that was recorded for the same request.
    fn replay(&mut self, id: RequestId, answer: Answer) {
        self.withdraw(id);
        let answered = Answered {
            answer,
            replayed: true,
        };
        self.answer(id, answered);
    }

    fn settled(&mut self, id: RequestId, code: Code, ran: Ran, detail: &str) {
        self.withdraw(id);
        let mut refusal = Refusal::not_run(code, detail);
        refusal.ran = ran;
        self.refuse(id, refusal);
    }

    /// Refuses a request that was not sent; a start that it may have is made void.
    fn reject(&mut self, id: RequestId, code: Code, detail: &str) {
        self.withdraw(id);
        self.refuse(id, Refusal::not_run(code, detail));
    }

    /// Makes a start void that is appended and not sent.
    fn withdraw(&mut self, id: RequestId) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        if let Stage::Claiming(nonce) = once.stage {
            once.stage = Stage::Waiting;
            let key = once.key.clone();
            self.record(&key, nonce, claim::Body::Void, true);
        }
    }

    /// Sends a request whose start is the first live one.
    fn send_once(&mut self, id: RequestId, nonce: Nonce) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        let (service, avoid, key) = (once.service.clone(), once.avoid.clone(), once.key.clone());
        let Some(target) = self.choose_server(&service, &avoid) else {
            self.record(&key, nonce, claim::Body::Void, true);
            return self.finish_once(id, Some(no_target()));
        };
        let now = self.now.mono;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.head.next_attempt(now);
        let until = request.head.deadline + OUTCOME_WITHIN;
        if let Body::Once(once) = &mut request.body {
            once.stage = Stage::Sent {
                nonce,
                attempt: (attempt, target),
                answered: false,
            };
        }
        self.forward(id, attempt, target, until);
    }

    /// The exchange of a never-repeat call ended.
    pub(crate) fn exchanged_once(&mut self, id: RequestId, attempt: AttemptId, end: Exchange) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        let Stage::Sent {
            nonce,
            attempt: (current, target),
            answered,
        } = once.stage
        else {
            return;
        };
        if current != attempt {
            return;
        }
        self.close(target);
        match end {
            Exchange::Answered(ok) => {
                self.record_answer(target, &ok);
                self.answered_once(id, nonce, target, answered, ok);
            }
            Exchange::TooLarge(head) => {
                self.record_answer(target, &head);
                self.too_large_once(id, nonce, target, answered, &head);
            }
            Exchange::Unsent => {
                self.eject(target, "no connection");
                self.unsent(id, nonce, target, answered);
            }
            Exchange::Broken => {
                self.eject(target, "the connection broke");
                self.broken(id, nonce, "the connection broke after the request was sent");
            }
        }
    }

    fn answered_once(
        &mut self,
        id: RequestId,
        nonce: Nonce,
        target: Index,
        answered: bool,
        end: event::Answered,
    ) {
        if end.not_run {
            return self.unsent(id, nonce, target, answered);
        }
        if end.answer.status >= 500 {
            return self.broken(id, nonce, "the target failed without saying whether it ran");
        }
        let Some(once) = self.once_mut(id) else {
            return;
        };
        let key = once.key.clone();
        let body = match end.answer.body.len() {
            0..=KEPT_BODY => claim::Body::Done(end.answer.clone()),
            _ => claim::Body::Ran,
        };
        self.record(&key, nonce, body, true);
        let answer = Answered {
            answer: end.answer,
            replayed: false,
        };
        if answered {
            return self.drop_request(id);
        }
        self.answer(id, answer);
    }

    /// The target answered, and the answer is too large to pass on: that it ran is recorded.
    fn too_large_once(
        &mut self,
        id: RequestId,
        nonce: Nonce,
        target: Index,
        answered: bool,
        head: &event::Answered,
    ) {
        if head.not_run {
            return self.unsent(id, nonce, target, answered);
        }
        if head.answer.status >= 500 {
            return self.broken(id, nonce, "the target failed without saying whether it ran");
        }
        let Some(once) = self.once_mut(id) else {
            return;
        };
        let key = once.key.clone();
        self.record(&key, nonce, claim::Body::Ran, true);
        self.finish_once(id, Some(too_large()));
    }

    /// The request provably did not run: another target is tried while there is time.
    fn unsent(&mut self, id: RequestId, nonce: Nonce, target: Index, answered: bool) {
        let now = self.now.mono;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_time = now < request.head.deadline && !answered;
        let Body::Once(once) = &mut request.body else {
            return;
        };
        let in_time = in_time && now < once.send_until;
        once.avoid.push(target);
        let key = once.key.clone();
        let still_first = match self.partition(&key).table.status(key.id) {
            Status::Started(live) => live.nonce == nonce,
            _ => false,
        };
        if in_time && still_first {
            return self.send_once(id, nonce);
        }
        self.record(&key, nonce, claim::Body::Void, true);
        let refusal = Refusal::not_run(Code::TargetRefused, "no target took the request");
        self.finish_once(id, Some(refusal.with_retry_after(RETRY_AFTER)));
    }

    /// The request may have run; nobody sends it again.
    fn broken(&mut self, id: RequestId, nonce: Nonce, detail: &'static str) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        let key = once.key.clone();
        self.record(&key, nonce, claim::Body::Unknown, true);
        self.out
            .push(Action::Note(Note::Unusual("unresolved", detail.to_owned())));
        let mut refusal =
            Refusal::not_run(Code::OutcomeUnknown, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.finish_once(id, Some(refusal));
    }

    fn unknown(&mut self, id: RequestId, detail: &str) {
        let mut refusal =
            Refusal::not_run(Code::OutcomeUnknown, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.refuse(id, refusal);
    }

    /// Ends a call that was sent; a caller who has been answered is not answered again.
    fn finish_once(&mut self, id: RequestId, refusal: Option<Refusal>) {
        let answered = match self.once_mut(id).map(|once| &once.stage) {
            Some(Stage::Sent { answered, .. }) => *answered,
            _ => false,
        };
        match refusal {
            Some(refusal) if !answered => self.refuse(id, refusal),
            _ => self.drop_request(id),
        }
    }

    /// Forgets a request whose caller has been answered.
    fn drop_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.release(request);
        }
    }

    pub(crate) fn forget_key(&mut self, key: u128, id: RequestId) {
        if let Some(ids) = self.keys.get_mut(&key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.keys.remove(&key);
            }
        }
    }

    /// The caller went away: a request that was sent goes on, and its outcome is recorded.
    pub(crate) fn hang_up_once(&mut self, id: RequestId) {
        self.part(
            id,
            Refusal::not_run(Code::CallerGone, "the caller went away"),
        );
    }

    /// The deadline passed: the caller is answered at once with what is known.
    pub(crate) fn deadline_once(&mut self, id: RequestId) {
        let refusal = Refusal::not_run(Code::DeadlinePassed, "the deadline passed");
        self.part(id, refusal.with_retry_after(RETRY_AFTER));
    }

    /// Answers the caller before the end; only a request that was sent goes on.
    fn part(&mut self, id: RequestId, mut refusal: Refusal) {
        let Some(once) = self.once_mut(id) else {
            return;
        };
        match &mut once.stage {
            Stage::Sent { answered, .. } => {
                if !std::mem::replace(answered, true) {
                    refusal.ran = Ran::Unknown;
                    self.reply_early(id, refusal);
                }
            }
            Stage::Claiming(_) => {
                self.withdraw(id);
                self.refuse(id, refusal);
            }
            Stage::Waiting => {
                refusal.ran = Ran::Unknown;
                self.refuse(id, refusal);
            }
        }
    }

    /// Answers the caller while the request stays.
    fn reply_early(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(request) = self.requests.get(&id) {
            let ended = request.head.ended(Some(refusal.code), self.now.mono);
            self.out.push(Action::Note(Note::Ended(ended)));
            self.out.push(Action::Reply(id, End::Refused(refusal)));
        }
    }

    /// A start has not been read back in time: it is given up and made void.
    pub(crate) fn claim_late(&mut self, id: RequestId) {
        let claiming = matches!(
            self.once_mut(id).map(|once| &once.stage),
            Some(Stage::Claiming(_))
        );
        if claiming {
            self.withdraw(id);
            let refusal = Refusal::not_run(Code::ClaimTimeout, "the claim was not read back");
            self.refuse(id, refusal.with_retry_after(RETRY_AFTER));
        }
    }
}
