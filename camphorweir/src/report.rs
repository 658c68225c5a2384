//! What a command found, for a person or a program.

use {
    crate::exit::Exit,
    camphorweir_config::fault::Fault,
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        io::{self, Write},
        process::ExitCode,
    },
};

/// The result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// How it ended.
    pub exit: Exit,
    /// What to print: JSON with `--json`, else text. Ends without a line feed.
    pub text: String,
    /// Remarks that do not belong to the result, for standard error.
    pub remarks: String,
    /// Whether `text` belongs on standard output even though the command failed.
    machine: bool,
}

impl Report {
    /// A report as JSON when the caller asked for it, else as text.
    pub fn new(exit: Exit, json: bool, text: impl Into<String>, value: Value) -> Self {
        let text = if json { value.to_string() } else { text.into() };
        Self {
            exit,
            text,
            remarks: String::new(),
            machine: json,
        }
    }

    /// A report whose text is a result even where a part of it is missing.
    pub fn partial(exit: Exit, json: bool, text: impl Into<String>, value: Value) -> Self {
        let mut report = Self::new(exit, json, text, value);
        report.machine = true;
        report
    }

    /// A report on a failure: `outcome` is its word in JSON.
    pub fn failure(exit: Exit, json: bool, outcome: &str, text: impl Into<String>) -> Self {
        let text = text.into();
        let value = json!({"outcome": outcome, "text": text});
        Self::new(exit, json, format!("{outcome}: {text}"), value)
    }

    /// A report on an argument that can't be used.
    pub fn usage(json: bool, error: &impl ToString) -> Self {
        Self::failure(Exit::Usage, json, "wrong arguments", error.to_string())
    }

    /// A report on the faults of a file.
    pub fn faulty(file: &str, json: bool, faults: &[Fault]) -> Self {
        let lines: Vec<_> = faults
            .iter()
            .map(|fault| format!("{file}: {fault}"))
            .collect();
        let value = json!({"outcome": "faulty", "file": file, "faults": values(faults)});
        Self::new(Exit::Faulty, json, lines.join("\n"), value)
    }

    /// The same report with remarks.
    pub fn remark(mut self, remarks: String) -> Self {
        self.remarks = remarks;
        self
    }

    /// Prints the report: results to standard output, failures and remarks to standard error.
    pub fn print(&self) -> ExitCode {
        let failed = self.exit != Exit::Done && !self.machine;
        let printed = if failed {
            line(io::stderr().lock(), &self.remarks)
                .and_then(|()| line(io::stderr().lock(), &self.text))
        } else {
            line(io::stderr().lock(), &self.remarks)
                .and_then(|()| line(io::stdout().lock(), &self.text))
        };
        match printed {
            Ok(()) => ExitCode::from(self.exit.number()),
            // The reader went away, as `head` does; what it read is whole.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => {
                ExitCode::from(self.exit.number())
            }
            Err(_) => ExitCode::from(Exit::Internal.number()),
        }
    }
}

fn line(mut out: impl Write, text: &str) -> io::Result<()> {
    if text.is_empty() {
        return Ok(());
    }
    writeln!(out, "{}", text.trim_end_matches('\n'))?;
    out.flush()
}

/// Items as JSON; one that has no JSON form is null.
pub(crate) fn values<T: Serialize>(items: &[T]) -> Vec<Value> {
    let value = |item| serde_json::to_value(item).unwrap_or(Value::Null);
    items.iter().map(value).collect()
}
