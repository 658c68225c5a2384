//! Draining and undraining a target by publishing a changed configuration.

use {
    crate::{
        args::Drain,
        exit::Exit,
        publish::{Params, publish_edited},
        report::Report,
    },
    camphorweir_config::model::Document,
};

/// Publishes the target's `drain` flag.
pub(crate) fn set(options: &Drain, drain: bool) -> Report {
    let params = Params {
        json: options.json,
        log: &options.log,
        author: &options.author,
        base: None,
        timeout: options.timeout,
    };
    publish_edited(&params, |document| with_drain(document, options, drain))
}

fn with_drain(document: &Document, options: &Drain, drain: bool) -> Result<Document, Report> {
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
