//! Sends a request elsewhere beside a send whose target is silent; the one that answers first stays.

use {
    crate::front::{
        answer::Answer,
        exchange::{Departure, SendError, Template},
        request::{failure_label, log_plan},
        send::{Reply, Sending, send_start},
        stall::{RECHECK_PAUSE, STALL_CHECK_DELAY, stall_wait, watch_slow_target},
        state::State,
        waiting::{waiting_plan_beside, waiting_wake},
    },
    camphorweir_relay::{
        answer::Grade,
        configuration::Kind,
        replacement::Replacement,
        retry::Failure,
        router::{Admission, Plan},
    },
    futures::future::BoxFuture,
    std::{
        future::poll_fn,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Pause between looks for a place elsewhere.
const PLACE_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a target is asked again that answers probes while the request may be stalled there.
const PROBED_PAUSE: Duration = Duration::from_millis(500);

/// A planned send elsewhere; releases what it reserved when dropped.
#[derive(Debug)]
pub struct Held {
    state: State,
    /// `None` once it has taken over, failed or was cancelled.
    planned: Option<(Replacement, Plan)>,
    departure: Departure,
}

impl Held {
    /// Puts this send in the place of the one under `old`, which ends with `failure`; returns the plan of
    /// the send that goes on.
    pub fn take_over(mut self, request: &mut Admission, old: Plan, failure: SendError) -> Plan {
        let Some((replacement, plan)) = self.planned.take() else {
            return old;
        };
        let state = &self.state;
        let now = state.now();
        let mut router = state.router();
        router.replacement_take_over(request, &old, replacement, failure, now);
        drop(router);
        waiting_wake(state, &request.service);
        state.wake_prober();
        state
            .metrics()
            .record_send_failure(failure_label(failure.0));
        log::info!(
            request:% = request.id,
            from:% = old.target,
            target_name:% = plan.target,
            failure:? = failure.0,
            at:? = failure.1;
            "send elsewhere replaces one whose target was silent"
        );
        plan
    }

    /// Ends this send after a failure; returns what it used up, and whether another may follow.
    fn fail(&mut self, failure: SendError) -> Option<(Replacement, bool)> {
        let (mut replacement, plan) = self.planned.take()?;
        let state = &self.state;
        let now = state.now();
        let is_again = state
            .router()
            .replacement_fail(&mut replacement, &plan, failure, now);
        waiting_wake(state, &replacement.request.service);
        state.wake_prober();
        state
            .metrics()
            .record_send_failure(failure_label(failure.0));
        log::info!(
            request:% = replacement.request.id,
            target_name:% = plan.target,
            failure:? = failure.0,
            at:? = failure.1,
            is_again = is_again;
            "send elsewhere failed; the one at the silent target goes on"
        );
        Some((replacement, is_again))
    }

    /// Ends this send, as the one at the silent target is answered or the request ends.
    fn cancel(&mut self) -> Option<Replacement> {
        let (mut replacement, plan) = self.planned.take()?;
        let now = self.state.now();
        let has_left = self.departure.load(Ordering::Relaxed);
        let mut router = self.state.router();
        router.replacement_cancel(&mut replacement, &plan, has_left, now);
        drop(router);
        waiting_wake(&self.state, &replacement.request.service);
        Some(replacement)
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.cancel();
    }
}

/// A place elsewhere.
struct Place {
    /// Address of the target at fault.
    silent: SocketAddr,
    held: Held,
}

/// A send elsewhere that is under way.
pub struct Attempt {
    silent: SocketAddr,
    /// What it reserved.
    pub held: Held,
    /// The send itself.
    pub sending: Sending,
    /// Completes when this target is silent too, and the request may be sent to yet another.
    stall: BoxFuture<'static, SocketAddr>,
}

/// A send elsewhere that was answered with success before the silent target went on.
pub struct Won {
    /// Address of the target at fault.
    pub silent: SocketAddr,
    /// What the send reserved.
    pub held: Held,
    /// Its answer.
    pub reply: Reply,
}

/// What comes of sends elsewhere.
pub enum News {
    /// One was answered with success.
    Won(Box<Won>),
    /// One was answered with a whole failure; the send at the silent target goes on.
    Failed(Box<Answer>),
}

enum Stage {
    /// Waits until the target is silent, and looks for a place then.
    Seeking(BoxFuture<'static, Place>),
    Sending(Box<Attempt>),
    Ended,
}

/// What is done elsewhere beside a send.
pub struct Elsewhere {
    state: State,
    /// The request at the silent target, with what sends elsewhere have used up.
    request: Admission,
    plan: Plan,
    template: Arc<Template>,
    last_event_id: Option<String>,
    stage: Stage,
}

impl std::fmt::Debug for Elsewhere {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Elsewhere(..)")
    }
}

impl Elsewhere {
    /// Watches a send from `delay` on.
    pub fn new(
        state: &State,
        request: &Admission,
        plan: &Plan,
        template: &Arc<Template>,
        last_event_id: Option<&str>,
        delay: Duration,
    ) -> Self {
        let (state, request, plan) = (state.clone(), request.clone(), plan.clone());
        let watched = (state.clone(), request.clone(), plan.clone());
        let seeking = async move {
            let (state, request, plan) = watched;
            sleep(delay).await;
            match plan.path() {
                Some(_) => find_place(state, request, plan, None).await,
                None => watch_slow_target(&state, &plan).await,
            }
        };
        Self {
            state,
            request,
            plan,
            template: template.clone(),
            last_event_id: last_event_id.map(str::to_owned),
            stage: Stage::Seeking(Box::pin(seeking)),
        }
    }

    /// Waits for an answer from elsewhere; nothing is lost if this is dropped and called again.
    pub async fn news(&mut self) -> News {
        poll_fn(|cx| self.poll(cx)).await
    }

    /// Ready when a send elsewhere was answered; none is under way after a success.
    pub fn poll(&mut self, cx: &mut Context<'_>) -> Poll<News> {
        loop {
            match &mut self.stage {
                Stage::Ended => return Poll::Pending,
                Stage::Seeking(seeking) => {
                    let place = ready!(seeking.as_mut().poll(cx));
                    self.stage = self.start(place);
                }
                Stage::Sending(attempt) => {
                    let result = match attempt.sending.as_mut().poll(cx) {
                        Poll::Ready(result) => result,
                        Poll::Pending => {
                            let silent = ready!(attempt.stall.as_mut().poll(cx));
                            Err((Failure::Broken, Some(silent)))
                        }
                    };
                    let Stage::Sending(attempt) = std::mem::replace(&mut self.stage, Stage::Ended)
                    else {
                        return Poll::Pending;
                    };
                    let Attempt {
                        silent, mut held, ..
                    } = *attempt;
                    match self.judge(result) {
                        Ok(reply) => {
                            let won = Won {
                                silent,
                                held,
                                reply,
                            };
                            return Poll::Ready(News::Won(Box::new(won)));
                        }
                        Err((failure, answer)) => {
                            self.seek_again(silent, held.fail(failure));
                            if let Some(answer) = answer {
                                self.state.router().suspects.record_alive(&answer.target);
                                return Poll::Ready(News::Failed(answer));
                            }
                        }
                    }
                }
            }
        }
    }

    /// Sends to a place that was found.
    fn start(&self, Place { silent, held }: Place) -> Stage {
        let Some((replacement, plan)) = &held.planned else {
            return Stage::Ended;
        };
        let request = &replacement.request;
        log_plan(&self.state, request, plan);
        let last_event_id = self.last_event_id.as_deref();
        let sending = send_start(
            &self.state,
            request,
            plan,
            &self.template,
            last_event_id,
            &held.departure,
        );
        let watched = (self.state.clone(), request.clone(), plan.clone());
        let stall = async move {
            let (state, request, plan) = watched;
            sleep(STALL_CHECK_DELAY).await;
            match plan.path() {
                Some(_) => stall_wait(&state, &request, &plan).await,
                None => std::future::pending().await,
            }
        };
        Stage::Sending(Box::new(Attempt {
            silent,
            sending,
            stall: Box::pin(stall),
            held,
        }))
    }

    /// Whether the answer to a send elsewhere is a success, which ends the send at the silent target; else
    /// how the send failed, with a whole answer if there is one.
    fn judge(
        &self,
        result: Result<Reply, SendError>,
    ) -> Result<Reply, (SendError, Option<Box<Answer>>)> {
        let is_idempotent = self.request.route.kind == Kind::Idempotent;
        match result.map_err(|error| (error, None))? {
            Reply::Whole(answer) if is_idempotent && answer.grade == Grade::Success => {
                Ok(Reply::Whole(answer))
            }
            Reply::Whole(answer) if answer.is_peer_refusal() => {
                Err(((Failure::Refused, None), None))
            }
            Reply::Whole(answer) => Err(((Failure::Broken, None), Some(answer))),
            stream => Ok(stream),
        }
    }

    /// Looks for another place after a send elsewhere has failed.
    fn seek_again(&mut self, silent: SocketAddr, failed: Option<(Replacement, bool)>) {
        let Some((replacement, is_again)) = failed else {
            return;
        };
        replacement.settle(&mut self.request);
        let known = is_again.then_some((silent, replacement));
        let seeking = find_place(
            self.state.clone(),
            self.request.clone(),
            self.plan.clone(),
            known,
        );
        self.stage = Stage::Seeking(Box::pin(seeking));
    }

    /// Ends what is done elsewhere, as the target went on or the request ends; returns the request with
    /// what was used up.
    pub fn cancel(self) -> Admission {
        let (mut request, attempt) = self.stop();
        let replacement = attempt.and_then(|mut attempt| attempt.held.cancel());
        if let Some(replacement) = replacement {
            replacement.settle(&mut request);
        }
        request
    }

    /// Ends the watch; returns the request with what was used up, and the send elsewhere if one is under
    /// way.
    pub fn stop(self) -> (Admission, Option<Box<Attempt>>) {
        match self.stage {
            Stage::Sending(attempt) => (self.request, Some(attempt)),
            Stage::Seeking(_) | Stage::Ended => (self.request, None),
        }
    }
}

/// Waits until a target is silent and there is a place elsewhere. `known` is what goes on elsewhere for
/// the silent target at an address, after an earlier send there failed.
async fn find_place(
    state: State,
    request: Admission,
    plan: Plan,
    mut known: Option<(SocketAddr, Replacement)>,
) -> Place {
    loop {
        let found = match known.take() {
            Some(known) => Some(known),
            None => {
                let silent = stall_wait(&state, &request, &plan).await;
                let now = state.now();
                let mut router = state.router();
                let replacement = router.replacement_begin(&request, &plan, silent, now);
                replacement.map(|replacement| (silent, replacement))
            }
        };
        let Some((silent, mut replacement)) = found else {
            sleep(RECHECK_PAUSE).await;
            continue;
        };
        if let Some(plan) = plan_place(&state, &mut replacement).await {
            let planned = Some((replacement, plan));
            let held = Held {
                state,
                planned,
                departure: Departure::default(),
            };
            return Place { silent, held };
        }
        sleep(PLACE_PAUSE).await;
        let now = state.now();
        let is_silent = state.router().is_silent(&plan, silent, now);
        match is_silent {
            true => known = Some((silent, replacement)),
            false => sleep(PROBED_PAUSE).await,
        }
    }
}

/// Plans a send elsewhere and counts it in the retry budget.
async fn plan_place(state: &State, replacement: &mut Replacement) -> Option<Plan> {
    let planned = waiting_plan_beside(state, &mut replacement.request).await;
    let plan = planned.ok()?;
    let now = state.now();
    let is_charged = state.router().replacement_charge(replacement, &plan, now);
    if !is_charged {
        waiting_wake(state, &replacement.request.service);
    }
    is_charged.then_some(plan)
}
