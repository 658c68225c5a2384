//! Appends to and tails of the streams of the log service.

use {
    crate::{
        fetch::{Error, Fetch},
        port::{Closed, Generation, Input, Port},
        supervise::Backoff,
    },
    camphorweir_policy::{action::Append, event::Event},
    camphorweir_wire::{
        codec,
        ids::Offset,
        log::{self as wire, Appended, Page},
    },
    serde_bytes::ByteBuf,
    std::time::Duration,
};

/// An append without an answer after this time counts as failed; it may have landed.
const APPEND_LIMIT: Duration = Duration::from_secs(2);
/// How long the service holds a read at the end of a stream.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Added to the wait of a read for its way there and back.
const READ_MARGIN: Duration = Duration::from_secs(2);
/// Records in one page.
const READ_MAX: u32 = 512;
/// First and longest pause after a failed read.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The log service as this entry reaches it.
#[derive(Clone, Debug)]
pub struct Service {
    fetch: Fetch,
    base: String,
}

impl Service {
    /// The service at a base URL.
    pub fn new(fetch: Fetch, base: &str) -> Self {
        Self {
            fetch,
            base: base.trim_end_matches('/').to_owned(),
        }
    }

    /// Appends, and says what became of it.
    pub async fn append(&self, append: Append) -> Event {
        let records = append.records.into_iter().map(ByteBuf::from).collect();
        let body = codec::encode(&wire::Append { records });
        let url = format!("{}/streams/{}", self.base, append.stream);
        let answer = self.fetch.post(&url, body, APPEND_LIMIT).await;
        let landed = answer
            .ok()
            .and_then(|body| codec::decode::<Appended>(&body).ok());
        match landed {
            Some(appended) => Event::Appended(append.id, appended.first),
            None => Event::AppendFailed(append.id),
        }
    }

    /// Follows a stream until the core's task is gone.
    pub async fn tail(self, port: Port, life: Generation, stream: String, from: Offset) {
        let mut next = from;
        // The first read doesn't wait, so that the core soon learns where the stream ends.
        let mut wait = Duration::ZERO;
        let mut backoff = Backoff::new(READ_BACKOFF.0, READ_BACKOFF.1);
        loop {
            let page = self.read(&stream, next, wait).await;
            let failed = page.is_err();
            let event = match page {
                Ok(page) => {
                    next = next_offset(next, &page);
                    wait = READ_WAIT;
                    Event::Page(stream.clone(), page)
                }
                Err(_) => Event::TailFailed(stream.clone()),
            };
            if port.send(Input::Live(life, event)).await == Err(Closed) {
                return;
            }
            match failed {
                true => tokio::time::sleep(backoff.pause()).await,
                false => backoff.reset(),
            }
        }
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, Error> {
        let url = format!(
            "{}/streams/{stream}?from={from}&max={READ_MAX}&wait_ms={}",
            self.base,
            wait.as_millis()
        );
        let body = self.fetch.get(&url, wait + READ_MARGIN).await?;
        codec::decode(&body).map_err(|error| Error::Broken {
            what: error.to_string(),
        })
    }
}

/// Where the next read starts: after the page, or where retention begins when that is later.
fn next_offset(from: Offset, page: &Page) -> Offset {
    let after = page
        .records
        .last()
        .map_or(from, |last| last.offset.saturating_add(1));
    after.max(from).max(page.oldest)
}
