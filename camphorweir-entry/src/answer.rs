//! Bodies of responses whose requests count as unanswered until they end.

use {
    hyper::body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of a response, which keeps `guard` until it ends.
#[derive(Debug)]
pub struct Answer<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> Answer<B, G> {
    /// The body of the response to the request that `guard` counts.
    pub fn new(body: B, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<B: Body + Unpin, G: Unpin> Body for Answer<B, G> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
