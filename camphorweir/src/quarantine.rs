//! `quarantine`: listing and releasing quarantined requests.

use {
    crate::{
        admin::{self, Answers},
        args::{Ask, Release},
        exit::Exit,
        log::Client,
        report::{Report, json_values},
        run::block_on,
        stream::{REQUEST_TIMEOUT, Stream},
    },
    camphorweir_wire::{
        codec,
        status::{QUARANTINE_PATH, Quarantined},
        suspect::{Body, FORMAT, Record, STREAM},
    },
    serde_json::json,
    std::collections::BTreeMap,
};

/// Queries every entry and lists each request once, with the highest crash count of any entry.
pub(crate) fn list(options: &Ask) -> Report {
    block_on(options.json, async {
        match admin::query_all::<Vec<Quarantined>>(options, QUARANTINE_PATH).await {
            Ok(answers) => report(options.json, &answers),
            Err(report) => report,
        }
    })
}

/// Appends a record that releases a request at every entry that reads the log.
///
/// An append whose response is lost is retried; a duplicate record changes nothing.
pub(crate) fn release(options: &Release) -> Report {
    let client = match Client::new(&options.log, &options.author, REQUEST_TIMEOUT) {
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
    let mut stream = Stream::new(client, STREAM, options.timeout);
    block_on(options.json, async {
        while let Err(text) = stream.append(record.clone()).await {
            if !stream.wait_to_retry().await {
                let text =
                    format!("{text}; the record may be in the log already or may still reach it");
                return Report::failure(Exit::Unreachable, options.json, "unreachable", text);
            }
        }
        let hex = format!("{:016x}", options.fingerprint);
        let value = json!({"outcome": "released", "fingerprint": hex});
        Report::new(Exit::Done, options.json, format!("released {hex}"), value)
    })
}

fn report(json: bool, answers: &Answers<Vec<Quarantined>>) -> Report {
    let mut crashes: BTreeMap<&str, u32> = BTreeMap::new();
    for request in answers.answers.iter().flatten() {
        let highest = crashes.entry(&request.fingerprint).or_default();
        *highest = request.crashes.max(*highest);
    }
    let listed = crashes.iter().map(|(fingerprint, crashes)| Quarantined {
        fingerprint: (*fingerprint).to_owned(),
        crashes: *crashes,
    });
    let listed: Vec<Quarantined> = listed.collect();
    let lines = listed
        .iter()
        .map(|request| format!("{}: {} crashes", request.fingerprint, request.crashes));
    let mut lines: Vec<String> = lines.collect();
    if lines.is_empty() && !answers.answers.is_empty() {
        lines.push("nothing is in quarantine".to_owned());
    }
    lines.extend(answers.missing.iter().map(ToString::to_string));
    let value = json!({
        "outcome": if answers.missing.is_empty() { "complete" } else { "incomplete" },
        "quarantined": json_values(&listed),
        "missing": json_values(&answers.missing),
    });
    Report::partial(answers.exit(), json, lines.join("\n"), value)
}
