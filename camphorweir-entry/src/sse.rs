//! A streamed response: chunks as tokens arrive, then always an explicit end or an error event.

use {
    crate::{core_task::DisconnectGuard, openai::ResponseTemplate, refusal, text::Decoder},
    bytes::Bytes,
    camphorweir_policy::call::{End, Finished},
    camphorweir_wire::{
        code::Code,
        ids::Token,
        outcome::{Ran, Refusal},
    },
    hyper::body::{Body, Frame},
    std::{
        convert::Infallible,
        future::Future,
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot},
};

/// Most tokens in one chunk.
const MAX_CHUNK_TOKENS: usize = 64;

/// A response that the core is producing, as the caller's connection receives it.
#[derive(Debug)]
pub struct PendingResponse {
    /// Tokens; closed before the end is sent.
    pub tokens: mpsc::Receiver<Token>,
    /// The end.
    pub end: oneshot::Receiver<End>,
    /// Reports a disconnect to the core if this is dropped before the end.
    pub disconnect: DisconnectGuard,
    /// Counts the request against the limit on requests in flight.
    pub slot: OwnedSemaphorePermit,
}

impl PendingResponse {
    /// The end of the response, checked against the number of tokens received.
    pub fn check_end(
        end: Result<End, oneshot::error::RecvError>,
        received: usize,
    ) -> Result<Finished, Refusal> {
        match end {
            Ok(End::Finished(end)) if usize::try_from(end.tokens) == Ok(received) => Ok(end),
            Ok(End::Refused(refusal)) => Err(refusal),
            // A response with a wrong number of tokens must not look complete.
            Ok(_) => Err(internal_error("The answer does not match its end.")),
            Err(_) => Err(internal_error("The entry is ending.")),
        }
    }
}

/// The refusal for an internal error after the request was submitted to the core.
pub fn internal_error(detail: &str) -> Refusal {
    Refusal {
        code: Code::Internal,
        ran: Ran::Unknown,
        retry_after: None,
        detail: detail.to_owned(),
    }
}

/// The body of a streamed response.
#[derive(Debug)]
pub struct EventStream {
    template: ResponseTemplate,
    pending: PendingResponse,
    decoder: Decoder,
    /// The token that the response headers waited for.
    first_token: Option<Token>,
    received: usize,
    finished: bool,
}

impl EventStream {
    /// The body of a response whose first token was already received.
    pub fn new(
        template: ResponseTemplate,
        pending: PendingResponse,
        first_token: Option<Token>,
    ) -> Self {
        Self {
            template,
            pending,
            decoder: Decoder::default(),
            first_token,
            received: 0,
            finished: false,
        }
    }

    /// One chunk with the tokens that are ready, up to [`MAX_CHUNK_TOKENS`]; `None` after the last.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>> {
        let mut batch: Vec<Token> = self.first_token.take().into_iter().collect();
        if batch.is_empty()
            && ready!(
                self.pending
                    .tokens
                    .poll_recv_many(cx, &mut batch, MAX_CHUNK_TOKENS)
            ) == 0
        {
            return Poll::Ready(None);
        }
        self.received += batch.len();
        let mut text = String::new();
        self.decoder.push(&batch, &mut text);
        Poll::Ready(Some(format!(
            "data: {}\n\n",
            self.template.chunk(&text, &batch)
        )))
    }

    fn poll_final_chunk(&mut self, cx: &mut Context<'_>) -> Poll<String> {
        let end = ready!(Pin::new(&mut self.pending.end).poll(cx));
        let ended_by_core = end.is_ok();
        let text = match PendingResponse::check_end(end, self.received) {
            Ok(end) => {
                let mut text = String::new();
                self.decoder.finish(&mut text);
                format!(
                    "data: {}\n\ndata: [DONE]\n\n",
                    self.template.final_chunk(&text, end)
                )
            }
            Err(refusal) => {
                let error = refusal::error_body(self.template.request, &refusal);
                format!("event: error\ndata: {error}\n\n")
            }
        };
        if ended_by_core {
            self.pending.disconnect.disarm();
        }
        Poll::Ready(text)
    }
}

impl Body for EventStream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let text = match ready!(self.poll_chunk(cx)) {
            Some(text) => text,
            None => {
                let text = ready!(self.poll_final_chunk(cx));
                self.finished = true;
                text
            }
        };
        Poll::Ready(Some(Ok(Frame::data(text.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.finished
    }
}
