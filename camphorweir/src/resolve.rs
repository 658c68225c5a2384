//! `resolve`: settling a never-repeat key. The first outcome recorded in the log wins; the command
//! reads the log back to report it.

use {
    crate::{
        args::Resolve,
        exit::Exit,
        log::Client,
        report::Report,
        run::block_on,
        stream::{MAX_PAGE_RECORDS, REQUEST_TIMEOUT, Stream},
    },
    camphorweir_wire::{
        claim::{self, Body, FORMAT, Key, MAX_CLOCK_SKEW, MAX_KEY_AGE, Record, stream_name},
        codec,
        ids::{Nonce, Offset},
        log::Page,
    },
    serde_json::json,
    std::time::Duration,
};

/// The state of one key as recorded in the log.
///
/// Applies the rules by which entries fold the claim streams, for this key alone.
#[derive(Clone, Debug, Default)]
struct KeyState {
    workspace: String,
    /// Non-void starts in log order, each with whether its outcome is recorded as unknown.
    starts: Vec<(Nonce, bool)>,
    voided: Vec<Nonce>,
    outcome: Option<Outcome>,
}

/// The recorded outcome of a key.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The log records that the request ran, with or without its answer.
    Recorded,
    /// An operator settled the key.
    Resolved(claim::Resolve),
}

impl KeyState {
    /// Applies a record that was appended at this time by the log service's clock.
    fn apply(&mut self, record: Record, appended: Duration) {
        if self.workspace.is_empty() {
            self.workspace.clone_from(&record.key.workspace);
        }
        match record.body {
            Body::Start(_) => {
                let issued = record.key.issued_at();
                let in_time =
                    appended + MAX_CLOCK_SKEW >= issued && appended <= issued + MAX_KEY_AGE;
                if in_time && self.find_start(record.nonce).is_none() {
                    self.add_start(record.nonce, false);
                }
            }
            Body::Carry(_) => match self.find_start(record.nonce) {
                Some((_, unknown)) => *unknown = true,
                None => self.add_start(record.nonce, true),
            },
            Body::Void => {
                self.starts.retain(|(nonce, _)| *nonce != record.nonce);
                self.voided.push(record.nonce);
            }
            // An answer proves that the request ran, so it overrides an operator's resolution.
            Body::Done(_) => self.outcome = Some(Outcome::Recorded),
            Body::Ran => {
                self.outcome.get_or_insert(Outcome::Recorded);
            }
            Body::Unknown => {
                if let Some((_, unknown)) = self.find_start(record.nonce) {
                    *unknown = true;
                }
            }
            Body::Resolve(resolve) => {
                self.outcome.get_or_insert(Outcome::Resolved(resolve));
            }
        }
    }

    fn find_start(&mut self, nonce: Nonce) -> Option<&mut (Nonce, bool)> {
        self.starts.iter_mut().find(|(start, _)| *start == nonce)
    }

    fn add_start(&mut self, nonce: Nonce, unknown: bool) {
        if self.outcome.is_none() && !self.voided.contains(&nonce) {
            self.starts.push((nonce, unknown));
        }
    }
}

/// Settles a key.
pub(crate) fn resolve(options: &Resolve) -> Report {
    let client = match Client::new(&options.log, &options.author, REQUEST_TIMEOUT) {
        Ok(client) => client,
        Err(error) => return Report::usage(options.json, &error),
    };
    let key = Key {
        workspace: String::new(),
        id: options.key.as_u128(),
    };
    let log_stream = Stream::new(client, &stream_name(key.partition()), options.timeout);
    let mut session = Session {
        options,
        key,
        log_stream,
        next: 0,
        state: KeyState::default(),
        unknown_format: None,
    };
    block_on(options.json, async { session.settle().await })
}

/// One run of the command: the log's stream and the state of the key.
struct Session<'a> {
    options: &'a Resolve,
    key: Key,
    log_stream: Stream,
    next: Offset,
    state: KeyState,
    /// The format of a record that this release can't read; 0 if the record can't be decoded.
    unknown_format: Option<u16>,
}

impl Session<'_> {
    async fn settle(&mut self) -> Report {
        while let Err(text) = self.catch_up().await {
            if !self.log_stream.wait_to_retry().await {
                return self.unreachable(&format!("{text}; nothing was sent"));
            }
        }
        if let Some(report) = self.report_without_append() {
            return report;
        }
        let Some((nonce, _)) = self.state.starts.first().copied() else {
            return self.failure(Exit::NotFound, "not found", "this key has no open claim");
        };
        self.key.workspace.clone_from(&self.state.workspace);
        let record = codec::encode(&Record {
            format: FORMAT,
            key: self.key.clone(),
            nonce,
            body: Body::Resolve(self.resolution()),
        });
        self.append(record).await
    }

    /// The resolution that the operator asks for.
    fn resolution(&self) -> claim::Resolve {
        claim::Resolve {
            ran: self.options.ran,
            operator: self.options.author.clone(),
        }
    }

    /// The report, if nothing has to be appended.
    fn report_without_append(&self) -> Option<Report> {
        if let Some(report) = self.outdated() {
            return Some(report);
        }
        if let Some(outcome) = &self.state.outcome {
            return Some(self.outcome_report(outcome));
        }
        let (_, unknown) = self.state.starts.first()?;
        if *unknown || self.options.owner_gone {
            return None;
        }
        let text = "no record says that the outcome is unknown, so the entry that claimed the key \
            may still run the request or record its outcome; if that entry is gone for good, add \
            --owner-gone";
        Some(self.failure(Exit::Conflict, "open", text))
    }

    /// Appends the record with retries until an outcome is read back. A duplicate changes nothing.
    async fn append(&mut self, record: Vec<u8>) -> Report {
        let mut acknowledged = false;
        loop {
            let mut last_error = String::new();
            if !acknowledged {
                match self.log_stream.append(record.clone()).await {
                    Ok(()) => acknowledged = true,
                    Err(text) => last_error = text,
                }
            }
            if let Err(text) = self.catch_up().await {
                last_error = text;
            }
            if let Some(report) = self.outdated() {
                return report;
            }
            if let Some(outcome) = &self.state.outcome {
                return self.outcome_report(outcome);
            }
            if !self.log_stream.wait_to_retry().await {
                let text = format!(
                    "{last_error}; the record may be in the log already or may still reach it"
                );
                return self.unreachable(&text);
            }
        }
    }

    /// Reads the stream to its end.
    async fn catch_up(&mut self) -> Result<(), String> {
        if self.next == 0 {
            self.next = self.search_start_offset().await?;
        }
        loop {
            let page = self.log_stream.read_page(self.next).await?;
            let (empty, end) = (page.records.is_empty(), page.end);
            self.apply_page(page);
            if empty || self.next >= end || self.unknown_format.is_some() {
                return Ok(());
            }
        }
    }

    fn apply_page(&mut self, page: Page) {
        self.next = self.next.max(page.oldest);
        for stored in page.records {
            if stored.offset < self.next {
                continue;
            }
            match codec::decode::<Record>(&stored.body) {
                Ok(record) if record.format <= FORMAT => {
                    if record.key.id == self.key.id {
                        self.state
                            .apply(record, Duration::from_millis(stored.time_ms));
                    }
                }
                Ok(record) => self.unknown_format = Some(record.format),
                Err(_) => self.unknown_format = Some(0),
            }
            if self.unknown_format.is_some() {
                return;
            }
            self.next = stored.offset + 1;
        }
    }

    /// Finds an offset at or before the key's first valid record, by binary search over the record
    /// times. Older records need not be read: a start from before its key was issued is void.
    async fn search_start_offset(&mut self) -> Result<Offset, String> {
        let since = self
            .key
            .issued_at()
            .saturating_sub(MAX_CLOCK_SKEW)
            .as_millis();
        let page = self.log_stream.read(0, 1).await?;
        let (mut low, mut high) = (page.oldest, page.end);
        while high - low > MAX_PAGE_RECORDS as Offset {
            let middle = low + (high - low) / 2;
            let page = self.log_stream.read(middle, 1).await?;
            let early = page.records.first();
            let early = early.is_some_and(|stored| u128::from(stored.time_ms) < since);
            if early {
                low = middle;
            } else {
                high = middle;
            }
        }
        Ok(low)
    }

    fn outcome_report(&self, outcome: &Outcome) -> Report {
        let (json, key) = (self.options.json, self.options.key);
        let yes_or_no = |ran| if ran { "yes" } else { "no" };
        match outcome {
            Outcome::Resolved(resolve) if *resolve == self.resolution() => Report::new(
                Exit::Done,
                json,
                format!("settled: {key} ran: {}", yes_or_no(resolve.ran)),
                json!({"outcome": "settled", "key": key.to_string(), "ran": resolve.ran}),
            ),
            Outcome::Resolved(resolve) => {
                let operator = resolve.operator.escape_debug();
                let ran = yes_or_no(resolve.ran);
                let text = format!("conflict: {operator} settled {key} first, ran: {ran}");
                let value = json!({
                    "outcome": "conflict",
                    "key": key.to_string(),
                    "ran": resolve.ran,
                    "operator": resolve.operator,
                });
                Report::new(Exit::Conflict, json, text, value)
            }
            Outcome::Recorded => {
                let text = format!("conflict: the outcome of {key} is already recorded, ran: yes");
                let value = json!({"outcome": "recorded", "key": key.to_string(), "ran": true});
                Report::new(Exit::Conflict, json, text, value)
            }
        }
    }

    fn outdated(&self) -> Option<Report> {
        let format = self.unknown_format?;
        let text =
            format!("the log holds records in unknown format {format}; upgrade this command");
        Some(self.failure(Exit::Outdated, "outdated", &text))
    }

    fn unreachable(&self, text: &str) -> Report {
        let text =
            format!("{text}; running the same command again is safe, the key is settled once");
        self.failure(Exit::Unreachable, "unreachable", &text)
    }

    fn failure(&self, exit: Exit, outcome: &str, text: &str) -> Report {
        Report::failure(exit, self.options.json, outcome, text)
    }
}
