//! Reads and appends to one stream of the log until a deadline.

use {
    crate::log::Client,
    camphorweir_wire::{ids::Offset, log::Page},
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
};

/// Timeout of one request to the log service.
pub(crate) const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of records in a page.
pub(crate) const MAX_PAGE_RECORDS: usize = 1000;
/// Delay before the first retry; it doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// A stream of the log with a deadline for all requests.
pub(crate) struct Stream {
    client: Client,
    name: String,
    deadline: Instant,
    retry_delay: Duration,
    /// Records to request in the next page, `1..=MAX_PAGE_RECORDS`; reduced after a failure, which
    /// may be due to the size of the response.
    page_size: usize,
}

impl Stream {
    pub(crate) fn new(client: Client, name: &str, timeout: Duration) -> Self {
        Self {
            client,
            name: name.to_owned(),
            deadline: Instant::now() + timeout,
            retry_delay: MIN_RETRY_DELAY,
            page_size: MAX_PAGE_RECORDS,
        }
    }

    /// Reads a page of records from offset `from`, adapting the page size to failures.
    pub(crate) async fn read_page(&mut self, from: Offset) -> Result<Page, String> {
        let page = self.read(from, self.page_size).await;
        self.page_size = match page {
            Ok(_) => self.page_size * 2,
            Err(_) => self.page_size / 4,
        }
        .clamp(1, MAX_PAGE_RECORDS);
        page
    }

    /// Reads at most `max` records from offset `from`.
    pub(crate) async fn read(&self, from: Offset, max: usize) -> Result<Page, String> {
        let page = self.client.read(&self.name, from, max, Duration::ZERO);
        match timeout_at(self.deadline, page).await {
            Ok(page) => page.map_err(|error| error.to_string()),
            Err(_) => Err("the log could not be read to its end before the timeout".to_owned()),
        }
    }

    /// Appends a record; after an error it may be in the log already or may still reach it.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Result<(), String> {
        let appended = self.client.append(&self.name, vec![record]);
        match timeout_at(self.deadline, appended).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => {
                Err("the log service did not answer the append before the timeout".to_owned())
            }
        }
    }

    /// Waits before a retry; returns false if the deadline would pass.
    pub(crate) async fn wait_to_retry(&mut self) -> bool {
        if Instant::now() + self.retry_delay >= self.deadline {
            return false;
        }
        sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        true
    }
}
