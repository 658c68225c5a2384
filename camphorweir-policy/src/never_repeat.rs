//! Never-repeat calls of plain services: claimed in the log, sent at most once, recorded.
//!
//! An entry appends a start record to claim the call's key, and sends the call only while that
//! start is the first live one of the key, as read back from the log. Only the entry that appended
//! a start makes it void, when it gives the call up.

use {
    crate::{
        action::{Action, Note},
        admit::RETRY_AFTER,
        call::{Answered, End},
        claim::{LiveStart, Status},
        core::{Core, LOG_UNREACHABLE_AFTER, Partition},
        event::{self, Exchange},
        member::Liveness,
        request::{Body, Head, NeverRepeat, Stage},
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

/// Time within which an appended start must be read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which the key of a call that waits for another start is evaluated again.
const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a call waits for word of an owner that has not been heard of. After a pause of this process the
/// heartbeats and records that arrived meanwhile are still to be read.
const OWNER_PATIENCE: Duration = Duration::from_secs(1);
/// How long after the caller's deadline an answer is still awaited, to record the outcome.
const OUTCOME_GRACE: Duration = Duration::from_secs(60);
/// Largest answer body that is recorded, in bytes.
pub(crate) const MAX_RECORDED_BODY: usize = 64 << 10;

impl Core {
    /// Admits a never-repeat call.
    pub(crate) fn handle_never_repeat_request(
        &mut self,
        head: Head,
        service: &str,
        idempotency: Option<&str>,
    ) {
        let id = head.id;
        let key = match self.check_key(&head, idempotency) {
            Ok(key) => key,
            Err(refusal) => return self.refuse_unadmitted(id, refusal),
        };
        if let Err(refusal) = self.check_log(&key) {
            return self.refuse_unadmitted(id, refusal);
        }
        self.requests_by_key.entry(key.id).or_default().insert(id);
        let call = NeverRepeat {
            service: service.to_owned(),
            key,
            stage: Stage::Waiting,
            send_until: Duration::ZERO,
            avoid: Vec::new(),
        };
        self.admit(head, Body::NeverRepeat(call));
        self.evaluate_key(id);
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
        let read_recently = partition
            .last_read
            .is_some_and(|at| now < at + LOG_UNREACHABLE_AFTER);
        let stream = claim::stream_name(key.partition());
        if !partition.ready || !read_recently || self.outbox.is_blocked(&stream, now) {
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

    fn never_repeat_mut(&mut self, id: RequestId) -> Option<&mut NeverRepeat> {
        match &mut self.requests.get_mut(&id)?.body {
            Body::NeverRepeat(call) => Some(call),
            Body::Stream(_) | Body::Plain(_) => None,
        }
    }

    /// Acts on what the log says about a request's key.
    pub(crate) fn evaluate_key(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Body::NeverRepeat(call) = &request.body else {
            return;
        };
        if matches!(call.stage, Stage::Sent { .. }) {
            return;
        }
        let (key, fingerprint) = (call.key.clone(), request.head.fingerprint);
        let table = &self.partition(&key).table;
        let reused = table
            .fingerprint(key.id)
            .is_some_and(|stored| stored != fingerprint);
        match table.status(key.id) {
            Status::Free => self.claim(id),
            _ if reused => self.reject(id, Code::KeyReused, "the key belongs to another request"),
            Status::Done(answer) => {
                let answer = answer.clone();
                self.replay(id, answer);
            }
            Status::Resolved { ran: true } => {
                self.refuse_resolved(
                    id,
                    Code::ResolvedRan,
                    Ran::Yes,
                    "it ran; its answer is not kept",
                );
            }
            Status::Resolved { ran: false } => {
                self.refuse_resolved(
                    id,
                    Code::ResolvedNotRun,
                    Ran::No,
                    "operators settled that it did not run",
                );
            }
            Status::Started(start) => {
                let start = start.clone();
                self.handle_live_start(id, &key, &start);
            }
        }
    }

    /// Appends a start for a key without a live one, unless this request has done so already.
    fn claim(&mut self, id: RequestId) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        if !matches!(call.stage, Stage::Waiting) {
            return;
        }
        let key = call.key.clone();
        if let Err(refusal) = self.check_log(&key) {
            return self.refuse(id, refusal);
        }
        let nonce = self.random_nonce();
        let fingerprint = self
            .requests
            .get(&id)
            .map_or(0, |request| request.head.fingerprint);
        let start = Start {
            owner: self.owner(),
            fingerprint,
        };
        let send_until = self.now.mono + CLAIM_TIMEOUT;
        if let Some(call) = self.never_repeat_mut(id) {
            call.stage = Stage::Claiming(nonce);
            call.send_until = send_until;
        }
        self.append_claim(&key, nonce, claim::Body::Start(start), false);
        let timer = Timer::Claim(id);
        self.timers.set(send_until, timer);
    }

    fn append_claim(&mut self, key: &Key, nonce: Nonce, body: claim::Body, retry: bool) {
        let record = Record {
            format: claim::FORMAT,
            key: key.clone(),
            nonce,
            body,
        };
        self.append(
            claim::stream_name(key.partition()),
            codec::encode(&record),
            retry,
        );
    }

    /// Acts on the first live start of a request's key, which may belong to another request.
    fn handle_live_start(&mut self, id: RequestId, key: &Key, start: &LiveStart) {
        let now = self.now.mono;
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        match call.stage {
            Stage::Claiming(_) if now >= call.send_until => return self.handle_claim_timeout(id),
            Stage::Claiming(nonce) if nonce == start.nonce => {
                return self.send_never_repeat(id, nonce);
            }
            Stage::Claiming(nonce) => {
                call.stage = Stage::Waiting;
                self.append_claim(key, nonce, claim::Body::Void, true);
            }
            Stage::Waiting | Stage::Sent { .. } => {}
        }
        self.wait_for_owner(id, key, start);
    }

    /// Waits for the outcome of another request's start while the owner of that start is alive.
    fn wait_for_owner(&mut self, id: RequestId, key: &Key, start: &LiveStart) {
        if start.unknown {
            return self.refuse_unknown(id, "the request may have run");
        }
        let liveness = if start.owner == self.owner() {
            Liveness::Alive
        } else if start.owner.entry == self.setup.entry {
            Liveness::Gone
        } else {
            self.members.owner_liveness(&start.owner, self.now.mono)
        };
        match liveness {
            Liveness::Unreachable if self.has_waited(id, OWNER_PATIENCE) => {
                self.refuse_in_progress(id);
            }
            Liveness::Alive | Liveness::Unreachable => {
                self.query_owner(key, start);
                let timer = Timer::EvaluateKey(id);
                self.timers.set(self.now.mono + OWNER_POLL_INTERVAL, timer);
            }
            Liveness::Gone => {
                self.append_claim(key, start.nonce, claim::Body::Unknown, true);
                self.refuse_unknown(id, "the entry that ran the request is gone");
            }
        }
    }

    /// Whether a request arrived at least this long ago.
    fn has_waited(&self, id: RequestId, time: Duration) -> bool {
        let request = self.requests.get(&id);
        request.is_none_or(|request| self.now.mono >= request.head.arrived + time)
    }

    /// Asks the owner of a start about it; the answer shows whether the owner has been restarted.
    fn query_owner(&mut self, key: &Key, start: &LiveStart) {
        if start.owner != self.owner() {
            let body = peer::Body::StartQuery(key.clone(), start.nonce);
            self.send_to_peer(&start.owner.entry, body);
        }
    }

    fn refuse_in_progress(&mut self, id: RequestId) {
        let detail = "the request is claimed by an entry that does not answer now";
        let mut refusal = Refusal::not_run(Code::InProgress, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.refuse(id, refusal);
    }

    /// Answers a request with the recorded answer.
    fn replay(&mut self, id: RequestId, answer: Answer) {
        self.void_claim(id);
        let answered = Answered {
            answer,
            replayed: true,
        };
        self.answer(id, answered);
    }

    fn refuse_resolved(&mut self, id: RequestId, code: Code, ran: Ran, detail: &str) {
        self.void_claim(id);
        let mut refusal = Refusal::not_run(code, detail);
        refusal.ran = ran;
        self.refuse(id, refusal);
    }

    /// Refuses a request that was not sent, and makes its start void if there is one.
    fn reject(&mut self, id: RequestId, code: Code, detail: &str) {
        self.void_claim(id);
        self.refuse(id, Refusal::not_run(code, detail));
    }

    /// Makes the start of a request void that was appended and whose call was not sent.
    fn void_claim(&mut self, id: RequestId) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        if let Stage::Claiming(nonce) = call.stage {
            call.stage = Stage::Waiting;
            let key = call.key.clone();
            self.append_claim(&key, nonce, claim::Body::Void, true);
        }
    }

    /// Sends a request whose start is the first live one of its key.
    fn send_never_repeat(&mut self, id: RequestId, nonce: Nonce) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        let (service, avoid, key) = (call.service.clone(), call.avoid.clone(), call.key.clone());
        let Some(target) = self.choose_server(&service, &avoid) else {
            self.append_claim(&key, nonce, claim::Body::Void, true);
            return self.finish_never_repeat(id, Some(no_target()));
        };
        let now = self.now.mono;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let attempt = request.head.next_attempt(now);
        let until = request.head.deadline + OUTCOME_GRACE;
        if let Body::NeverRepeat(call) = &mut request.body {
            call.stage = Stage::Sent {
                nonce,
                attempt: (attempt, target),
                answered: false,
            };
        }
        self.forward(id, attempt, target, until);
    }

    /// Handles the end of the exchange of a never-repeat call.
    pub(crate) fn handle_never_repeat_exchange_end(
        &mut self,
        id: RequestId,
        attempt: AttemptId,
        end: Exchange,
    ) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        let Stage::Sent {
            nonce,
            attempt: (current, target),
            answered,
        } = call.stage
        else {
            return;
        };
        if current != attempt {
            return;
        }
        self.decrement_in_flight(target);
        match end {
            Exchange::Answered(answer) => {
                self.record_answer(target, &answer);
                self.handle_never_repeat_answer(id, nonce, target, answered, answer);
            }
            Exchange::TooLarge(head) => {
                self.record_answer(target, &head);
                self.handle_never_repeat_too_large(id, nonce, target, answered, &head);
            }
            Exchange::Unsent => {
                self.eject(target, "no connection");
                self.retry_unsent(id, nonce, target, answered);
            }
            Exchange::Broken => {
                self.eject(target, "the connection broke");
                self.end_unknown(id, nonce, "the connection broke after the request was sent");
            }
        }
    }

    fn handle_never_repeat_answer(
        &mut self,
        id: RequestId,
        nonce: Nonce,
        target: Index,
        answered: bool,
        end: event::Answered,
    ) {
        if end.not_run {
            return self.retry_unsent(id, nonce, target, answered);
        }
        if end.answer.status >= 500 {
            return self.end_unknown(id, nonce, "the target failed without saying whether it ran");
        }
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        let key = call.key.clone();
        let body = match end.answer.body.len() {
            0..=MAX_RECORDED_BODY => claim::Body::Done(end.answer.clone()),
            _ => claim::Body::Ran,
        };
        self.append_claim(&key, nonce, body, true);
        let answer = Answered {
            answer: end.answer,
            replayed: false,
        };
        if answered {
            return self.drop_request(id);
        }
        self.answer(id, answer);
    }

    /// Records that a call ran whose answer is too large to pass on.
    fn handle_never_repeat_too_large(
        &mut self,
        id: RequestId,
        nonce: Nonce,
        target: Index,
        answered: bool,
        head: &event::Answered,
    ) {
        if head.not_run {
            return self.retry_unsent(id, nonce, target, answered);
        }
        if head.answer.status >= 500 {
            return self.end_unknown(id, nonce, "the target failed without saying whether it ran");
        }
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        let key = call.key.clone();
        self.append_claim(&key, nonce, claim::Body::Ran, true);
        self.finish_never_repeat(id, Some(too_large()));
    }

    /// Tries another target while there is time, after a request that provably did not run.
    fn retry_unsent(&mut self, id: RequestId, nonce: Nonce, target: Index, answered: bool) {
        let now = self.now.mono;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let in_time = now < request.head.deadline && !answered;
        let Body::NeverRepeat(call) = &mut request.body else {
            return;
        };
        let in_time = in_time && now < call.send_until;
        call.avoid.push(target);
        let key = call.key.clone();
        let is_first = match self.partition(&key).table.status(key.id) {
            Status::Started(start) => start.nonce == nonce,
            _ => false,
        };
        if in_time && is_first {
            return self.send_never_repeat(id, nonce);
        }
        self.append_claim(&key, nonce, claim::Body::Void, true);
        let refusal = Refusal::not_run(Code::TargetRefused, "no target took the request");
        self.finish_never_repeat(id, Some(refusal.with_retry_after(RETRY_AFTER)));
    }

    /// Records that the outcome of a request is unknown: it may have run, and nobody sends it
    /// again.
    fn end_unknown(&mut self, id: RequestId, nonce: Nonce, detail: &'static str) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        let key = call.key.clone();
        self.append_claim(&key, nonce, claim::Body::Unknown, true);
        self.out
            .push(Action::Note(Note::Unusual("unresolved", detail.to_owned())));
        let mut refusal =
            Refusal::not_run(Code::OutcomeUnknown, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.finish_never_repeat(id, Some(refusal));
    }

    fn refuse_unknown(&mut self, id: RequestId, detail: &str) {
        let mut refusal =
            Refusal::not_run(Code::OutcomeUnknown, detail).with_retry_after(RETRY_AFTER);
        refusal.ran = Ran::Unknown;
        self.refuse(id, refusal);
    }

    /// Ends a call that was sent; a caller that has been answered is not answered again.
    fn finish_never_repeat(&mut self, id: RequestId, refusal: Option<Refusal>) {
        let answered = match self.never_repeat_mut(id).map(|call| &call.stage) {
            Some(Stage::Sent { answered, .. }) => *answered,
            _ => false,
        };
        match refusal {
            Some(refusal) if !answered => self.refuse(id, refusal),
            _ => self.drop_request(id),
        }
    }

    /// Drops a request whose caller has been answered.
    fn drop_request(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.release(request);
        }
    }

    pub(crate) fn remove_key(&mut self, key: u128, id: RequestId) {
        if let Some(ids) = self.requests_by_key.get_mut(&key) {
            ids.remove(&id);
            if ids.is_empty() {
                self.requests_by_key.remove(&key);
            }
        }
    }

    /// The caller disconnected: a request that was sent continues, and its outcome is recorded.
    pub(crate) fn handle_caller_gone_never_repeat(&mut self, id: RequestId) {
        self.detach_caller(
            id,
            Refusal::not_run(Code::CallerGone, "the caller went away"),
        );
    }

    /// The deadline passed: the caller is refused at once.
    pub(crate) fn handle_deadline_never_repeat(&mut self, id: RequestId) {
        let refusal = Refusal::not_run(Code::DeadlinePassed, "the deadline passed");
        self.detach_caller(id, refusal.with_retry_after(RETRY_AFTER));
    }

    /// Refuses the caller before the outcome is known; only a request that was sent continues.
    fn detach_caller(&mut self, id: RequestId, mut refusal: Refusal) {
        let Some(call) = self.never_repeat_mut(id) else {
            return;
        };
        match &mut call.stage {
            Stage::Sent { answered, .. } => {
                if !std::mem::replace(answered, true) {
                    refusal.ran = Ran::Unknown;
                    self.reply_early(id, refusal);
                }
            }
            Stage::Claiming(_) => {
                self.void_claim(id);
                self.refuse(id, refusal);
            }
            Stage::Waiting => {
                refusal.ran = Ran::Unknown;
                self.refuse(id, refusal);
            }
        }
    }

    /// Refuses the caller and keeps the request.
    fn reply_early(&mut self, id: RequestId, refusal: Refusal) {
        if let Some(request) = self.requests.get(&id) {
            let ended = request.head.ended(Some(refusal.code), self.now.mono);
            self.out.push(Action::Note(Note::Ended(ended)));
            self.out.push(Action::Reply(id, End::Refused(refusal)));
        }
    }

    /// Refuses a request whose start was not read back in time, and makes the start void.
    pub(crate) fn handle_claim_timeout(&mut self, id: RequestId) {
        let claiming = matches!(
            self.never_repeat_mut(id).map(|call| &call.stage),
            Some(Stage::Claiming(_))
        );
        if claiming {
            self.void_claim(id);
            let refusal = Refusal::not_run(Code::ClaimTimeout, "the claim was not read back");
            self.refuse(id, refusal.with_retry_after(RETRY_AFTER));
        }
    }
}
