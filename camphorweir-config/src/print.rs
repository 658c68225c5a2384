//! Prints documents as YAML; equal documents give the same text.

use {
    crate::{fault::Fault, model::Document},
    serde_saphyr::ser_error,
    snafu::{ResultExt, Snafu},
    std::{
        io::{self, Write},
        process::ExitCode,
    },
};

/// Exit status of an operators' program whose document has faults.
const EXIT_FAULTY: u8 = 2;

/// The document can't be printed.
#[derive(Debug, Snafu)]
#[snafu(display("the document can't be printed: {source}"))]
pub struct Error {
    /// The serializer's error.
    source: ser_error::Error,
}

/// Prints a document: sections and fields in a fixed order, items sorted by name, one field a line.
///
/// [`parse::text`](crate::parse::text) reads the same document back, if its numbers are finite.
///
/// # Errors
///
/// [`Error`] when the serializer fails; no such case is known for a document without faults.
pub fn text(document: &Document) -> Result<String, Error> {
    let options = serde_saphyr::ser_options! {
        compact_list_indent: false,
        prefer_block_scalars: false,
    };
    serde_saphyr::to_string_with_options(document, options).context(Snafu)
}

/// Prints the document to standard output, or every fault to standard error, and returns the exit
/// status of an operators' program.
pub fn show(built: Result<Document, Vec<Fault>>) -> ExitCode {
    let document = match built {
        Ok(document) => document,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("{fault}"));
            return ExitCode::from(EXIT_FAULTY);
        }
    };
    let printed = text(&document).map_err(io::Error::other);
    let printed = printed.and_then(|text| io::stdout().write_all(text.as_bytes()));
    match printed {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
