//! Forwards requests to plain services and reports whether any byte of a failed request was sent.

use {
    crate::{
        clock::Clock,
        core_task::Payload,
        gate::{Gate, GatedStream},
        response_head::{Error, head_receive},
    },
    bytes::Bytes,
    camphorweir_policy::{
        action::Forward,
        event::{Answered, Exchange},
    },
    camphorweir_wire::outcome::{self, Answer},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Request,
        client::conn::http1::{self, SendRequest},
        header::{CONTENT_TYPE, HOST},
    },
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinHandle,
        time::{Instant, timeout_at},
    },
};

/// Idle time after which a connection is not reused, as the target may be closing it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// Most idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Most addresses with idle connections; when there would be more, all connections are dropped.
const MAX_ADDRESSES: usize = 4096;

/// A connection that carries one request at a time.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    gate: Gate,
    task: JoinHandle<()>,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections, by address.
#[derive(Clone, Default)]
pub struct Pool(Arc<Mutex<HashMap<String, Vec<Connection>>>>);

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Pool(..)")
    }
}

impl Pool {
    fn pop_idle(&self, address: &str) -> Option<Connection> {
        let mut by_address = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = by_address.get_mut(address)?;
        idle.retain(|connection| {
            connection.idle_since.elapsed() < MAX_IDLE_TIME && !connection.sender.is_closed()
        });
        idle.pop()
    }

    fn push_idle(&self, address: &str, mut connection: Connection) {
        connection.idle_since = Instant::now();
        let mut by_address = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if by_address.len() >= MAX_ADDRESSES {
            by_address.clear();
        }
        let idle = by_address.entry(address.to_owned()).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }
}

/// Forwards a request and returns how the exchange ended.
pub async fn run(
    pool: Pool,
    clock: Clock,
    forward: Forward,
    payload: Arc<Payload>,
    max_answer: usize,
) -> Exchange {
    let send_by = clock.instant(forward.send_by);
    let deadline = clock.instant(forward.until);
    let Some(request) = build_request(&forward, &payload) else {
        return Exchange::Unsent;
    };
    // The target may be closing an idle connection, and then it is unknown whether the request ran.
    // Only repeatable requests reuse one; a request with a fence gets a new connection.
    let idle = match forward.fence {
        Some(_) => None,
        None => pool.pop_idle(&forward.address),
    };
    if let Some(connection) = idle {
        let sent = exchange(
            &pool,
            connection,
            &forward,
            request.clone(),
            (send_by, deadline),
            max_answer,
        );
        match sent.await {
            Exchange::Unsent => {}
            end => return end,
        }
    }
    let connect_by = send_by.min(deadline);
    let Ok(Some(connection)) = timeout_at(connect_by, connect(&forward.address, send_by)).await
    else {
        return Exchange::Unsent;
    };
    exchange(
        &pool,
        connection,
        &forward,
        request,
        (send_by, deadline),
        max_answer,
    )
    .await
}

async fn connect(address: &str, send_by: Instant) -> Option<Connection> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let gate = Gate::new(send_by);
    let io = GatedStream::new(stream, gate.clone());
    let (sender, connection) = http1::handshake(io).await.ok()?;
    let task = tokio::spawn(async move {
        // The exchange reports errors of the connection.
        let _ = connection.await;
    });
    Some(Connection {
        sender,
        gate,
        task,
        idle_since: Instant::now(),
    })
}

async fn exchange(
    pool: &Pool,
    mut connection: Connection,
    forward: &Forward,
    request: Request<Full<Bytes>>,
    (send_by, deadline): (Instant, Instant),
    max_answer: usize,
) -> Exchange {
    connection.gate.start_request(send_by);
    let received = timeout_at(
        deadline,
        send_and_receive(&mut connection.sender, request, max_answer),
    )
    .await;
    match received {
        Ok(Some(Received::Complete(answered))) => {
            pool.push_idle(&forward.address, connection);
            Exchange::Answered(answered)
        }
        // The connection is dropped with the unread rest of the response.
        Ok(Some(Received::TooLarge(head))) => Exchange::TooLarge(head),
        // Nothing is written after the gate is closed, so this result is final.
        _ => match connection.gate.close() {
            true => Exchange::Broken,
            false => Exchange::Unsent,
        },
    }
}

/// How far a response was received.
enum Received {
    /// The complete response.
    Complete(Answered),
    /// Only the head; the body exceeds the limit.
    TooLarge(Answered),
}

async fn send_and_receive(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_answer: usize,
) -> Option<Received> {
    sender.ready().await.ok()?;
    let response = head_receive(request, |request| async {
        let sent = sender.send_request(request).await;
        sent.map_err(Error::connection)
    });
    let response = response.await.inspect_err(|error| {
        log::info!(reason:% = error; "no response to a request that was sent");
    });
    let (head, body) = response.ok()?.into_parts();
    let header_is = |name: &str, value: &str| header_text(&head.headers, name) == value;
    let answered = |body: Vec<u8>| Answered {
        not_run: header_is(outcome::RAN_HEADER, outcome::Ran::No.as_str()),
        leaving: header_is(outcome::LEAVING_HEADER, "true"),
        answer: Answer {
            status: head.status.as_u16(),
            content_type: header_text(&head.headers, CONTENT_TYPE.as_str()).to_owned(),
            body,
        },
    };
    match Limited::new(body, max_answer).collect().await {
        Ok(body) => Some(Received::Complete(answered(body.to_bytes().into()))),
        Err(error) if error.is::<LengthLimitError>() => {
            Some(Received::TooLarge(answered(Vec::new())))
        }
        Err(_) => None,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn build_request(forward: &Forward, payload: &Payload) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(payload.method.clone())
        .uri(&payload.path)
        .header(HOST, &forward.address)
        .header(outcome::REQUEST_HEADER, format!("{:016x}", forward.request));
    if let Some(fence) = forward.fence {
        request = request.header(outcome::FENCE_HEADER, fence);
    }
    for (name, value) in &payload.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(payload.body.clone())).ok()
}
