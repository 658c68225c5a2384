//! Bodies that keep a guard until they end, as of a request that is unanswered until then.

use {
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// A body that keeps a guard until it ends.
#[derive(Debug)]
pub struct Body<B, G> {
    inner: B,
    _guard: G,
}

impl<B, G> Body<B, G> {
    /// A body that keeps `guard`.
    pub fn new(inner: B, guard: G) -> Self {
        Self {
            inner,
            _guard: guard,
        }
    }
}

impl<B: HttpBody + Unpin, G: Unpin> HttpBody for Body<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
