//! The peers' listener and the letters to peers.

use {
    crate::{
        clock,
        core_task::Handle,
        fetch::Fetch,
        refuse,
        seal::{Reader, seal},
        settings::Secret,
    },
    bytes::Bytes,
    camphorweir_policy::event::Event,
    camphorweir_wire::{
        code::Code,
        codec,
        ids::{EntryId, Incarnation},
        outcome::Refusal,
        peer::{Body, Letter, Message, PATH},
    },
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, body::Incoming},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{sync::Semaphore, time::timeout},
};

/// Longest letter, in bytes.
const MAX_LETTER: usize = 64 << 20;
/// A letter must arrive whole in this time.
const READ_TIME: Duration = Duration::from_secs(2);
/// A letter without an answer after this time has failed; it may have arrived.
const SEND_TIME: Duration = Duration::from_secs(1);
/// Letters under way; one beyond it fails at once.
const UNDER_WAY: usize = 1024;

/// Sends letters.
#[derive(Clone, Debug)]
pub struct PeerSender {
    fetch: Fetch,
    core_handle: Handle,
    key: Secret,
    entry: EntryId,
    incarnation: Incarnation,
    slots: Arc<Semaphore>,
}

impl PeerSender {
    /// Letters from this life of an entry.
    pub fn new(
        fetch: Fetch,
        core_handle: Handle,
        key: Secret,
        entry: EntryId,
        incarnation: Incarnation,
    ) -> Self {
        let slots = Arc::new(Semaphore::new(UNDER_WAY));
        Self {
            fetch,
            core_handle,
            key,
            entry,
            incarnation,
            slots,
        }
    }

    /// Sends a message; a failure is reported as an event.
    pub fn send(&self, to: EntryId, address: String, body: Body) {
        let post = self.clone();
        tokio::spawn(async move {
            if !post.deliver(&address, body).await {
                // Nobody is left to tell when the process ends.
                let _ = post.core_handle.send_event(Event::PeerFailed(to)).await;
            }
        });
    }

    async fn deliver(&self, address: &str, body: Body) -> bool {
        let Ok(_slot) = self.slots.try_acquire() else {
            return false;
        };
        let from = self.entry.clone();
        let message = Message {
            from,
            incarnation: self.incarnation,
            body,
        };
        let letter = seal(&self.key, clock::wall(), rand::random(), &message);
        let url = format!("http://{address}{PATH}");
        self.fetch
            .post(&url, codec::encode(&letter), SEND_TIME)
            .await
            .is_ok()
    }
}

/// Takes letters.
#[derive(Clone, Debug)]
pub struct PeerReceiver {
    core_handle: Handle,
    reader: Arc<Mutex<Reader>>,
}

impl PeerReceiver {
    /// Takes letters sealed with a key.
    pub fn new(core_handle: Handle, key: Secret) -> Self {
        Self {
            core_handle,
            reader: Arc::new(Mutex::new(Reader::new(key))),
        }
    }

    /// Answers one request on the peers' listener.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        match self.take(request).await {
            Ok(()) => Response::new(Full::default()),
            Err(refusal) => refuse::response(rand::random(), &refusal),
        }
    }

    async fn take(&self, request: Request<Incoming>) -> Result<(), Refusal> {
        let refuse = |code| Refusal::not_run(code, "");
        if request.uri().path() != PATH {
            return Err(refuse(Code::NoSuchPath));
        }
        if request.method() != Method::POST {
            return Err(refuse(Code::MethodNotAllowed));
        }
        let body = Limited::new(request.into_body(), MAX_LETTER).collect();
        let body = timeout(READ_TIME, body).await;
        let body = body.map_err(|_| refuse(Code::RequestTimeout))?;
        let body = body.map_err(|_| refuse(Code::BodyTooLarge))?.to_bytes();
        let letter: Letter = codec::decode(&body).map_err(|_| refuse(Code::Malformed))?;
        let message = self.open(&letter)?;
        let told = self.core_handle.send_event(Event::Peer(message)).await;
        told.map_err(|_| refuse(Code::Stopping))
    }

    fn open(&self, letter: &Letter) -> Result<Message, Refusal> {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        reader.open(clock::wall(), letter).map_err(|error| {
            log::warn!(code = Code::PeerRejected.number(), reason:% = error; "letter refused");
            Refusal::not_run(Code::PeerRejected, &error.to_string())
        })
    }
}
