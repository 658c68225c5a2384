//! A caller's request from its head to its answer.

use {
    crate::{
        clock,
        conn::Activity,
        core_task::{Arrival, DisconnectGuard, Handle, Input, Payload, Responder, TOKEN_QUEUE_LEN},
        openai::{self, Ask, Shape, Style},
        place::{self, Place},
        refuse,
        settings::Limits,
        sse::{Answer, Stream, broken},
        text::Decoder,
    },
    bytes::Bytes,
    camphorweir_policy::call::{self as policy, Answered, Call, End, Plain},
    camphorweir_wire::{
        code::Code,
        ids::{RequestId, Token},
        outcome::{self, Ran, Refusal},
    },
    http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Version,
        body::{Body, Incoming},
        header::{
            ACCEPT, AUTHORIZATION, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue,
        },
        http::request::Parts,
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

/// Request header that names a call which must not run twice.
const IDEMPOTENCY: HeaderName = HeaderName::from_static("idempotency-key");

/// When to come back while every place for a request is taken.
const FULL_WAIT: Duration = Duration::from_secs(1);

/// An answer: whole, or as it grows.
pub type Reply = Response<Either<Full<Bytes>, Stream>>;

/// What all calls of a listener share.
#[derive(Clone, Debug)]
pub struct Desk {
    /// The way to the core.
    pub core_handle: Handle,
    /// Bounds.
    pub limits: Limits,
    /// What the readiness check says.
    pub ready: watch::Receiver<bool>,
    slots: Arc<Semaphore>,
}

impl Desk {
    /// A desk with every place free.
    pub fn new(core_handle: Handle, limits: Limits, ready: watch::Receiver<bool>) -> Self {
        Self {
            core_handle,
            limits,
            ready,
            slots: Arc::new(Semaphore::new(limits.requests)),
        }
    }

    fn slot(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        let slot = self.slots.clone().try_acquire_owned();
        slot.map_err(|_| Refusal::not_run(Code::QueueFull, "").after(FULL_WAIT))
    }
}

/// Answers one request.
pub async fn answer(desk: &Desk, activity: &Activity, request: Request<Incoming>) -> Reply {
    let version = request.version();
    let mut reply = serve(desk, activity, request).await;
    if version <= Version::HTTP_11 && !*desk.ready.borrow() {
        // The caller's next connection goes, by the balancer, to an entry that is ready.
        reply
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn serve(desk: &Desk, activity: &Activity, request: Request<Incoming>) -> Reply {
    let id: RequestId = rand::random();
    let (head, body) = request.into_parts();
    match place::find(&head, desk.limits.head) {
        Err(refusal) => refused(id, &refusal),
        Ok(Place::Health) => check(true),
        Ok(Place::Ready) => check(*desk.ready.borrow()),
        Ok(place) => match receive(desk, body).await {
            Err(refusal) => refused(id, &refusal),
            Ok((body, slot)) => {
                let order = Order {
                    desk,
                    activity,
                    id,
                    head: &head,
                    body,
                    slot,
                };
                match place {
                    Place::Service { route, path } => plain(order, route, path).await,
                    Place::Tokens(style) => tokens(order, style).await,
                    Place::Health | Place::Ready => check(true),
                }
            }
        },
    }
}

/// A request that arrived whole.
struct Order<'a> {
    desk: &'a Desk,
    activity: &'a Activity,
    id: RequestId,
    head: &'a Parts,
    body: Bytes,
    slot: OwnedSemaphorePermit,
}

async fn receive(desk: &Desk, body: Incoming) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
    let slot = desk.slot()?;
    Ok((read(body, &desk.limits).await?, slot))
}

async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, Refusal> {
    let announced = body.size_hint().lower();
    if usize::try_from(announced).map_or(true, |size| size > limits.body) {
        return Err(Refusal::not_run(Code::BodyTooLarge, ""));
    }
    let whole = timeout(limits.body_time, Limited::new(body, limits.body).collect()).await;
    match whole {
        Err(_) => Err(Refusal::not_run(Code::RequestTimeout, "")),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err(Refusal::not_run(Code::BodyTooLarge, ""))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Code::Malformed, "The body was cut.")),
    }
}

/// Hands a request to the core.
async fn submit(
    order: Order<'_>,
    ask: policy::Ask,
    payload: Option<Payload>,
) -> Result<Answer, Refusal> {
    let Order {
        desk,
        activity,
        id,
        head,
        slot,
        ..
    } = order;
    let (tokens, coming) = mpsc::channel(TOKEN_QUEUE_LEN);
    let (end, ending) = oneshot::channel();
    let call = Call {
        id,
        key: key(&head.headers),
        ask,
    };
    let responder = Responder {
        tokens,
        end,
        pending_answer: activity.await_answer(),
    };
    let payload = payload.map(Arc::new);
    let sent = desk
        .core_handle
        .send(Input::Arrival(Box::new(Arrival {
            call,
            responder,
            payload,
        })))
        .await;
    sent.map_err(|_| Refusal::not_run(Code::Stopping, ""))?;
    Ok(Answer {
        tokens: coming,
        end: ending,
        disconnect: DisconnectGuard::new(desk.core_handle.clone(), id),
        slot,
    })
}

async fn tokens(order: Order<'_>, style: Style) -> Reply {
    let id = order.id;
    let ask = match openai::parse(style, &order.body) {
        Ok(ask) => ask,
        Err(detail) => return refused(id, &Refusal::not_run(Code::Malformed, &detail)),
    };
    let Ask { tokens, stream } = ask;
    let created = clock::wall().as_secs();
    let shape = Shape {
        style,
        request: id,
        model: tokens.pipeline.clone(),
        created,
    };
    match submit(order, policy::Ask::Tokens(tokens), None).await {
        Err(refusal) => refused(id, &refusal),
        Ok(answer) if stream => streamed(shape, answer).await,
        Ok(answer) => collected(&shape, answer).await,
    }
}

/// The headers of a stream wait for its first token, so that a refusal has a status of its own.
async fn streamed(shape: Shape, mut answer: Answer) -> Reply {
    let id = shape.request;
    let first = answer.tokens.recv().await;
    if first.is_none() {
        let end = (&mut answer.end).await;
        answer.disconnect.disarm();
        return match Answer::check(end, 0) {
            Err(refusal) => refused(id, &refusal),
            Ok(end) => {
                let text = format!("data: {}\n\ndata: [DONE]\n\n", shape.last("", end));
                event_stream(id, Either::Left(Full::new(text.into())))
            }
        };
    }
    event_stream(id, Either::Right(Stream::new(shape, answer, first)))
}

fn event_stream(id: RequestId, body: Either<Full<Bytes>, Stream>) -> Reply {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // Whether it runs to its end is not known yet; the last event says so.
    refuse::mark(headers, id, Ran::Unknown);
    response
}

async fn collected(shape: &Shape, mut answer: Answer) -> Reply {
    let mut all: Vec<Token> = Vec::new();
    // The core bounds an answer by the pipeline's longest.
    while answer.tokens.recv_many(&mut all, TOKEN_QUEUE_LEN).await > 0 {}
    let end = (&mut answer.end).await;
    answer.disconnect.disarm();
    match Answer::check(end, all.len()) {
        Err(refusal) => refused(shape.request, &refusal),
        Ok(end) => {
            let (mut decoder, mut text) = (Decoder::default(), String::new());
            decoder.push(&all, &mut text);
            decoder.finish(&mut text);
            let body = shape.whole(&text, &all, end).to_string();
            let mut response = Response::new(Either::Left(Full::new(body.into())));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            refuse::mark(headers, shape.request, Ran::Yes);
            response
        }
    }
}

async fn plain(order: Order<'_>, route: String, path: String) -> Reply {
    let (id, head, body) = (order.id, order.head, order.body.clone());
    let idempotency = head.headers.get(IDEMPOTENCY);
    let idempotency = idempotency.map(|value| String::from_utf8_lossy(value.as_bytes()).into());
    let fingerprint = fingerprint(&head.method, &path, &body);
    let ask = policy::Ask::Plain(Plain {
        route,
        idempotency,
        fingerprint,
    });
    let headers = passed_on(&head.headers);
    let payload = Payload {
        method: head.method.clone(),
        path,
        headers,
        body,
    };
    let mut answer = match submit(order, ask, Some(payload)).await {
        Err(refusal) => return refused(id, &refusal),
        Ok(answer) => answer,
    };
    let end = (&mut answer.end).await;
    answer.disconnect.disarm();
    match end {
        Ok(End::Answered(answered)) => passed_back(id, answered),
        Ok(End::Refused(refusal)) => refused(id, &refusal),
        Ok(End::Finished(_)) => refused(id, &broken("The answer does not match its call.")),
        Err(_) => refused(id, &broken("The entry is ending.")),
    }
}

fn passed_back(id: RequestId, answered: Answered) -> Reply {
    let Answered { answer, replayed } = answered;
    let mut response = Response::new(Either::Left(Full::new(answer.body.into())));
    let status = StatusCode::from_u16(answer.status);
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&answer.content_type)
        && !value.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    refuse::mark(headers, id, Ran::Yes);
    if replayed {
        refuse::set(headers, outcome::REPLAYED, "true");
    }
    response
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let names = [ACCEPT, CONTENT_TYPE, IDEMPOTENCY];
    let found = names
        .into_iter()
        .filter_map(|name| Some((name.clone(), headers.get(name)?)));
    found.map(|(name, value)| (name, value.clone())).collect()
}

/// Hash over method, path and body, the first two with their lengths so that none runs into the next.
fn fingerprint(method: &Method, path: &str, body: &[u8]) -> u64 {
    let mut hash = blake3::Hasher::new();
    for part in [method.as_str().as_bytes(), path.as_bytes()] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hash.update(body);
    let mut bytes = [0; 8];
    hash.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}

/// Hash of the bearer key; empty when there is none.
fn key(headers: &HeaderMap) -> String {
    let value = headers
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then_some(key.trim())
    });
    match key {
        Some(key) if !key.is_empty() => blake3::hash(key.as_bytes()).to_hex().to_string(),
        _ => String::new(),
    }
}

fn check(good: bool) -> Reply {
    let (status, text) = match good {
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

fn refused(id: RequestId, refusal: &Refusal) -> Reply {
    refuse::response(id, refusal).map(Either::Left)
}
