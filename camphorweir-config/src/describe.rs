//! Describes the changes of a publication, and warns of those that affect running work or callers.

use {
    crate::{
        describe_warn::warnings,
        model::{Document, Link},
    },
    serde::Serialize,
    serde_json::Value,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
    },
};

/// The severity of a note.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// A change.
    Change,
    /// An effect on running work or callers.
    Warning,
}

/// A change or a warning about a publication.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Note {
    /// The severity.
    #[serde(rename = "weight")]
    pub severity: Severity,
    /// The message.
    pub text: String,
}

impl Display for Note {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.severity {
            Severity::Change => f.write_str(&self.text),
            Severity::Warning => write!(f, "warning: {}", self.text),
        }
    }
}

/// The changes from `old` to `new` in the order of the document's sections, then the warnings;
/// empty when the two are equal.
pub fn notes(old: &Document, new: &Document) -> Vec<Note> {
    let mut texts = Vec::new();
    section_changes("kind", &old.kinds, &new.kinds, &mut texts);
    section_changes("zone", &old.zones, &new.zones, &mut texts);
    let links = [links_of(old), links_of(new)];
    section_changes("link", &links[0], &links[1], &mut texts);
    section_changes("model", &old.models, &new.models, &mut texts);
    section_changes("pipeline", &old.pipelines, &new.pipelines, &mut texts);
    section_changes("service", &old.services, &new.services, &mut texts);
    section_changes("target", &old.targets, &new.targets, &mut texts);
    section_changes("workspace", &old.workspaces, &new.workspaces, &mut texts);
    let note = |severity, text| Note { severity, text };
    let changes = texts.into_iter().map(|text| note(Severity::Change, text));
    let warnings = warnings(old, new).into_iter();
    let warnings = warnings.map(|text| note(Severity::Warning, text));
    changes.chain(warnings).collect()
}

/// Links by the names of their two zones.
fn links_of(document: &Document) -> BTreeMap<String, &Link> {
    let name = |link: &Link| {
        let [a, b] = &link.between;
        format!("{} to {}", a.min(b), a.max(b))
    };
    let links = document.links.iter();
    links.map(|link| (name(link), link)).collect()
}

fn section_changes<T: PartialEq + Serialize>(
    item_kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    texts: &mut Vec<String>,
) {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        match (old.get(name), new.get(name)) {
            (None, Some(_)) => texts.push(format!("adds {item_kind} {name}")),
            (Some(_), None) => texts.push(format!("removes {item_kind} {name}")),
            (Some(old), Some(new)) if old != new => {
                let fields = fields_changed(old, new).join(", ");
                texts.push(format!("changes {item_kind} {name}: {fields}"));
            }
            _ => {}
        }
    }
}

/// The fields that differ, each with its old and new value.
fn fields_changed<T: Serialize>(old: &T, new: &T) -> Vec<String> {
    let old = fields_of(old);
    let new = fields_of(new);
    let paths: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let mut changed = Vec::new();
    for path in paths {
        match (old.get(path), new.get(path)) {
            (Some(old), Some(new)) if old != new => changed.push(format!("{path} {old} -> {new}")),
            (Some(old), None) => changed.push(list_item_change(path, old, "removed")),
            (None, Some(new)) => changed.push(list_item_change(path, new, "added")),
            _ => {}
        }
    }
    changed
}

fn list_item_change(path: &str, value: &str, action: &str) -> String {
    match value {
        "" => format!("{path} {action}"),
        _ => format!("{path} {value} {action}"),
    }
}

fn fields_of<T: Serialize>(item: &T) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    // Every item can be written as JSON; numbers that JSON lacks become null.
    let value = serde_json::to_value(item).unwrap_or(Value::Null);
    fields_collect("", &value, &mut fields);
    fields
}

fn fields_collect(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let join = |step: &str| match path {
        "" => step.to_owned(),
        _ => format!("{path}.{step}"),
    };
    match value {
        Value::Object(items) => {
            for (key, item) in items {
                fields_collect(&join(key), item, fields);
            }
        }
        // The order of a list has no meaning here, so each item is used as a path.
        Value::Array(items) => {
            for item in items {
                let text = item.to_string();
                fields.insert(join(&text), String::new());
            }
        }
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        _ => {
            fields.insert(path.to_owned(), value.to_string());
        }
    }
}
