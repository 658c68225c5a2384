//! Explains result codes and configuration fault codes.

use {
    crate::{exit::Exit, report::Report},
    camphorweir_config::fault,
    camphorweir_wire::code,
    serde_json::{Value, json},
};

/// The start of the page that lists all codes.
const INTRODUCTION: &str = "\
# Result codes

Printed by `camphorweir explain --markdown > docs/ERRORS.md`; a test holds it to the code.

Every answer that is not a plain success carries one of these numbers, in its body and in the header
`camphorweir-code`. The header `camphorweir-ran` says whether the request ran: `yes`, `no` or `unknown`.
Codes without a status are faults of a configuration file, from 5151 on warnings about one without faults.

| code | name | HTTP status | meaning | what to do |
|---|---|---|---|---|
";

/// One code with its explanation.
struct Explanation {
    number: u16,
    name: &'static str,
    meaning: &'static str,
    remedy: &'static str,
    /// HTTP status of a result code; configuration faults have none.
    status: Option<u16>,
}

/// Explains one code, or lists all of them.
pub(crate) fn explain(code: Option<u16>, json: bool) -> Report {
    let explanations = explanations();
    let Some(code) = code else {
        let lines: Vec<_> = explanations.iter().map(one_line).collect();
        let values: Vec<_> = explanations.iter().map(to_json).collect();
        return Report::new(Exit::Done, json, lines.join("\n"), json!(values));
    };
    match explanations
        .iter()
        .find(|explanation| explanation.number == code)
    {
        Some(explanation) => Report::new(
            Exit::Done,
            json,
            full_text(explanation),
            to_json(explanation),
        ),
        None => Report::failure(Exit::NotFound, json, "not found", format!("no code {code}")),
    }
}

/// The page that documents all codes.
pub(crate) fn markdown() -> Report {
    let mut text = INTRODUCTION.to_owned();
    for explanation in explanations() {
        let status = explanation
            .status
            .map_or("-".to_owned(), |status| status.to_string());
        let (meaning, remedy) = (explanation.meaning.trim(), explanation.remedy);
        let (number, name) = (explanation.number, explanation.name);
        text += &format!("| {number} | {name} | {status} | {meaning} | {remedy} |\n");
    }
    Report::new(Exit::Done, false, text, json!(null))
}

/// All codes, sorted by number.
fn explanations() -> Vec<Explanation> {
    let results = code::Code::ALL.iter().map(|code| Explanation {
        number: code.number(),
        name: code.name(),
        meaning: code.meaning(),
        remedy: code.remedy(),
        status: Some(code.status()),
    });
    let faults = fault::Code::ALL.iter().map(|code| Explanation {
        number: code.number(),
        name: code.name(),
        meaning: code.meaning(),
        remedy: code.remedy(),
        status: None,
    });
    let mut explanations: Vec<_> = results.chain(faults).collect();
    explanations.sort_by_key(|explanation| explanation.number);
    explanations
}

fn one_line(explanation: &Explanation) -> String {
    format!(
        "{} {}: {}",
        explanation.number,
        explanation.name,
        explanation.meaning.trim()
    )
}

fn full_text(explanation: &Explanation) -> String {
    let mut text = format!("{} {}\n", explanation.number, explanation.name);
    text += &format!("What it means: {}\n", explanation.meaning.trim());
    text += &format!("What to do: {}", explanation.remedy);
    if let Some(status) = explanation.status {
        text += &format!("\nHTTP status: {status}");
    }
    text
}

fn to_json(explanation: &Explanation) -> Value {
    json!({
        "code": explanation.number,
        "name": explanation.name,
        "meaning": explanation.meaning.trim(),
        "remedy": explanation.remedy,
        "status": explanation.status,
    })
}
