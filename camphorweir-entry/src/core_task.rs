//! The channel to the task that runs the decision core, and the messages sent over it.

use {
    crate::monitor::AnswerGuard,
    bytes::Bytes,
    camphorweir_config::model::TargetId,
    camphorweir_policy::{
        call::{Call, End},
        event::Event,
    },
    camphorweir_wire::{
        engine::{Command, Hello},
        ids::{RequestId, Token},
        status::{Claim, Status},
    },
    hyper::{HeaderMap, Method},
    std::sync::Arc,
    tokio::sync::{
        mpsc::{self, error::TrySendError},
        oneshot,
    },
};

/// Capacity of the core task's input queue; senders wait while it is full.
pub const INPUT_QUEUE_LEN: usize = 4096;
/// Tokens buffered for a caller; one that falls further behind is disconnected.
pub const TOKEN_QUEUE_LEN: usize = 4096;

/// Number of a connection task or tail task; each restart gets a new one.
pub type Generation = u64;

/// A message to the core task.
#[derive(Debug)]
pub enum Input {
    /// An event of the process itself.
    Event(Event),
    /// An event from a connection or tail task; ignored unless that task is the current one.
    Tagged(Generation, Event),
    /// A connection to an engine is established.
    Connected(Connected),
    /// A complete request was received.
    Arrival(Box<Arrival>),
    /// A query from the administration API.
    Query(Query),
}

/// A query from the administration API, with the channel for its result.
#[derive(Debug)]
pub enum Query {
    /// The state of the entry.
    Status(oneshot::Sender<Status>),
    /// The idempotency keys whose outcome is unknown.
    Unresolved(oneshot::Sender<Vec<Claim>>),
}

/// An established connection to an engine.
#[derive(Debug)]
pub struct Connected {
    /// The connection task that established it.
    pub generation: Generation,
    /// The engine.
    pub target: TargetId,
    /// The engine's hello message.
    pub hello: Hello,
    /// Sends commands over this connection; a reconnect gets a new channel.
    pub commands: mpsc::Sender<Command>,
}

/// A complete request and the channels for its response.
#[derive(Debug)]
pub struct Arrival {
    /// The part of the request that the core decides on.
    pub call: Call,
    /// The channels for the response.
    pub responder: Responder,
    /// What is forwarded when the request is for a plain service.
    pub payload: Option<Arc<Payload>>,
}

/// The channels on which the core task responds to a caller.
#[derive(Debug)]
pub struct Responder {
    /// Tokens of the response; closed before `end` is sent.
    pub tokens: mpsc::Sender<Token>,
    /// The end of the response.
    pub end: oneshot::Sender<End>,
    /// Exempts the caller's connection from the stall check while held.
    pub answer_guard: AnswerGuard,
}

/// The parts of a request that are forwarded to a plain service.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The method.
    pub method: Method,
    /// Path and query below the route, with a leading slash.
    pub path: String,
    /// The forwarded headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The core task has ended, so the process is shutting down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

/// Sends messages to the core task.
#[derive(Clone, Debug)]
pub struct Handle(mpsc::Sender<Input>);

/// A handle and the receiver for the core task.
pub fn channel() -> (Handle, mpsc::Receiver<Input>) {
    let (inputs, receiver) = mpsc::channel(INPUT_QUEUE_LEN);
    (Handle(inputs), receiver)
}

impl Handle {
    /// Sends a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core task has ended.
    pub async fn send(&self, input: Input) -> Result<(), Closed> {
        self.0.send(input).await.map_err(|_| Closed)
    }

    /// Sends several messages, waiting until the queue has room for all of them at once.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core task has ended.
    pub async fn send_all(
        &self,
        mut inputs: impl ExactSizeIterator<Item = Input>,
    ) -> Result<(), Closed> {
        while inputs.len() > 0 {
            let count = inputs.len().min(INPUT_QUEUE_LEN);
            let permits = self.0.reserve_many(count).await.map_err(|_| Closed)?;
            permits
                .zip(&mut inputs)
                .for_each(|(permit, input)| permit.send(input));
        }
        Ok(())
    }

    /// Sends an event of the process itself.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core task has ended.
    pub async fn send_event(&self, event: Event) -> Result<(), Closed> {
        self.send(Input::Event(event)).await
    }

    /// Sends a query and waits for the result; `None` when the core task has ended.
    pub async fn query<T>(&self, query: fn(oneshot::Sender<T>) -> Query) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.send(Input::Query(query(sender))).await.ok()?;
        answer.await.ok()
    }

    /// Reports that a caller disconnected; doesn't wait, so it can be called from `drop`.
    pub fn report_disconnect(&self, request: RequestId) {
        let input = Input::Event(Event::CallerGone(request));
        let Err(TrySendError::Full(input)) = self.0.try_send(input) else {
            return;
        };
        let handle = self.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { handle.send(input).await });
        }
    }
}

/// Reports on drop that the caller disconnected, unless disarmed first.
#[derive(Debug)]
pub struct DisconnectGuard {
    handle: Handle,
    request: RequestId,
    armed: bool,
}

impl DisconnectGuard {
    /// A guard for a request.
    pub fn new(handle: Handle, request: RequestId) -> Self {
        Self {
            handle,
            request,
            armed: true,
        }
    }

    /// Stops the report, as the request has ended.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.handle.report_disconnect(self.request);
        }
    }
}
