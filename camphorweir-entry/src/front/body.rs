//! Collects whole response bodies, within limits on each and on all together.

use {
    crate::{
        front::{pool::Connection, state::State},
        memory::{Booking, hold},
    },
    bytes::Bytes,
    camphorweir_relay::memory::Class,
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    snafu::Snafu,
    std::sync::atomic::{AtomicUsize, Ordering},
};

/// Limit on one body, in bytes; far above what plain services send.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Limit on all bodies that are being collected, in bytes; a fraction of an instance's memory.
const MAX_COLLECTED_BYTES: usize = 24 << 20;
/// Size up to which a body is collected even when the others use up that limit, in bytes.
const ALWAYS_COLLECTED_BYTES: usize = 64 << 10;
/// Size up to which a body is part of what is booked for its caller's connection, in bytes.
const BOOKED_WITH_CONNECTION_BYTES: usize = 4 << 10;

/// Why a body was not collected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed, or its bytes are no body.
    #[snafu(display("the body is not complete: {source}"))]
    Incomplete {
        /// The cause.
        source: hyper::Error,
    },
    /// The body is larger than [`MAX_BODY_BYTES`], or than what other bodies leave.
    #[snafu(display("the body is too large after {bytes} bytes"))]
    TooLarge {
        /// Bytes received so far.
        bytes: usize,
    },
}

/// Counts the bytes of the bodies that are being collected.
#[derive(Debug, Default)]
pub struct Collector {
    bytes: AtomicUsize,
}

/// Bytes of one body; no longer counted when dropped.
struct Share<'a> {
    collector: &'a Collector,
    bytes: usize,
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.collector
            .bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl Share<'_> {
    /// Counts `more` bytes; `false` if a limit is exceeded.
    fn grow(&mut self, more: usize) -> bool {
        self.bytes += more;
        let others = self.collector.bytes.fetch_add(more, Ordering::Relaxed);
        let fits = others + more <= MAX_COLLECTED_BYTES || self.bytes <= ALWAYS_COLLECTED_BYTES;
        fits && self.bytes <= MAX_BODY_BYTES
    }
}

/// Collects a body that arrives on `connection`; it is booked for as long as any part of it is held, also while its
/// caller does not read it.
///
/// # Errors
///
/// [`Error`] when it ends early or exceeds a limit.
pub async fn body_collect(
    state: &State,
    mut body: Incoming,
    connection: &Connection,
) -> Result<Bytes, Error> {
    let mut share = Share {
        collector: state.collector(),
        bytes: 0,
    };
    let mut booking = state.memory().booking();
    let announced = body.size_hint().exact();
    let announced = announced.and_then(|bytes| usize::try_from(bytes).ok());
    let mut collected = Vec::new();
    connection.expect_next();
    while let Some(frame) = body.frame().await {
        connection.expect_next();
        let frame = frame.map_err(|source| Error::Incomplete { source })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let bytes = collected.len() + data.len();
        if !share.grow(data.len()) {
            return Err(Error::TooLarge { bytes });
        }
        if bytes > collected.capacity() {
            let size = announced.filter(|size| (bytes..=MAX_BODY_BYTES).contains(size));
            collected.reserve_exact(size.unwrap_or(2 * bytes) - collected.len());
            if !book(state, &mut booking, collected.capacity()).await {
                return Err(Error::TooLarge { bytes });
            }
        }
        collected.extend_from_slice(&data);
    }
    Ok(hold(collected, booking))
}

/// Books a buffer of so many bytes in place of a smaller one; `false` without room. A caller that does not read its
/// answer yields.
async fn book(state: &State, booking: &mut Booking, size: usize) -> bool {
    if size <= BOOKED_WITH_CONNECTION_BYTES {
        return true;
    }
    let (more, class) = (size - booking.bytes(), Class::of(size));
    if booking.grow(more, class) {
        return true;
    }
    let memory = state.memory();
    state.connections().evict_blocked() && memory.grow_released(booking, more, class).await
}
