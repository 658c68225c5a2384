//! A client of the platform's log service.

use {
    bytes::Bytes,
    camphorweir_wire::{
        codec,
        ids::Offset,
        log::{Append, Appended, Page},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, Uri, header::HeaderValue},
    hyper_util::{
        client::legacy::{Client as Pool, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_bytes::ByteBuf,
    snafu::{OptionExt, ResultExt, Snafu, ensure},
    std::time::Duration,
    tokio::time::timeout,
};

/// Request header that carries the name of the client.
pub const CLIENT_NAME_HEADER: &str = "camphorweir-from";
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Errors of a request to the log service.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The URL is not `http://HOST:PORT`.
    #[snafu(display("{url:?} is not http://HOST:PORT"))]
    InvalidUrl {
        /// The rejected URL.
        url: String,
    },
    /// The client name is not a valid header value.
    #[snafu(display("the name {name:?} can't be sent as a header"))]
    InvalidName {
        /// The rejected name.
        name: String,
    },
    /// The request could not be built.
    #[snafu(display("the request can't be built: {source}"))]
    Build {
        /// The error of the HTTP library.
        source: hyper::http::Error,
    },
    /// The request timed out.
    #[snafu(display("no answer within {waited:?}"))]
    Timeout {
        /// How long the client waited.
        waited: Duration,
    },
    /// The service can't be reached, or the connection broke.
    #[snafu(display("{text}"))]
    Transport {
        /// The error of the HTTP library with its causes.
        text: String,
    },
    /// The service answered with an error status.
    #[snafu(display("the log service answered {status}"))]
    Status {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The response body can't be decoded.
    #[snafu(display("unexpected response from the log service: {source}"))]
    Decode {
        /// The error of the decoder.
        source: codec::Error,
    },
}

/// A client of the log service; connections are reused.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    name: HeaderValue,
    pool: Pool<HttpConnector, Full<Bytes>>,
    /// Timeout of a request, in addition to the time that a read waits for records.
    request_timeout: Duration,
}

impl Client {
    /// A client that sends `name` as its own name.
    ///
    /// # Errors
    ///
    /// [`Error::InvalidUrl`] or [`Error::InvalidName`] for an invalid argument.
    pub fn new(url: &str, name: &str, request_timeout: Duration) -> Result<Self, Error> {
        let base = url.trim_end_matches('/').to_owned();
        let uri: Option<Uri> = base.parse().ok();
        let usable = |uri: &Uri| {
            uri.scheme_str() == Some("http") && uri.host().is_some() && uri.path() == "/"
        };
        uri.filter(usable).context(InvalidUrlSnafu { url })?;
        let header = HeaderValue::from_str(name).ok();
        Ok(Self {
            base,
            name: header.context(InvalidNameSnafu { name })?,
            pool: Pool::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
            request_timeout,
        })
    }

    /// Reads at most `max` records from offset `from`, waiting up to `wait` while there are none.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no usable response.
    pub async fn read(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let query = format!("{stream}?from={from}&max={max}&wait_ms={wait_ms}");
        let response = self.send(Method::GET, &query, Bytes::new(), wait);
        codec::decode(&response.await?).context(DecodeSnafu)
    }

    /// Appends records at consecutive offsets and returns the first offset.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no usable response; the records may be in the log already or may
    /// still reach it.
    pub async fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Result<Offset, Error> {
        let records = records.into_iter().map(ByteBuf::from).collect();
        let body = codec::encode(&Append { records });
        let response = self.send(Method::POST, stream, body.into(), Duration::ZERO);
        let appended: Appended = codec::decode(&response.await?).context(DecodeSnafu)?;
        Ok(appended.first)
    }

    async fn send(
        &self,
        method: Method,
        rest: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/streams/{rest}", self.base))
            .header(CLIENT_NAME_HEADER, &self.name)
            .body(Full::new(body))
            .context(BuildSnafu)?;
        let waited = self.request_timeout + wait;
        let response = timeout(waited, self.response(request)).await;
        response.map_err(|_| Error::Timeout { waited })?
    }

    async fn response(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let response = self.pool.request(request).await;
        let response = response.map_err(|error| transport_error(&error))?;
        let status = response.status();
        ensure!(status.is_success(), StatusSnafu { status });
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| transport_error(&*error))?;
        Ok(body.to_bytes())
    }
}

/// An error with its causes, which the library's own message omits.
fn transport_error(error: &dyn std::error::Error) -> Error {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    Error::Transport { text }
}
