//! What publishing one file after another would change.

use {
    crate::{
        exit::Exit,
        file::load,
        report::{Report, json_values},
    },
    camphorweir_config::describe::notes,
    serde_json::json,
    std::path::Path,
};

/// Describes the changes from `old` to `new`, with warnings.
pub(crate) fn diff(old: &Path, new: &Path, json: bool) -> Report {
    let old = match load(old, json) {
        Ok(old) => old,
        Err(report) => return report,
    };
    let new = match load(new, json) {
        Ok(new) => new,
        Err(report) => return report,
    };
    let notes = notes(&old, &new);
    let value = json!({"outcome": "compared", "notes": json_values(&notes)});
    let lines: Vec<_> = notes.iter().map(ToString::to_string).collect();
    let text = match lines.is_empty() {
        true => "no changes".to_owned(),
        false => lines.join("\n"),
    };
    Report::new(Exit::Done, json, text, value)
}
