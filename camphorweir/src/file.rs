//! Configuration files: reading and printing.

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
    load_with(path, json, parse::checked)
}

/// Reads a file and parses it with `parse`; `-` is standard input.
pub(crate) fn load_with<T>(
    path: &Path,
    json: bool,
    parse: impl Fn(&str) -> Result<T, Vec<Fault>>,
) -> Result<T, Report> {
    let name = path.display().to_string();
    let text = read(path).map_err(|error| {
        let text = format!("{name}: {error}");
        Report::failure(Exit::Unreadable, json, "unreadable", text)
    })?;
    let parsed = match str::from_utf8(&text) {
        Ok(text) => parse(text),
        Err(error) => {
            let code = camphorweir_config::fault::Code::Syntax;
            Err(vec![Fault::new(code, &[], format!("not UTF-8: {error}"))])
        }
    };
    parsed.map_err(|faults| Report::faulty(&name, json, &faults))
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
