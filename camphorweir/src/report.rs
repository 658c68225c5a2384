//! The result of a command, as text or as JSON.

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
    /// How the command ended.
    pub exit: Exit,
    /// What to print: JSON with `--json`, else text. Ends without a line feed.
    pub text: String,
    /// Warnings and other remarks beside the result, printed to standard error.
    pub remarks: String,
    /// Whether `text` goes to standard output even when the command failed.
    always_on_stdout: bool,
}

impl Report {
    /// A report whose text is `value` as JSON if `json` is set, else `text`.
    pub fn new(exit: Exit, json: bool, text: impl Into<String>, value: Value) -> Self {
        let text = if json { value.to_string() } else { text.into() };
        Self {
            exit,
            text,
            remarks: String::new(),
            always_on_stdout: json,
        }
    }

    /// A report that goes to standard output even when it is incomplete.
    pub fn partial(exit: Exit, json: bool, text: impl Into<String>, value: Value) -> Self {
        let mut report = Self::new(exit, json, text, value);
        report.always_on_stdout = true;
        report
    }

    /// A report on a failure; `outcome` is the value of the JSON field `outcome`.
    pub fn failure(exit: Exit, json: bool, outcome: &str, text: impl Into<String>) -> Self {
        let text = text.into();
        let value = json!({"outcome": outcome, "text": text});
        Self::new(exit, json, format!("{outcome}: {text}"), value)
    }

    /// A report on an invalid argument.
    pub fn usage(json: bool, error: &impl ToString) -> Self {
        Self::failure(Exit::Usage, json, "wrong arguments", error.to_string())
    }

    /// A report on the faults of a configuration file.
    pub fn faulty(file: &str, json: bool, faults: &[Fault]) -> Self {
        let lines: Vec<_> = faults
            .iter()
            .map(|fault| format!("{file}: {fault}"))
            .collect();
        let value = json!({"outcome": "faulty", "file": file, "faults": json_values(faults)});
        Self::new(Exit::Faulty, json, lines.join("\n"), value)
    }

    /// Sets the remarks.
    pub fn with_remarks(mut self, remarks: String) -> Self {
        self.remarks = remarks;
        self
    }

    /// Prints the report: results to standard output, failures and remarks to standard error.
    ///
    /// Where an output is closed, the exit code is that of the command. If a result can't be written for
    /// another reason, it is that of an internal error.
    pub fn print(&self) -> ExitCode {
        // A result is printed even if its remarks can't be.
        let remarks = write_line(io::stderr().lock(), &self.remarks);
        let text = match self.exit != Exit::Done && !self.always_on_stdout {
            true => write_line(io::stderr().lock(), &self.text),
            false => write_line(io::stdout().lock(), &self.text),
        };
        let exit = match text.and(remarks) {
            // The reader closed the pipe, as `head` does; that is not a failure of the command.
            Err(error) if self.exit == Exit::Done && error.kind() != io::ErrorKind::BrokenPipe => {
                let reason = format!("the command is done, but can't print its result: {error}");
                // Nothing is left to report an error to if this fails as well.
                let _ = write_line(io::stderr().lock(), &reason);
                Exit::Internal
            }
            _ => self.exit,
        };
        ExitCode::from(exit.code())
    }
}

fn write_line(mut out: impl Write, text: &str) -> io::Result<()> {
    if text.is_empty() {
        return Ok(());
    }
    writeln!(out, "{}", text.trim_end_matches('\n'))?;
    out.flush()
}

/// Items as JSON values; an item that can't be serialized becomes null.
pub(crate) fn json_values<T: Serialize>(items: &[T]) -> Vec<Value> {
    let value = |item| serde_json::to_value(item).unwrap_or(Value::Null);
    items.iter().map(value).collect()
}
