//! Heads of the responses that an entry receives: which statuses are final, and how many interim responses
//! may come before.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, Version, body::Incoming, ext::on_informational},
    snafu::Snafu,
    std::{
        future::Future,
        ops::RangeInclusive,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::sync::Notify,
};

/// Most interim responses before a final one.
pub const MAX_INTERIM_RESPONSES: usize = 8;
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
    /// More interim responses came than [`MAX_INTERIM_RESPONSES`].
    #[snafu(display("more than {MAX_INTERIM_RESPONSES} interim responses"))]
    Interim,
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
    mut request: Request<Full<Bytes>>,
    send: impl FnOnce(Request<Full<Bytes>>) -> F,
) -> Result<Response<Incoming>, Error>
where
    F: Future<Output = Result<Response<Incoming>, Error>>,
{
    let excess = Arc::new(Notify::new());
    let (count, notifier) = (AtomicUsize::new(0), excess.clone());
    on_informational(&mut request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            notifier.notify_one();
        }
    });
    let mut response = tokio::select! {
        biased;
        () = excess.notified() => return Err(Error::Interim),
        response = send(request) => response?,
    };
    let status = response.status().as_u16();
    if !status_is_final(status) {
        return Err(Error::Status { status });
    }
    // A response is passed on in the version that this entry speaks.
    *response.version_mut() = Version::HTTP_11;
    Ok(response)
}
