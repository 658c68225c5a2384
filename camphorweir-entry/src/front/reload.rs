//! Settings that change while the entry runs: told by a signal, or found by looking.

use {
    crate::front::state::State,
    camphorweir_relay::terms::Settings,
    std::{fmt, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// Pause between looks for a change that nobody told of; the file is small.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// Where settings come from; cheap to clone.
#[derive(Clone)]
pub struct Origin {
    load: Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>,
    told: Arc<Notify>,
}

impl fmt::Debug for Origin {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Origin")
    }
}

impl Origin {
    /// Settings that `load` reads anew.
    pub fn new(load: impl Fn() -> Result<Settings, String> + Send + Sync + 'static) -> Self {
        Self {
            load: Arc::new(load),
            told: Arc::default(),
        }
    }

    /// Reads them now.
    ///
    /// # Errors
    ///
    /// Why they can't be used, for operators.
    pub fn load(&self) -> Result<Settings, String> {
        (self.load)()
    }

    /// Says that they may have changed.
    pub fn tell(&self) {
        self.told.notify_one();
    }
}

/// Follows the settings for ever. The bounds are in force at once; names and addresses hold for the
/// life of a process. Settings that can't be used change nothing.
pub async fn reload_run(state: State, origin: Origin) {
    let mut known = Ok(state.settings().clone());
    loop {
        let told = timeout(LOOK_PAUSE, origin.told.notified()).await.is_ok();
        let found = origin.load();
        if found == known {
            if told {
                log::info!("settings read again; nothing has changed");
            }
            continue;
        }
        match &found {
            Ok(settings) => take(&state, settings),
            Err(reason) => {
                log::error!(reason = reason; "new settings can't be used; the old ones hold");
            }
        }
        known = found;
    }
}

fn take(state: &State, settings: &Settings) {
    state.router().bound(settings.bounds);
    let whole = Settings {
        bounds: settings.bounds,
        ..state.settings().clone()
    };
    log::info!(
        grace_ms = settings.bounds.grace.as_millis(),
        revoke_ms = settings.bounds.revoke.as_millis(),
        at_next_start = whole != *settings;
        "settings in force"
    );
}
