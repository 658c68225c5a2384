//! Edits turn one document into the other.

mod common;

use {
    camphorweir_config::{
        check,
        edit::{apply, edits},
        fold::{Effect, Fold},
        model::Document,
        record::Edit,
    },
    common::{cases, document, key_hash, publication, workspace},
    proptest::{collection::vec, prelude::*},
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

/// An edit that is valid or faulty by itself or together with others.
fn edit() -> impl Strategy<Value = Edit> {
    let name = prop::sample::select(vec!["depot-7", "depot-8", "depot 9", "depot-10"]);
    let change = (name, 0..4_u64, 0..6_u8).prop_map(|(name, seed, flaw)| {
        let mut item = workspace(seed);
        match flaw {
            0 => item.limits.requests = 0.0,
            1 => drop(item.routes.remove("seal")),
            2 => item.keys.push(key_hash(seed + 1)),
            _ => {}
        }
        Edit::Workspace(name.to_owned(), Some(item))
    });
    prop_oneof![
        8 => change,
        2 => Just(Edit::Workspace("depot-7".to_owned(), None)),
        1 => Just(Edit::Service("ledger".to_owned(), None)),
        1 => Just(Edit::Links(vec![])),
    ]
}

proptest! {
    #![proptest_config(cases(500))]

    #[test]
    fn checking_the_edits_alone_finds_what_the_whole_check_finds(edits in vec(edit(), 0..4)) {
        let mut new = document();
        apply(&mut new, &edits);
        let alone = check::edited(&new, &edits);
        let whole = check::document(&new);
        prop_assert_eq!(alone.is_empty(), whole.is_empty(), "{:?} {:?}", alone, whole);
    }

    #[test]
    fn a_refused_publication_leaves_the_document_as_it_was(edits in vec(edit(), 0..4), shared: bool) {
        let mut fold = Fold::new();
        let first = camphorweir_config::edit::edits(&Document::default(), &document());
        fold.apply(0, &publication(1, "ada", 0, first));
        let shared_document = shared.then(|| std::sync::Arc::clone(fold.document()));
        let mut new = document();
        apply(&mut new, &edits);
        let expected = match fold.apply(1, &publication(2, "ben", 1, edits)) {
            Effect::Accepted(2) => new,
            _ => document(),
        };
        prop_assert_eq!(&**fold.document(), &expected);
        // Another reference to the earlier document still sees it unchanged.
        if let Some(before) = shared_document {
            prop_assert_eq!(&*before, &document());
        }
    }
}
