//! A caller's request from its head to its answer.

use {
    crate::{
        front::{
            answer::{Answer, closing, refusal, whole},
            exchange::{Copy, Lack, Reply, exchange_send},
            stall::stall_or,
            stream::{Events, Job},
            world::World,
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
pub async fn call_answer(world: World, request: Request<Incoming>) -> Answer {
    let open = world.open();
    let (parts, body) = request.into_parts();
    let head = head_decode(&parts);
    let arrived = world.now();
    let admitted = match world.stopped_for() {
        Some(time) if time > STOP_TAKES => {
            Err(Refusal::not_run(Code::Stopping, "").after(STOP_RETRY))
        }
        _ => world.desk().admit(&head, arrived),
    };
    let mut ticket = match admitted {
        Ok(ticket) => ticket,
        Err(refused) => {
            log::info!(request:% = head.id, code = refused.code.number(), path = head.path; "request refused at arrival");
            return finish(&world, refusal(&head.id, &refused));
        }
    };
    let limits = world.limits();
    let body = match read(body, limits, ticket.left(arrived)).await {
        Ok(body) => body,
        Err(code) => {
            log::info!(request:% = ticket.id, code = code.number(); "request not read");
            let mut answer = refusal(&ticket.id, &Refusal::not_run(code, ""));
            closing(&mut answer);
            return answer;
        }
    };
    let path = parts.uri.path_and_query();
    let copy = Copy {
        path: path.map_or("/", |path| path.as_str()).to_owned(),
        headers: head_common(&parts),
        method: parts.method,
        body,
    };
    let answer = match serve(&world, &mut ticket, &copy).await {
        Ok(Served::Whole(response)) => {
            let status = response.status().as_u16();
            told(&world, &ticket, status, None);
            whole(response)
        }
        Ok(Served::Stream(plan, reply)) => {
            let (mut parts, body) = reply.response.into_parts();
            parts.headers = answer_headers(parts.headers);
            let job = Job {
                world: world.clone(),
                ticket,
                copy,
                open,
            };
            let events = Events::new(job, *plan, body, reply.line, &reply.facts);
            Response::from_parts(parts, Either::Right(events))
        }
        Err(refused) => {
            if !refused.detail.is_empty() {
                log::info!(request:% = ticket.id, reason = refused.detail; "nothing can take a request");
            }
            told(&world, &ticket, refused.code.status(), Some(refused.code));
            refusal(&ticket.id, &refused)
        }
    };
    finish(&world, answer)
}

fn finish(world: &World, mut answer: Answer) -> Answer {
    if world.stopping() {
        closing(&mut answer);
    }
    answer
}

/// The line on the end of a request.
pub fn told(world: &World, ticket: &Ticket, status: u16, code: Option<Code>) {
    let took = world.now().saturating_sub(ticket.arrived);
    world.meter().ended(ticket, status, code, took);
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
pub fn told_plan(world: &World, ticket: &Ticket, plan: &Plan) {
    let age = world.feed().listed_age(world.now());
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
    Stream(Box<Plan>, Box<Reply>),
}

/// Gives back what a send holds when the caller leaves in the middle of it.
struct Held<'a> {
    world: &'a World,
    ticket: &'a mut Ticket,
    plan: Option<Plan>,
}

impl Held<'_> {
    fn settle(&mut self, outcome: Outcome) -> Next {
        let now = self.world.now();
        match self.plan.take() {
            Some(plan) => self.world.desk().settle(self.ticket, &plan, outcome, now),
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
async fn serve(world: &World, ticket: &mut Ticket, copy: &Copy) -> Result<Served, Refusal> {
    let id = ticket.id.clone();
    loop {
        let now = world.now();
        let planned = world.desk().plan(ticket, now);
        let plan = match planned {
            Ok(plan) => plan,
            Err(refused) if world.desk().may_wait(ticket, &refused, now) => {
                sleep(ROOM_LOOK).await;
                continue;
            }
            Err(refused) => return Err(refused),
        };
        let left = ticket.left(now);
        told_plan(world, ticket, &plan);
        let mut held = Held {
            world,
            plan: Some(plan.clone()),
            ticket,
        };
        let turn = turn(world, held.ticket, &plan, copy);
        let turn = stall_or(world, &id, &plan, turn);
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
                return Err(world.desk().refuse(ticket, Code::DeadlinePassed));
            }
        };
        let (failure, at, answer) = failure;
        let next = held.settle(Outcome::Failed(failure, at));
        world.ask_soon();
        drop(held);
        world.meter().failed(cause(failure));
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
            (Next::End(code), None) => return Err(world.desk().refuse(ticket, code)),
        }
    }
}

/// The word for a failure in metrics.
pub fn cause(failure: Failure) -> &'static str {
    match failure {
        Failure::Unsent => "unsent",
        Failure::Refused => "refused",
        Failure::Broken => "broken",
    }
}

enum Turn {
    Whole(Response<Bytes>),
    Stream(Box<Reply>),
}

/// One send, up to the head of a stream or a whole answer.
async fn turn(world: &World, ticket: &Ticket, plan: &Plan, copy: &Copy) -> Result<Turn, Lack> {
    let reply = exchange_send(world, ticket, plan, copy, None).await?;
    let streams = matches!(ticket.route.kind, Kind::Stream { .. });
    if streams && reply.response.status().is_success() {
        return Ok(Turn::Stream(Box::new(reply)));
    }
    let (mut parts, body) = reply.response.into_parts();
    let body = Limited::new(body, MOST_ANSWER).collect().await;
    let body = body.map_err(|_| (Failure::Broken, None))?.to_bytes();
    if !reply.facts.closes && ticket.route.kind != Kind::Once {
        let most = plan.connections;
        world
            .pool()
            .put(plan.address, reply.line, reply.facts.keep, most);
    }
    parts.headers = answer_headers(parts.headers);
    Ok(Turn::Whole(Response::from_parts(parts, body)))
}
