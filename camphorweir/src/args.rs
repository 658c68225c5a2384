//! The arguments of the command line.

use {
    bpaf::{Bpaf, Parser, long},
    camphorweir_config::model::Version,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
    uuid::Uuid,
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 wrong arguments, 2 faults in a file, 3 conflict, \
    4 unreachable, 5 unreadable file, 6 no such item, 7 outdated release, 8 forbidden, 70 internal.";

/// Longest name of an author in bytes.
const MAX_AUTHOR: usize = 64;

/// Operates camphorweir: checks, compares and publishes its configuration.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version, generate(command), footer(EXIT_CODES))]
pub enum Command {
    /// Names every fault of a configuration file
    ///
    ///
    ///
    ///
    /// Example: camphorweir check pine-hollow.yaml
    #[bpaf(command)]
    Check {
        /// Answer in JSON
        json: bool,
        /// The file; - is standard input
        #[bpaf(positional("FILE"), complete_shell(files()))]
        file: PathBuf,
    },
    /// Says in words what publishing NEW after OLD would change, with warnings
    ///
    ///
    ///
    ///
    /// Example: camphorweir diff in-force.yaml pine-hollow.yaml
    #[bpaf(command)]
    Diff {
        /// Answer in JSON
        json: bool,
        /// The file that is in force
        #[bpaf(positional("OLD"), complete_shell(files()))]
        old: PathBuf,
        /// The file to be published
        #[bpaf(positional("NEW"), complete_shell(files()))]
        new: PathBuf,
    },
    /// Gives a target no new work; what it is doing ends there
    ///
    ///
    /// It publishes `drain: true` for the target, so it is in force at every entry until `undrain`.
    ///
    ///
    /// Example: camphorweir drain log-a1-0 --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Drain(#[bpaf(external(drain))] Drain),
    /// Says what a numbered code means and what to do; lists all codes without CODE
    ///
    ///
    ///
    ///
    /// Example: camphorweir explain 5003
    #[bpaf(command)]
    Explain {
        /// Answer in JSON
        json: bool,
        /// Print the table of docs/ERRORS.md
        markdown: bool,
        /// The number of a result or of a fault
        #[bpaf(positional("CODE"))]
        code: Option<u16>,
    },
    /// Prints a configuration file in its stable form, so that diff compares two of them
    ///
    ///
    ///
    ///
    /// Example: camphorweir print pine-hollow.yaml > stable.yaml
    #[bpaf(command)]
    Print {
        /// The file; - is standard input
        #[bpaf(positional("FILE"), complete_shell(files()))]
        file: PathBuf,
    },
    /// Publishes a configuration file and says what became of it
    ///
    ///
    /// Running it again with the same file is safe: it is accepted once.
    ///
    ///
    /// Example: camphorweir publish pine-hollow.yaml --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Publish(#[bpaf(external(publish))] Publish),
    /// Shows the requests that are refused since requests like them have crashed targets
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
    /// Settles a never-repeat key whose outcome nobody knows
    ///
    ///
    /// The first of two operators wins, and the other is told. See `camphorweir unresolved`.
    ///
    ///
    /// Example: camphorweir resolve 0193a1b2-0000-7000-8000-000000000001 --ran no --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Resolve(#[bpaf(external(resolve))] Resolve),
    /// Shows the state of every entry, and names those that do not answer
    ///
    ///
    /// Example: camphorweir status --operator operator.yaml
    #[bpaf(command)]
    Status(#[bpaf(external(ask))] Ask),
    /// Gives a drained target work again
    ///
    ///
    ///
    ///
    /// Example: camphorweir undrain log-a1-0 --log http://10.0.0.5:7000 --author ada
    #[bpaf(command)]
    Undrain(#[bpaf(external(drain))] Drain),
    /// Lists the never-repeat keys whose outcome nobody knows
    ///
    ///
    ///
    ///
    /// Example: camphorweir unresolved --entry 10.0.0.1:8082 --key read.key
    #[bpaf(command)]
    Unresolved(#[bpaf(external(ask))] Ask),
}

/// What to do about the quarantine.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub enum Quarantine {
    /// Lists the requests in quarantine
    #[bpaf(command)]
    List(#[bpaf(external(ask))] Ask),
    /// Lets a request run again
    #[bpaf(command)]
    Release(#[bpaf(external(release))] Release),
}

/// The arguments of `quarantine release`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Release {
    /// Answer in JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Who releases it; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Time after which an open result is given up.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The request's fingerprint, 16 hex digits as `quarantine list` shows it
    #[bpaf(positional::<String>("FINGERPRINT"), parse(fingerprint))]
    pub fingerprint: u64,
}

fn fingerprint(text: String) -> Result<u64, String> {
    u64::from_str_radix(&text, 16).map_err(|_| "a fingerprint is up to 16 hex digits".to_owned())
}

/// Which entries to ask, and how.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Ask {
    /// Answer in JSON
    pub json: bool,
    /// Administration listener of an entry; may be given several times, and then no list is asked
    #[bpaf(argument("IP:PORT"))]
    pub entry: Vec<SocketAddr>,
    /// The platform's instance list, such as http://10.0.0.6:7002/instances
    #[bpaf(argument("URL"))]
    pub instances: Option<String>,
    /// Port of the administration listener at every listed entry
    #[bpaf(argument("PORT"))]
    pub admin_port: Option<u16>,
    /// File with the key for reading
    #[bpaf(argument("FILE"), complete_shell(files()))]
    pub key: Option<PathBuf>,
    /// YAML file with `instances`, `admin_port` and `key`, for what is not given here
    #[bpaf(argument("FILE"), complete_shell(files()))]
    pub operator: Option<PathBuf>,
    /// Seconds after which an entry counts as not answering
    #[bpaf(
        argument::<u64>("SECONDS"),
        fallback(5),
        display_fallback,
        map(Duration::from_secs)
    )]
    pub timeout: Duration,
}

/// The arguments of `drain` and `undrain`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Drain {
    /// Answer in JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Who publishes, for the one who loses a race; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Time after which an open result is given up.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The target's name
    #[bpaf(positional("TARGET"))]
    pub target: String,
}

/// The arguments of `resolve`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Resolve {
    /// Answer in JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Who settles it, for the one who loses a race; up to 64 bytes
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
    /// The entry that claimed the key is gone for good, although no record says so
    pub owner_gone: bool,
    /// Time after which an open result is given up.
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
    /// Answer in JSON
    pub json: bool,
    /// Address of the log service.
    #[bpaf(external)]
    pub log: String,
    /// Who publishes, for the one who loses a race; up to 64 bytes
    #[bpaf(
        argument("NAME"),
        guard(
            author_is_usable,
            "an author is 1 to 64 bytes without control characters"
        )
    )]
    pub author: String,
    /// Publish only while this version is in force
    #[bpaf(argument("VERSION"))]
    pub base: Option<Version>,
    /// Time after which an open result is given up.
    #[bpaf(external)]
    pub timeout: Duration,
    /// The file; - is standard input
    #[bpaf(positional("FILE"), complete_shell(files()))]
    pub file: PathBuf,
}

/// Where what a command writes goes.
fn log() -> impl Parser<String> {
    long("log")
        .help("Address of the log service, such as http://10.0.0.5:7000")
        .argument("URL")
}

/// How long a command that writes waits for its result.
fn timeout() -> impl Parser<Duration> {
    long("timeout")
        .help("Seconds after which an open result is given up as unreachable")
        .argument::<u64>("SECONDS")
        .fallback(60)
        .display_fallback()
        .map(Duration::from_secs)
}

#[allow(clippy::ptr_arg, reason = "the parser's guard takes the parsed type")]
fn author_is_usable(author: &String) -> bool {
    !author.is_empty() && author.len() <= MAX_AUTHOR && !author.chars().any(char::is_control)
}

fn yes_or_no(word: String) -> Result<bool, String> {
    match word.as_str() {
        "yes" => Ok(true),
        "no" => Ok(false),
        _ => Err("write yes or no".to_owned()),
    }
}

fn files() -> bpaf::ShellComp {
    bpaf::ShellComp::File {
        mask: Some("*.yaml"),
    }
}
