//! `status`: the state of every entry.

use {
    crate::{
        admin::{self, Answers},
        args::Ask,
        report::{Report, json_values},
        run::block_on,
    },
    camphorweir_wire::status::{MemberState, STATUS_PATH, Status, TargetState},
    serde_json::json,
    std::collections::BTreeSet,
};

/// Queries every entry for its state.
pub(crate) fn status(options: &Ask) -> Report {
    block_on(options.json, async {
        match admin::query_all::<Status>(options, STATUS_PATH).await {
            Ok(answers) => report(options.json, answers),
            Err(report) => report,
        }
    })
}

fn report(json: bool, mut answers: Answers<Status>) -> Report {
    answers
        .answers
        .sort_by(|left, right| left.entry.cmp(&right.entry));
    let mut lines: Vec<String> = Vec::new();
    for status in &answers.answers {
        lines.extend(entry_lines(status));
    }
    lines.extend(answers.missing.iter().map(ToString::to_string));
    let versions: BTreeSet<_> = answers
        .answers
        .iter()
        .map(|status| status.configuration.version)
        .collect();
    let mut remarks = String::new();
    if versions.len() > 1 {
        remarks =
            "warning: not all entries have the same configuration version in force".to_owned();
    }
    let value = json!({
        "outcome": if answers.missing.is_empty() { "complete" } else { "incomplete" },
        "entries": json_values(&answers.answers),
        "missing": json_values(&answers.missing),
    });
    if answers.answers.is_empty() && answers.missing.is_empty() {
        lines.push("the platform's instance list has no entries".to_owned());
    }
    Report::partial(answers.exit(), json, lines.join("\n"), value).with_remarks(remarks)
}

/// An entry's state as text; usable targets are only counted.
fn entry_lines(status: &Status) -> Vec<String> {
    let version = match status.configuration.version {
        Some(version) => format!("version {version}"),
        None => "no configuration".to_owned(),
    };
    let log = match status.log.reachable {
        true => "log reachable",
        false => "log NOT reachable",
    };
    let stopping = if status.stopping { ", stopping" } else { "" };
    let mut lines = vec![format!(
        "{} in {}: {version}, up {}, {log}, {} in flight{stopping}",
        status.entry,
        status.zone,
        duration(status.uptime_ms),
        status.in_flight,
    )];
    if let Some(format) = status.configuration.stopped_at_format {
        lines.push(format!(
            "  stopped at a record in unknown format {format}: upgrade this entry"
        ));
    }
    lines.push(format!(
        "  claims: {} open, {} unresolved; {} quarantined; {} records waiting for the log",
        status.open_claims,
        status.unresolved,
        status.quarantined.len(),
        status.log.waiting,
    ));
    let queues = status.queues.iter();
    let queues = queues.map(|queue| format!("{:?} {}", queue.class, queue.waiting));
    lines.push(format!("  queues: {}", join_or_none(queues).to_lowercase()));
    lines.extend(member_lines(status));
    lines.extend(target_lines(status));
    lines
}

fn member_lines(status: &Status) -> Vec<String> {
    let in_state = |state| {
        status
            .members
            .iter()
            .filter(move |member| member.state == state)
    };
    let mut lines = vec![format!(
        "  members: {} live",
        in_state(MemberState::Live).count()
    )];
    for member in in_state(MemberState::Leaving).chain(in_state(MemberState::Silent)) {
        let age = member.age_ms.map_or("no heartbeat yet".to_owned(), |age| {
            format!("last heartbeat {} ago", duration(age))
        });
        let state = match member.state {
            MemberState::Leaving => "leaving",
            MemberState::Live | MemberState::Silent => "silent",
        };
        lines.push(format!("    {} {state}, {age}", member.entry));
    }
    lines
}

fn target_lines(status: &Status) -> Vec<String> {
    let count = |state| {
        status
            .targets
            .iter()
            .filter(|target| target.state == state)
            .count()
    };
    let counts = TargetState::ALL.iter().map(|state| (state, count(*state)));
    let words = counts
        .filter(|(_, count)| *count > 0)
        .map(|(state, count)| format!("{count} {}", state.as_str()));
    let mut lines = vec![format!("  targets: {}", join_or_none(words))];
    let others = status.targets.iter();
    for target in others.filter(|target| target.state != TargetState::Usable) {
        let why = match target.why.is_empty() {
            true => String::new(),
            false => format!(": {}", target.why),
        };
        lines.push(format!(
            "    {} {}{why}",
            target.target,
            target.state.as_str()
        ));
    }
    lines
}

fn join_or_none(words: impl Iterator<Item = String>) -> String {
    let words: Vec<_> = words.collect();
    match words.is_empty() {
        true => "none".to_owned(),
        false => words.join(", "),
    }
}

/// A duration in its two largest units.
fn duration(ms: u64) -> String {
    let seconds = ms / 1000;
    match seconds {
        0 => format!("{ms} ms"),
        1..60 => format!("{seconds} s"),
        60..3600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3600..86_400 => format!("{} h {} min", seconds / 3600, seconds / 60 % 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds / 3600 % 24),
    }
}
