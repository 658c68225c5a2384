//! How the process ends, and the last line of its log.

use {
    crate::{output::STDERR, process::Failure, settings::Logs, telemetry},
    bpaf::ParseFailure,
    camphorweir_wire::code::Code,
    std::{
        io::{Write, stdout},
        panic::{AssertUnwindSafe, catch_unwind, resume_unwind},
        process::ExitCode,
        time::{Duration, Instant},
    },
    tokio::runtime::Runtime,
};

/// Target of the last line of the log, which is written in place of all that waits to be.
pub const LAST_LINE_TARGET: &str = module_path!();
/// Longest wait for standard error to take a message for people.
const PRINT_WAIT: Duration = Duration::from_millis(50);
/// Characters of a reason that the last line shows.
const MAX_REASON_CHARS: usize = 1_000;

/// Exit statuses of the process; docs/OPERATIONS.md says what to do about each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Status {
    /// It was told to stop, or has shown what it was asked for.
    Success = 0,
    /// It can't start or continue, or its arguments can't be used.
    Failed = 1,
    /// The settings can't be used.
    BadSettings = 2,
    /// The main thread panicked; the status that Rust's runtime gives.
    Panicked = 101,
}

impl From<Status> for ExitCode {
    fn from(status: Status) -> Self {
        Self::from(status as u8)
    }
}

/// Why the process ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum End {
    /// It has shown what it was asked for, and ends with this status; the log has no line.
    Shown(Status),
    /// It was told to stop by the signal of this name.
    Stopped(&'static str),
    /// The settings can't be used, for these reasons, a line each.
    BadSettings(String),
    /// It can't start or can't continue.
    Failed(Failure),
    /// The main thread panicked; the log has the place.
    Panicked,
}

impl End {
    /// The exit status.
    pub fn status(&self) -> Status {
        match self {
            Self::Shown(status) => *status,
            Self::Stopped(_) => Status::Success,
            Self::BadSettings(_) => Status::BadSettings,
            Self::Failed(_) => Status::Failed,
            Self::Panicked => Status::Panicked,
        }
    }

    /// The result code, if there is one.
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Shown(_) | Self::Stopped(_) => None,
            Self::BadSettings(_) => Some(Code::BadSettings),
            Self::Failed(failure) => Some(failure.code),
            Self::Panicked => Some(Code::Internal),
        }
    }

    fn reason(&self) -> String {
        let reason = match self {
            Self::Shown(_) => String::new(),
            Self::Stopped(signal) => format!("told to stop by {signal}"),
            Self::BadSettings(faults) => faults.clone(),
            Self::Failed(failure) => failure.what.clone(),
            Self::Panicked => "the main thread panicked".to_owned(),
        };
        reason.chars().take(MAX_REASON_CHARS).collect()
    }
}

impl From<Result<&'static str, Failure>> for End {
    fn from(result: Result<&'static str, Failure>) -> Self {
        result.map_or_else(Self::Failed, Self::Stopped)
    }
}

/// Runs the process, and writes the last line of its log. It holds the end up for a bounded time, and
/// does not panic, whatever becomes of the outputs.
pub fn exit_run(run: impl FnOnce() -> End) -> ExitCode {
    let started = Instant::now();
    // Nothing that `run` has touched is used after a panic.
    let end = catch_unwind(AssertUnwindSafe(run)).unwrap_or(End::Panicked);
    match &end {
        End::Shown(status) => return (*status).into(),
        End::Stopped(_) | End::Panicked => {}
        End::BadSettings(faults) => print_error(faults),
        End::Failed(failure) => print_error(&format!("camphorweir-entry: {failure}")),
    }
    // Has no effect if the log has been started.
    telemetry::start_logs(Logs::default());
    let status = end.status();
    let level = match status {
        Status::Success => log::Level::Info,
        Status::Failed | Status::BadSettings | Status::Panicked => log::Level::Error,
    };
    log::log!(
        level,
        exit_status = status as u8,
        code = end.code().map(Code::number),
        code_name = end.code().map(Code::name),
        reason = end.reason(),
        uptime_s = started.elapsed().as_secs_f64();
        "process ends"
    );
    status.into()
}

/// Completes a future on the runtime, and ends the runtime without waiting for what still runs there.
pub fn exit_block_on<T>(runtime: Runtime, future: impl Future<Output = T>) -> T {
    // The future is not used after a panic.
    let result = catch_unwind(AssertUnwindSafe(|| runtime.block_on(future)));
    runtime.shutdown_background();
    result.unwrap_or_else(|panic| resume_unwind(panic))
}

/// Shows what the parser of the command line has to say.
pub fn exit_usage(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stdout(text, is_full) => print(text.monochrome(is_full).trim_end()),
        ParseFailure::Completion(text) => print(text.trim_end()),
        ParseFailure::Stderr(text) => {
            print_error(&format!("Error: {}", text.monochrome(true).trim_end()));
            return Status::Failed.into();
        }
    }
    Status::Success.into()
}

/// Prints to standard output what the process was asked for.
pub fn print(text: &str) {
    // Whoever closes the output does not want to know more.
    let _ = writeln!(stdout(), "{text}");
}

/// Prints a message for people to standard error, unless that is blocked or closed.
pub fn print_error(text: &str) {
    let deadline = Instant::now() + PRINT_WAIT;
    // The log says the same.
    STDERR.write_until(format!("{text}\n").as_bytes(), deadline);
}
