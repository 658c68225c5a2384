//! Runs one stand-in as a process until SIGTERM.
#![forbid(unsafe_code)]

use {
    bpaf::{Args, Bpaf, ParseFailure},
    camphorweir_standin::{
        engine, list, log,
        server::{self, Handle, Role, print_line},
        service,
        settings::Settings,
        weights,
    },
    snafu::{ResultExt, Snafu},
    std::{io, path::PathBuf, process::ExitCode},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Runs a stand-in for one of the platform's services or a target.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// YAML file with the role and its settings
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("can't read {}: {source}; name a readable file with --settings", path.display()))]
    Read { path: PathBuf, source: io::Error },
    #[snafu(display("{}: {reason}", path.display()))]
    Settings { path: PathBuf, reason: String },
    #[snafu(display("{source}"))]
    Start { source: server::Error },
    #[snafu(display("can't wait for signals: {source}"))]
    Signal { source: io::Error },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    // Until the handler stands, the signal ends the process by itself.
    let term = signal(SignalKind::terminate()).context(SignalSnafu);
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return print_failure(failure),
    };
    let result = match term {
        Ok(term) => run(options, term).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_line(io::stderr(), &format!("camphorweir-standin: {error}"));
            ExitCode::FAILURE
        }
    }
}

/// Prints help, the version, or what is wrong with the arguments; the parser's own printing panics where its
/// output is closed.
fn print_failure(failure: ParseFailure) -> ExitCode {
    match failure {
        ParseFailure::Stdout(text, is_full) => {
            print_line(io::stdout(), &text.monochrome(is_full));
            ExitCode::SUCCESS
        }
        ParseFailure::Completion(text) => {
            print_line(io::stdout(), &text);
            ExitCode::SUCCESS
        }
        ParseFailure::Stderr(text) => {
            print_line(io::stderr(), &format!("Error: {}", text.monochrome(true)));
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options, mut term: Signal) -> Result<(), Error> {
    let mut settings = read(options.settings)?;
    settings.exit_on_crash();
    let term = &mut term;
    match settings {
        Settings::Log(settings) => serve(log::spawn(settings), term).await,
        Settings::List(settings) => serve(list::spawn(settings), term).await,
        Settings::Weights(settings) => serve(weights::spawn(settings), term).await,
        Settings::Engine(settings) => serve(engine::spawn(settings), term).await,
        Settings::Service(settings) => serve(service::spawn(settings), term).await,
    }
}

async fn serve<R: Role>(
    start: impl Future<Output = Result<Handle<R>, server::Error>>,
    term: &mut Signal,
) -> Result<(), Error> {
    let handle = tokio::select! {
        started = start => started.context(StartSnafu)?,
        _ = term.recv() => return Ok(()),
    };
    print_line(io::stdout(), &format!("listening {}", handle.address()));
    term.recv().await;
    handle.stop().await;
    Ok(())
}

fn read(path: PathBuf) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
    serde_saphyr::from_str(&text).map_err(|error| Error::Settings {
        path,
        reason: error.to_string(),
    })
}
