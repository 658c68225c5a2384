//! Parses documents from YAML text, and reports every fault with its place.

use {
    crate::{
        check,
        decode::{NodeDeserializer, Progress},
        fault::{Code, Fault},
        findings::findings,
        model::Document,
        tree::{Tree, tree_of},
    },
    serde::Deserialize,
    std::cell::RefCell,
};

pub use crate::tree::MAX_BYTES;

/// Most faults of a file that are reported at once; each costs a pass over the file.
pub const MAX_FAULTS: usize = 100;

/// Parses a document without checking its content.
///
/// # Errors
///
/// All places where the text can't be decoded, up to [`MAX_FAULTS`].
pub fn text(text: &str) -> Result<Document, Vec<Fault>> {
    let (document, faults, _) = document_of(text).map_err(|fault| vec![fault])?;
    if faults.is_empty() {
        return Ok(document);
    }
    Err(faults)
}

/// Parses a document and checks it with [`check::document`].
///
/// # Errors
///
/// All faults with their positions.
pub fn checked(text: &str) -> Result<Document, Vec<Fault>> {
    checked_tree(text).map(|(document, _)| document)
}

/// Parses and checks a document as [`checked`] does; returns it with its [`findings`] and their
/// positions, in the order of the text.
///
/// # Errors
///
/// All faults with their positions.
pub fn examined(text: &str) -> Result<(Document, Vec<Fault>), Vec<Fault>> {
    let (document, tree) = checked_tree(text)?;
    let mut found = findings(&document);
    locate(&tree, &mut found);
    Ok((document, found))
}

fn checked_tree(text: &str) -> Result<(Document, Tree), Vec<Fault>> {
    let (document, mut faults, tree) = document_of(text).map_err(|fault| vec![fault])?;
    // Items that could not be decoded are missing from the document; references to them are no
    // faults.
    let is_complete = !faults.iter().any(may_omit_item);
    let is_certain = |fault: &Fault| is_complete || !is_absence(fault.code);
    let check_faults = check::document(&document).into_iter().filter(is_certain);
    faults.extend(check_faults.take(MAX_FAULTS));
    if faults.is_empty() {
        return Ok((document, tree));
    }
    locate(&tree, &mut faults);
    Err(faults)
}

/// Sets the positions of faults that have none, and sorts by position.
fn locate(tree: &Tree, faults: &mut [Fault]) {
    let index = tree.index();
    for fault in &mut *faults {
        if fault.place.position.is_none() {
            fault.place.position = tree.position(&fault.place.steps, &index);
        }
    }
    faults.sort_by_key(|fault| fault.place.position);
}

/// Whether the fault may leave an item that others refer to out of the document.
fn may_omit_item(fault: &Fault) -> bool {
    match fault.code {
        Code::UnknownField => fault.place.steps.len() == 1,
        Code::DuplicateKey => false,
        _ => true,
    }
}

/// Whether the fault is about an item that does not exist.
fn is_absence(code: Code) -> bool {
    matches!(code, Code::NoSuchReference | Code::LayersGap)
}

fn document_of(text: &str) -> Result<(Document, Vec<Fault>, Tree), Fault> {
    let (tree, duplicates) = tree_of(text)?;
    let progress = RefCell::new(Progress::new(&tree, duplicates));
    let mut document = Document::default();
    while progress.borrow().faults.len() < MAX_FAULTS {
        let root = NodeDeserializer {
            tree: &tree,
            progress: &progress,
            id: 0,
        };
        match Document::deserialize(root) {
            Ok(decoded) => {
                document = decoded;
                break;
            }
            Err(failure) => {
                if !progress.borrow_mut().record(&tree, failure) {
                    break;
                }
            }
        }
    }
    let mut faults = progress.into_inner().faults;
    faults.truncate(MAX_FAULTS);
    Ok((document, faults, tree))
}
