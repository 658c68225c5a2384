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

/// Request header with the name of the process that asks.
pub const FROM: &str = "camphorweir-from";
/// Longest answer in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// Why the log service gave no usable answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address is not `http://HOST:PORT`.
    #[snafu(display("{url:?} is not http://HOST:PORT"))]
    Address {
        /// What was given.
        url: String,
    },
    /// The name can't be sent as a header.
    #[snafu(display("{name:?} can't be sent as a header"))]
    Name {
        /// What was given.
        name: String,
    },
    /// The request could not be built.
    #[snafu(display("the request can't be built: {source}"))]
    Build {
        /// What the library says.
        source: hyper::http::Error,
    },
    /// No answer in time.
    #[snafu(display("no answer within {waited:?}"))]
    Timeout {
        /// How long the client waited.
        waited: Duration,
    },
    /// The service can't be reached, or the connection broke.
    #[snafu(display("{text}"))]
    Exchange {
        /// What the library says, with its causes.
        text: String,
    },
    /// The service refused.
    #[snafu(display("the log service answered {status}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The answer is not what was asked for.
    #[snafu(display("the log service's answer is {source}"))]
    Answer {
        /// What the decoder says.
        source: codec::Error,
    },
}

/// A client; connections are kept between requests.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    name: HeaderValue,
    pool: Pool<HttpConnector, Full<Bytes>>,
    /// Longest time for an exchange, besides the time that a read waits for records.
    patience: Duration,
}

impl Client {
    /// A client that calls itself `name`.
    ///
    /// # Errors
    ///
    /// [`Error::Address`] or [`Error::Name`] when an argument can't be used.
    pub fn new(url: &str, name: &str, patience: Duration) -> Result<Self, Error> {
        let base = url.trim_end_matches('/').to_owned();
        let uri: Option<Uri> = base.parse().ok();
        let usable = |uri: &Uri| {
            uri.scheme_str() == Some("http") && uri.host().is_some() && uri.path() == "/"
        };
        uri.filter(usable).context(AddressSnafu { url })?;
        let header = HeaderValue::from_str(name).ok();
        Ok(Self {
            base,
            name: header.context(NameSnafu { name })?,
            pool: Pool::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
            patience,
        })
    }

    /// Reads at most `max` records from `from` on, waiting up to `wait` while there are none.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no usable answer.
    pub async fn page(
        &self,
        stream: &str,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> Result<Page, Error> {
        let wait_ms = wait.as_millis();
        let query = format!("{stream}?from={from}&max={max}&wait_ms={wait_ms}");
        let answer = self.exchange(Method::GET, &query, Bytes::new(), wait);
        codec::decode(&answer.await?).context(AnswerSnafu)
    }

    /// Appends records side by side and gives the offset of the first.
    ///
    /// # Errors
    ///
    /// [`Error`] when there is no usable answer; the records may have landed or may land yet.
    pub async fn append(&self, stream: &str, records: Vec<Vec<u8>>) -> Result<Offset, Error> {
        let records = records.into_iter().map(ByteBuf::from).collect();
        let body = codec::encode(&Append { records });
        let answer = self.exchange(Method::POST, stream, body.into(), Duration::ZERO);
        let appended: Appended = codec::decode(&answer.await?).context(AnswerSnafu)?;
        Ok(appended.first)
    }

    async fn exchange(
        &self,
        method: Method,
        rest: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}/streams/{rest}", self.base))
            .header(FROM, &self.name)
            .body(Full::new(body))
            .context(BuildSnafu)?;
        let waited = self.patience + wait;
        let answer = timeout(waited, self.answer(request)).await;
        answer.map_err(|_| Error::Timeout { waited })?
    }

    async fn answer(&self, request: Request<Full<Bytes>>) -> Result<Bytes, Error> {
        let answer = self.pool.request(request).await;
        let answer = answer.map_err(|error| exchange_error(&error))?;
        let status = answer.status();
        ensure!(status.is_success(), RefusedSnafu { status });
        let body = Limited::new(answer.into_body(), MAX_ANSWER).collect().await;
        let body = body.map_err(|error| exchange_error(&*error))?;
        Ok(body.to_bytes())
    }
}

/// An error with its causes, since the library's own words leave them out.
fn exchange_error(error: &dyn std::error::Error) -> Error {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text += &format!(": {error}");
        cause = error.source();
    }
    Error::Exchange { text }
}
