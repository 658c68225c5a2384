//! Runs one stand-in as a process until SIGTERM.
#![forbid(unsafe_code)]

use {
    bpaf::Bpaf,
    camphorweir_standin::{
        engine, list, log,
        server::{self, Handle, Role},
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
    #[snafu(display("can't read {}: {source}", path.display()))]
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
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorweir-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> Result<(), Error> {
    let term = signal(SignalKind::terminate()).context(SignalSnafu)?;
    let mut settings = read(options.settings)?;
    settings.exit_on_crash();
    match settings {
        Settings::Log(settings) => serve(log::spawn(settings).await, term).await,
        Settings::List(settings) => serve(list::spawn(settings).await, term).await,
        Settings::Weights(settings) => serve(weights::spawn(settings).await, term).await,
        Settings::Engine(settings) => serve(engine::spawn(settings).await, term).await,
        Settings::Service(settings) => serve(service::spawn(settings).await, term).await,
    }
}

async fn serve<R: Role>(
    started: Result<Handle<R>, server::Error>,
    mut term: Signal,
) -> Result<(), Error> {
    let handle = started.context(StartSnafu)?;
    println!("listening {}", handle.address());
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
