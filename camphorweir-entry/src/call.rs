//! Handles a caller's request from its head to the response.

use {
    crate::{
        clock,
        core_task::{Arrival, DisconnectGuard, Handle, Input, Payload, Responder, TOKEN_QUEUE_LEN},
        fingerprint::fingerprint,
        memory::Memory,
        monitor::Activity,
        openai::{self, Api, ResponseTemplate, TokenRequest},
        refusal,
        routing::{self, Endpoint},
        settings::Limits,
        sse::{EventStream, PendingResponse, internal_error},
        text::Decoder,
    },
    bytes::Bytes,
    camphorweir_policy::call::{self as policy, Answered, Call, End, Plain},
    camphorweir_relay::memory::{Sender, memory_retry_after},
    camphorweir_wire::{
        code::Code,
        ids::{RequestId, Token},
        outcome::{self, Ran, Refusal},
    },
    http_body_util::{Either, Full},
    hyper::{
        HeaderMap, Request, Response, StatusCode, Version,
        body::Incoming,
        header::{
            ACCEPT, AUTHORIZATION, CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue,
        },
        http::request::Parts,
    },
    std::{
        net::{IpAddr, Ipv4Addr},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch},
        time::timeout,
    },
};

/// Request header with the key under which a request must not run twice.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// `Retry-After` while the limit on requests in flight is reached.
const QUEUE_FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A response with a complete or a streamed body.
pub type HttpResponse = Response<Either<Full<Bytes>, EventStream>>;

/// State that all requests of a listener share.
#[derive(Clone, Debug)]
pub struct State {
    /// Sends requests to the core.
    pub core_handle: Handle,
    /// Limits on requests and connections.
    pub limits: Limits,
    /// Result of the readiness check.
    pub ready: watch::Receiver<bool>,
    slots: Arc<Semaphore>,
    memory: Memory,
    /// Address of the caller, on one connection.
    pub(crate) address: IpAddr,
}

impl State {
    /// The state of a listener without requests in flight.
    pub fn new(core_handle: Handle, limits: Limits, ready: watch::Receiver<bool>) -> Self {
        Self {
            core_handle,
            limits,
            ready,
            slots: Arc::new(Semaphore::new(limits.requests)),
            memory: Memory::new(limits.memory),
            address: Ipv4Addr::UNSPECIFIED.into(),
        }
    }

    fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, Refusal> {
        let slot = self.slots.clone().try_acquire_owned();
        slot.map_err(|_| {
            Refusal::not_run(Code::QueueFull, "").with_retry_after(QUEUE_FULL_RETRY_AFTER)
        })
    }
}

/// Handles one request.
pub async fn handle(
    state: &State,
    activity: &Activity,
    request: Request<Incoming>,
) -> HttpResponse {
    let version = request.version();
    let mut response = dispatch(state, activity, request).await;
    if version <= Version::HTTP_11 && !*state.ready.borrow() {
        // The balancer routes the caller's next connection to an entry that is ready.
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn dispatch(state: &State, activity: &Activity, request: Request<Incoming>) -> HttpResponse {
    let id: RequestId = rand::random();
    let (head, body) = request.into_parts();
    match routing::find_endpoint(&head, state.limits.head) {
        Err(refusal) => refusal_response(id, &refusal),
        Ok(Endpoint::Health) => health_response(true),
        Ok(Endpoint::Ready) => health_response(*state.ready.borrow()),
        Ok(endpoint) => match receive(state, body).await {
            Err(refusal) => refusal_response(id, &refusal),
            Ok((body, slot)) => {
                let received = ReceivedRequest {
                    state,
                    activity,
                    id,
                    head: &head,
                    body,
                    slot,
                };
                match endpoint {
                    Endpoint::Service { route, path } => handle_plain(received, route, path).await,
                    Endpoint::Tokens(api) => handle_tokens(received, api).await,
                    Endpoint::Health | Endpoint::Ready => health_response(true),
                }
            }
        },
    }
}

/// A request whose body was received.
struct ReceivedRequest<'a> {
    state: &'a State,
    activity: &'a Activity,
    id: RequestId,
    head: &'a Parts,
    body: Bytes,
    slot: OwnedSemaphorePermit,
}

async fn receive(state: &State, body: Incoming) -> Result<(Bytes, OwnedSemaphorePermit), Refusal> {
    let slot = state.acquire_slot()?;
    let sender = Sender {
        address: state.address,
        // The key is checked later, by the core.
        workspace: None,
    };
    let limits = &state.limits;
    let body = state.memory.receive(body, &sender, limits.body);
    let body = timeout(limits.body_time, body).await;
    let body = body.unwrap_or(Err(Code::RequestTimeout));
    let body = body.map_err(|code| match code {
        Code::Malformed => Refusal::not_run(code, "The body was cut."),
        Code::ShortOfMemory => {
            let wait = memory_retry_after(rand::random());
            Refusal::not_run(code, "").with_retry_after(wait)
        }
        _ => Refusal::not_run(code, ""),
    });
    Ok((body?, slot))
}

/// Submits a request to the core.
async fn submit(
    received: ReceivedRequest<'_>,
    kind: policy::Kind,
    payload: Option<Payload>,
) -> Result<PendingResponse, Refusal> {
    let ReceivedRequest {
        state,
        activity,
        id,
        head,
        slot,
        ..
    } = received;
    let (tokens, token_receiver) = mpsc::channel(TOKEN_QUEUE_LEN);
    let (end, end_receiver) = oneshot::channel();
    let call = Call {
        id,
        key: key_hash(&head.headers),
        kind,
    };
    let responder = Responder {
        tokens,
        end,
        answer_guard: activity.await_answer(),
    };
    let payload = payload.map(Arc::new);
    let sent = state
        .core_handle
        .send(Input::Arrival(Box::new(Arrival {
            call,
            responder,
            payload,
        })))
        .await;
    sent.map_err(|_| Refusal::not_run(Code::Stopping, ""))?;
    Ok(PendingResponse {
        tokens: token_receiver,
        end: end_receiver,
        disconnect: DisconnectGuard::new(state.core_handle.clone(), id),
        slot,
    })
}

async fn handle_tokens(received: ReceivedRequest<'_>, api: Api) -> HttpResponse {
    let id = received.id;
    let request = match openai::parse(api, &received.body) {
        Ok(request) => request,
        Err(detail) => return refusal_response(id, &Refusal::not_run(Code::Malformed, &detail)),
    };
    let TokenRequest { tokens, stream } = request;
    let created = clock::wall().as_secs();
    let template = ResponseTemplate {
        api,
        request: id,
        model: tokens.pipeline.clone(),
        created,
    };
    match submit(received, policy::Kind::Tokens(tokens), None).await {
        Err(refusal) => refusal_response(id, &refusal),
        Ok(pending) if stream => stream_response(template, pending).await,
        Ok(pending) => collect_response(&template, pending).await,
    }
}

/// Sends the headers only with the first token, so that a refusal before it has its own status.
async fn stream_response(template: ResponseTemplate, mut pending: PendingResponse) -> HttpResponse {
    let id = template.request;
    let first_token = pending.tokens.recv().await;
    if first_token.is_none() {
        let end = (&mut pending.end).await;
        pending.disconnect.disarm();
        return match PendingResponse::check_end(end, 0) {
            Err(refusal) => refusal_response(id, &refusal),
            Ok(end) => {
                let text = format!(
                    "data: {}\n\ndata: [DONE]\n\n",
                    template.final_chunk("", end)
                );
                event_stream(id, Either::Left(Full::new(text.into())))
            }
        };
    }
    event_stream(
        id,
        Either::Right(EventStream::new(template, pending, first_token)),
    )
}

fn event_stream(id: RequestId, body: Either<Full<Bytes>, EventStream>) -> HttpResponse {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    // Whether the request runs to its end isn't known yet; the last event tells.
    refusal::set_outcome_headers(headers, id, Ran::Unknown);
    response
}

async fn collect_response(
    template: &ResponseTemplate,
    mut pending: PendingResponse,
) -> HttpResponse {
    let mut all_tokens: Vec<Token> = Vec::new();
    // The core limits a response to the pipeline's maximum length.
    while pending
        .tokens
        .recv_many(&mut all_tokens, TOKEN_QUEUE_LEN)
        .await
        > 0
    {}
    let end = (&mut pending.end).await;
    pending.disconnect.disarm();
    match PendingResponse::check_end(end, all_tokens.len()) {
        Err(refusal) => refusal_response(template.request, &refusal),
        Ok(end) => {
            let (mut decoder, mut text) = (Decoder::default(), String::new());
            decoder.push(&all_tokens, &mut text);
            decoder.finish(&mut text);
            let body = template.response(&text, &all_tokens, end).to_string();
            let mut response = Response::new(Either::Left(Full::new(body.into())));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            refusal::set_outcome_headers(headers, template.request, Ran::Yes);
            response
        }
    }
}

async fn handle_plain(received: ReceivedRequest<'_>, route: String, path: String) -> HttpResponse {
    let (id, head, body) = (received.id, received.head, received.body.clone());
    let idempotency = head.headers.get(IDEMPOTENCY_KEY);
    let idempotency = idempotency.map(|value| String::from_utf8_lossy(value.as_bytes()).into());
    let fingerprint = fingerprint(&[head.method.as_str(), &path], &body);
    let kind = policy::Kind::Plain(Plain {
        route,
        idempotency_key: idempotency,
        fingerprint,
    });
    let headers = forwarded_headers(&head.headers);
    let payload = Payload {
        method: head.method.clone(),
        path,
        headers,
        body,
    };
    let mut pending = match submit(received, kind, Some(payload)).await {
        Err(refusal) => return refusal_response(id, &refusal),
        Ok(pending) => pending,
    };
    let end = (&mut pending.end).await;
    pending.disconnect.disarm();
    match end {
        Ok(End::Answered(answered)) => forwarded_response(id, answered),
        Ok(End::Refused(refusal)) => refusal_response(id, &refusal),
        Ok(End::Finished(_)) => {
            refusal_response(id, &internal_error("The answer does not match its call."))
        }
        Err(_) => refusal_response(id, &internal_error("The entry is ending.")),
    }
}

fn forwarded_response(id: RequestId, answered: Answered) -> HttpResponse {
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
    refusal::set_outcome_headers(headers, id, Ran::Yes);
    if replayed {
        refusal::set_header(headers, outcome::REPLAYED_HEADER, "true");
    }
    response
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let names = [ACCEPT, CONTENT_TYPE, IDEMPOTENCY_KEY];
    let found = names
        .into_iter()
        .filter_map(|name| Some((name.clone(), headers.get(name)?)));
    found.map(|(name, value)| (name, value.clone())).collect()
}

/// Hash of the bearer key; empty without one.
fn key_hash(headers: &HeaderMap) -> String {
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

fn health_response(ok: bool) -> HttpResponse {
    let (status, text) = match ok {
        true => (StatusCode::OK, "ok\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    let mut response = Response::new(Either::Left(Full::new(Bytes::from_static(text.as_bytes()))));
    *response.status_mut() = status;
    response
}

fn refusal_response(id: RequestId, refusal: &Refusal) -> HttpResponse {
    refusal::response(id, refusal).map(Either::Left)
}
