//! What the tasks of the process tell the core's task, and what a caller's request leaves with it.

use {
    crate::conn::Busy,
    bytes::Bytes,
    camphorweir_config::model::TargetId,
    camphorweir_policy::{
        call::{Call, End},
        event::Event,
    },
    camphorweir_wire::{
        engine::{Hello, Order},
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

/// Inputs that wait for the core before their senders do.
pub const INPUTS: usize = 4096;
/// Tokens that wait for a caller to read them; a caller that falls further behind is dropped.
pub const TOKENS: usize = 4096;

/// Tells the lives of a connection or a tail apart.
pub type Generation = u64;

/// Something for the core's task.
#[derive(Debug)]
pub enum Input {
    /// An event of the process itself.
    Event(Event),
    /// An event of a connection or a tail; it counts only while that one is in use.
    Live(Generation, Event),
    /// A connection to an engine is up and takes orders.
    Up(Up),
    /// A request arrived whole.
    Arrive(Box<Arrival>),
    /// An operator asks something.
    Ask(Question),
}

/// What operators ask the core, and the way back for its answer.
#[derive(Debug)]
pub enum Question {
    /// The state of the entry.
    Status(oneshot::Sender<Status>),
    /// The keys whose outcome nobody knows.
    Unresolved(oneshot::Sender<Vec<Claim>>),
}

/// A connection to an engine that is up.
#[derive(Debug)]
pub struct Up {
    /// The life of the connection's task.
    pub generation: Generation,
    /// The engine.
    pub target: TargetId,
    /// What it said first.
    pub hello: Hello,
    /// Takes orders for this connection alone.
    pub orders: mpsc::Sender<Order>,
}

/// A request that arrived whole, and the way back to its caller.
#[derive(Debug)]
pub struct Arrival {
    /// What the core sees of it.
    pub call: Call,
    /// The way back.
    pub caller: Caller,
    /// What a plain service gets of it.
    pub kept: Option<Arc<Kept>>,
}

/// The way back to a caller.
#[derive(Debug)]
pub struct Caller {
    /// Takes tokens; closed before `end` is used.
    pub tokens: mpsc::Sender<Token>,
    /// Takes the end.
    pub end: oneshot::Sender<End>,
    /// Marks the caller's connection as one that waits for an answer.
    pub busy: Busy,
}

/// What a plain service gets of a request.
#[derive(Clone, Debug)]
pub struct Kept {
    /// The method.
    pub method: Method,
    /// Path and query below the route, with a leading slash.
    pub path: String,
    /// The headers that are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The core's task is gone, so the process is ending.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Closed;

/// The way to the core's task.
#[derive(Clone, Debug)]
pub struct Port(mpsc::Sender<Input>);

/// A port and the core's end of it.
pub fn channel() -> (Port, mpsc::Receiver<Input>) {
    let (inputs, receiver) = mpsc::channel(INPUTS);
    (Port(inputs), receiver)
}

impl Port {
    /// Tells the core, waiting while it is behind.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core's task is gone.
    pub async fn send(&self, input: Input) -> Result<(), Closed> {
        self.0.send(input).await.map_err(|_| Closed)
    }

    /// Tells the core several things, waiting for room for all of them at once.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core's task is gone.
    pub async fn send_all(
        &self,
        mut inputs: impl ExactSizeIterator<Item = Input>,
    ) -> Result<(), Closed> {
        while inputs.len() > 0 {
            let count = inputs.len().min(INPUTS);
            let slots = self.0.reserve_many(count).await.map_err(|_| Closed)?;
            slots
                .zip(&mut inputs)
                .for_each(|(slot, input)| slot.send(input));
        }
        Ok(())
    }

    /// Tells the core an event.
    ///
    /// # Errors
    ///
    /// [`Closed`] when the core's task is gone.
    pub async fn event(&self, event: Event) -> Result<(), Closed> {
        self.send(Input::Event(event)).await
    }

    /// Asks the core something; `None` when its task is gone.
    pub async fn ask<T>(&self, question: fn(oneshot::Sender<T>) -> Question) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        self.send(Input::Ask(question(sender))).await.ok()?;
        answer.await.ok()
    }

    /// Tells the core that a caller went away, from a place that can't wait.
    pub fn hangup(&self, request: RequestId) {
        let input = Input::Event(Event::Hangup(request));
        let Err(TrySendError::Full(input)) = self.0.try_send(input) else {
            return;
        };
        let port = self.clone();
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move { port.send(input).await });
        }
    }
}

/// Tells the core that the caller went away, unless it is disarmed first.
#[derive(Debug)]
pub struct Watch {
    port: Port,
    request: RequestId,
    armed: bool,
}

impl Watch {
    /// Watches over a request.
    pub fn new(port: Port, request: RequestId) -> Self {
        Self {
            port,
            request,
            armed: true,
        }
    }

    /// The request has ended.
    pub fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if self.armed {
            self.port.hangup(self.request);
        }
    }
}
