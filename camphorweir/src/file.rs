//! Configuration files: reading, checking and printing.

use {
    crate::{exit::Exit, report::Report},
    camphorweir_config::{
        fault::Fault,
        model::Document,
        parse::{self, MAX_BYTES},
        print as printer,
    },
    serde_json::json,
    std::{
        fs::File,
        io::{self, Read},
        path::Path,
    },
};

/// Checks a file and counts the items of each section.
pub(crate) fn check(path: &Path, json: bool) -> Report {
    match load(path, json) {
        Ok(document) => summary(path, &document, json),
        Err(report) => report,
    }
}

/// Prints a file in canonical form.
pub(crate) fn print(path: &Path) -> Report {
    let document = match load(path, false) {
        Ok(document) => document,
        Err(report) => return report,
    };
    match printer::text(&document) {
        Ok(text) => Report::new(Exit::Done, false, text, json!(null)),
        Err(error) => Report::failure(Exit::Internal, false, "internal", error.to_string()),
    }
}

/// Reads and checks a file; `-` is standard input.
pub(crate) fn load(path: &Path, json: bool) -> Result<Document, Report> {
    let name = path.display().to_string();
    let text = read(path).map_err(|error| {
        let text = format!("{name}: {error}");
        Report::failure(Exit::Unreadable, json, "unreadable", text)
    })?;
    parse_bytes(&text).map_err(|faults| Report::faulty(&name, json, &faults))
}

fn parse_bytes(bytes: &[u8]) -> Result<Document, Vec<Fault>> {
    match str::from_utf8(bytes) {
        Ok(text) => parse::checked(text),
        Err(error) => {
            let code = camphorweir_config::fault::Code::Syntax;
            Err(vec![Fault::new(code, &[], format!("not UTF-8: {error}"))])
        }
    }
}

/// Reads at most one byte more than is allowed, enough for the parser to reject a longer file.
fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let limit = MAX_BYTES as u64 + 1;
    if path == Path::new("-") {
        io::stdin().lock().take(limit).read_to_end(&mut bytes)?;
    } else {
        File::open(path)?.take(limit).read_to_end(&mut bytes)?;
    }
    Ok(bytes)
}

fn summary(path: &Path, document: &Document, json: bool) -> Report {
    let counts = [
        ("kinds", document.kinds.len()),
        ("zones", document.zones.len()),
        ("links", document.links.len()),
        ("models", document.models.len()),
        ("pipelines", document.pipelines.len()),
        ("services", document.services.len()),
        ("targets", document.targets.len()),
        ("workspaces", document.workspaces.len()),
    ];
    let words: Vec<_> = counts
        .iter()
        .map(|(section, count)| format!("{count} {section}"))
        .collect();
    let text = format!("{}: no faults; {}", path.display(), words.join(", "));
    let counts: serde_json::Map<_, _> = counts
        .iter()
        .map(|(section, count)| ((*section).to_owned(), json!(count)))
        .collect();
    let value = json!({"outcome": "good", "file": path.display().to_string(), "counts": counts});
    Report::new(Exit::Done, json, text, value)
}
