//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::Bpaf,
    camphorweir_entry::{
        front::{reload::SettingsSource, run::run as run_front},
        process, rate_limited_log, settings, telemetry,
    },
    camphorweir_platform::settings::settings_load,
    std::{path::PathBuf, process::ExitCode},
    tokio::signal::unix::{Signal, SignalKind, signal},
};

/// Exit status for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit status for an entry that can't start or continue.
const EXIT_FAILED: u8 = 1;

/// Runs an entry of camphorweir.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Options {
    /// Settings file of the entry, in YAML
    #[bpaf(argument("FILE"), fallback(PathBuf::from("camphorweir.yaml")))]
    settings: PathBuf,
    /// Forward opaquely on the users' platform, whose settings file the environment names
    platform: bool,
    /// Port that serves metrics with --platform; without it none are served
    #[bpaf(argument("PORT"))]
    metrics: Option<u16>,
    /// Only check the settings file and report every fault
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
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if options.check_settings {
        println!("{}: settings are valid", options.settings.display());
        return ExitCode::SUCCESS;
    }
    telemetry::start_logs(settings.logs);
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorweir-entry: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Runs an entry on the users' platform, with a single thread as its machines have one core.
fn run_platform(metrics: Option<u16>) -> ExitCode {
    let settings_source =
        SettingsSource::new(|| settings_load().map_err(|error| error.to_string()));
    let settings = match settings_source.load() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("camphorweir-entry: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    rate_limited_log::start(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(async {
            let stop = stop_signal()?;
            let hangup_signals = signal(SignalKind::hangup()).map_err(|error| error.to_string())?;
            tokio::spawn(reload_on_hangup(hangup_signals, settings_source.clone()));
            run_front(settings, settings_source, metrics, stop).await
        }),
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("camphorweir-entry: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Reloads the settings at each SIGHUP.
async fn reload_on_hangup(mut hangup_signals: Signal, settings_source: SettingsSource) {
    while hangup_signals.recv().await.is_some() {
        settings_source.request_reload();
    }
}

/// Completes at SIGTERM or SIGINT; the handlers stay installed, so further signals don't cut the
/// shutdown short.
fn stop_signal() -> Result<impl Future<Output = ()>, String> {
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
    // The signal handlers are installed before the entry starts.
    let stop = stop_signal()?;
    let entry = process::start(settings)
        .await
        .map_err(|failure| failure.to_string())?;
    entry.run(stop).await.map_err(|failure| failure.to_string())
}
