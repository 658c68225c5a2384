//! Callers: many that ask at once, and one that asks again and again.

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

/// Time for an entry to reach its targets.
const WARM_UP: Duration = Duration::from_secs(60);

/// A caller with a connection of its own.
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

    /// Posts a body, or gets a path where there is none, and reads the whole answer.
    pub(crate) async fn ask(
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

    /// The same, for an answer that must be whole.
    pub(crate) async fn served(&mut self, path: &str, body: Option<&str>) -> Result<(), Failure> {
        let (status, answer) = self.ask(path, body).await?;
        let text = String::from_utf8_lossy(&answer);
        let cut = text.starts_with("data:") && !text.ends_with("data: [DONE]\n\n");
        match status == StatusCode::OK && !cut {
            true => Ok(()),
            false => Err(format!("{path}: {status} {text}").into()),
        }
    }
}

/// A streamed request with a prompt that no other number has.
#[derive(Clone, Copy)]
pub(crate) struct Completion {
    pub(crate) model: &'static str,
    /// Prompt tokens; at least 8.
    pub(crate) prompt: usize,
    /// Answer tokens.
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

/// Asks until the answer is whole, as long as the entry may need to reach its targets.
pub(crate) async fn warm_up(
    address: SocketAddr,
    path: &str,
    body: Option<&str>,
) -> Result<(), Failure> {
    let start = Instant::now();
    let mut caller = Caller::connect(address).await?;
    loop {
        match caller.served(path, body).await {
            Ok(()) => return Ok(()),
            Err(error) if start.elapsed() > WARM_UP => return Err(error),
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
    crowd(address, "/v1/completions", count, callers, body).await
}

/// Sends `count` lookups from `callers` callers.
pub(crate) async fn lookups(
    address: SocketAddr,
    count: usize,
    callers: usize,
) -> Result<(), Failure> {
    crowd(
        address,
        "/services/lookup/batches/17",
        count,
        callers,
        |_| None,
    )
    .await
}

async fn crowd(
    address: SocketAddr,
    path: &'static str,
    count: usize,
    callers: usize,
    body: impl Fn(usize) -> Option<String> + Clone + Send + 'static,
) -> Result<(), Failure> {
    let left = Arc::new(Semaphore::new(count));
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let (left, body) = (left.clone(), body.clone());
        let mut caller = Caller::connect(address).await?;
        tasks.spawn(async move {
            while let Ok(permit) = left.try_acquire() {
                permit.forget();
                let body = body(left.available_permits());
                caller.served(path, body.as_deref()).await?;
            }
            Ok::<(), Failure>(())
        });
    }
    while let Some(done) = tasks.join_next().await {
        done??;
    }
    Ok(())
}
