//! Reads versions of the configuration from the log.

use {
    crate::{
        exit::Exit,
        log::Client,
        report::Report,
        stream::{REQUEST_TIMEOUT, Stream},
    },
    camphorweir_config::{
        fold::Fold,
        model::{Document, Version},
        record::STREAM,
    },
    std::{sync::Arc, time::Duration},
};

/// Name that the command sends to the log service when it only reads.
const READER_NAME: &str = "camphorweir-check";

/// The configuration stream and its fold.
pub(crate) struct Versions {
    pub(crate) stream: Stream,
    pub(crate) fold: Fold,
}

impl Versions {
    pub(crate) fn new(client: Client, timeout: Duration) -> Self {
        Self {
            stream: Stream::new(client, STREAM, timeout),
            fold: Fold::new(),
        }
    }

    /// Reads the stream to its end.
    pub(crate) async fn catch_up(&mut self) -> Result<(), String> {
        self.read_until(None).await
    }

    /// Reads the stream until `version` is in force, or to its end.
    async fn read_until(&mut self, version: Option<Version>) -> Result<(), String> {
        if version == Some(self.fold.version()) {
            return Ok(());
        }
        loop {
            let page = self.stream.read_page(self.fold.next_offset()).await?;
            self.fold.note_truncation(page.oldest);
            for stored in &page.records {
                self.fold.apply(stored.offset, &stored.body);
                if version == Some(self.fold.version()) {
                    return Ok(());
                }
            }
            if self.fold.unknown_format().is_some() {
                return Ok(());
            }
            if page.records.is_empty() || self.fold.next_offset() >= page.end {
                break;
            }
        }
        if self.fold.needs_checkpoint() {
            let text = "the log has deleted old records and has no checkpoint that covers them yet";
            return Err(text.to_owned());
        }
        Ok(())
    }
}

/// Reads a version and its number from the log at `url`; the one in force if `version` is none.
pub(crate) async fn read(
    url: &str,
    version: Option<Version>,
    timeout: Duration,
    json: bool,
) -> Result<(Version, Arc<Document>), Report> {
    let client = Client::new(url, READER_NAME, REQUEST_TIMEOUT);
    let client = client.map_err(|error| Report::usage(json, &error))?;
    let mut log = Versions::new(client, timeout);
    while let Err(text) = log.read_until(version).await {
        if !log.stream.wait_to_retry().await {
            return Err(Report::failure(
                Exit::Unreachable,
                json,
                "unreachable",
                text,
            ));
        }
    }
    let read = log.fold.version();
    match (version, log.fold.unknown_format()) {
        (Some(version), _) if version == read => {}
        (_, Some(format)) => return Err(outdated(json, format)),
        (Some(version), None) => {
            let text = match version > read {
                true => format!("version {version} is not published; version {read} is in force"),
                false => format!("the log no longer has version {version}; {read} is in force"),
            };
            return Err(Report::failure(Exit::NotFound, json, "not found", text));
        }
        (None, None) => {}
    }
    Ok((read, Arc::clone(log.fold.document())))
}

/// The report on a log with records in a format that is unknown to this release.
pub(crate) fn outdated(json: bool, format: u16) -> Report {
    Report::failure(
        Exit::Outdated,
        json,
        "outdated",
        format!("the log holds records in unknown format {format}; upgrade this command"),
    )
}
