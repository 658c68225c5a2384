//! Draining a target and giving it work again, as a publication.

use {
    crate::{
        args::Drain,
        exit::Exit,
        publish::{Terms, change},
        report::Report,
    },
    camphorweir_config::model::Document,
};

/// Publishes whether a target is drained.
pub(crate) fn set(options: &Drain, drain: bool) -> Report {
    let terms = Terms {
        json: options.json,
        log: &options.log,
        author: &options.author,
        base: None,
        timeout: options.timeout,
    };
    change(&terms, |document| drained(document, options, drain))
}

fn drained(document: &Document, options: &Drain, drain: bool) -> Result<Document, Report> {
    let mut document = document.clone();
    let Some(target) = document.targets.get_mut(&options.target) else {
        let name = options.target.escape_debug();
        let text = format!("the configuration in force has no target {name}");
        return Err(Report::failure(
            Exit::NotFound,
            options.json,
            "not found",
            text,
        ));
    };
    target.drain = drain;
    Ok(document)
}
