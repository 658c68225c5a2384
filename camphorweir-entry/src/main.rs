//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::Bpaf,
    camphorweir_entry::{process, settings, telemetry},
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Exit status for a settings file that can't be used.
const BAD_SETTINGS: u8 = 2;
/// Exit status for an entry that can't start or go on.
const FAILED: u8 = 1;

/// Runs an entry of camphorweir.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file of the entry, in YAML
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Only check the settings file and say every fault
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    let settings = match settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(faults) => {
            let file = options.settings.display();
            faults.iter().for_each(|fault| eprintln!("{file}:{fault}"));
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if options.check_settings {
        println!("{}: settings are good", options.settings.display());
        return ExitCode::SUCCESS;
    }
    telemetry::start_logs(settings.logs);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("camphorweir-entry: {what}");
            ExitCode::from(FAILED)
        }
    }
}

#[tokio::main]
async fn run(settings: settings::Settings) -> Result<(), String> {
    // Taken before the entry is up; later signals find the same handler and cut nothing.
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let entry = process::start(settings)
        .await
        .map_err(|failure| failure.to_string())?;
    let stop = async {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    };
    entry.run(stop).await.map_err(|failure| failure.to_string())
}
