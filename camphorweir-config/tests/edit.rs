//! Edits lead from one document to the other.

mod common;

use {
    camphorweir_config::{
        edit::{apply, edits},
        model::Document,
    },
    common::{document, workspace},
};

#[test]
fn equal_documents_have_no_edits() {
    assert!(edits(&document(), &document()).is_empty());
}

#[test]
fn a_small_change_is_a_small_edit() {
    let mut new = document();
    new.workspaces.insert("depot-8".to_owned(), workspace(8));
    new.links.clear();
    new.targets.remove("log-a1");
    let change = edits(&document(), &new);
    assert_eq!(change.len(), 3);
    let mut old = document();
    apply(&mut old, &change);
    assert_eq!(old, new);
}

#[test]
fn edits_build_and_clear_a_document() {
    let empty = Document::default();
    let mut built = empty.clone();
    apply(&mut built, &edits(&empty, &document()));
    assert_eq!(built, document());
    apply(&mut built, &edits(&document(), &empty));
    assert_eq!(built, empty);
}
