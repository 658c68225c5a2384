//! A streamed answer: parts as they come, then an explicit end or a numbered error, never silence.

use {
    crate::{core_task::DisconnectGuard, openai::Shape, refuse, text::Decoder},
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

/// Tokens in one part.
const BATCH: usize = 64;

/// What an answer is made of, on the caller's side.
#[derive(Debug)]
pub struct Answer {
    /// Tokens; closed before the end comes.
    pub tokens: mpsc::Receiver<Token>,
    /// The end.
    pub end: oneshot::Receiver<End>,
    /// Tells the core when this is dropped before the end.
    pub disconnect: DisconnectGuard,
    /// The request's place among those in hand.
    pub slot: OwnedSemaphorePermit,
}

impl Answer {
    /// The end of the answer, checked against the tokens that came.
    pub fn check(
        end: Result<End, oneshot::error::RecvError>,
        came: usize,
    ) -> Result<Finished, Refusal> {
        match end {
            Ok(End::Finished(end)) if usize::try_from(end.tokens) == Ok(came) => Ok(end),
            Ok(End::Refused(refusal)) => Err(refusal),
            // Tokens that don't match the end's count must not look like a whole answer.
            Ok(_) => Err(broken("The answer does not match its end.")),
            Err(_) => Err(broken("The entry is ending.")),
        }
    }
}

/// A fault of the entry after the request was handed to the core.
pub fn broken(detail: &str) -> Refusal {
    Refusal {
        code: Code::Internal,
        ran: Ran::Unknown,
        retry_after: None,
        detail: detail.to_owned(),
    }
}

/// The body of a streamed answer.
#[derive(Debug)]
pub struct Stream {
    shape: Shape,
    answer: Answer,
    decoder: Decoder,
    /// The token that was awaited before the headers were sent.
    first: Option<Token>,
    came: usize,
    over: bool,
}

impl Stream {
    /// The rest of an answer of which `first` has come.
    pub fn new(shape: Shape, answer: Answer, first: Option<Token>) -> Self {
        Self {
            shape,
            answer,
            decoder: Decoder::default(),
            first,
            came: 0,
            over: false,
        }
    }

    /// The text of one part with all tokens that are ready; `None` when there are no more.
    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<String>> {
        let mut batch: Vec<Token> = self.first.take().into_iter().collect();
        if batch.is_empty() && ready!(self.answer.tokens.poll_recv_many(cx, &mut batch, BATCH)) == 0
        {
            return Poll::Ready(None);
        }
        self.came += batch.len();
        let mut text = String::new();
        self.decoder.push(&batch, &mut text);
        Poll::Ready(Some(format!(
            "data: {}\n\n",
            self.shape.part(&text, &batch)
        )))
    }

    fn poll_last(&mut self, cx: &mut Context<'_>) -> Poll<String> {
        let end = ready!(Pin::new(&mut self.answer.end).poll(cx));
        let known = end.is_ok();
        let text = match Answer::check(end, self.came) {
            Ok(end) => {
                let mut text = String::new();
                self.decoder.finish(&mut text);
                format!("data: {}\n\ndata: [DONE]\n\n", self.shape.last(&text, end))
            }
            Err(refusal) => {
                let error = refuse::object(self.shape.request, &refusal);
                format!("event: error\ndata: {error}\n\n")
            }
        };
        if known {
            self.answer.disconnect.disarm();
        }
        Poll::Ready(text)
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.over {
            return Poll::Ready(None);
        }
        let text = match ready!(self.poll_part(cx)) {
            Some(text) => text,
            None => {
                let text = ready!(self.poll_last(cx));
                self.over = true;
                text
            }
        };
        Poll::Ready(Some(Ok(Frame::data(text.into()))))
    }

    fn is_end_stream(&self) -> bool {
        self.over
    }
}
