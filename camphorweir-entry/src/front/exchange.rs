//! Sends a request to a target once, up to the head of the response.

use {
    crate::front::{
        pool::{CONNECT_TIMEOUT, Connection},
        state::State,
    },
    bytes::Bytes,
    camphorweir_platform::{
        head::head_encode,
        response::{Info, response_decode},
    },
    camphorweir_relay::{
        configuration::Kind,
        retry::Failure,
        router::{Admission, Plan},
    },
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, Response, body::Incoming},
    std::{io, net::SocketAddr},
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

/// How a send failed, and the address of the faulty target where it is known.
pub type SendError = (Failure, Option<SocketAddr>);

/// Sends a request to the planned target; `last_event_id` is set when a stream is resumed.
///
/// # Errors
///
/// [`SendError`]; only [`Failure::Unsent`] and [`Failure::Refused`] prove that the request did not
/// run.
pub async fn send_request(
    state: &State,
    admitted: &Admission,
    plan: &Plan,
    template: &Template,
    last_event_id: Option<&str>,
) -> Result<TargetResponse, SendError> {
    let unsent = (Failure::Unsent, None);
    // The target may be closing a pooled connection; a request that must run only once would then
    // have an unknown outcome.
    let pooled = match admitted.route.kind {
        Kind::AtMostOnce => None,
        _ => state.pool().take(plan.address),
    };
    let is_new = pooled.is_none();
    let mut connection = match pooled {
        Some(connection) => connection,
        None => open_to_target(state, admitted, plan).await.ok_or(unsent)?,
    };
    // Since the plan was made, the machine may have been suspended or the target may have left.
    let now = state.now();
    if !state.router().is_plan_valid(plan) || admitted.time_left(now).is_zero() {
        return Err(unsent);
    }
    let request = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str());
    let request = head_encode(
        request,
        &template.headers,
        admitted,
        plan,
        admitted.time_left(now),
        last_event_id,
    );
    let body = Full::new(template.body.clone());
    let request = request.body(body).map_err(|_| unsent)?;
    let result = connection.sender.try_send_request(request).await;
    let response = result.map_err(|mut error| match error.take_message() {
        Some(_) => unsent,
        None => (Failure::Broken, None),
    })?;
    if is_new {
        state.record_answer();
    }
    let (parts, body) = response.into_parts();
    let info = response_decode(&parts, &admitted.id);
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
            None
        }
    }
}
