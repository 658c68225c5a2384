//! Differences between documents as lists of edits.

use {
    crate::{model::Document, record::Edit},
    std::collections::BTreeMap,
};

/// The edits that turn `old` into `new`, in the order of the document's sections; none when they
/// are equal.
pub fn edits(old: &Document, new: &Document) -> Vec<Edit> {
    let mut edits = Vec::new();
    section_edits(&old.kinds, &new.kinds, Edit::Kind, &mut edits);
    section_edits(&old.zones, &new.zones, Edit::Zone, &mut edits);
    if old.links != new.links {
        edits.push(Edit::Links(new.links.clone()));
    }
    section_edits(&old.models, &new.models, Edit::Model, &mut edits);
    section_edits(&old.pipelines, &new.pipelines, Edit::Pipeline, &mut edits);
    section_edits(&old.services, &new.services, Edit::Service, &mut edits);
    section_edits(&old.targets, &new.targets, Edit::Target, &mut edits);
    section_edits(
        &old.workspaces,
        &new.workspaces,
        Edit::Workspace,
        &mut edits,
    );
    edits
}

/// Applies edits in order; removing an item that does not exist changes nothing.
pub fn apply(document: &mut Document, edits: &[Edit]) {
    for edit in edits {
        edit_apply(document, edit);
    }
}

/// The edits that undo `edits` after they are applied to `document`.
pub(crate) fn undo(document: &Document, edits: &[Edit]) -> Vec<Edit> {
    // An item that is edited twice is restored twice, both times to its present value.
    edits.iter().map(|edit| edit_undo(document, edit)).collect()
}

fn edit_undo(document: &Document, edit: &Edit) -> Edit {
    match edit {
        Edit::Kind(name, _) => section_undo(&document.kinds, name, Edit::Kind),
        Edit::Zone(name, _) => section_undo(&document.zones, name, Edit::Zone),
        Edit::Links(_) => Edit::Links(document.links.clone()),
        Edit::Model(name, _) => section_undo(&document.models, name, Edit::Model),
        Edit::Pipeline(name, _) => section_undo(&document.pipelines, name, Edit::Pipeline),
        Edit::Service(name, _) => section_undo(&document.services, name, Edit::Service),
        Edit::Target(name, _) => section_undo(&document.targets, name, Edit::Target),
        Edit::Workspace(name, _) => section_undo(&document.workspaces, name, Edit::Workspace),
    }
}

fn section_undo<T: Clone>(
    section: &BTreeMap<String, T>,
    name: &str,
    make: fn(String, Option<T>) -> Edit,
) -> Edit {
    make(name.to_owned(), section.get(name).cloned())
}

fn section_edits<T: Clone + PartialEq>(
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    make: fn(String, Option<T>) -> Edit,
    edits: &mut Vec<Edit>,
) {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    edits.extend(removed.map(|name| make(name.clone(), None)));
    let changed = new
        .iter()
        .filter(|(name, item)| old.get(*name) != Some(item));
    edits.extend(changed.map(|(name, item)| make(name.clone(), Some(item.clone()))));
}

fn edit_apply(document: &mut Document, edit: &Edit) {
    match edit {
        Edit::Kind(name, item) => section_set(&mut document.kinds, name, item),
        Edit::Zone(name, item) => section_set(&mut document.zones, name, item),
        Edit::Links(links) => document.links.clone_from(links),
        Edit::Model(name, item) => section_set(&mut document.models, name, item),
        Edit::Pipeline(name, item) => section_set(&mut document.pipelines, name, item),
        Edit::Service(name, item) => section_set(&mut document.services, name, item),
        Edit::Target(name, item) => section_set(&mut document.targets, name, item),
        Edit::Workspace(name, item) => section_set(&mut document.workspaces, name, item),
    }
}

fn section_set<T: Clone>(section: &mut BTreeMap<String, T>, name: &str, item: &Option<T>) {
    match item {
        Some(item) => section.insert(name.to_owned(), item.clone()),
        None => section.remove(name),
    };
}
