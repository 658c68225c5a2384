//! The arguments of the command line.

use {
    crate::{exit::Exit, report::Report},
    bpaf::{Args, Bpaf, ParseFailure, Parser, long},
    camphorweir_config::model::Version,
    serde_json::Value,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    uuid::Uuid,
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 wrong arguments, 2 faults in a file, 3 conflict, \
    4 unreachable, 5 unreadable file, 6 no such item, 7 outdated release, 8 forbidden, 70 internal.";

/// Maximum length of an author's name.
const MAX_AUTHOR_BYTES: usize = 64;
/// Longest time that a command waits.
const MAX_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// Operates camphorweir: checks, compares and publishes its configuration.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Checks a configuration file: lists all its faults, or else warnings and what it would change
    ///
    ///
    /// Warnings leave the exit code at 0. The file is compared with --against, or with the version in
    /// force if only --log is given. Nothing is published.
    ///
    ///
    /// Example: camphorweir check pine-hollow.yaml --against 12 --log http://10.0.0.5:7000
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Describes what publishing NEW over OLD would change, with warnings
    ///
    ///
    ///
    ///
    /// Example: camphorweir diff in-force.yaml pine-hollow.yaml
    #[bpaf(command)]
    Diff {
        /// Print JSON
        json: bool,
        /// The file that is in force
        #[bpaf(positional("OLD"), complete_shell(yaml_files()))]
        old: PathBuf,
        /// The file to be published
        #[bpaf(positional("NEW"), complete_shell(yaml_files()))]
        new: PathBuf,
    },
    /// Stops sending new work to a target; work that it has taken on finishes there
    ///
    ///
    /// Publishes `drain: true` for the target, which is in force at every entry until `undrain`.
    ///
    ///
    /// Example: camphorweir drain log-a1-0 --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Drain(#[bpaf(external(drain))] Drain),
    /// Explains a numeric code and what to do about it; lists all codes without CODE
    ///
    ///
    ///
    ///
    /// Example: camphorweir explain 5003
    #[bpaf(command)]
    Explain {
        /// Print JSON
        json: bool,
        /// Print the table of docs/ERRORS.md
        markdown: bool,
        /// Number of a result code or of a configuration fault
        #[bpaf(positional("CODE"))]
        code: Option<u16>,
    },
    /// Prints a configuration file in canonical form, so that two files can be compared with diff
    ///
    ///
    ///
    ///
    /// Example: camphorweir print pine-hollow.yaml > stable.yaml
    #[bpaf(command)]
    Print {
        /// The file to read; - is standard input
        #[bpaf(positional("FILE"), complete_shell(yaml_files()))]
        file: PathBuf,
    },
    /// Publishes a configuration file and reports the outcome
    ///
    ///
    /// Running the command again with the same file is safe: the file is accepted once.
    ///
    ///
    /// Example: camphorweir publish pine-hollow.yaml --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Publish(#[bpaf(external(publish))] Publish),
    /// Lists or releases requests that are refused because requests like them have crashed targets
    ///
    ///
    ///
    ///
    /// Example: camphorweir quarantine list --operator operator.yaml
    ///
    ///
    /// Example: camphorweir quarantine release 1f00ab3c5d7e9012 --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Quarantine(#[bpaf(external(quarantine))] Quarantine),
    /// Settles a never-repeat key whose outcome is unknown
    ///
    ///
    /// Of two operators, the first wins and the other gets a conflict. See `camphorweir unresolved`.
    ///
    ///
    /// Example: camphorweir resolve 0193a1b2-0000-7000-8000-000000000001 --ran no --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Resolve(#[bpaf(external(resolve))] Resolve),
    /// Shows the state of every entry and lists entries that do not answer
    ///
    ///
    /// Example: camphorweir status --operator operator.yaml
    #[bpaf(command)]
    Status(#[bpaf(external(ask))] Ask),
    /// Resumes sending work to a drained target
    ///
    ///
    ///
    ///
    /// Example: camphorweir undrain log-a1-0 --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Undrain(#[bpaf(external(drain))] Drain),
    /// Lists the never-repeat keys whose outcome is unknown
    ///
    ///
    ///
    ///
    /// Example: camphorweir unresolved --entry 10.0.0.1:8082 --key read.key
    #[bpaf(command)]
    Unresolved(#[bpaf(external(ask))] Ask),
}

/// The arguments of `check`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Check {
    /// Print JSON
    pub json: bool,
    /// Version of the log, or file, to compare with; write a file whose name is a number as ./12
    #[bpaf(argument::<String>("VERSION|FILE"), map(against), optional, complete_shell(yaml_files()))]
    pub against: Option<Against>,
    /// Address of the log service.
    #[bpaf(external, optional)]
    pub log: Option<String>,
    /// Time to wait for the log.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The file to read; - is standard input
    #[bpaf(positional("FILE"), complete_shell(yaml_files()))]
    pub file: PathBuf,
}

/// What `check` compares a file with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Against {
    /// A version of the log.
    Version(Version),
    /// A file.
    File(PathBuf),
}

fn against(text: String) -> Against {
    match text.parse() {
        Ok(version) => Against::Version(version),
        Err(_) => Against::File(text.into()),
    }
}

/// The subcommands of `quarantine`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum Quarantine {
    /// Lists the requests in quarantine
    #[bpaf(command)]
    List(#[bpaf(external(ask))] Ask),
    /// Releases a request from quarantine
    #[bpaf(command)]
    Release(#[bpaf(external(release))] Release),
}

/// The arguments of `quarantine release`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Release {
    /// Print JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Name of the operator, recorded in the log; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Time to wait for the outcome.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The request's fingerprint, 16 hex digits as `quarantine list` shows it
    #[bpaf(positional::<String>("FINGERPRINT"), parse(fingerprint))]
    pub fingerprint: u64,
}

fn fingerprint(text: String) -> Result<u64, String> {
    u64::from_str_radix(&text, 16).map_err(|_| "a fingerprint is up to 16 hex digits".to_owned())
}

/// The arguments of commands that query the entries.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Ask {
    /// Print JSON
    pub json: bool,
    /// Administration listener of an entry; repeatable; the instance list is then not used
    #[bpaf(argument("IP:PORT"))]
    pub entry: Vec<SocketAddr>,
    /// URL of the platform's instance list, such as http://10.0.0.6:7002/instances
    #[bpaf(argument("URL"))]
    pub instances: Option<String>,
    /// Port of the administration listener, the same at every listed entry
    #[bpaf(argument("PORT"))]
    pub admin_port: Option<u16>,
    /// File with the read key
    #[bpaf(argument("FILE"), complete_shell(yaml_files()))]
    pub key: Option<PathBuf>,
    /// YAML file with `instances`, `admin_port` and `key`, used for options not given here
    #[bpaf(argument("FILE"), complete_shell(yaml_files()))]
    pub operator: Option<PathBuf>,
    /// Seconds to wait for the answer of an entry
    #[bpaf(
        argument::<u64>("SECONDS"),
        fallback(5),
        display_fallback,
        parse(seconds)
    )]
    pub timeout: Duration,
}

/// The arguments of `drain` and `undrain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Drain {
    /// Print JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Name of the operator, shown to others whose publication conflicts; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Time to wait for the outcome.
    #[bpaf(external)]
    pub timeout: Duration,
    /// Name of the target
    #[bpaf(positional("TARGET"))]
    pub target: String,
}

/// The arguments of `resolve`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Resolve {
    /// Print JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Name of the operator, shown to others who try to settle the key; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Whether the request ran: yes or no
    #[bpaf(argument::<String>("ANSWER"), parse(yes_or_no))]
    pub ran: bool,
    /// The entry that claimed the key is gone for good, although the log does not record that
    pub owner_gone: bool,
    /// Time to wait for the outcome.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The key, a UUID
    #[bpaf(positional("KEY"))]
    pub key: Uuid,
}

/// The arguments of `publish`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Publish {
    /// Print JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Name of the operator, shown to others whose publication conflicts; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Publish only if this version is in force
    #[bpaf(argument("VERSION"))]
    pub base: Option<Version>,
    /// Time to wait for the outcome.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The file to read; - is standard input
    #[bpaf(positional("FILE"), complete_shell(yaml_files()))]
    pub file: PathBuf,
}

/// The command in the arguments of the process.
///
/// # Errors
///
/// The report that ends the process: help, the version, completions, or what is wrong.
pub fn parse() -> Result<Command, Report> {
    let parsed = command().run_inner(Args::current_args());
    // The parser's own printing panics where its output is closed.
    parsed.map_err(|failure| {
        let (exit, text) = match failure {
            ParseFailure::Stdout(text, is_full) => (Exit::Done, text.monochrome(is_full)),
            ParseFailure::Completion(text) => (Exit::Done, text),
            ParseFailure::Stderr(text) => {
                (Exit::Usage, format!("Error: {}", text.monochrome(true)))
            }
        };
        Report::new(exit, false, text, Value::Null)
    })
}

/// The `--log` option of commands that append to the log.
fn log() -> impl Parser<String> {
    long("log")
        .help("Address of the log service, such as http://10.0.0.5:7000")
        .argument("URL")
}

/// The `--timeout` option of commands that append to the log.
fn timeout() -> impl Parser<Duration> {
    long("timeout")
        .help("Seconds to wait for the outcome before giving up as unreachable")
        .argument::<u64>("SECONDS")
        .fallback(60)
        .display_fallback()
        .parse(seconds)
}

/// A time limit; one that no clock can add to the present would be none.
fn seconds(seconds: u64) -> Result<Duration, String> {
    let limit = Duration::from_secs(seconds);
    match limit <= MAX_TIMEOUT {
        true => Ok(limit),
        false => Err(format!("at most {} seconds", MAX_TIMEOUT.as_secs())),
    }
}

#[allow(clippy::ptr_arg, reason = "the parser's guard takes the parsed type")]
fn author_is_usable(author: &String) -> bool {
    !author.is_empty() && author.len() <= MAX_AUTHOR_BYTES && !author.chars().any(char::is_control)
}

fn yes_or_no(text: String) -> Result<bool, String> {
    match text.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("expected yes or no".to_owned()),
    }
}

fn yaml_files() -> bpaf::ShellComp {
    bpaf::ShellComp::File {
        mask: Some("*.yaml"),
    }
}
