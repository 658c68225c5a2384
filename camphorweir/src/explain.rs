//! What a numbered code means and what to do about it.

use {
    crate::{exit::Exit, report::Report},
    camphorweir_config::fault,
    camphorweir_wire::code,
    serde_json::{Value, json},
};

/// What the page of all codes begins with.
const INTRODUCTION: &str = "\
# Result codes

Printed by `camphorweir explain --markdown > docs/ERRORS.md`; a test holds it to the code.

Every answer that is not a plain success carries one of these numbers, in its body and in the header
`camphorweir-code`. The header `camphorweir-ran` says whether the request ran: `yes`, `no` or `unknown`.
Codes without a status are faults of a configuration file.

| code | name | HTTP status | meaning | what to do |
|---|---|---|---|---|
";

/// One line of the table of codes.
struct Entry {
    number: u16,
    name: &'static str,
    meaning: &'static str,
    remedy: &'static str,
    /// HTTP status of a result; a fault of a file has none.
    status: Option<u16>,
}

/// Explains one code, or lists all of them.
pub(crate) fn explain(code: Option<u16>, json: bool) -> Report {
    let entries = entries();
    let Some(code) = code else {
        let lines: Vec<_> = entries.iter().map(short).collect();
        let values: Vec<_> = entries.iter().map(value).collect();
        return Report::new(Exit::Done, json, lines.join("\n"), json!(values));
    };
    match entries.iter().find(|entry| entry.number == code) {
        Some(entry) => Report::new(Exit::Done, json, long(entry), value(entry)),
        None => Report::failure(Exit::NotFound, json, "not found", format!("no code {code}")),
    }
}

/// The page that documents all codes.
pub(crate) fn markdown() -> Report {
    let mut text = INTRODUCTION.to_owned();
    for entry in entries() {
        let status = entry
            .status
            .map_or("-".to_owned(), |status| status.to_string());
        let (meaning, remedy) = (entry.meaning.trim(), entry.remedy);
        let (number, name) = (entry.number, entry.name);
        text += &format!("| {number} | {name} | {status} | {meaning} | {remedy} |\n");
    }
    Report::new(Exit::Done, false, text, json!(null))
}

/// All codes by number.
fn entries() -> Vec<Entry> {
    let results = code::Code::ALL.iter().map(|code| Entry {
        number: code.number(),
        name: code.name(),
        meaning: code.meaning(),
        remedy: code.remedy(),
        status: Some(code.status()),
    });
    let faults = fault::Code::ALL.iter().map(|code| Entry {
        number: code.number(),
        name: code.name(),
        meaning: code.meaning(),
        remedy: code.remedy(),
        status: None,
    });
    let mut entries: Vec<_> = results.chain(faults).collect();
    entries.sort_by_key(|entry| entry.number);
    entries
}

fn short(entry: &Entry) -> String {
    format!("{} {}: {}", entry.number, entry.name, entry.meaning.trim())
}

fn long(entry: &Entry) -> String {
    let mut text = format!("{} {}\n", entry.number, entry.name);
    text += &format!("What it means: {}\n", entry.meaning.trim());
    text += &format!("What to do: {}", entry.remedy);
    if let Some(status) = entry.status {
        text += &format!("\nHTTP status: {status}");
    }
    text
}

fn value(entry: &Entry) -> Value {
    json!({
        "code": entry.number,
        "name": entry.name,
        "meaning": entry.meaning.trim(),
        "remedy": entry.remedy,
        "status": entry.status,
    })
}
