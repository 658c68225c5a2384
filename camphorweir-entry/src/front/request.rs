//! A caller's request from its head to its answer.

use {
    crate::{
        front::{
            exchange::{SendError, TargetResponse, Template, send_request},
            response::{CallerResponse, full_response, refusal_response, set_connection_close},
            stall::with_stall_check,
            state::State,
            stream::{Events, Job},
        },
        units::millis,
    },
    bytes::Bytes,
    camphorweir_platform::{
        answer::answer_headers,
        head::{head_common, head_decode},
    },
    camphorweir_relay::{
        desk::{Outcome, Plan, Ticket},
        repeat::{Failure, Next},
        site::{Kind, Limits},
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    http_body_util::{BodyExt, Either, LengthLimitError, Limited},
    hyper::{Request, Response, body::Incoming},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Largest whole answer of a target, in bytes; far above what plain services send.
const MOST_ANSWER: usize = 8 << 20;

/// Requests that come later than this after a stop began are refused, as a stream could not end
/// before the process must; the balancer has sent new connections elsewhere by then.
const STOP_TAKES: Duration = Duration::from_millis(2800);
/// When to come back to another entry.
const STOP_RETRY: Duration = Duration::from_millis(50);

/// Pause between looks for room while a request is held for it.
const ROOM_LOOK: Duration = Duration::from_millis(15);

/// Answers a request.
pub async fn handle_request(state: State, request: Request<Incoming>) -> CallerResponse {
    let in_flight = state.track_request();
    let (parts, body) = request.into_parts();
    let head = head_decode(&parts);
    let arrived = state.now();
    let admitted = match state.stopping_for() {
        Some(time) if time > STOP_TAKES => {
            Err(Refusal::not_run(Code::Stopping, "").after(STOP_RETRY))
        }
        _ => state.router().admit(&head, arrived),
    };
    let mut ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refused) => {
            log::info!(request:% = head.id, code = refused.code.number(), path = head.path; "request refused at arrival");
            return finish(&state, refusal_response(&head.id, &refused));
        }
    };
    let limits = state.limits();
    let body = match read(body, limits, ticket.left(arrived)).await {
        Ok(body) => body,
        Err(code) => {
            log::info!(request:% = ticket.id, code = code.number(); "request not read");
            let mut answer = refusal_response(&ticket.id, &Refusal::not_run(code, ""));
            set_connection_close(&mut answer);
            return answer;
        }
    };
    let path = parts.uri.path_and_query();
    let template = Template {
        path: path.map_or("/", |path| path.as_str()).to_owned(),
        headers: head_common(&parts),
        method: parts.method,
        body,
    };
    let answer = match serve(&state, &mut ticket, &template).await {
        Ok(Served::Whole(response)) => {
            let status = response.status().as_u16();
            record_end(&state, &ticket, status, None);
            full_response(response)
        }
        Ok(Served::Stream(plan, reply)) => {
            let (mut parts, body) = reply.response.into_parts();
            parts.headers = answer_headers(parts.headers);
            let job = Job {
                state: state.clone(),
                ticket,
                template,
                in_flight,
            };
            let events = Events::new(job, *plan, body, reply.connection, &reply.facts);
            Response::from_parts(parts, Either::Right(events))
        }
        Err(refused) => {
            if !refused.detail.is_empty() {
                log::info!(request:% = ticket.id, reason = refused.detail; "nothing can take a request");
            }
            record_end(&state, &ticket, refused.code.status(), Some(refused.code));
            refusal_response(&ticket.id, &refused)
        }
    };
    finish(&state, answer)
}

fn finish(state: &State, mut answer: CallerResponse) -> CallerResponse {
    if state.is_stopping() {
        set_connection_close(&mut answer);
    }
    answer
}

/// The line on the end of a request.
pub fn record_end(state: &State, ticket: &Ticket, status: u16, code: Option<Code>) {
    let took = state.now().saturating_sub(ticket.arrived);
    state.metrics().record_request(ticket, status, code, took);
    log::info!(
        request:% = ticket.id,
        route = ticket.route.name,
        version = ticket.version,
        tokens:? = ticket.tokens,
        status = status,
        code = code.map_or(0, Code::number),
        sends = ticket.tally.sends,
        runs = ticket.tally.runs,
        took_ms = millis(took);
        "request ended"
    );
}

/// The line on where a request goes, with what the choice rests on.
pub fn log_plan(state: &State, ticket: &Ticket, plan: &Plan) {
    let age = state.feed().targets_age(state.now());
    log::info!(
        request:% = ticket.id,
        target_name:% = plan.target,
        path = plan.text(),
        cost_ms = plan.path.as_ref().map_or(0, |(path, _)| path.cost() as u64),
        reserved = plan.tokens as u64,
        list_age_ms = age.map_or(-1, |age| age.as_millis() as i64);
        "target chosen"
    );
}

/// Reads a whole body within the bounds.
async fn read(body: Incoming, limits: Limits, left: Duration) -> Result<Bytes, Code> {
    let collected = Limited::new(body, limits.body).collect();
    match timeout(left.min(limits.idle), collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Code::BodyTooLarge),
        Ok(Err(_)) => Err(Code::Malformed),
        Err(_) => Err(Code::RequestTimeout),
    }
}

enum Served {
    Whole(Response<Bytes>),
    Stream(Box<Plan>, Box<TargetResponse>),
}

/// Gives back what a send holds when the caller leaves in the middle of it.
struct Held<'a> {
    state: &'a State,
    ticket: &'a mut Ticket,
    plan: Option<Plan>,
}

impl Held<'_> {
    fn settle(&mut self, outcome: Outcome) -> Next {
        let now = self.state.now();
        match self.plan.take() {
            Some(plan) => self.state.router().settle(self.ticket, &plan, outcome, now),
            None => Next::End(Code::Internal),
        }
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if self.plan.is_some() {
            log::info!(request:% = self.ticket.id; "caller left or time is over");
            self.settle(Outcome::Dropped);
        }
    }
}

/// Sends a request until there is an answer to pass on.
async fn serve(state: &State, ticket: &mut Ticket, template: &Template) -> Result<Served, Refusal> {
    let id = ticket.id.clone();
    loop {
        let now = state.now();
        let planned = state.router().plan(ticket, now);
        let plan = match planned {
            Ok(plan) => plan,
            Err(refused) if state.router().may_wait(ticket, &refused, now) => {
                sleep(ROOM_LOOK).await;
                continue;
            }
            Err(refused) => return Err(refused),
        };
        let left = ticket.left(now);
        log_plan(state, ticket, &plan);
        let mut held = Held {
            state,
            plan: Some(plan.clone()),
            ticket,
        };
        let turn = turn(state, held.ticket, &plan, template);
        let turn = with_stall_check(state, &id, &plan, turn);
        let done = timeout(left, turn).await;
        let failure = match done {
            Ok(Ok(Turn::Whole(response))) => {
                let good = !response.status().is_server_error();
                let again = !good && held.ticket.route.kind == Kind::Repeatable;
                match again {
                    // The target ran it and failed; another may do better.
                    true => (Failure::Broken, None, Some(response)),
                    false => {
                        held.settle(Outcome::Answered { good });
                        return Ok(Served::Whole(response));
                    }
                }
            }
            Ok(Ok(Turn::Stream(reply))) => {
                held.plan = None;
                return Ok(Served::Stream(Box::new(plan), reply));
            }
            Ok(Err((failure, at))) => (failure, at, None),
            Err(_) => {
                held.settle(Outcome::Dropped);
                drop(held);
                ticket.tally.runs += 1;
                return Err(state.router().refuse(ticket, Code::DeadlinePassed));
            }
        };
        let (failure, at, answer) = failure;
        let next = held.settle(Outcome::Failed(failure, at));
        state.wake_prober();
        drop(held);
        state.metrics().record_send_failure(failure_label(failure));
        log::info!(
            request:% = ticket.id,
            target_name:% = plan.target,
            failure:? = failure,
            at:? = at,
            next:? = next;
            "send failed"
        );
        match (next, answer) {
            (Next::Again, _) => {}
            (Next::End(_), Some(answer)) => return Ok(Served::Whole(answer)),
            (Next::End(code), None) => return Err(state.router().refuse(ticket, code)),
        }
    }
}

/// The word for a failure in metrics.
pub fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::Unsent => "unsent",
        Failure::Refused => "refused",
        Failure::Broken => "broken",
    }
}

enum Turn {
    Whole(Response<Bytes>),
    Stream(Box<TargetResponse>),
}

/// One send, up to the head of a stream or a whole answer.
async fn turn(
    state: &State,
    ticket: &Ticket,
    plan: &Plan,
    template: &Template,
) -> Result<Turn, SendError> {
    let reply = send_request(state, ticket, plan, template, None).await?;
    let streams = matches!(ticket.route.kind, Kind::Stream { .. });
    if streams && reply.response.status().is_success() {
        return Ok(Turn::Stream(Box::new(reply)));
    }
    let (mut parts, body) = reply.response.into_parts();
    let body = Limited::new(body, MOST_ANSWER).collect().await;
    let body = body.map_err(|_| (Failure::Broken, None))?.to_bytes();
    if !reply.facts.closes && ticket.route.kind != Kind::Once {
        let most = plan.connections;
        state
            .pool()
            .put(plan.address, reply.connection, reply.facts.keep, most);
    }
    parts.headers = answer_headers(parts.headers);
    Ok(Turn::Whole(Response::from_parts(parts, body)))
}
