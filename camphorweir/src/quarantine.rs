//! The requests in quarantine.

use {
    crate::{
        args::{Ask, Release},
        ask::{self, Answers},
        exit::Exit,
        log::Client,
        reader::{PATIENCE, Reader},
        report::{Report, values},
        run::block_on,
    },
    camphorweir_wire::{
        codec,
        status::{QUARANTINE, Quarantined},
        suspect::{Body, FORMAT, Record, STREAM},
    },
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

/// Lets a request run again: the record is in force at every entry that reads the log.
///
/// An append whose answer is lost is made again; a second record changes nothing.
pub(crate) fn release(options: &Release) -> Report {
    let client = match Client::new(&options.log, &options.author, PATIENCE) {
        Ok(client) => client,
        Err(error) => return Report::usage(options.json, &error),
    };
    let record = codec::encode(&Record {
        format: FORMAT,
        fingerprint: options.fingerprint,
        body: Body::Release {
            operator: options.author.clone(),
        },
    });
    let mut reader = Reader::new(client, STREAM, options.timeout);
    block_on(options.json, async {
        while let Err(text) = reader.append(record.clone()).await {
            if !reader.again().await {
                let text = format!("{text}; the record may have landed or may land yet");
                return Report::failure(Exit::Unreachable, options.json, "unreachable", text);
            }
        }
        let name = format!("{:016x}", options.fingerprint);
        let value = json!({"outcome": "released", "fingerprint": name});
        Report::new(Exit::Done, options.json, format!("released {name}"), value)
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
