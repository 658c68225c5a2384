//! Callers of an entry: concurrent ones, and one that repeats a request until it succeeds.

use {
    crate::{Failure, fleet::KEY},
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{Request, StatusCode, client::conn::http1, header},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        sync::Semaphore,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Time within which an entry must reach its targets.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller with its own connection.
pub(crate) struct Caller {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Caller {
    pub(crate) async fn connect(address: SocketAddr) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { sender })
    }

    /// Sends a POST request, or a GET request if there is no body, and reads the whole response.
    pub(crate) async fn send(
        &mut self,
        path: &str,
        body: Option<&str>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let request = match body {
            Some(_) => Request::post(path),
            None => Request::get(path),
        };
        let body = Bytes::copy_from_slice(body.unwrap_or("").as_bytes());
        let request = request
            .header(header::HOST, "bench")
            .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
            .body(Full::new(body))?;
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        Ok((head.status, body.collect().await?.to_bytes()))
    }

    /// Like `send`, but fails if the status is not 200 or a stream lacks its `[DONE]`.
    pub(crate) async fn send_expecting_success(
        &mut self,
        path: &str,
        body: Option<&str>,
    ) -> Result<(), Failure> {
        let (status, answer) = self.send(path, body).await?;
        let text = String::from_utf8_lossy(&answer);
        let truncated = text.starts_with("data:") && !text.ends_with("data: [DONE]\n\n");
        match status == StatusCode::OK && !truncated {
            true => Ok(()),
            false => Err(format!("{path}: {status} {text}").into()),
        }
    }
}

/// A streamed request; its prompt differs for each request number.
#[derive(Clone, Copy)]
pub(crate) struct Completion {
    pub(crate) model: &'static str,
    /// Prompt tokens; at least 8.
    pub(crate) prompt: usize,
    /// Tokens to generate.
    pub(crate) tokens: u32,
}

impl Completion {
    pub(crate) fn body(self, number: usize) -> String {
        let Self {
            model,
            prompt,
            tokens,
        } = self;
        let prompt = format!("{number:08}{}", "x".repeat(prompt - 8));
        format!(
            r#"{{"model": "{model}", "prompt": "{prompt}", "max_tokens": {tokens}, "stream": true}}"#
        )
    }
}

/// Repeats a request until it succeeds, for as long as the entry may need to reach its targets.
pub(crate) async fn warm_up(
    address: SocketAddr,
    path: &str,
    body: Option<&str>,
) -> Result<(), Failure> {
    let start = Instant::now();
    let mut caller = Caller::connect(address).await?;
    loop {
        match caller.send_expecting_success(path, body).await {
            Ok(()) => return Ok(()),
            Err(error) if start.elapsed() > WARM_UP_TIMEOUT => return Err(error),
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
        caller = Caller::connect(address).await?;
    }
}

/// Sends `count` requests from `callers` callers.
pub(crate) async fn streams(
    address: SocketAddr,
    completion: Completion,
    count: usize,
    callers: usize,
) -> Result<(), Failure> {
    let body = move |number| Some(completion.body(number));
    send_concurrently(address, "/v1/completions", count, callers, body).await
}

/// Sends `count` lookups from `callers` callers.
pub(crate) async fn lookups(
    address: SocketAddr,
    count: usize,
    callers: usize,
) -> Result<(), Failure> {
    send_concurrently(
        address,
        "/services/lookup/batches/17",
        count,
        callers,
        |_| None,
    )
    .await
}

async fn send_concurrently(
    address: SocketAddr,
    path: &'static str,
    count: usize,
    callers: usize,
    body: impl Fn(usize) -> Option<String> + Clone + Send + 'static,
) -> Result<(), Failure> {
    let remaining = Arc::new(Semaphore::new(count));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let (remaining, body) = (remaining.clone(), body.clone());
        let mut caller = Caller::connect(address).await?;
        tasks.spawn(async move {
            while let Ok(permit) = remaining.try_acquire() {
                permit.forget();
                let body = body(remaining.available_permits());
                caller.send_expecting_success(path, body.as_deref()).await?;
            }
            Ok::<(), Failure>(())
        });
    }
    while let Some(result) = tasks.join_next().await {
        result??;
    }
    Ok(())
}
