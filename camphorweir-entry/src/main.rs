//! The entry process: `camphorweir-entry --settings FILE`.
#![forbid(unsafe_code)]

use {
    bpaf::Bpaf,
    camphorweir_entry::{
        front::{reload::SettingsSource, run::run as run_front},
        process, rate_limited_log,
        settings::{self, Settings},
        startup::{Failed, SETTINGS_WAIT, Wait},
        telemetry,
        yaml::Fault,
    },
    camphorweir_platform::settings::settings_load,
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
    if options.check_settings && !options.platform {
        return check_settings(&options.settings);
    }
    // A machine of the users' platform has one core.
    let runtime = match options.platform {
        true => Builder::new_current_thread().enable_all().build(),
        false => Builder::new_multi_thread().enable_all().build(),
    };
    match runtime {
        Ok(runtime) => runtime.block_on(run(options)),
        Err(error) => failed(&error),
    }
}

/// Runs an entry. Signals are handled before anything else, so that none ends the process by itself.
async fn run(options: Options) -> ExitCode {
    let signals = stop_signal().and_then(|stop| Ok((stop, signal(SignalKind::hangup())?)));
    let (stop, hangup_signals) = match signals {
        Ok(signals) => signals,
        Err(error) => return failed(&error),
    };
    match options.platform {
        true => run_platform(options.metrics, hangup_signals, stop).await,
        false => run_library(&options.settings, hangup_signals, stop).await,
    }
}

fn failed(error: &dyn Display) -> ExitCode {
    eprintln!("camphorweir-entry: {error}");
    ExitCode::from(EXIT_FAILED)
}

/// Runs an entry on the users' platform.
async fn run_platform(
    metrics: Option<u16>,
    hangup_signals: Signal,
    stop: impl Future<Output = ()>,
) -> ExitCode {
    rate_limited_log::start(log::LevelFilter::Info);
    let settings_source =
        SettingsSource::new(|| settings_load().map_err(|error| error.to_string()));
    let reloads = settings_source.clone();
    tokio::spawn(on_hangup(hangup_signals, move || reloads.request_reload()));
    tokio::pin!(stop);
    let wait = Wait::new(SETTINGS_WAIT, settings_source.reload_requested());
    let load = || {
        let loaded = settings_load();
        ready(loaded.map_err(|error| Failed {
            passes: error.passes(),
            reason: error,
        }))
    };
    let settings = tokio::select! {
        biased;
        () = &mut stop => {
            log::info!("stopped before the start was complete");
            log::logger().flush();
            return ExitCode::SUCCESS;
        }
        settings = wait.attempt("settings file", load) => settings,
    };
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => {
            log::logger().flush();
            eprintln!("camphorweir-entry: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run_front(settings, settings_source, metrics, stop).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::logger().flush();
            failed(&error)
        }
    }
}

/// Runs an entry with the settings file of operators.
async fn run_library(
    path: &Path,
    hangup_signals: Signal,
    stop: impl Future<Output = ()>,
) -> ExitCode {
    let retry_now = Arc::new(Notify::new());
    let notified = retry_now.clone();
    tokio::spawn(on_hangup(hangup_signals, move || notified.notify_one()));
    tokio::pin!(stop);
    let started = async {
        let settings = load_settings(path, &retry_now).await?;
        telemetry::start_logs(settings.logs);
        let entry = process::start_with(settings, &retry_now).await;
        entry.map_err(|failure| failed(&failure))
    };
    let entry = tokio::select! {
        biased;
        () = &mut stop => return ExitCode::SUCCESS,
        entry = started => entry,
    };
    match entry {
        Ok(entry) => match entry.run(stop).await {
            Ok(()) => ExitCode::SUCCESS,
            Err(failure) => failed(&failure),
        },
        Err(code) => code,
    }
}

/// Loads the settings file, and waits for one that is missing or empty. The file says how to log, so what
/// there is to say before it is read goes to standard error as it is.
async fn load_settings(path: &Path, retry_now: &Notify) -> Result<Settings, ExitCode> {
    let mut is_told = false;
    let load = || {
        let loaded = settings::load_at_start(path);
        ready(loaded.map_err(|Failed { reason, passes }| {
            let reason = Faults(path, reason);
            if passes && !is_told {
                is_told = true;
                eprint!("{reason}");
                eprintln!("{}: waiting up to {SETTINGS_WAIT:?}", path.display());
            }
            Failed { reason, passes }
        }))
    };
    let settings = Wait::new(SETTINGS_WAIT, retry_now).attempt("settings file", load);
    settings.await.map_err(|faults| {
        eprint!("{faults}");
        ExitCode::from(EXIT_BAD_SETTINGS)
    })
}

/// Reports every fault of the settings file.
fn check_settings(path: &Path) -> ExitCode {
    match settings::load(path) {
        Ok(_) => {
            println!("{}: settings are valid", path.display());
            ExitCode::SUCCESS
        }
        Err(faults) => {
            eprint!("{}", Faults(path, faults));
            ExitCode::from(EXIT_BAD_SETTINGS)
        }
    }
}

/// The faults of a settings file, one a line.
struct Faults<'a>(&'a Path, Vec<Fault>);

impl Display for Faults<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(path, faults) = self;
        let mut faults = faults.iter();
        faults.try_for_each(|fault| writeln!(formatter, "{}:{fault}", path.display()))
    }
}

/// Calls `react` at each SIGHUP.
async fn on_hangup(mut hangup_signals: Signal, react: impl Fn()) {
    while hangup_signals.recv().await.is_some() {
        react();
    }
}

/// Completes at SIGTERM or SIGINT; the handlers stay installed, so further signals don't cut the
/// shutdown short.
fn stop_signal() -> io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
