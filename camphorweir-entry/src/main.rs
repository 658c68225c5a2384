//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::{Args, Bpaf},
    camphorweir_entry::{
        exit::{End, Status, exit_block_on, exit_run, exit_usage, print, print_error},
        front::{reload::SettingsSource, run::run as run_front},
        process::{self, Failure},
        rate_limited_log,
        settings::{self, Settings},
        startup::{Obstacle, SETTINGS_WAIT, Wait},
        telemetry,
        yaml::Fault,
    },
    camphorweir_platform::settings::settings_load,
    camphorweir_wire::code::Code,
    std::{
        fmt::{self, Display},
        future::ready,
        io,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::Arc,
    },
    tokio::{
        runtime::Builder,
        signal::unix::{Signal, SignalKind, signal},
        sync::Notify,
    },
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
    match options().run_inner(Args::current_args()) {
        Ok(options) => exit_run(|| start(options)),
        Err(failure) => exit_usage(failure),
    }
}

fn start(options: Options) -> End {
    if options.check_settings && !options.platform {
        return check_settings(&options.settings);
    }
    // A machine of the users' platform has one core.
    let runtime = match options.platform {
        true => Builder::new_current_thread().enable_all().build(),
        false => Builder::new_multi_thread().enable_all().build(),
    };
    match runtime {
        Ok(runtime) => exit_block_on(runtime, run(options)),
        Err(error) => failed(&error),
    }
}

/// Runs an entry. Signals are handled before anything else, so that none ends the process by itself.
async fn run(options: Options) -> End {
    let signals = stop_signal().and_then(|stop| Ok((stop, signal(SignalKind::hangup())?)));
    if options.platform {
        rate_limited_log::start(log::LevelFilter::Info);
    }
    let (stop, hangup_signals) = match signals {
        Ok(signals) => signals,
        Err(error) => return failed(&error),
    };
    match options.platform {
        true => run_platform(options.metrics, hangup_signals, stop).await,
        false => run_library(&options.settings, hangup_signals, stop).await,
    }
}

fn failed(error: &io::Error) -> End {
    End::Failed(Failure {
        code: Code::Internal,
        what: error.to_string(),
    })
}

/// Runs an entry on the users' platform.
async fn run_platform(
    metrics: Option<u16>,
    hangup_signals: Signal,
    stop: impl Future<Output = &'static str>,
) -> End {
    let settings_source =
        SettingsSource::new(|| settings_load().map_err(|error| error.to_string()));
    let reloads = settings_source.clone();
    tokio::spawn(on_hangup(hangup_signals, move || reloads.request_reload()));
    tokio::pin!(stop);
    let wait = Wait::new(SETTINGS_WAIT, settings_source.reload_requested());
    let load = || {
        let loaded = settings_load();
        ready(loaded.map_err(|error| Obstacle {
            passes: error.passes(),
            reason: error,
        }))
    };
    let settings = tokio::select! {
        biased;
        signal_name = &mut stop => {
            log::info!("stopped before the start was complete");
            return End::Stopped(signal_name);
        }
        settings = wait.attempt("settings file", load) => settings,
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return End::BadSettings(error.to_string()),
    };
    let mut signal_name = "";
    let stop = async { signal_name = stop.await };
    let ended = run_front(settings, settings_source, metrics, stop).await;
    ended.map(|()| signal_name).into()
}

/// Runs an entry with the settings file of operators.
async fn run_library(
    path: &Path,
    hangup_signals: Signal,
    stop: impl Future<Output = &'static str>,
) -> End {
    let retry_now = Arc::new(Notify::new());
    let notified = retry_now.clone();
    tokio::spawn(on_hangup(hangup_signals, move || notified.notify_one()));
    tokio::pin!(stop);
    let started = async {
        let settings = load_settings(path, &retry_now).await?;
        telemetry::start_logs(settings.logs);
        let entry = process::start_with(settings, &retry_now).await;
        entry.map_err(End::Failed)
    };
    let entry = tokio::select! {
        biased;
        signal_name = &mut stop => return End::Stopped(signal_name),
        entry = started => entry,
    };
    let entry = match entry {
        Ok(entry) => entry,
        Err(end) => return end,
    };
    let mut signal_name = "";
    let ended = entry.run(async { signal_name = stop.await }).await;
    ended.map(|()| signal_name).into()
}

/// Loads the settings file, and waits for one that is missing or empty. The file says how to log, so what
/// there is to say before it is read goes to standard error as it is.
async fn load_settings(path: &Path, retry_now: &Notify) -> Result<Settings, End> {
    let mut is_told = false;
    let load = || {
        let loaded = settings::load_at_start(path);
        ready(loaded.map_err(|Obstacle { reason, passes }| {
            let reason = Faults(path, reason);
            if passes && !is_told {
                is_told = true;
                let file = path.display();
                print_error(&format!(
                    "{reason}\n{file}: waiting up to {SETTINGS_WAIT:?}"
                ));
            }
            Obstacle { reason, passes }
        }))
    };
    let settings = Wait::new(SETTINGS_WAIT, retry_now).attempt("settings file", load);
    let settings = settings.await;
    settings.map_err(|faults| End::BadSettings(faults.to_string()))
}

/// Reports every fault of the settings file.
fn check_settings(path: &Path) -> End {
    match settings::load(path) {
        Ok(_) => {
            print(&format!("{}: settings are valid", path.display()));
            End::Shown(Status::Success)
        }
        Err(faults) => {
            print_error(&Faults(path, faults).to_string());
            End::Shown(Status::BadSettings)
        }
    }
}

/// The faults of a settings file, one a line.
struct Faults<'a>(&'a Path, Vec<Fault>);

impl Display for Faults<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(path, faults) = self;
        for (index, fault) in faults.iter().enumerate() {
            let line_break = if index > 0 { "\n" } else { "" };
            write!(formatter, "{line_break}{}:{fault}", path.display())?;
        }
        Ok(())
    }
}

/// Calls `react` at each SIGHUP.
async fn on_hangup(mut hangup_signals: Signal, react: impl Fn()) {
    while hangup_signals.recv().await.is_some() {
        react();
    }
}

/// Completes at SIGTERM or SIGINT with the signal's name; the handlers stay installed, so further signals
/// don't cut the shutdown short.
fn stop_signal() -> io::Result<impl Future<Output = &'static str>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        }
    })
}
