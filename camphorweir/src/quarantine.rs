//! The requests in quarantine.

use {
    crate::{
        args::Ask,
        ask::{self, Answers},
        report::{Report, values},
        run::block_on,
    },
    camphorweir_wire::status::{QUARANTINE, Quarantined},
    serde_json::json,
    std::collections::BTreeMap,
};

/// Asks every entry and lists each request once, with the most crashes that an entry knows of.
pub(crate) fn list(options: &Ask) -> Report {
    block_on(options.json, async {
        match ask::all::<Vec<Quarantined>>(options, QUARANTINE).await {
            Ok(answers) => report(options.json, &answers),
            Err(report) => report,
        }
    })
}

fn report(json: bool, answers: &Answers<Vec<Quarantined>>) -> Report {
    let mut crashes: BTreeMap<&str, u32> = BTreeMap::new();
    for found in answers.answers.iter().flatten() {
        let known = crashes.entry(&found.fingerprint).or_default();
        *known = found.crashes.max(*known);
    }
    let listed = crashes.iter().map(|(fingerprint, crashes)| Quarantined {
        fingerprint: (*fingerprint).to_owned(),
        crashes: *crashes,
    });
    let listed: Vec<Quarantined> = listed.collect();
    let lines = listed
        .iter()
        .map(|found| format!("{}: {} crashes", found.fingerprint, found.crashes));
    let mut lines: Vec<String> = lines.collect();
    if lines.is_empty() && !answers.answers.is_empty() {
        lines.push("nothing is in quarantine".to_owned());
    }
    lines.extend(answers.missing.iter().map(ToString::to_string));
    let value = json!({
        "outcome": if answers.missing.is_empty() { "complete" } else { "incomplete" },
        "quarantined": values(&listed),
        "missing": values(&answers.missing),
    });
    Report::partial(answers.exit(), json, lines.join("\n"), value)
}
