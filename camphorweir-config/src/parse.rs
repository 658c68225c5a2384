//! A document from YAML text, with every fault and its place.

use {
    crate::{
        check,
        decode::{Item, Marks},
        fault::{Code, Fault},
        model::Document,
        tree::{Tree, tree_of},
    },
    serde::Deserialize,
    std::cell::RefCell,
};

pub use crate::tree::MAX_BYTES;

/// Most faults of a file that are named at once; each costs a pass over the file.
pub const MAX_FAULTS: usize = 100;

/// Reads a document without checking what it says.
///
/// # Errors
///
/// All places where the text is no document, up to [`MAX_FAULTS`].
pub fn text(text: &str) -> Result<Document, Vec<Fault>> {
    let (document, faults, _) = document_of(text).map_err(|fault| vec![fault])?;
    if faults.is_empty() {
        return Ok(document);
    }
    Err(faults)
}

/// Reads a document and checks it as [`check::document`] does.
///
/// # Errors
///
/// All faults with their lines.
pub fn checked(text: &str) -> Result<Document, Vec<Fault>> {
    let (document, mut faults, tree) = document_of(text).map_err(|fault| vec![fault])?;
    // What could not be read is missing from the document, so what refers to it is no fault.
    let whole = !faults.iter().any(hides);
    let stands = |fault: &Fault| whole || !is_absence(fault.code);
    let found = check::document(&document).into_iter().filter(stands);
    faults.extend(found.take(MAX_FAULTS));
    if faults.is_empty() {
        return Ok(document);
    }
    let index = tree.index();
    for fault in &mut faults {
        if fault.place.mark.is_none() {
            fault.place.mark = tree.mark(&fault.place.steps, &index);
        }
    }
    faults.sort_by_key(|fault| fault.place.mark);
    Err(faults)
}

/// Whether something that may be referred to is missing from the document because of the fault.
fn hides(fault: &Fault) -> bool {
    match fault.code {
        Code::UnknownField => fault.place.steps.len() == 1,
        Code::DuplicateKey => false,
        _ => true,
    }
}

fn is_absence(code: Code) -> bool {
    matches!(code, Code::NoSuchReference | Code::LayersGap)
}

fn document_of(text: &str) -> Result<(Document, Vec<Fault>, Tree), Fault> {
    let (tree, twice) = tree_of(text)?;
    let marks = RefCell::new(Marks::new(&tree, twice));
    let mut document = Document::default();
    while marks.borrow().faults.len() < MAX_FAULTS {
        let root = Item {
            tree: &tree,
            marks: &marks,
            id: 0,
        };
        match Document::deserialize(root) {
            Ok(read) => {
                document = read;
                break;
            }
            Err(failure) => {
                if !marks.borrow_mut().note(&tree, failure) {
                    break;
                }
            }
        }
    }
    let mut faults = marks.into_inner().faults;
    faults.truncate(MAX_FAULTS);
    Ok((document, faults, tree))
}
