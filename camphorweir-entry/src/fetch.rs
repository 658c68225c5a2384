//! HTTP client for the platform and for peers, with a limit on the response size and a timeout.

use {
    crate::response_head::{self, head_receive},
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

/// Request header with the name of the sending entry.
pub const FROM_HEADER: &str = "camphorweir-from";
/// Content type of MessagePack bodies.
const MSGPACK: &str = "application/msgpack";
/// Longest response of the platform or a peer, in bytes.
const MAX_RESPONSE_LEN: usize = 32 << 20;
/// Timeout for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Most idle connections kept for each address.
const MAX_IDLE_PER_HOST: usize = 16;

/// Why a request failed; it may have taken effect nevertheless.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The URL or a header is invalid.
    #[snafu(display("the request can't be built"))]
    Build,
    /// No complete response within the timeout.
    #[snafu(display("the request timed out"))]
    Timeout,
    /// The connection failed, or the response was incomplete or too long.
    #[snafu(display("the request failed: {what}"))]
    Broken {
        /// The error of the client.
        what: String,
    },
    /// The status is not a success.
    #[snafu(display("the response has status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
}

/// A client with pooled connections that never retries a request.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    from: String,
}

impl HttpClient {
    /// A client that sends `from` as the name of the entry.
    pub fn new(from: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            from: from.to_owned(),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no complete successful response within `limit`.
    pub async fn get(&self, url: &str, limit: Duration) -> Result<Bytes, Error> {
        self.request(Method::GET, url, Bytes::new(), limit).await
    }

    /// Sends a POST request with a MessagePack body.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no complete successful response within `limit`.
    pub async fn post(&self, url: &str, body: Vec<u8>, limit: Duration) -> Result<Bytes, Error> {
        self.request(Method::POST, url, body.into(), limit).await
    }

    async fn request(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(FROM_HEADER, &self.from)
            .header(CONTENT_TYPE, MSGPACK)
            .body(Full::new(body))
            .map_err(|_| Error::Build)?;
        tokio::time::timeout(limit, self.send(request))
            .await
            .map_err(|_| Error::Timeout)?
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let broken = |what: String| Error::Broken { what };
        let response = head_receive(request, |request| async {
            let sent = self.client.request(request).await;
            sent.map_err(response_head::Error::connection)
        })
        .await;
        let (head, body) = response
            .map_err(|error| broken(error.to_string()))?
            .into_parts();
        let body = Limited::new(body, MAX_RESPONSE_LEN).collect().await;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        match head.status.is_success() {
            true => Ok(body),
            false => Err(Error::Status {
                status: head.status,
            }),
        }
    }
}
