//! Settling a never-repeat key: the first record in the log wins, and it is read back.

use {
    crate::{
        args::Resolve,
        exit::Exit,
        log::Client,
        reader::{PAGE, PATIENCE, Reader},
        report::Report,
        run::block_on,
    },
    camphorweir_wire::{
        claim::{self, Body, FORMAT, Key, Record, SKEW, WINDOW, stream},
        codec,
        ids::{Nonce, Offset},
        log::Page,
    },
    serde_json::json,
    std::time::Duration,
};

/// What the log says of one key.
///
/// It follows the rules by which entries fold the claim streams, for this key alone.
#[derive(Clone, Debug, Default)]
struct Story {
    workspace: String,
    /// Starts that are not void, in the order of the log, and whether each is known to be lost.
    starts: Vec<(Nonce, bool)>,
    voids: Vec<Nonce>,
    end: Option<End>,
}

/// How a key was settled.
#[derive(Clone, Debug, PartialEq)]
enum End {
    /// Its answer is recorded, or that it had one.
    Answered,
    /// An operator settled it.
    Resolved(claim::Resolve),
}

impl Story {
    /// Takes a record in that landed at this time by the log service's clock.
    fn tell(&mut self, record: Record, landed: Duration) {
        if self.workspace.is_empty() {
            self.workspace.clone_from(&record.key.workspace);
        }
        match record.body {
            Body::Start(_) => {
                let issued = record.key.issued();
                let in_time = landed + SKEW >= issued && landed <= issued + WINDOW;
                if in_time && self.find(record.nonce).is_none() {
                    self.start(record.nonce, false);
                }
            }
            Body::Carry(_) => match self.find(record.nonce) {
                Some((_, unknown)) => *unknown = true,
                None => self.start(record.nonce, true),
            },
            Body::Void => {
                self.starts.retain(|(nonce, _)| *nonce != record.nonce);
                self.voids.push(record.nonce);
            }
            // An answer proves that the request ran, so it stands above an operator's word.
            Body::Done(_) => self.end = Some(End::Answered),
            Body::Ran => {
                self.end.get_or_insert(End::Answered);
            }
            Body::Unknown => {
                if let Some((_, unknown)) = self.find(record.nonce) {
                    *unknown = true;
                }
            }
            Body::Resolve(resolve) => {
                self.end.get_or_insert(End::Resolved(resolve));
            }
        }
    }

    fn find(&mut self, nonce: Nonce) -> Option<&mut (Nonce, bool)> {
        self.starts.iter_mut().find(|(start, _)| *start == nonce)
    }

    fn start(&mut self, nonce: Nonce, unknown: bool) {
        if self.end.is_none() && !self.voids.contains(&nonce) {
            self.starts.push((nonce, unknown));
        }
    }
}

/// Settles a key.
pub(crate) fn resolve(options: &Resolve) -> Report {
    let client = match Client::new(&options.log, &options.author, PATIENCE) {
        Ok(client) => client,
        Err(error) => return Report::usage(options.json, &error),
    };
    let key = Key {
        workspace: String::new(),
        id: options.key.as_u128(),
    };
    let reader = Reader::new(client, &stream(key.partition()), options.timeout);
    let mut session = Session {
        options,
        key,
        reader,
        next: 0,
        story: Story::default(),
        unknown: None,
    };
    block_on(options.json, async { session.settle().await })
}

struct Session<'a> {
    options: &'a Resolve,
    key: Key,
    reader: Reader,
    next: Offset,
    story: Story,
    /// The format of a record that this release can't read.
    unknown: Option<u16>,
}

impl Session<'_> {
    async fn settle(&mut self) -> Report {
        while let Err(text) = self.catch_up().await {
            if !self.reader.again().await {
                return self.unreachable(&format!("{text}; nothing was sent"));
            }
        }
        if let Some(report) = self.refused() {
            return report;
        }
        let Some((nonce, _)) = self.story.starts.first().copied() else {
            return self.failure(
                Exit::NotFound,
                "not found",
                "nothing is open under this key",
            );
        };
        self.key.workspace.clone_from(&self.story.workspace);
        let record = codec::encode(&Record {
            format: FORMAT,
            key: self.key.clone(),
            nonce,
            body: Body::Resolve(self.wanted()),
        });
        self.append(record).await
    }

    fn wanted(&self) -> claim::Resolve {
        claim::Resolve {
            ran: self.options.ran,
            operator: self.options.author.clone(),
        }
    }

    /// Why nothing is to be appended.
    fn refused(&self) -> Option<Report> {
        if let Some(report) = self.outdated() {
            return Some(report);
        }
        if let Some(end) = &self.story.end {
            return Some(self.settled(end));
        }
        let (_, unknown) = self.story.starts.first()?;
        if *unknown || self.options.owner_gone {
            return None;
        }
        let text = "no record says that the outcome is unknown, so the entry that claimed the key may \
            still run it or record its end; if that entry is gone for good, add --owner-gone";
        Some(self.failure(Exit::Conflict, "open", text))
    }

    /// Appends until a settlement is read back; one that lands twice changes nothing.
    async fn append(&mut self, record: Vec<u8>) -> Report {
        let mut landed = false;
        loop {
            let mut trouble = String::new();
            if !landed {
                match self.reader.append(record.clone()).await {
                    Ok(()) => landed = true,
                    Err(text) => trouble = text,
                }
            }
            if let Err(text) = self.catch_up().await {
                trouble = text;
            }
            if let Some(report) = self.outdated() {
                return report;
            }
            if let Some(end) = &self.story.end {
                return self.settled(end);
            }
            if !self.reader.again().await {
                let text = format!("{trouble}; the record may have landed or may land yet");
                return self.unreachable(&text);
            }
        }
    }

    /// Reads the stream to its end.
    async fn catch_up(&mut self) -> Result<(), String> {
        if self.next == 0 {
            self.next = self.search().await?;
        }
        loop {
            let page = self.reader.page(self.next).await?;
            let (empty, end) = (page.records.is_empty(), page.end);
            self.tell(page);
            if empty || self.next >= end || self.unknown.is_some() {
                return Ok(());
            }
        }
    }

    fn tell(&mut self, page: Page) {
        self.next = self.next.max(page.oldest);
        for stored in page.records {
            if stored.offset < self.next {
                continue;
            }
            match codec::decode::<Record>(&stored.body) {
                Ok(record) if record.format <= FORMAT => {
                    if record.key.id == self.key.id {
                        self.story
                            .tell(record, Duration::from_millis(stored.time_ms));
                    }
                }
                Ok(record) => self.unknown = Some(record.format),
                Err(_) => self.unknown = Some(0),
            }
            if self.unknown.is_some() {
                return;
            }
            self.next = stored.offset + 1;
        }
    }

    /// An offset at or before the key's first record; a start earlier than its key's issue is void,
    /// so older records need not be read. Logarithmic in the records retained.
    async fn search(&mut self) -> Result<Offset, String> {
        let since = self.key.issued().saturating_sub(SKEW).as_millis();
        let page = self.reader.read(0, 1).await?;
        let (mut low, mut high) = (page.oldest, page.end);
        while high - low > PAGE as Offset {
            let middle = low + (high - low) / 2;
            let page = self.reader.read(middle, 1).await?;
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

    fn settled(&self, end: &End) -> Report {
        let (json, key) = (self.options.json, self.options.key);
        let word = |ran| if ran { "yes" } else { "no" };
        match end {
            End::Resolved(resolve) if *resolve == self.wanted() => Report::new(
                Exit::Done,
                json,
                format!("settled: {key} ran: {}", word(resolve.ran)),
                json!({"outcome": "settled", "key": key.to_string(), "ran": resolve.ran}),
            ),
            End::Resolved(resolve) => {
                let operator = resolve.operator.escape_debug();
                let ran = word(resolve.ran);
                let text = format!("conflict: {operator} settled {key} first, ran: {ran}");
                let value = json!({
                    "outcome": "conflict",
                    "key": key.to_string(),
                    "ran": resolve.ran,
                    "operator": resolve.operator,
                });
                Report::new(Exit::Conflict, json, text, value)
            }
            End::Answered => {
                let text = format!("conflict: the outcome of {key} is recorded, ran: yes");
                let value = json!({"outcome": "recorded", "key": key.to_string(), "ran": true});
                Report::new(Exit::Conflict, json, text, value)
            }
        }
    }

    fn outdated(&self) -> Option<Report> {
        let format = self.unknown?;
        let text = format!("the log holds records of format {format}; upgrade this command");
        Some(self.failure(Exit::Outdated, "outdated", &text))
    }

    fn unreachable(&self, text: &str) -> Report {
        let text = format!("{text}; run the same command again, it settles the key once");
        self.failure(Exit::Unreachable, "unreachable", &text)
    }

    fn failure(&self, exit: Exit, outcome: &str, text: &str) -> Report {
        Report::failure(exit, self.options.json, outcome, text)
    }
}
