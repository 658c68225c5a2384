//! Heads of the responses that an entry receives: which statuses are final.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming},
    snafu::Snafu,
    std::{future::Future, ops::RangeInclusive},
};

/// Statuses of final responses. The HTTP library accepts others too.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Why a request has no response; unless it is unsent, it may have run.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum Error {
    /// The connection failed before any byte of the request was written.
    #[snafu(display("the request was not sent"))]
    Unsent,
    /// The connection failed, or its bytes are no response.
    #[snafu(display("{reason}"))]
    Connection {
        /// The error of the HTTP library.
        reason: String,
    },
    /// The status is not final.
    #[snafu(display("{status} is not the status of a final response"))]
    Status {
        /// The status.
        status: u16,
    },
}

impl Error {
    /// The error for one of the HTTP library.
    pub fn connection(reason: impl ToString) -> Self {
        Self::Connection {
            reason: reason.to_string(),
        }
    }
}

/// Whether a status is that of a final response.
pub fn status_is_final(status: u16) -> bool {
    FINAL_STATUSES.contains(&status)
}

/// Sends a request with `send`, and waits for the head of the final response. After an error the
/// connection can't be used again, as more of the response could arrive on it.
///
/// # Errors
///
/// [`Error`]. Nothing in the head of a response without a final status is to be believed.
pub async fn head_receive<F>(
    request: Request<Full<Bytes>>,
    send: impl FnOnce(Request<Full<Bytes>>) -> F,
) -> Result<Response<Incoming>, Error>
where
    F: Future<Output = Result<Response<Incoming>, Error>>,
{
    let response = send(request).await?;
    let status = response.status().as_u16();
    if !status_is_final(status) {
        return Err(Error::Status { status });
    }
    Ok(response)
}
