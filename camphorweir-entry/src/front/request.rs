//! Handles one caller's request, from its head to the response.

use {
    crate::{
        fingerprint::fingerprint,
        front::{
            answer::Kept,
            connections::Connection,
            cut::{Cause, Cut, cut_record},
            deadline::{deadline_within, stop_body_late, stop_last_answer},
            demand,
            exchange::{TargetResponse, Template},
            requests::{InFlight, Phase},
            response::{
                CallerResponse, full_response, refusal_response, set_connection_close,
                set_unread_body, turned_away,
            },
            send::{Reply, SendGuard, send_finish, send_start},
            state::State,
            stream::{Events, Job},
            waiting::{STOP_RETRY_AFTER, waiting_plan, waiting_refusal},
        },
        memory::discard,
        units::millis,
    },
    bytes::Bytes,
    camphorweir_platform::{
        head::{head_authorization, head_decode, head_forward_headers},
        response::response_forward_headers,
    },
    camphorweir_relay::{
        configuration::Kind,
        ids::Fingerprint,
        memory::{Sender, memory_retry_after},
        progress::Progress,
        retry::{Decision, Failure},
        router::{Admission, Outcome, Plan},
    },
    camphorweir_wire::{code::Code, detour::LEAVING_TARGET_HEADER, outcome::Refusal},
    http_body_util::Either,
    hyper::{Request, Response, body::Incoming},
    std::{net::IpAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Limit on the wait for the rest of a request that is refused by its head.
const REFUSED_BODY_TIME: Duration = Duration::from_millis(500);

/// Handles a request from a caller at an address.
pub async fn handle_request(
    state: State,
    request: Request<Incoming>,
    address: IpAddr,
) -> CallerResponse {
    handle(state, request, address, None).await
}

/// Handles a request from a peer at an address that reaches no target, after `runs` possible runs.
pub async fn handle_detour(
    state: State,
    request: Request<Incoming>,
    address: IpAddr,
    runs: u32,
) -> CallerResponse {
    handle(state, request, address, Some(runs)).await
}

async fn handle(
    state: State,
    request: Request<Incoming>,
    address: IpAddr,
    runs_at_peer: Option<u32>,
) -> CallerResponse {
    let (parts, body) = request.into_parts();
    let head = head_decode(&parts);
    let mut in_flight = InFlight::new(&state, head.id.clone());
    let arrived = state.now();
    let admission = state.router().admit(&head, arrived);
    let mut admitted = match admission {
        Ok(admitted) => admitted,
        Err(refusal) => {
            log::info!(
                request:% = head.id,
                code = refusal.code.number(),
                path = head.path;
                "request refused on admission"
            );
            let mut response = refusal_response(&head.id, &refusal);
            // The connection goes on only after the end of the body.
            let is_over = tokio::select! {
                is_over = timeout(REFUSED_BODY_TIME, discard(body)) => is_over.unwrap_or(false),
                () = stop_last_answer(&state) => false,
            };
            if !is_over {
                set_unread_body(&mut response);
            }
            return close_if_stopping(&state, response);
        }
    };
    admitted.is_from_peer = runs_at_peer.is_some();
    if admitted.is_from_peer && state.router().is_cut_off(&admitted.service) {
        return turned_away();
    }
    admitted.counts.runs = runs_at_peer.unwrap_or_default();
    let sender = Sender {
        address,
        workspace: admitted.workspace.clone(),
    };
    if !in_flight.book() {
        state.memory().record_refused(&sender);
        return refuse_body(&state, &admitted, Code::ShortOfMemory);
    }
    let body = match receive_body(&state, &admitted, body, &sender).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    if let Some(connection) = parts.extensions.get::<Connection>() {
        connection.end_body();
    }
    let path = parts.uri.path_and_query();
    let path = path.map_or("/", |path| path.as_str()).to_owned();
    let workspace = admitted.workspace.as_deref().unwrap_or_default();
    let identity = [workspace, parts.method.as_str(), &head.host, &path];
    admitted.fingerprint = fingerprint(&identity, &body);
    state.router().mark_returning(&mut admitted, arrived);
    let template = Arc::new(Template {
        path,
        headers: head_forward_headers(&parts),
        authorization: head_authorization(&parts),
        method: parts.method,
        body,
    });
    let is_from_peer = admitted.is_from_peer;
    let mut response = match forward(&state, &mut admitted, &template, &in_flight).await {
        Ok(Forwarded::Whole(response)) => {
            demand::record_served(&state, &admitted);
            let status = response.status().as_u16();
            record_end(&state, &admitted, status, None);
            full_response(response)
        }
        Ok(Forwarded::Stream(plan, reply)) => {
            demand::record_served(&state, &admitted);
            in_flight.enter(Phase::Streaming);
            let (mut parts, body) = reply.response.into_parts();
            parts.headers = response_forward_headers(parts.headers);
            let job = Job {
                state: state.clone(),
                request: admitted,
                template,
                in_flight,
            };
            let events = Events::new(job, *plan, body, reply.connection, &reply.info);
            Response::from_parts(parts, Either::Right(events))
        }
        Err(refusal) => {
            if !refusal.detail.is_empty() {
                log::info!(
                    request:% = admitted.id,
                    reason = refusal.detail;
                    "no target can accept the request"
                );
            }
            demand::record_refused(&state, &admitted, &refusal);
            record_end(&state, &admitted, refusal.code.status(), Some(refusal.code));
            if is_from_peer && refusal.code == Code::Stopping {
                return turned_away();
            }
            refusal_response(&admitted.id, &refusal)
        }
    };
    if !is_from_peer {
        response.headers_mut().remove(LEAVING_TARGET_HEADER);
    }
    close_if_stopping(&state, response)
}

/// Reads the body of an admitted request for as long as the request can still be answered.
///
/// # Errors
///
/// The response that refuses the request, which did not run.
async fn receive_body(
    state: &State,
    admitted: &Admission,
    body: Incoming,
    sender: &Sender,
) -> Result<Bytes, CallerResponse> {
    let body = read_body(state, admitted, body, sender);
    let body = tokio::select! {
        biased;
        body = deadline_within(state, admitted, body) => {
            body.unwrap_or(Err(Code::RequestTimeout))
        }
        () = stop_body_late(state, admitted) => Err(Code::Stopping),
    };
    body.map_err(|code| refuse_body(state, admitted, code))
}

/// The response to a request whose body is not read to its end.
fn refuse_body(state: &State, admitted: &Admission, code: Code) -> CallerResponse {
    log::info!(
        request:% = admitted.id,
        code = code.number();
        "request body could not be read"
    );
    let refusal = Refusal::not_run(code, "");
    let mut response = match code {
        Code::ShortOfMemory | Code::Stopping if admitted.is_from_peer => turned_away(),
        Code::ShortOfMemory => {
            let wait = memory_retry_after(state.router().random());
            refusal_response(&admitted.id, &refusal.with_retry_after(wait))
        }
        Code::Stopping => {
            refusal_response(&admitted.id, &refusal.with_retry_after(STOP_RETRY_AFTER))
        }
        _ => refusal_response(&admitted.id, &refusal),
    };
    state.metrics().record_body_refusal(code);
    set_unread_body(&mut response);
    response
}

fn close_if_stopping(state: &State, mut response: CallerResponse) -> CallerResponse {
    if state.is_stopping() {
        set_connection_close(&mut response);
    }
    response
}

/// Counts and logs the end of a request.
pub fn record_end(state: &State, admitted: &Admission, status: u16, code: Option<Code>) {
    let elapsed = state.now().saturating_sub(admitted.arrived_at);
    state
        .metrics()
        .record_request(admitted, status, code, elapsed);
    log::info!(
        request:% = admitted.id,
        fingerprint:% = format_args!("{:016x}", admitted.fingerprint),
        route = admitted.route.name,
        version = admitted.configuration_version,
        tokens:? = admitted.tokens,
        prompt_parts = describe_parts(&admitted.prompt_parts),
        status = status,
        code = code.map_or(0, Code::number),
        sends = admitted.counts.sends,
        runs = admitted.counts.runs,
        took_ms = millis(elapsed);
        "request ended"
    );
}

/// The identifiers of prompt parts, for the log.
fn describe_parts(parts: &[Fingerprint]) -> String {
    let parts = parts.iter().map(|part| format!("{part:016x}"));
    parts.collect::<Vec<_>>().join(",")
}

/// Logs the chosen target and the inputs of the choice.
pub fn log_plan(state: &State, admitted: &Admission, plan: &Plan) {
    let targets_age = state.feed().targets_age(state.now());
    log::info!(
        request:% = admitted.id,
        target_name:% = plan.target,
        path = plan.describe_path(),
        cost_ms = plan.path().map_or(0, |(path, _)| path.cost_ms() as u64),
        reserved = plan.reserved_tokens as u64,
        list_age_ms = targets_age.map_or(-1, |age| age.as_millis() as i64),
        through_peer = plan.is_detour();
        "target chosen"
    );
}

/// Reads the whole request body within the limits on size, time and memory.
async fn read_body(
    state: &State,
    admitted: &Admission,
    body: Incoming,
    sender: &Sender,
) -> Result<Bytes, Code> {
    let limits = state.limits();
    let time_left = admitted.time_left(admitted.arrived_at);
    let received = state.memory().receive(body, sender, limits.body_bytes);
    let received = timeout(time_left.min(limits.idle_timeout), received).await;
    received.unwrap_or(Err(Code::RequestTimeout))
}

enum Forwarded {
    Whole(Response<Bytes>),
    Stream(Box<Plan>, Box<TargetResponse>),
}

/// Records the end of a request that was sent as planned and has no answer.
pub fn cut_whole(state: &State, admitted: &Admission, plan: &Plan, cause: Cause) {
    let cut = Cut {
        cause,
        target: Some(plan.target.clone()),
        events: 0,
        silent_for: state.now().saturating_sub(plan.chosen_at),
    };
    cut_record(state, admitted, &cut);
}

/// A request that ends without an answer to its last send.
struct Unanswered {
    refusal: Refusal,
    /// The last send that got none, and why; `None` if nothing was sent.
    cut: Option<(Plan, Cause)>,
}

/// Sends a request, again after failures where that is allowed, until there is a response to
/// forward: the answer in hand where the last try came to nothing.
async fn forward(
    state: &State,
    admitted: &mut Admission,
    template: &Arc<Template>,
    in_flight: &InFlight,
) -> Result<Forwarded, Refusal> {
    let mut kept = Kept::default();
    let result = try_targets(state, admitted, template, in_flight, &mut kept).await;
    kept.restore(admitted);
    let Unanswered { refusal, cut } = match result {
        Ok(forwarded) => return Ok(forwarded),
        Err(unanswered) => unanswered,
    };
    if let Some(response) = kept.deliver(state, admitted, refusal.code.number()) {
        return Ok(Forwarded::Whole(response));
    }
    if let Some((plan, cause)) = cut {
        cut_whole(state, admitted, &plan, cause);
    }
    Err(refusal)
}

async fn try_targets(
    state: &State,
    admitted: &mut Admission,
    template: &Arc<Template>,
    in_flight: &InFlight,
    kept: &mut Kept,
) -> Result<Forwarded, Unanswered> {
    let mut last: Option<Plan> = None;
    loop {
        in_flight.enter(Phase::Waiting);
        kept.limit(admitted);
        let planned = waiting_plan(state, admitted).await;
        let plan = planned.map_err(|refusal| Unanswered {
            refusal,
            cut: last.take().map(|last| (last, Cause::NoPlace)),
        })?;
        in_flight.send(&plan);
        log_plan(state, admitted, &plan);
        let mut guard = SendGuard::new(state, admitted, plan.clone(), Some(kept));
        let sending = send_start(
            state,
            guard.admitted,
            &plan,
            template,
            None,
            &Arc::default(),
        );
        let result = send_finish(&mut guard, sending, template, None).await;
        let plan = guard.plan.clone().unwrap_or(plan);
        let failure = match result {
            Some(Ok(Reply::Whole(answer))) => {
                let is_success = !answer.is_failure();
                // A peer has tried again by itself.
                let retry = !is_success
                    && !plan.is_detour()
                    && guard.admitted.route.kind == Kind::Idempotent;
                match retry {
                    // The target ran the request and failed; another may succeed.
                    true => (Failure::Broken, None, Some(answer)),
                    false => {
                        guard.finish_send(Outcome::Answered { is_success });
                        drop(guard);
                        return Ok(Forwarded::Whole(kept.settle(state, admitted, *answer)));
                    }
                }
            }
            Some(Ok(Reply::Stream(reply))) => {
                guard.plan = None;
                guard.admitted.progress = Progress::Begun(state.now());
                return Ok(Forwarded::Stream(Box::new(plan), reply));
            }
            Some(Err((failure, faulty_target))) => (failure, faulty_target, None),
            None => {
                guard.finish_send(Outcome::Cancelled);
                drop(guard);
                admitted.counts.runs += 1;
                let router = state.router();
                let (code, cause) = match router.revision_deadline(admitted) > state.now() {
                    true => (Code::EndedFirst, Cause::Stop),
                    false => (Code::DeadlinePassed, Cause::Deadline),
                };
                let refusal = router.refusal(admitted, code);
                drop(router);
                let cut = Some((plan, cause));
                return Err(Unanswered { refusal, cut });
            }
        };
        let (failure, faulty_target, answer) = failure;
        let decision = guard.finish_send(Outcome::Failed(failure, faulty_target));
        drop(guard);
        if answer.is_some() {
            state.router().suspects.record_alive(&plan.target);
        }
        state.wake_prober();
        state.metrics().record_send_failure(failure_label(failure));
        log::info!(
            request:% = admitted.id,
            target_name:% = plan.target,
            failure:? = failure,
            at:? = faulty_target,
            next:? = decision;
            "send failed"
        );
        match (decision, answer) {
            (Decision::Again, answer) => {
                answer.into_iter().for_each(|answer| kept.keep(*answer));
                last = Some(plan);
            }
            (Decision::End(_), Some(answer)) => {
                return Ok(Forwarded::Whole(kept.settle(state, admitted, *answer)));
            }
            (Decision::End(code), None) => {
                let cause = match failure {
                    Failure::Broken | Failure::Unsent => Cause::Connection,
                    Failure::Outdated | Failure::Limited => Cause::NoPlace,
                    Failure::Refused => Cause::Refused,
                };
                let refusal = waiting_refusal(state, admitted, code);
                let cut = Some((plan, cause));
                return Err(Unanswered { refusal, cut });
            }
        }
    }
}

/// The `cause` label of a failed send in metrics.
pub fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::Unsent => "unsent",
        Failure::Outdated => "outdated",
        Failure::Limited => "limited",
        Failure::Refused => "refused",
        Failure::Broken => "broken",
    }
}
