//! `check`: the faults of a file, or else the warnings about it and what publishing it would change.

use {
    crate::{
        args::{Against, Check},
        exit::Exit,
        file::{load, load_with},
        report::{Report, json_values},
        run::block_on,
        versions,
    },
    camphorweir_config::{describe::notes, fault::Fault, model::Document, parse},
    serde_json::{Map, Value, json},
};

/// The document that a file is compared with, and how reports call it.
struct Base {
    name: String,
    value: Value,
    document: Document,
}

/// Checks a file.
pub(crate) fn check(options: &Check) -> Report {
    let json = options.json;
    let (document, warnings) = match load_with(&options.file, json, parse::examined) {
        Ok(examined) => examined,
        Err(report) => return report,
    };
    let (version, url) = match (&options.against, &options.log) {
        (None, None) => return report(options, &document, &warnings, None),
        (Some(Against::File(_)), Some(_)) => {
            return Report::usage(json, &"--log has no use beside --against FILE");
        }
        (Some(Against::Version(_)), None) => {
            return Report::usage(json, &"--against VERSION needs --log URL");
        }
        (Some(Against::File(path)), None) => {
            let name = path.display().to_string();
            return match load(path, json) {
                Ok(base) => {
                    let value = json!({"file": name});
                    let base = Base {
                        name,
                        value,
                        document: base,
                    };
                    report(options, &document, &warnings, Some(&base))
                }
                Err(report) => report,
            };
        }
        (Some(Against::Version(version)), Some(url)) => (Some(*version), url),
        (None, Some(url)) => (None, url),
    };
    block_on(json, async {
        match versions::read(url, version, options.timeout, json).await {
            Ok((version, base)) => {
                let base = Base {
                    name: format!("version {version}"),
                    value: json!({"version": version}),
                    document: Document::clone(&base),
                };
                report(options, &document, &warnings, Some(&base))
            }
            Err(report) => report,
        }
    })
}

fn report(options: &Check, document: &Document, warnings: &[Fault], base: Option<&Base>) -> Report {
    let file = options.file.display().to_string();
    let mut lines: Vec<_> = warnings
        .iter()
        .map(|warning| format!("{file}: warning: {warning}"))
        .collect();
    let counts = counts(document);
    let words: Vec<_> = counts
        .iter()
        .map(|(section, count)| format!("{count} {section}"))
        .collect();
    lines.push(format!("{file}: no faults; {}", words.join(", ")));
    let counts: Map<_, _> = counts
        .iter()
        .map(|(section, count)| ((*section).to_owned(), json!(count)))
        .collect();
    let mut value = json!({
        "outcome": "good",
        "file": file,
        "counts": counts,
        "warnings": json_values(warnings),
    });
    if let Some(base) = base {
        let notes = notes(&base.document, document);
        value["against"] = base.value.clone();
        value["notes"] = json!(json_values(&notes));
        lines.push(match notes.is_empty() {
            true => format!("no changes against {}", base.name),
            false => format!("against {}:", base.name),
        });
        lines.extend(notes.iter().map(ToString::to_string));
    }
    Report::new(Exit::Done, options.json, lines.join("\n"), value)
}

/// The number of items of each section.
fn counts(document: &Document) -> [(&'static str, usize); 8] {
    [
        ("kinds", document.kinds.len()),
        ("zones", document.zones.len()),
        ("links", document.links.len()),
        ("models", document.models.len()),
        ("pipelines", document.pipelines.len()),
        ("services", document.services.len()),
        ("targets", document.targets.len()),
        ("workspaces", document.workspaces.len()),
    ]
}
