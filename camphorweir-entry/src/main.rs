//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::Bpaf,
    camphorweir_entry::{
        front::{reload::SettingsSource, run::run as run_front},
        lines::lines_start,
        process, settings, telemetry,
    },
    camphorweir_platform::settings::settings_load,
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{Signal, SignalKind, signal},
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
    #[bpaf(argument("FILE"), fallback(PathBuf::from("camphorweir.yaml")))]
    settings: PathBuf,
    /// Forward opaquely on the users' platform, whose settings file the environment names
    platform: bool,
    /// Port of the metrics on the platform; without it none are served
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Only check the settings file and say every fault
    check_settings: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    if options.platform {
        return run_platform(options.metrics);
    }
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

/// Runs an entry on the users' platform; its machines have one core.
fn run_platform(metrics: Option<u16>) -> ExitCode {
    let settings_source =
        SettingsSource::new(|| settings_load().map_err(|error| error.to_string()));
    let settings = match settings_source.load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("camphorweir-entry: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    lines_start(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(async {
            let stop = stop()?;
            let hangups = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
            tokio::spawn(reload(hangups, settings_source.clone()));
            run_front(settings, settings_source, metrics, stop).await
        }),
        Err(error) => Err(error.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("camphorweir-entry: {what}");
            ExitCode::from(FAILED)
        }
    }
}

/// Has the settings read again at each SIGHUP.
async fn reload(mut hangups: Signal, settings_source: SettingsSource) {
    while hangups.recv().await.is_some() {
        settings_source.request_reload();
    }
}

/// Ends when the process is told to stop; later signals find the same handler and cut nothing.
fn stop() -> Result<impl Future<Output = ()>, String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

#[tokio::main]
async fn run(settings: settings::Settings) -> Result<(), String> {
    // Taken before the entry is up.
    let stop = stop()?;
    let entry = process::start(settings)
        .await
        .map_err(|failure| failure.to_string())?;
    entry.run(stop).await.map_err(|failure| failure.to_string())
}
