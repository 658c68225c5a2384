//! Publishing a configuration: what became of it is always said.

use {
    crate::{
        args::Publish,
        exit::Exit,
        file::load,
        log::{Client, Error},
        report::{Report, values},
    },
    camphorweir_config::{
        describe::{Weight, notes},
        edit::edits,
        fault::Fault,
        fold::Fold,
        history::{Fate, Winner},
        model::{Document, Version},
        record::{Body, FORMAT, Nonce, Publication, Record, STREAM},
    },
    camphorweir_wire::{codec, log::Page},
    serde_json::json,
    std::time::Duration,
    tokio::{
        runtime,
        time::{Instant, sleep, timeout_at},
    },
    uuid::Uuid,
};

/// Longest time for one exchange with the log service.
const PATIENCE: Duration = Duration::from_secs(10);
/// Most records read at once; fewer after a failure, which may be due to the size of the answer.
const PAGE: usize = 1000;
/// Pause before the first repetition; it doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between repetitions.
const LAST_PAUSE: Duration = Duration::from_secs(2);

/// How a publication ended.
enum End {
    /// In force as this version.
    Accepted(Version),
    /// The file is in force already.
    Unchanged(Version),
    /// Another publication came first.
    Conflict(Winner),
    /// The log's readers found faults that this release did not.
    Faulty(Vec<Fault>),
    /// The log can't be read or written; what was sent under the nonce may land yet.
    Unreachable(Option<Nonce>, String),
    /// The stream holds a format that this release does not know.
    Outdated(u16),
}

/// Publishes a file.
pub(crate) fn publish(options: &Publish) -> Report {
    let document = match load(&options.file, options.json) {
        Ok(document) => document,
        Err(report) => return report,
    };
    let client = match Client::new(&options.log, &options.author, PATIENCE) {
        Ok(client) => client,
        Err(error) => return usage(options, &error),
    };
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            let text = error.to_string();
            return Report::failure(Exit::Internal, options.json, "internal", text);
        }
    };
    runtime.block_on(async {
        let mut session = Session::new(options, client);
        let end = session.publish(&document).await;
        report(options, end, session.remarks)
    })
}

fn usage(options: &Publish, error: &Error) -> Report {
    Report::failure(
        Exit::Usage,
        options.json,
        "wrong arguments",
        error.to_string(),
    )
}

/// One run of the command against the log.
struct Session<'a> {
    options: &'a Publish,
    client: Client,
    fold: Fold,
    deadline: Instant,
    pause: Duration,
    /// Records to read at once, `1..=PAGE`.
    page: usize,
    remarks: String,
}

impl<'a> Session<'a> {
    fn new(options: &'a Publish, client: Client) -> Self {
        Self {
            options,
            client,
            fold: Fold::new(),
            deadline: Instant::now() + options.timeout,
            pause: FIRST_PAUSE,
            page: PAGE,
            remarks: String::new(),
        }
    }

    async fn publish(&mut self, document: &Document) -> End {
        while let Err(text) = self.catch_up().await {
            if !self.again().await {
                return End::Unreachable(None, text);
            }
        }
        if let Some(end) = self.settled(document) {
            return end;
        }
        self.warn(document);
        let nonce = nonce();
        let record = codec::encode(&Record {
            format: FORMAT,
            body: Body::Publication(Publication {
                nonce,
                author: self.options.author.clone(),
                base: self.fold.version(),
                edits: edits(self.fold.document(), document),
            }),
        });
        self.append(nonce, record).await
    }

    /// The end, when nothing has to be appended.
    fn settled(&self, document: &Document) -> Option<End> {
        if let Some(format) = self.fold.stopped() {
            return Some(End::Outdated(format));
        }
        let version = self.fold.version();
        if **self.fold.document() == *document {
            return Some(End::Unchanged(version));
        }
        let base = self.options.base.unwrap_or(version);
        (base != version).then(|| End::Conflict(self.fold.winner_over(base)))
    }

    /// Appends until the publication's fate is known.
    ///
    /// Appending it again under the same nonce is harmless: the first one to land decides, and a
    /// later one changes nothing.
    async fn append(&mut self, nonce: Nonce, record: Vec<u8>) -> End {
        let mut landed = false;
        loop {
            let mut trouble = String::new();
            if !landed {
                match self.append_once(record.clone()).await {
                    Ok(()) => landed = true,
                    Err(text) => trouble = text,
                }
            }
            if let Err(text) = self.catch_up().await {
                trouble = text;
            }
            if let Some(end) = self.end_of(nonce) {
                return end;
            }
            if !self.again().await {
                return End::Unreachable(Some(nonce), trouble);
            }
        }
    }

    async fn append_once(&mut self, record: Vec<u8>) -> Result<(), String> {
        let appended = self.client.append(STREAM, vec![record]);
        match timeout_at(self.deadline, appended).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the append was not answered in time".to_owned()),
        }
    }

    fn end_of(&self, nonce: Nonce) -> Option<End> {
        if let Some(format) = self.fold.stopped() {
            return Some(End::Outdated(format));
        }
        match self.fold.fate(nonce)? {
            Fate::Accepted(version) => Some(End::Accepted(*version)),
            Fate::Conflict(winner) => Some(End::Conflict(winner.clone())),
            Fate::Faulty(faults) => Some(End::Faulty(faults.clone())),
        }
    }

    /// Reads the stream to its end.
    async fn catch_up(&mut self) -> Result<(), String> {
        loop {
            let page = self.read().await?;
            self.fold.lost(page.oldest);
            for stored in &page.records {
                self.fold.apply(stored.offset, &stored.body);
            }
            if self.fold.stopped().is_some() {
                return Ok(());
            }
            if page.records.is_empty() || self.fold.next() >= page.end {
                break;
            }
        }
        if self.fold.waiting() {
            let text = "the log no longer has the records before its oldest, and no checkpoint yet";
            return Err(text.to_owned());
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<Page, String> {
        let (from, wait) = (self.fold.next(), Duration::ZERO);
        let page = self.client.page(STREAM, from, self.page, wait);
        let (most, read) = match timeout_at(self.deadline, page).await {
            Ok(Ok(page)) => (self.page * 2, Ok(page)),
            Ok(Err(error)) => (self.page / 4, Err(error.to_string())),
            Err(_) => (
                self.page,
                Err("the log could not be read to its end in time".to_owned()),
            ),
        };
        self.page = most.clamp(1, PAGE);
        read
    }

    /// Pauses before another try; false when the time is up.
    async fn again(&mut self) -> bool {
        if Instant::now() + self.pause >= self.deadline {
            return false;
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LAST_PAUSE);
        true
    }

    fn warn(&mut self, document: &Document) {
        let notes = notes(self.fold.document(), document);
        let warnings = notes.iter().filter(|note| note.weight == Weight::Warning);
        let lines: Vec<_> = warnings.map(ToString::to_string).collect();
        self.remarks = lines.join("\n");
    }
}

/// Random, so that two publishers don't share one: the low half of a version-7 UUID holds no time.
fn nonce() -> Nonce {
    let (_, low) = Uuid::now_v7().as_u64_pair();
    low
}

fn report(options: &Publish, end: End, remarks: String) -> Report {
    let json = options.json;
    let report = match end {
        End::Accepted(version) => Report::new(
            Exit::Done,
            json,
            format!("accepted version {version}"),
            json!({"outcome": "accepted", "version": version}),
        ),
        End::Unchanged(version) => Report::new(
            Exit::Done,
            json,
            format!("unchanged: version {version} in force has this content"),
            json!({"outcome": "unchanged", "version": version}),
        ),
        End::Conflict(Winner { author, version }) => Report::new(
            Exit::Conflict,
            json,
            format!(
                "conflict: {} published version {version} first",
                author.escape_debug()
            ),
            json!({"outcome": "conflict", "author": author, "version": version}),
        ),
        End::Faulty(faults) => Report::new(
            Exit::Faulty,
            json,
            faults_text(&faults),
            json!({"outcome": "faulty", "faults": values(&faults)}),
        ),
        End::Unreachable(nonce, text) => unreachable_report(json, nonce, &text),
        End::Outdated(format) => Report::failure(
            Exit::Outdated,
            json,
            "outdated",
            format!("the log holds records of format {format}; upgrade this command"),
        ),
    };
    report.remark(remarks)
}

fn unreachable_report(json: bool, nonce: Option<Nonce>, text: &str) -> Report {
    let sent = match nonce {
        None => "nothing was sent".to_owned(),
        Some(nonce) => format!("publication {nonce:016x} may have landed or may land yet"),
    };
    let words =
        format!("unreachable: {text}; {sent}; run the same command again, it is accepted once");
    let value = json!({
        "outcome": "unreachable",
        "nonce": nonce.map(|nonce| format!("{nonce:016x}")),
        "text": text,
    });
    Report::new(Exit::Unreachable, json, words, value)
}

fn faults_text(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
