//! Publishing a configuration and reporting the outcome, also after lost responses.

use {
    crate::{
        args::Publish,
        exit::Exit,
        file::load,
        log::Client,
        report::{Report, json_values},
        run::block_on,
        stream::REQUEST_TIMEOUT,
        versions::{Versions, outdated},
    },
    camphorweir_config::{
        describe::{Severity, notes},
        edit::edits,
        fault::Fault,
        history::{self, Winner},
        model::{Document, Version},
        record::{Body, FORMAT, Nonce, Publication, Record},
    },
    camphorweir_wire::codec,
    serde_json::json,
    std::time::Duration,
    uuid::Uuid,
};

/// The outcome of a publication.
enum Outcome {
    /// Accepted as this version.
    Accepted(Version),
    /// The file is in force already.
    Unchanged(Version),
    /// Another publication came first.
    Conflict(Winner),
    /// Readers of the log reject the resulting configuration for these faults.
    Faulty(Vec<Fault>),
    /// The log can't be read or written. A publication that was sent has a nonce and may still be
    /// accepted.
    Unreachable(Option<Nonce>, String),
    /// The stream holds a record in this format, which is unknown to this release.
    Outdated(u16),
}

/// The parameters of a publication.
pub(crate) struct Params<'a> {
    pub(crate) json: bool,
    pub(crate) log: &'a str,
    pub(crate) author: &'a str,
    /// Publish only if this version is in force.
    pub(crate) base: Option<Version>,
    pub(crate) timeout: Duration,
}

/// Publishes a file.
pub(crate) fn publish(options: &Publish) -> Report {
    let document = match load(&options.file, options.json) {
        Ok(document) => document,
        Err(report) => return report,
    };
    let params = Params {
        json: options.json,
        log: &options.log,
        author: &options.author,
        base: options.base,
        timeout: options.timeout,
    };
    publish_edited(&params, |_| Ok(document.clone()))
}

/// Publishes the document that `change` returns for the document in force.
pub(crate) fn publish_edited(
    params: &Params<'_>,
    change: impl Fn(&Document) -> Result<Document, Report>,
) -> Report {
    let client = match Client::new(params.log, params.author, REQUEST_TIMEOUT) {
        Ok(client) => client,
        Err(error) => return Report::usage(params.json, &error),
    };
    block_on(params.json, async {
        let mut session = Session::new(params, client);
        match session.publish(change).await {
            Ok(outcome) => report(params.json, outcome, session.remarks),
            Err(report) => report,
        }
    })
}

/// One run of the command.
struct Session<'a> {
    params: &'a Params<'a>,
    log: Versions,
    remarks: String,
}

impl<'a> Session<'a> {
    fn new(params: &'a Params<'a>, client: Client) -> Self {
        Self {
            params,
            log: Versions::new(client, params.timeout),
            remarks: String::new(),
        }
    }

    async fn publish(
        &mut self,
        change: impl Fn(&Document) -> Result<Document, Report>,
    ) -> Result<Outcome, Report> {
        while let Err(text) = self.log.catch_up().await {
            if !self.log.stream.wait_to_retry().await {
                return Ok(Outcome::Unreachable(None, text));
            }
        }
        if let Some(format) = self.log.fold.unknown_format() {
            return Ok(Outcome::Outdated(format));
        }
        let document = change(self.log.fold.document())?;
        if let Some(outcome) = self.outcome_without_append(&document) {
            return Ok(outcome);
        }
        self.collect_warnings(&document);
        let nonce = nonce();
        let record = codec::encode(&Record {
            format: FORMAT,
            body: Body::Publication(Publication {
                nonce,
                author: self.params.author.to_owned(),
                base: self.log.fold.version(),
                edits: edits(self.log.fold.document(), &document),
            }),
        });
        Ok(self.append(nonce, record).await)
    }

    /// The outcome, if nothing has to be appended.
    fn outcome_without_append(&self, document: &Document) -> Option<Outcome> {
        let version = self.log.fold.version();
        if **self.log.fold.document() == *document {
            return Some(Outcome::Unchanged(version));
        }
        let base = self.params.base.unwrap_or(version);
        (base != version).then(|| Outcome::Conflict(self.log.fold.successor_of(base)))
    }

    /// Appends the record, with retries, until the outcome is known.
    ///
    /// Appending the record again is harmless: of several records with the same nonce, readers
    /// apply the first and ignore the others.
    async fn append(&mut self, nonce: Nonce, record: Vec<u8>) -> Outcome {
        let mut acknowledged = false;
        loop {
            let mut last_error = String::new();
            if !acknowledged {
                match self.log.stream.append(record.clone()).await {
                    Ok(()) => acknowledged = true,
                    Err(text) => last_error = text,
                }
            }
            if let Err(text) = self.log.catch_up().await {
                last_error = text;
            }
            if let Some(outcome) = self.outcome_of(nonce) {
                return outcome;
            }
            if !self.log.stream.wait_to_retry().await {
                return Outcome::Unreachable(Some(nonce), last_error);
            }
        }
    }

    fn outcome_of(&self, nonce: Nonce) -> Option<Outcome> {
        if let Some(format) = self.log.fold.unknown_format() {
            return Some(Outcome::Outdated(format));
        }
        match self.log.fold.outcome(nonce)? {
            history::Outcome::Accepted(version) => Some(Outcome::Accepted(*version)),
            history::Outcome::Conflict(winner) => Some(Outcome::Conflict(winner.clone())),
            history::Outcome::Faulty(faults) => Some(Outcome::Faulty(faults.clone())),
        }
    }

    fn collect_warnings(&mut self, document: &Document) {
        let notes = notes(self.log.fold.document(), document);
        let warnings = notes
            .iter()
            .filter(|note| note.severity == Severity::Warning);
        let lines: Vec<_> = warnings.map(ToString::to_string).collect();
        self.remarks = lines.join("\n");
    }
}

/// A random nonce, so that two publishers don't share one. The low half of a version-7 UUID holds
/// no timestamp.
fn nonce() -> Nonce {
    let (_, low) = Uuid::now_v7().as_u64_pair();
    low
}

fn report(json: bool, outcome: Outcome, remarks: String) -> Report {
    let report = match outcome {
        Outcome::Accepted(version) => Report::new(
            Exit::Done,
            json,
            format!("accepted version {version}"),
            json!({"outcome": "accepted", "version": version}),
        ),
        Outcome::Unchanged(version) => Report::new(
            Exit::Done,
            json,
            format!("unchanged: version {version} in force already has this content"),
            json!({"outcome": "unchanged", "version": version}),
        ),
        Outcome::Conflict(Winner { author, version }) => Report::new(
            Exit::Conflict,
            json,
            format!(
                "conflict: {} published version {version} first",
                author.escape_debug()
            ),
            json!({"outcome": "conflict", "author": author, "version": version}),
        ),
        Outcome::Faulty(faults) => Report::new(
            Exit::Faulty,
            json,
            faults_text(&faults),
            json!({"outcome": "faulty", "faults": json_values(&faults)}),
        ),
        Outcome::Unreachable(nonce, text) => unreachable_report(json, nonce, &text),
        Outcome::Outdated(format) => outdated(json, format),
    };
    report.with_remarks(remarks)
}

fn unreachable_report(json: bool, nonce: Option<Nonce>, text: &str) -> Report {
    let sent = match nonce {
        None => "nothing was sent".to_owned(),
        Some(nonce) => {
            format!("publication {nonce:016x} may be in the log already or may still reach it")
        }
    };
    let message = format!(
        "unreachable: {text}; {sent}; running the same command again is safe, the file is \
        accepted once"
    );
    let value = json!({
        "outcome": "unreachable",
        "nonce": nonce.map(|nonce| format!("{nonce:016x}")),
        "text": text,
    });
    Report::new(Exit::Unreachable, json, message, value)
}

fn faults_text(faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
