//! Client of the log service: appends to streams and tails them.

use {
    crate::{
        core_task::{Closed, Generation, Handle, Input},
        fetch::{Error, HttpClient},
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

/// An append without a response after this time counts as failed, though it may have been stored.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a read at the end of a stream waits at the service for new records.
const LONG_POLL_WAIT: Duration = Duration::from_secs(1);
/// Added to the wait of a read, for the network round trip.
const ROUND_TRIP_MARGIN: Duration = Duration::from_secs(2);
/// Most records in one page.
const READ_MAX: u32 = 512;
/// First and longest delay after a failed read.
const READ_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: HttpClient,
    base_url: String,
}

impl LogClient {
    /// A client of the service at a base URL.
    pub fn new(client: HttpClient, base_url: &str) -> Self {
        Self {
            client,
            base_url: base_url.trim_end_matches('/').to_owned(),
        }
    }

    /// Appends records and returns the event that reports the result.
    pub async fn append(&self, append: Append) -> Event {
        let records = append.records.into_iter().map(ByteBuf::from).collect();
        let body = codec::encode(&wire::Append { records });
        let url = format!("{}/streams/{}", self.base_url, append.stream);
        let response = self.client.post(&url, body, APPEND_TIMEOUT).await;
        let appended = response
            .ok()
            .and_then(|body| codec::decode::<Appended>(&body).ok());
        match appended {
            Some(appended) => Event::Appended(append.id, appended.first),
            None => Event::AppendFailed(append.id),
        }
    }

    /// Follows a stream until the core task has ended.
    pub async fn tail(
        self,
        core_handle: Handle,
        generation: Generation,
        stream: String,
        from: Offset,
    ) {
        let mut next = from;
        // The first read doesn't wait, so that the core soon knows where the stream ends.
        let mut wait = Duration::ZERO;
        let mut backoff = Backoff::new(READ_BACKOFF.0, READ_BACKOFF.1);
        loop {
            let page = self.read(&stream, next, wait).await;
            let failed = page.is_err();
            let event = match page {
                Ok(page) => {
                    next = next_offset(next, &page);
                    wait = LONG_POLL_WAIT;
                    Event::StreamPage(stream.clone(), page)
                }
                Err(_) => Event::TailFailed(stream.clone()),
            };
            if core_handle.send(Input::Tagged(generation, event)).await == Err(Closed) {
                return;
            }
            match failed {
                true => tokio::time::sleep(backoff.next_delay()).await,
                false => backoff.reset(),
            }
        }
    }

    async fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Page, Error> {
        let url = format!(
            "{}/streams/{stream}?from={from}&max={READ_MAX}&wait_ms={}",
            self.base_url,
            wait.as_millis()
        );
        let body = self.client.get(&url, wait + ROUND_TRIP_MARGIN).await?;
        codec::decode(&body).map_err(|error| Error::Broken {
            what: error.to_string(),
        })
    }
}

/// Offset of the next read: after the page, or the oldest retained record when that is later.
fn next_offset(from: Offset, page: &Page) -> Offset {
    let after = page
        .records
        .last()
        .map_or(from, |last| last.offset.saturating_add(1));
    after.max(from).max(page.oldest)
}
