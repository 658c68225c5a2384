//! One stream of the log, read and written against a deadline.

use {
    crate::log::Client,
    camphorweir_wire::{ids::Offset, log::Page},
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
};

/// Longest time for one exchange with the log service.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
/// Most records read at once; fewer after a failure, which may be due to the size of the answer.
pub(crate) const PAGE: usize = 1000;
/// Pause before the first repetition; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between repetitions.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// A stream and the time that is left for it.
pub(crate) struct Reader {
    client: Client,
    stream: String,
    deadline: Instant,
    pause: Duration,
    /// Records to read at once, `1..=PAGE`.
    page: usize,
}

impl Reader {
    pub(crate) fn new(client: Client, stream: &str, time: Duration) -> Self {
        Self {
            client,
            stream: stream.to_owned(),
            deadline: Instant::now() + time,
            pause: FIRST_PAUSE,
            page: PAGE,
        }
    }

    /// Reads a page of records from `from` on.
    pub(crate) async fn page(&mut self, from: Offset) -> Result<Page, String> {
        let page = self.read(from, self.page).await;
        self.page = match page {
            Ok(_) => self.page * 2,
            Err(_) => self.page / 4,
        }
        .clamp(1, PAGE);
        page
    }

    /// Reads at most `max` records from `from` on.
    pub(crate) async fn read(&self, from: Offset, max: usize) -> Result<Page, String> {
        let page = self.client.page(&self.stream, from, max, Duration::ZERO);
        match timeout_at(self.deadline, page).await {
            Ok(page) => page.map_err(|error| error.to_string()),
            Err(_) => Err("the log could not be read to its end in time".to_owned()),
        }
    }

    /// Appends a record; after an error it may have landed or may land yet.
    pub(crate) async fn append(&self, record: Vec<u8>) -> Result<(), String> {
        let appended = self.client.append(&self.stream, vec![record]);
        match timeout_at(self.deadline, appended).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the append was not answered in time".to_owned()),
        }
    }

    /// Pauses before another try; false when the time is up.
    pub(crate) async fn again(&mut self) -> bool {
        if Instant::now() + self.pause >= self.deadline {
            return false;
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LAST_PAUSE);
        true
    }
}
