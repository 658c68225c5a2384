//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::{Args, Bpaf},
    camphorweir_entry::{
        exit::{End, exit_block_on, exit_run, exit_usage, print},
        front::{reload::SettingsSource, run::run as run_front},
        process::{self, Failure},
        rate_limited_log,
        settings::{self, Logs, Settings},
        telemetry,
    },
    camphorweir_platform::settings::settings_load,
    camphorweir_wire::code::Code,
    std::{
        io,
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::signal::unix::{Signal, SignalKind, signal},
};

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
    let options = match options().run_inner(Args::current_args()) {
        Ok(options) => options,
        Err(failure) => return exit_usage(failure),
    };
    exit_run(|| match options {
        Options {
            platform: true,
            metrics,
            ..
        } => run_platform(metrics),
        Options {
            settings,
            check_settings,
            ..
        } => run_library(&settings, check_settings),
    })
}

/// Runs an entry with a settings file of its own, or only checks that.
fn run_library(file: &Path, check_settings: bool) -> End {
    let settings = match settings::load(file) {
        Ok(settings) => settings,
        Err(faults) => {
            if !check_settings {
                telemetry::start_logs(Logs::default());
            }
            let lines = faults
                .iter()
                .map(|fault| format!("{}:{fault}", file.display()));
            return End::BadSettings(lines.collect::<Vec<_>>().join("\n"));
        }
    };
    if check_settings {
        print(&format!("{}: settings are valid", file.display()));
        return End::Shown;
    }
    telemetry::start_logs(settings.logs);
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => exit_block_on(runtime, run(settings)).into(),
        Err(error) => End::Failed(internal(&error)),
    }
}

/// Runs an entry on the users' platform, with a single thread as its machines have one core.
fn run_platform(metrics: Option<u16>) -> End {
    rate_limited_log::start(log::LevelFilter::Info);
    let settings_source =
        SettingsSource::new(|| settings_load().map_err(|error| error.to_string()));
    let settings = match settings_source.load() {
        Ok(settings) => settings,
        Err(error) => return End::BadSettings(error),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => {
            let entry = async {
                let stop = stop_signal()?;
                let hangup_signals =
                    signal(SignalKind::hangup()).map_err(|error| internal(&error))?;
                tokio::spawn(reload_on_hangup(hangup_signals, settings_source.clone()));
                let mut signal_name = "";
                let stop = async { signal_name = stop.await };
                run_front(settings, settings_source, metrics, stop).await?;
                Ok(signal_name)
            };
            exit_block_on(runtime, entry).into()
        }
        Err(error) => End::Failed(internal(&error)),
    }
}

/// Reloads the settings at each SIGHUP.
async fn reload_on_hangup(mut hangup_signals: Signal, settings_source: SettingsSource) {
    while hangup_signals.recv().await.is_some() {
        settings_source.request_reload();
    }
}

/// Completes at SIGTERM or SIGINT with the signal's name; the handlers stay installed, so further signals
/// don't cut the shutdown short.
fn stop_signal() -> Result<impl Future<Output = &'static str>, Failure> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| internal(&error))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| internal(&error))?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        }
    })
}

async fn run(settings: Settings) -> Result<&'static str, Failure> {
    // The signal handlers are installed before the entry starts.
    let stop = stop_signal()?;
    let mut signal_name = "";
    let stop = async { signal_name = stop.await };
    process::start(settings).await?.run(stop).await?;
    Ok(signal_name)
}

fn internal(error: &io::Error) -> Failure {
    Failure {
        code: Code::Internal,
        what: error.to_string(),
    }
}
