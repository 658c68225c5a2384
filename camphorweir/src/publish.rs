//! Publishing a configuration: what became of it is always said.

use {
    crate::{
        args::Publish,
        exit::Exit,
        file::load,
        log::Client,
        reader::{PATIENCE, Reader},
        report::{Report, values},
        run::block_on,
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
    camphorweir_wire::codec,
    serde_json::json,
    std::time::Duration,
    uuid::Uuid,
};

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

/// Where a publication goes, by whom and for how long.
pub(crate) struct Terms<'a> {
    pub(crate) json: bool,
    pub(crate) log: &'a str,
    pub(crate) author: &'a str,
    /// Publish only while this version is in force.
    pub(crate) base: Option<Version>,
    pub(crate) timeout: Duration,
}

/// Publishes a file.
pub(crate) fn publish(options: &Publish) -> Report {
    let document = match load(&options.file, options.json) {
        Ok(document) => document,
        Err(report) => return report,
    };
    let terms = Terms {
        json: options.json,
        log: &options.log,
        author: &options.author,
        base: options.base,
        timeout: options.timeout,
    };
    change(&terms, |_| Ok(document.clone()))
}

/// Publishes what `change` makes of the document in force.
pub(crate) fn change(
    terms: &Terms<'_>,
    change: impl Fn(&Document) -> Result<Document, Report>,
) -> Report {
    let client = match Client::new(terms.log, terms.author, PATIENCE) {
        Ok(client) => client,
        Err(error) => return Report::usage(terms.json, &error),
    };
    block_on(terms.json, async {
        let mut session = Session::new(terms, client);
        match session.publish(change).await {
            Ok(end) => report(terms.json, end, session.remarks),
            Err(report) => report,
        }
    })
}

/// One run of the command against the log.
struct Session<'a> {
    terms: &'a Terms<'a>,
    reader: Reader,
    fold: Fold,
    remarks: String,
}

impl<'a> Session<'a> {
    fn new(terms: &'a Terms<'a>, client: Client) -> Self {
        Self {
            terms,
            reader: Reader::new(client, STREAM, terms.timeout),
            fold: Fold::new(),
            remarks: String::new(),
        }
    }

    async fn publish(
        &mut self,
        change: impl Fn(&Document) -> Result<Document, Report>,
    ) -> Result<End, Report> {
        while let Err(text) = self.catch_up().await {
            if !self.reader.again().await {
                return Ok(End::Unreachable(None, text));
            }
        }
        if let Some(format) = self.fold.stopped() {
            return Ok(End::Outdated(format));
        }
        let document = change(self.fold.document())?;
        if let Some(end) = self.settled(&document) {
            return Ok(end);
        }
        self.warn(&document);
        let nonce = nonce();
        let record = codec::encode(&Record {
            format: FORMAT,
            body: Body::Publication(Publication {
                nonce,
                author: self.terms.author.to_owned(),
                base: self.fold.version(),
                edits: edits(self.fold.document(), &document),
            }),
        });
        Ok(self.append(nonce, record).await)
    }

    /// The end, when nothing has to be appended.
    fn settled(&self, document: &Document) -> Option<End> {
        let version = self.fold.version();
        if **self.fold.document() == *document {
            return Some(End::Unchanged(version));
        }
        let base = self.terms.base.unwrap_or(version);
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
                match self.reader.append(record.clone()).await {
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
            if !self.reader.again().await {
                return End::Unreachable(Some(nonce), trouble);
            }
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
            let page = self.reader.page(self.fold.next()).await?;
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

fn report(json: bool, end: End, remarks: String) -> Report {
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
