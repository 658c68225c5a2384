//! The arguments of the command line.

use {
    bpaf::Bpaf,
    camphorweir_config::model::Version,
    std::{path::PathBuf, time::Duration},
};

const EXIT_CODES: &str = "Exit codes: 0 done, 1 wrong arguments, 2 faults in a file, 3 conflict, \
    4 unreachable, 5 unreadable file, 6 no such item, 7 outdated release, 70 internal.";

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
}

/// The arguments of `publish`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct Publish {
    /// Answer in JSON
    pub json: bool,
    /// Address of the log service, such as http://10.0.0.5:7000
    #[bpaf(argument("URL"))]
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
    /// Seconds after which an open result is given up as unreachable
    #[bpaf(
        argument::<u64>("SECONDS"),
        fallback(60),
        display_fallback,
        map(Duration::from_secs)
    )]
    pub timeout: Duration,
    /// The file; - is standard input
    #[bpaf(positional("FILE"), complete_shell(files()))]
    pub file: PathBuf,
}

#[allow(clippy::ptr_arg, reason = "the parser's guard takes the parsed type")]
fn author_is_usable(author: &String) -> bool {
    !author.is_empty() && author.len() <= MAX_AUTHOR && !author.chars().any(char::is_control)
}

fn files() -> bpaf::ShellComp {
    bpaf::ShellComp::File {
        mask: Some("*.yaml"),
    }
}
