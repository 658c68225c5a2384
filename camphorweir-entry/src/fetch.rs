//! Small exchanges with the platform and with peers: one request, one bounded answer, a time limit.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, header::CONTENT_TYPE},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    snafu::Snafu,
    std::time::Duration,
};

/// Request header by which the platform knows the entry.
pub const FROM: &str = "camphorweir-from";
/// Content type of MessagePack bodies.
const MSGPACK: &str = "application/msgpack";
/// Longest answer of the platform or a peer, in bytes.
const MAX_ANSWER: usize = 32 << 20;
/// Longest time to connect.
const CONNECT: Duration = Duration::from_secs(1);
/// Connections that are kept without use, for each address.
const IDLE: usize = 16;

/// Why an exchange failed; it may have had its effect.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The URL or a header is not valid.
    #[snafu(display("the request can't be built"))]
    Build,
    /// No whole answer in time.
    #[snafu(display("no answer in time"))]
    Late,
    /// The connection failed or the answer was cut or too long.
    #[snafu(display("the exchange broke: {what}"))]
    Broken {
        /// What the client says.
        what: String,
    },
    /// Another status than success.
    #[snafu(display("the answer has status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

/// A client with pooled connections that never repeats a request by itself.
#[derive(Clone, Debug)]
pub struct Fetch {
    client: Client<HttpConnector, Full<Bytes>>,
    from: String,
}

impl Fetch {
    /// A client that names itself `from`.
    pub fn new(from: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(IDLE)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            from: from.to_owned(),
        }
    }

    /// Gets a URL.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no whole successful answer within `limit`.
    pub async fn get(&self, url: &str, limit: Duration) -> Result<Bytes, Error> {
        self.exchange(Method::GET, url, Bytes::new(), limit).await
    }

    /// Posts MessagePack to a URL.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no whole successful answer within `limit`.
    pub async fn post(&self, url: &str, body: Vec<u8>, limit: Duration) -> Result<Bytes, Error> {
        self.exchange(Method::POST, url, body.into(), limit).await
    }

    async fn exchange(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(FROM, &self.from)
            .header(CONTENT_TYPE, MSGPACK)
            .body(Full::new(body))
            .map_err(|_| Error::Build)?;
        tokio::time::timeout(limit, self.whole(request))
            .await
            .map_err(|_| Error::Late)?
    }

    async fn whole(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let broken = |what: String| Error::Broken { what };
        let response = self.client.request(request).await;
        let (head, body) = response
            .map_err(|error| broken(error.to_string()))?
            .into_parts();
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        match head.status.is_success() {
            true => Ok(body),
            false => Err(Error::Status {
                status: head.status,
            }),
        }
    }
}
