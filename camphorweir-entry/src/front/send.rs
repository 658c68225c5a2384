//! One send of a request with its reservations, and what takes its place while its target is silent.

use {
    crate::front::{
        answer::{Answer, Kept, tries_end},
        body::body_collect,
        cut::Cause,
        deadline::deadline_passed,
        elsewhere::{Elsewhere, Held, News, Won},
        exchange::{Departure, SendError, TargetResponse, Template, send_request},
        request::cut_whole,
        stall::STALL_CHECK_DELAY,
        state::State,
        waiting::waiting_wake,
    },
    camphorweir_platform::response::response_forward_headers,
    camphorweir_relay::{
        answer::answer_grade,
        configuration::Kind,
        retry::{Decision, Failure},
        router::{Admission, Outcome, Plan},
    },
    camphorweir_wire::code::Code,
    futures::future::BoxFuture,
    hyper::Response,
    std::sync::Arc,
    tokio::time::timeout,
};

/// The answer to a send.
#[derive(Debug)]
pub enum Reply {
    /// A whole response.
    Whole(Box<Answer>),
    /// The head of a successful stream.
    Stream(Box<TargetResponse>),
}

/// A send that is under way.
pub type Sending = BoxFuture<'static, Result<Reply, SendError>>;

/// Releases the capacity reserved for a send when its future is dropped, as when the caller
/// disconnects.
#[derive(Debug)]
pub struct SendGuard<'a> {
    state: &'a State,
    /// The request.
    pub admitted: &'a mut Admission,
    /// `None` once the send has ended, or goes on under another guard.
    pub plan: Option<Plan>,
    /// What is in hand where the caller has no part of an answer yet; one that leaves is then recorded here.
    kept: Option<&'a mut Kept>,
}

impl<'a> SendGuard<'a> {
    /// Guards the reservations of a plan. `kept` is what is in hand where the caller has no part of an
    /// answer yet.
    pub fn new(
        state: &'a State,
        admitted: &'a mut Admission,
        plan: Plan,
        kept: Option<&'a mut Kept>,
    ) -> Self {
        Self {
            state,
            admitted,
            plan: Some(plan),
            kept,
        }
    }

    /// Puts a send elsewhere in the place of this one, which ends with `failure`.
    fn take_over(&mut self, held: Held, failure: SendError) {
        if let Some(plan) = self.plan.take() {
            self.plan = Some(held.take_over(self.admitted, plan, failure));
        }
        if let Some(kept) = &mut self.kept {
            kept.limit(self.admitted);
        }
    }

    /// Keeps the answer to a send that has ended as failed.
    fn keep(&mut self, answer: Answer) {
        if let Some(kept) = &mut self.kept {
            kept.keep(answer);
            kept.limit(self.admitted);
        }
    }

    /// Ends the send; returns what to do after a failed one.
    pub fn finish_send(&mut self, outcome: Outcome) -> Decision {
        let now = self.state.now();
        match self.plan.take() {
            Some(plan) => {
                let mut router = self.state.router();
                let decision = router.finish_send(self.admitted, &plan, outcome, now);
                drop(router);
                waiting_wake(self.state, &self.admitted.service);
                decision
            }
            None => Decision::End(Code::Internal),
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let Some(plan) = &self.plan else {
            return;
        };
        if self.kept.is_some() {
            cut_whole(self.state, self.admitted, plan, Cause::Caller);
        }
        self.finish_send(Outcome::Cancelled);
    }
}

/// Begins a send as planned; `departure` is set as it leaves.
pub fn send_start(
    state: &State,
    admitted: &Admission,
    plan: &Plan,
    template: &Arc<Template>,
    last_event_id: Option<&str>,
    departure: &Departure,
) -> Sending {
    let (state, admitted, plan) = (state.clone(), admitted.clone(), plan.clone());
    let (template, last_event_id) = (template.clone(), last_event_id.map(str::to_owned));
    let departure = departure.clone();
    let send = async move {
        send_once(
            &state,
            &admitted,
            &plan,
            &template,
            last_event_id.as_deref(),
            &departure,
        )
        .await
    };
    Box::pin(send)
}

/// Waits for the answer to the send under a guard, until the tries of the request end; `None` then. While its
/// target is silent, sends elsewhere beside it; the guard then holds the plan of the send that was answered
/// first.
///
/// # Errors
///
/// [`SendError`] of the send under the guard.
pub async fn send_finish(
    guard: &mut SendGuard<'_>,
    mut sending: Sending,
    template: &Arc<Template>,
    last_event_id: Option<&str>,
) -> Option<Result<Reply, SendError>> {
    loop {
        let Some(plan) = guard.plan.clone() else {
            let time_left = guard.admitted.time_left(guard.state.now());
            return timeout(time_left, sending).await.ok();
        };
        let mut elsewhere = Elsewhere::new(
            guard.state,
            guard.admitted,
            &plan,
            template,
            last_event_id,
            STALL_CHECK_DELAY,
        );
        let result = loop {
            let kept = guard.kept.as_ref().map(|kept| kept.grade());
            let end = async {
                match kept {
                    Some(kept) => tries_end(guard.state, guard.admitted, kept).await,
                    // What its caller has of a stream can only go on.
                    None => deadline_passed(guard.state, guard.admitted).await,
                }
            };
            let news = tokio::select! {
                biased;
                result = &mut sending => break result,
                news = elsewhere.news() => news,
                () = end => {
                    guard.admitted.take_tried(elsewhere.cancel());
                    return None;
                }
            };
            match news {
                News::Won(won) => {
                    let Won {
                        silent,
                        held,
                        reply,
                    } = *won;
                    guard.take_over(held, (Failure::Broken, Some(silent)));
                    return Some(Ok(reply));
                }
                News::Failed(answer) => guard.keep(*answer),
            }
        };
        let is_idempotent = guard.admitted.route.kind == Kind::Idempotent;
        let failure = match &result {
            Ok(Reply::Whole(answer)) if is_idempotent && answer.is_failure() => {
                Some((Failure::Broken, None))
            }
            Ok(_) => None,
            Err(failure) => Some(*failure),
        };
        let Some(failure) = failure else {
            guard.admitted.take_tried(elsewhere.cancel());
            return Some(result);
        };
        let (tried, attempt) = elsewhere.stop();
        let Some(attempt) = attempt else {
            guard.admitted.take_tried(tried);
            return Some(result);
        };
        guard.take_over(attempt.held, failure);
        if let Ok(Reply::Whole(answer)) = result {
            guard.state.router().suspects.record_alive(&plan.target);
            guard.keep(*answer);
        }
        sending = attempt.sending;
    }
}

/// Sends once; returns after the whole response, or after the head of a stream.
async fn send_once(
    state: &State,
    admitted: &Admission,
    plan: &Plan,
    template: &Template,
    last_event_id: Option<&str>,
    departure: &Departure,
) -> Result<Reply, SendError> {
    let sent = send_request(state, admitted, plan, template, last_event_id, departure);
    let reply = sent.await?;
    let is_stream = matches!(admitted.route.kind, Kind::Stream { .. });
    if is_stream && reply.response.status().is_success() {
        return Ok(Reply::Stream(Box::new(reply)));
    }
    let (mut parts, body) = reply.response.into_parts();
    let body = body_collect(state, body, &reply.connection).await;
    let body = body.map_err(|error| {
        log::warn!(
            request:% = admitted.id,
            target_name:% = plan.target,
            reason:% = error;
            "no whole response from the target"
        );
        (Failure::Broken, None)
    })?;
    let is_reusable = !reply.info.closes_connection && !plan.is_detour();
    if is_reusable && admitted.route.kind != Kind::AtMostOnce {
        let max_idle = plan.max_connections;
        state.pool().put(
            plan.address,
            reply.connection,
            reply.info.keep_alive_s,
            max_idle,
        );
    }
    parts.headers = response_forward_headers(parts.headers);
    let status = parts.status.as_u16();
    Ok(Reply::Whole(Box::new(Answer {
        response: Response::from_parts(parts, body),
        target: plan.target.clone(),
        grade: answer_grade(status, reply.info.is_sealed, plan.is_detour()),
        is_detour: plan.is_detour(),
    })))
}
