//! One send of a request to a target, up to the head of the answer.

use {
    crate::front::{pool::Connection, state::State},
    bytes::Bytes,
    camphorweir_platform::{
        answer::{Facts, answer_decode},
        head::head_encode,
    },
    camphorweir_relay::{
        desk::{Plan, Ticket},
        repeat::Failure,
        site::Kind,
    },
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, Response, body::Incoming},
    std::net::SocketAddr,
};

/// What every send of a request has in common.
#[derive(Clone, Debug)]
pub struct Template {
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// The caller's headers that travel on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The beginning of an answer.
#[derive(Debug)]
pub struct TargetResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What the head tells.
    pub facts: Facts,
    /// The connection that the body comes on.
    pub connection: Connection,
}

/// Why there is no answer, and the target at fault where it was named.
pub type SendError = (Failure, Option<SocketAddr>);

/// Sends a request.
///
/// # Errors
///
/// [`Lack`]; only [`Failure::Unsent`] and [`Failure::Refused`] prove that it did not run.
pub async fn send_request(
    state: &State,
    ticket: &Ticket,
    plan: &Plan,
    template: &Template,
    after: Option<&str>,
) -> Result<TargetResponse, SendError> {
    let unsent = (Failure::Unsent, None);
    // A pooled connection may be closing at the far end, which would leave a request in doubt that
    // may run only once.
    let pooled = match ticket.route.kind {
        Kind::Once => None,
        _ => state.pool().take(plan.address),
    };
    let mut connection = match pooled {
        Some(connection) => connection,
        None => {
            let within = ticket.left(state.now());
            Connection::open(plan.address, within)
                .await
                .map_err(|_| unsent)?
        }
    };
    // The machine may have slept or the target left since the choice was made.
    let now = state.now();
    if !state.router().plan_holds(plan) || ticket.left(now).is_zero() {
        return Err(unsent);
    }
    let request = Request::builder()
        .method(template.method.clone())
        .uri(template.path.as_str());
    let request = head_encode(
        request,
        &template.headers,
        ticket,
        plan,
        ticket.left(now),
        after,
    );
    let body = Full::new(template.body.clone());
    let request = request.body(body).map_err(|_| unsent)?;
    let sent = connection.sender.try_send_request(request).await;
    let response = sent.map_err(|mut error| match error.take_message() {
        Some(_) => unsent,
        None => (Failure::Broken, None),
    })?;
    let (parts, body) = response.into_parts();
    let facts = answer_decode(&parts, &ticket.id);
    if !facts.ours {
        log::warn!(request:% = ticket.id, target_name:% = plan.target; "answer to another request dropped");
        return Err((Failure::Broken, None));
    }
    if facts.refused {
        return Err((Failure::Refused, facts.at));
    }
    if parts.status.is_success() && !facts.sealed {
        return Err((Failure::Broken, None));
    }
    Ok(TargetResponse {
        response: Response::from_parts(parts, body),
        facts,
        connection,
    })
}
