//! `unresolved`: the never-repeat keys whose outcome is unknown.

use {
    crate::{
        admin::{self, Answers},
        args::Ask,
        exit::Exit,
        report::{Report, json_values},
        run::block_on,
    },
    camphorweir_wire::status::{Claim, UNRESOLVED_PATH},
    serde_json::json,
    std::collections::BTreeMap,
};

/// Queries every entry and lists each key once.
pub(crate) fn unresolved(options: &Ask) -> Report {
    block_on(options.json, async {
        match admin::query_all::<Vec<Claim>>(options, UNRESOLVED_PATH).await {
            Ok(answers) => report(options.json, answers),
            Err(report) => report,
        }
    })
}

/// Every entry reads all claim streams, so one answer is enough; entries that did not answer become
/// remarks.
fn report(json: bool, answers: Answers<Vec<Claim>>) -> Report {
    let exit = match answers.answers.is_empty() {
        true if answers.missing.is_empty() => Exit::Unreachable,
        true => answers.exit(),
        false => Exit::Done,
    };
    let missing: Vec<_> = answers.missing.iter().map(ToString::to_string).collect();
    let claims = answers.answers.into_iter().flatten();
    let claims: BTreeMap<String, Claim> = claims.map(|claim| (claim.key.clone(), claim)).collect();
    let claims: Vec<Claim> = claims.into_values().collect();
    let value = json!({
        "outcome": if exit == Exit::Done { "listed" } else { "unreachable" },
        "unresolved": json_values(&claims),
        "missing": json_values(&answers.missing),
    });
    let mut lines: Vec<_> = claims.iter().map(claim_line).collect();
    if exit != Exit::Done {
        lines = vec!["unreachable: no entry answered".to_owned()];
    } else if lines.is_empty() {
        lines.push("nothing is unresolved".to_owned());
    }
    Report::new(exit, json, lines.join("\n"), value).with_remarks(missing.join("\n"))
}

fn claim_line(claim: &Claim) -> String {
    format!(
        "{} of {}, run by {}, claimed at Unix time {} ms: {}",
        claim.key, claim.workspace, claim.owner, claim.claimed_ms, claim.why
    )
}
