//! What a publication would change, in words, and what of it strands running work.

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

/// What a note is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Weight {
    /// A change.
    Change,
    /// An effect that running work or callers will notice.
    Warning,
}

/// One thing to know about a publication.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Note {
    /// What it is.
    pub weight: Weight,
    /// The words.
    pub text: String,
}

impl Display for Note {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self.weight {
            Weight::Change => f.write_str(&self.text),
            Weight::Warning => write!(f, "warning: {}", self.text),
        }
    }
}

/// The changes from `old` to `new` in the order of the document's sections, then the warnings; none
/// when the two are equal.
pub fn notes(old: &Document, new: &Document) -> Vec<Note> {
    let mut lines = Vec::new();
    section_lines("kind", &old.kinds, &new.kinds, &mut lines);
    section_lines("zone", &old.zones, &new.zones, &mut lines);
    let links = [links_of(old), links_of(new)];
    section_lines("link", &links[0], &links[1], &mut lines);
    section_lines("model", &old.models, &new.models, &mut lines);
    section_lines("pipeline", &old.pipelines, &new.pipelines, &mut lines);
    section_lines("service", &old.services, &new.services, &mut lines);
    section_lines("target", &old.targets, &new.targets, &mut lines);
    section_lines("workspace", &old.workspaces, &new.workspaces, &mut lines);
    let note = |weight, text| Note { weight, text };
    let changes = lines.into_iter().map(|text| note(Weight::Change, text));
    let warnings = warnings(old, new).into_iter();
    let warnings = warnings.map(|text| note(Weight::Warning, text));
    changes.chain(warnings).collect()
}

/// Links by the names of their ends.
fn links_of(document: &Document) -> BTreeMap<String, &Link> {
    let name = |link: &Link| {
        let [a, b] = &link.between;
        format!("{} to {}", a.min(b), a.max(b))
    };
    let links = document.links.iter();
    links.map(|link| (name(link), link)).collect()
}

fn section_lines<T: PartialEq + Serialize>(
    what: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    lines: &mut Vec<String>,
) {
    let names: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for name in names {
        match (old.get(name), new.get(name)) {
            (None, Some(_)) => lines.push(format!("adds {what} {name}")),
            (Some(_), None) => lines.push(format!("removes {what} {name}")),
            (Some(old), Some(new)) if old != new => {
                let fields = fields_changed(old, new).join(", ");
                lines.push(format!("changes {what} {name}: {fields}"));
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
            (Some(old), None) => changed.push(joined(path, old, "removed")),
            (None, Some(new)) => changed.push(joined(path, new, "added")),
            _ => {}
        }
    }
    changed
}

fn joined(path: &str, value: &str, what: &str) -> String {
    match value {
        "" => format!("{path} {what}"),
        _ => format!("{path} {value} {what}"),
    }
}

fn fields_of<T: Serialize>(item: &T) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    // An item always has a JSON form; numbers that JSON lacks show as null.
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
        // The order of a list says nothing here, so an item is its own path.
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
