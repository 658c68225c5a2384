//! Exchanges with plain services: one request, one whole answer, and the truth about whether a byte
//! was sent.

use {
    crate::{
        clock::Clock,
        core_task::Payload,
        gate::{Gate, Gated},
    },
    bytes::Bytes,
    camphorweir_policy::{
        action::Forward,
        event::{Answered, Exchange},
    },
    camphorweir_wire::outcome::{self, Answer},
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
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

/// A connection unused for longer is not used again, as the target may be closing it.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Connections that are kept without use, for each address.
const IDLE: usize = 8;
/// Addresses with connections kept; beyond it all are dropped.
const ADDRESSES: usize = 4096;

/// A connection that carries one exchange at a time.
struct Line {
    sender: SendRequest<Full<Bytes>>,
    gate: Gate,
    task: JoinHandle<()>,
    since: Instant,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections without use, by address.
#[derive(Clone, Default)]
pub struct Pool(Arc<Mutex<HashMap<String, Vec<Line>>>>);

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Pool(..)")
    }
}

impl Pool {
    fn take(&self, address: &str) -> Option<Line> {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = lines.get_mut(address)?;
        idle.retain(|line| line.since.elapsed() < MAX_IDLE && !line.sender.is_closed());
        idle.pop()
    }

    fn put(&self, address: &str, mut line: Line) {
        line.since = Instant::now();
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() >= ADDRESSES {
            lines.clear();
        }
        let idle = lines.entry(address.to_owned()).or_default();
        if idle.len() < IDLE {
            idle.push(line);
        }
    }
}

/// Carries out an exchange.
pub async fn run(
    pool: Pool,
    clock: Clock,
    forward: Forward,
    payload: Arc<Payload>,
    max_answer: usize,
) -> Exchange {
    let send_by = clock.instant(forward.send_by);
    let until = clock.instant(forward.until);
    let Some(request) = build(&forward, &payload) else {
        return Exchange::Unsent;
    };
    // A connection that was idle may be closing at the far end, which would leave a claimed request
    // in doubt; only repeatable ones take that chance.
    let idle = match forward.fence {
        Some(_) => None,
        None => pool.take(&forward.address),
    };
    if let Some(line) = idle {
        let sent = exchange(
            &pool,
            line,
            &forward,
            request.clone(),
            (send_by, until),
            max_answer,
        );
        match sent.await {
            Exchange::Unsent => {}
            end => return end,
        }
    }
    let first = send_by.min(until);
    let Ok(Some(line)) = timeout_at(first, connect(&forward.address, send_by)).await else {
        return Exchange::Unsent;
    };
    exchange(&pool, line, &forward, request, (send_by, until), max_answer).await
}

async fn connect(address: &str, send_by: Instant) -> Option<Line> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let gate = Gate::new(send_by);
    let io = Gated::new(stream, gate.clone());
    let (sender, connection) = http1::handshake(io).await.ok()?;
    let task = tokio::spawn(async move {
        // The exchange itself reports how it ended.
        let _ = connection.await;
    });
    Some(Line {
        sender,
        gate,
        task,
        since: Instant::now(),
    })
}

async fn exchange(
    pool: &Pool,
    mut line: Line,
    forward: &Forward,
    request: Request<Full<Bytes>>,
    (send_by, until): (Instant, Instant),
    max_answer: usize,
) -> Exchange {
    line.gate.arm(send_by);
    let answer = timeout_at(until, answer(&mut line.sender, request, max_answer)).await;
    match answer {
        Ok(Some(Whole::Answer(answered))) => {
            pool.put(&forward.address, line);
            Exchange::Answered(answered)
        }
        // The connection is dropped with the rest of the answer.
        Ok(Some(Whole::TooLarge(head))) => Exchange::TooLarge(head),
        // Nothing is written after the gate is closed, so this is the last word.
        _ => match line.gate.close() {
            true => Exchange::Broken,
            false => Exchange::Unsent,
        },
    }
}

/// How an answer came to its end.
enum Whole {
    /// All of it is here.
    Answer(Answered),
    /// Its head is here, and its body is longer than the bound.
    TooLarge(Answered),
}

async fn answer(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    max_answer: usize,
) -> Option<Whole> {
    sender.ready().await.ok()?;
    let response: Response<Incoming> = sender.send_request(request).await.ok()?;
    let (head, body) = response.into_parts();
    let says = |name: &str, word: &str| text(&head.headers, name) == word;
    let answered = |body: Vec<u8>| Answered {
        not_run: says(outcome::RAN, outcome::Ran::No.as_str()),
        leaving: says(outcome::LEAVING, "true"),
        answer: Answer {
            status: head.status.as_u16(),
            content_type: text(&head.headers, CONTENT_TYPE.as_str()).to_owned(),
            body,
        },
    };
    match Limited::new(body, max_answer).collect().await {
        Ok(body) => Some(Whole::Answer(answered(body.to_bytes().into()))),
        Err(error) if error.is::<LengthLimitError>() => Some(Whole::TooLarge(answered(Vec::new()))),
        Err(_) => None,
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}

fn build(forward: &Forward, payload: &Payload) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(payload.method.clone())
        .uri(&payload.path)
        .header(HOST, &forward.address)
        .header(outcome::REQUEST, format!("{:016x}", forward.call));
    if let Some(fence) = forward.fence {
        request = request.header(outcome::FENCE, fence);
    }
    for (name, value) in &payload.headers {
        request = request.header(name, value);
    }
    request.body(Full::new(payload.body.clone())).ok()
}
