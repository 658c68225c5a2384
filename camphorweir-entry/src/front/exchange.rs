//! Sends a request to a target once, up to the head of the response.

use {
    crate::{
        front::{
            permits::permits_acquire,
            pool::{CONNECT_TIMEOUT, Connection},
            state::State,
        },
        response_head::{Error, head_receive},
    },
    bytes::Bytes,
    camphorweir_platform::{
        head::{head_encode, head_encode_detour},
        response::{Info, response_decode, response_names_attempt},
    },
    camphorweir_relay::{
        configuration::Kind,
        ids::TargetId,
        retry::Failure,
        router::{Admission, Plan},
    },
    camphorweir_wire::detour::{
        LEAVING_TARGET_HEADER, RUNS_HEADER, TURNED_AWAY_HEADER, VERSION_HEADER,
    },
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        header::HeaderValue,
        http::{request, response::Parts},
    },
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
};

/// The parts of a request that are the same for every send.
#[derive(Clone, Debug)]
pub struct Template {
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// The caller's headers that are forwarded.
    pub headers: HeaderMap,
    /// The caller's key as it was sent, which only peers get.
    pub authorization: Option<HeaderValue>,
    /// The whole body.
    pub body: Bytes,
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct TargetResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// Decoded headers of the response.
    pub info: Info,
    /// The connection on which the body arrives.
    pub connection: Connection,
}

/// Set as a send leaves for its target, from when on the request may run there.
pub type Departure = Arc<AtomicBool>;

/// How a send failed, and the address of the faulty target where it is known.
pub type SendError = (Failure, Option<SocketAddr>);

/// Sends a request to the planned target; `last_event_id` is set when a stream is resumed. `departure` is set
/// as it leaves.
///
/// # Errors
///
/// [`SendError`]; all but [`Failure::Broken`] prove that the request did not run.
pub async fn send_request(
    state: &State,
    admitted: &Admission,
    plan: &Plan,
    template: &Template,
    last_event_id: Option<&str>,
    departure: &Departure,
) -> Result<TargetResponse, SendError> {
    let unsent = (Failure::Unsent, None);
    let permit = permits_acquire(state, admitted, plan).await;
    let permit = permit.ok_or((Failure::Limited, None))?;
    // The target may be closing a pooled connection; a request that must run only once would then
    // have an unknown outcome.
    let pooled = match admitted.route.kind {
        Kind::AtMostOnce => None,
        _ if plan.is_detour() => None,
        _ => state.pool().take(plan.address),
    };
    let is_new = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None if plan.is_detour() => open_to_peer(admitted.time_left(state.now()), plan)
            .await
            .ok_or(unsent)?,
        None => open_to_target(state, admitted, plan).await.ok_or(unsent)?,
    };
    // Since the plan was made, the machine may have been suspended or the target may have left.
    let now = state.now();
    let is_valid = state.router().is_plan_valid(plan, now) && permit.is_valid(now);
    if !is_valid || admitted.time_left(now).is_zero() {
        return Err((Failure::Outdated, None));
    }
    let request = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str());
    let time_left = admitted.time_left(now);
    let request = match plan.is_detour() {
        true => detour_encode(state, request, admitted, template, time_left, last_event_id),
        false => head_encode(
            request,
            &template.headers,
            admitted,
            plan,
            time_left,
            last_event_id,
        ),
    };
    let body = Full::new(template.body.clone());
    let request = request.body(body).map_err(|_| unsent)?;
    connection.expect_next();
    departure.store(true, Ordering::Relaxed);
    let sender = &mut connection.sender;
    let result = head_receive(request, |request| async {
        let sent = sender.try_send_request(request).await;
        sent.map_err(|mut error| match error.take_message() {
            Some(_) => Error::Unsent,
            None => Error::connection(error.error()),
        })
    });
    let result = result.await;
    if is_new && !plan.is_detour() {
        match result {
            Ok(_) => state.record_answer(&plan.target),
            // The connection ended before any response.
            Err(_) => state.record_silence(&plan.target),
        }
    }
    let response = result.map_err(|error| match error {
        Error::Unsent => unsent,
        error => {
            log::info!(
                request:% = admitted.id,
                target_name:% = plan.target,
                reason:% = error;
                "no response to a request that was sent"
            );
            (Failure::Broken, None)
        }
    })?;
    let (mut parts, body) = response.into_parts();
    if plan.is_detour() && is_turned_away(&parts) {
        return Err((Failure::Refused, None));
    }
    let info = response_decode(&parts, &admitted.id);
    let leaving = match plan.is_detour() {
        true => leaving_target(&parts),
        false => info.is_leaving.then(|| plan.target.clone()),
    };
    if let Some(target) = &leaving {
        state.record_leaving(target, plan.chosen_at);
        set_leaving_target(&mut parts, target);
    }
    if !plan.is_detour() {
        state.record_limit(&plan.target, info.limit, now);
    }
    if let Some(wait) = info.retry_after.filter(|_| !plan.is_detour()) {
        state.record_closed(&plan.target, wait);
    }
    if !info.is_for_attempt {
        log::warn!(
            request:% = admitted.id,
            target_name:% = plan.target;
            "response belongs to another request; discarded"
        );
        return Err((Failure::Broken, None));
    }
    if info.is_not_run {
        return Err((Failure::Refused, info.faulty_target));
    }
    if parts.status.is_success() && !info.is_sealed {
        return Err((Failure::Broken, None));
    }
    Ok(TargetResponse {
        response: Response::from_parts(parts, body),
        info,
        connection,
    })
}

async fn open_to_target(state: &State, admitted: &Admission, plan: &Plan) -> Option<Connection> {
    let time_left = admitted.time_left(state.now());
    let source = state.settings().target_source;
    match Connection::open(plan.address, source, time_left).await {
        Ok(connection) => Some(connection),
        Err(error) => {
            log::debug!(target_name:% = plan.target, reason:% = error; "no connection to target");
            // A caller with little time left says nothing of the target.
            if error.kind() != io::ErrorKind::TimedOut || time_left >= CONNECT_TIMEOUT {
                state.record_silence(&plan.target);
            }
            if error.kind() == io::ErrorKind::ConnectionRefused {
                state.record_end(&plan.target);
            }
            None
        }
    }
}

async fn open_to_peer(time_left: Duration, plan: &Plan) -> Option<Connection> {
    let opened = Connection::open(plan.address, None, time_left).await;
    opened
        .inspect_err(|error| {
            log::info!(peer:% = plan.target, reason:% = error; "no connection to peer");
        })
        .ok()
}

/// Sets the headers of a request that goes through a peer.
fn detour_encode(
    state: &State,
    request: request::Builder,
    admitted: &Admission,
    template: &Template,
    time_left: Duration,
    last_event_id: Option<&str>,
) -> request::Builder {
    let request = head_encode_detour(
        request,
        &template.headers,
        template.authorization.as_ref(),
        time_left,
        last_event_id,
    );
    request
        .header(VERSION_HEADER, state.configuration_version())
        .header(RUNS_HEADER, admitted.counts.runs)
}

/// The target that a peer names as about to shut down.
fn leaving_target(parts: &Parts) -> Option<TargetId> {
    let value = parts.headers.get(LEAVING_TARGET_HEADER)?;
    Some(value.to_str().ok()?.into())
}

/// Names the target that is about to shut down, for a peer that passes the response on.
fn set_leaving_target(parts: &mut Parts, target: &TargetId) {
    if let Ok(value) = HeaderValue::from_str(target) {
        parts.headers.insert(LEAVING_TARGET_HEADER, value);
    }
}

/// Whether a peer did not look at a request. An instance of an earlier release serves none for peers:
/// it refuses the path or the body, and names no attempt.
fn is_turned_away(parts: &Parts) -> bool {
    let is_unknown = matches!(
        parts.status,
        StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST
    );
    let names_attempt = response_names_attempt(&parts.headers);
    parts.headers.contains_key(TURNED_AWAY_HEADER) || is_unknown && !names_attempt
}
