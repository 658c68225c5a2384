//! The state of every entry.

use {
    crate::{
        args::Ask,
        ask::{self, Answers},
        report::{Report, values},
        run::block_on,
    },
    camphorweir_wire::status::{MemberState, STATUS, Status, TargetState},
    serde_json::json,
    std::collections::BTreeSet,
};

/// Asks every entry for its state.
pub(crate) fn status(options: &Ask) -> Report {
    block_on(options.json, async {
        match ask::all::<Status>(options, STATUS).await {
            Ok(answers) => report(options.json, answers),
            Err(report) => report,
        }
    })
}

fn report(json: bool, mut answers: Answers<Status>) -> Report {
    answers
        .answers
        .sort_by(|one, other| one.entry.cmp(&other.entry));
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
        remarks = "warning: the entries differ in the version in force".to_owned();
    }
    let value = json!({
        "outcome": if answers.missing.is_empty() { "complete" } else { "incomplete" },
        "entries": values(&answers.answers),
        "missing": values(&answers.missing),
    });
    if answers.answers.is_empty() && answers.missing.is_empty() {
        lines.push("the platform lists no entry".to_owned());
    }
    Report::partial(answers.exit(), json, lines.join("\n"), value).remark(remarks)
}

/// One entry for a person; targets in use are only counted.
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
        time(status.uptime_ms),
        status.in_flight,
    )];
    if let Some(format) = status.configuration.stopped_at_format {
        lines.push(format!(
            "  stopped at a record of format {format}: upgrade it"
        ));
    }
    lines.push(format!(
        "  claims: {} open, {} unresolved; {} quarantined; {} records wait for the log",
        status.open_claims, status.unresolved, status.quarantined, status.log.waiting,
    ));
    let queues = status.queues.iter();
    let queues = queues.map(|queue| format!("{:?} {}", queue.class, queue.waiting));
    lines.push(format!("  queues: {}", join(queues).to_lowercase()));
    lines.extend(member_lines(status));
    lines.extend(target_lines(status));
    lines
}

fn member_lines(status: &Status) -> Vec<String> {
    let live = |state| {
        status
            .members
            .iter()
            .filter(move |member| member.state == state)
    };
    let mut lines = vec![format!(
        "  members: {} live",
        live(MemberState::Live).count()
    )];
    for member in live(MemberState::Leaving).chain(live(MemberState::Silent)) {
        let age = member.age_ms.map_or("never heard".to_owned(), |age| {
            format!("heard {} ago", time(age))
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
    let mut lines = vec![format!("  targets: {}", join(words))];
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

fn join(words: impl Iterator<Item = String>) -> String {
    let words: Vec<_> = words.collect();
    match words.is_empty() {
        true => "none".to_owned(),
        false => words.join(", "),
    }
}

/// A time in its two largest units.
fn time(ms: u64) -> String {
    let seconds = ms / 1000;
    match seconds {
        0 => format!("{ms} ms"),
        1..60 => format!("{seconds} s"),
        60..3600 => format!("{} min {} s", seconds / 60, seconds % 60),
        3600..86_400 => format!("{} h {} min", seconds / 3600, seconds / 60 % 60),
        _ => format!("{} d {} h", seconds / 86_400, seconds / 3600 % 24),
    }
}
