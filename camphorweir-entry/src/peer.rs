//! Sends messages with a MAC to peers and verifies theirs; they are not encrypted.

use {
    crate::{
        clock,
        core_task::Handle,
        fetch::HttpClient,
        refusal,
        seal::{Opener, seal},
        settings::Secret,
    },
    bytes::Bytes,
    camphorweir_policy::event::Event,
    camphorweir_wire::{
        code::Code,
        codec,
        ids::{EntryId, Incarnation},
        outcome::Refusal,
        peer::{Body, Envelope, Message, PATH},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, body::Incoming},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Semaphore, time::timeout},
};

/// Longest sealed message, in bytes.
const MAX_MESSAGE_LEN: usize = 64 << 20;
/// Timeout for receiving a message.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// A message without a response after this time counts as failed, though it may have arrived.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Messages being sent at once; further ones fail immediately.
const MAX_IN_FLIGHT: usize = 1024;

/// Sends messages to peers.
#[derive(Clone, Debug)]
pub struct PeerSender {
    client: HttpClient,
    core_handle: Handle,
    key: Secret,
    entry: EntryId,
    incarnation: Incarnation,
    slots: Arc<Semaphore>,
}

impl PeerSender {
    /// A sender for this incarnation of an entry.
    pub fn new(
        client: HttpClient,
        core_handle: Handle,
        key: Secret,
        entry: EntryId,
        incarnation: Incarnation,
    ) -> Self {
        let slots = Arc::new(Semaphore::new(MAX_IN_FLIGHT));
        Self {
            client,
            core_handle,
            key,
            entry,
            incarnation,
            slots,
        }
    }

    /// Sends a message in the background; a failure is reported as an event.
    pub fn send(&self, to: EntryId, address: String, body: Body) {
        let sender = self.clone();
        tokio::spawn(async move {
            if !sender.deliver(&address, body).await {
                // Fails only when the process is ending.
                let _ = sender.core_handle.send_event(Event::PeerFailed(to)).await;
            }
        });
    }

    async fn deliver(&self, address: &str, body: Body) -> bool {
        let Ok(_slot) = self.slots.try_acquire() else {
            return false;
        };
        let from = self.entry.clone();
        let message = Message {
            sender: from,
            incarnation: self.incarnation,
            body,
        };
        let sealed = seal(&self.key, clock::wall(), rand::random(), &message);
        let url = format!("http://{address}{PATH}");
        self.client
            .post(&url, codec::encode(&sealed), SEND_TIMEOUT)
            .await
            .is_ok()
    }
}

/// Receives messages of peers.
#[derive(Clone, Debug)]
pub struct PeerReceiver {
    core_handle: Handle,
    opener: Arc<Mutex<Opener>>,
}

impl PeerReceiver {
    /// A receiver of messages sealed with `key`.
    pub fn new(core_handle: Handle, key: Secret) -> Self {
        Self {
            core_handle,
            opener: Arc::new(Mutex::new(Opener::new(key))),
        }
    }

    /// Handles one request on the peers' listener.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match self.receive(request).await {
            Ok(()) => Response::new(Full::default()),
            Err(refusal) => refusal::response(rand::random(), &refusal),
        }
    }

    /// Receives a message, verifies its MAC, age and nonce, and passes it to the core.
    async fn receive(&self, request: Request<Incoming>) -> Result<(), Refusal> {
        let refusal = |code| Refusal::not_run(code, "");
        if request.uri().path() != PATH {
            return Err(refusal(Code::NoSuchPath));
        }
        if request.method() != Method::POST {
            return Err(refusal(Code::MethodNotAllowed));
        }
        let body = Limited::new(request.into_body(), MAX_MESSAGE_LEN).collect();
        let body = timeout(READ_TIMEOUT, body).await;
        let body = body.map_err(|_| refusal(Code::RequestTimeout))?;
        let body = body.map_err(|_| refusal(Code::BodyTooLarge))?.to_bytes();
        let sealed: Envelope = codec::decode(&body).map_err(|_| refusal(Code::Malformed))?;
        let message = self.open(&sealed)?;
        let reported = self
            .core_handle
            .send_event(Event::PeerMessage(message))
            .await;
        reported.map_err(|_| refusal(Code::Stopping))
    }

    fn open(&self, sealed: &Envelope) -> Result<Message, Refusal> {
        let mut opener = self.opener.lock().unwrap_or_else(PoisonError::into_inner);
        opener.open(clock::wall(), sealed).map_err(|error| {
            log::warn!(
                code = Code::PeerRejected.number(),
                reason:% = error;
                "peer message rejected"
            );
            Refusal::not_run(Code::PeerRejected, &error.to_string())
        })
    }
}
