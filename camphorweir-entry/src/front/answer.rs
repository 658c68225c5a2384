//! The whole answer in hand of a request that is tried again.

use {
    crate::front::{
        deadline::{deadline_passed, stop_begun},
        state::State,
    },
    bytes::Bytes,
    camphorweir_relay::{
        answer::{Choice, Grade, answer_choose, answer_is_kept, answer_tries_end},
        ids::{TargetId, Time},
        router::Admission,
    },
    camphorweir_wire::outcome::CODE_HEADER,
    hyper::{Response, StatusCode},
    tokio::time::sleep,
};

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status, headers to forward and body.
    pub response: Response<Bytes>,
    /// The target or peer that sent it.
    pub target: TargetId,
    /// How good it is.
    pub grade: Grade,
    /// Whether it came through a peer.
    pub is_detour: bool,
}

impl Answer {
    /// Whether its status is that of a failure.
    pub fn is_failure(&self) -> bool {
        self.response.status().is_server_error()
    }

    /// Whether a peer refuses what it can't place either, or what the configuration that it knows forbids.
    pub fn is_peer_refusal(&self) -> bool {
        let is_unavailable = self.response.status() == StatusCode::SERVICE_UNAVAILABLE;
        let says_not_run = is_unavailable || !self.is_failure();
        self.is_detour && self.grade == Grade::Refusal && says_not_run
    }
}

/// The best whole answer so far to a request whose caller has no part of an answer.
#[derive(Debug, Default)]
pub struct Kept {
    answer: Option<Answer>,
    /// Deadline of the request itself while its tries end sooner, as an answer is in hand.
    own_deadline: Option<Time>,
}

impl Kept {
    /// Grade of the answer in hand.
    pub fn grade(&self) -> Option<Grade> {
        self.answer.as_ref().map(|answer| answer.grade)
    }

    /// Keeps an answer unless a better one is in hand.
    pub fn keep(&mut self, latest: Answer) {
        if answer_is_kept(self.grade(), latest.grade) {
            self.answer = Some(latest);
        }
    }

    /// Lets the tries of the request end soon enough for the answer in hand.
    pub fn limit(&mut self, request: &mut Admission) {
        if self.answer.is_some() {
            let own = *self.own_deadline.get_or_insert(request.deadline);
            request.deadline = answer_tries_end(self.grade(), own);
        }
    }

    /// Gives the request its own deadline back, as no further try is made.
    pub fn restore(&mut self, request: &mut Admission) {
        if let Some(own) = self.own_deadline.take() {
            request.deadline = own;
        }
    }

    /// The answer that ends the request: the latest, or a better one in hand.
    pub fn settle(
        &mut self,
        state: &State,
        request: &Admission,
        latest: Answer,
    ) -> Response<Bytes> {
        if answer_choose(self.grade(), latest.grade) == Choice::Latest {
            return latest.response;
        }
        let code = latest.response.headers().get(CODE_HEADER);
        let code = code.and_then(|code| code.to_str().ok()?.parse().ok());
        let kept = self.deliver(state, request, code.unwrap_or_default());
        kept.unwrap_or(latest.response)
    }

    /// The answer in hand, if any, in place of a refusal with the code.
    pub fn deliver(
        &mut self,
        state: &State,
        request: &Admission,
        code: u16,
    ) -> Option<Response<Bytes>> {
        if answer_choose(self.grade(), Grade::Refusal) == Choice::Latest {
            return None;
        }
        let answer = self.answer.take()?;
        state.metrics().record_kept(request, code);
        log::info!(
            request:% = request.id,
            target_name:% = answer.target,
            status = answer.response.status().as_u16(),
            code = code,
            sends = request.counts.sends;
            "answer of a target delivered in place of a refusal"
        );
        Some(answer.response)
    }
}

/// Completes when the tries of a request end whose caller has no part of an answer: at its deadline, and in
/// time for the answer in hand, or one that says that there is none, before the process ends.
pub async fn tries_end(state: &State, request: &Admission, kept: Option<Grade>) {
    let ending = async {
        let stop = stop_begun(state).await;
        let until = match kept {
            Some(_) => answer_tries_end(kept, stop.ends_at),
            None => stop.last_answer_at(),
        };
        sleep(until.saturating_sub(state.now())).await;
    };
    tokio::select! {
        () = deadline_passed(state, request) => {}
        () = ending => {}
    }
}
