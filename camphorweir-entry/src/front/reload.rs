//! Reloads the settings file while the instance runs, on a signal or when polling finds a change.

use {
    crate::front::state::State,
    camphorweir_relay::settings::Settings,
    std::{fmt, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// Pause between polls for a change that was not signalled; the file is small.
const POLL_PAUSE: Duration = Duration::from_secs(2);

/// Loads the settings; cheap to clone.
#[derive(Clone)]
pub struct SettingsSource {
    load: Arc<dyn Fn() -> Result<Settings, String> + Send + Sync>,
    reload_requested: Arc<Notify>,
}

impl fmt::Debug for SettingsSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SettingsSource")
    }
}

impl SettingsSource {
    /// A source that calls `load` for every read of the settings.
    pub fn new(load: impl Fn() -> Result<Settings, String> + Send + Sync + 'static) -> Self {
        Self {
            load: Arc::new(load),
            reload_requested: Arc::default(),
        }
    }

    /// Reads the settings now.
    ///
    /// # Errors
    ///
    /// Why the settings can't be used, for operators.
    pub fn load(&self) -> Result<Settings, String> {
        (self.load)()
    }

    /// Requests a reload.
    pub fn request_reload(&self) {
        self.reload_requested.notify_one();
    }

    /// Notified at each request for a reload; a start that waits tries again then.
    pub fn reload_requested(&self) -> &Notify {
        &self.reload_requested
    }
}

/// Applies changed settings; never returns. New bounds take effect at once, names and addresses
/// only at the next start. Invalid settings change nothing.
pub async fn reload_run(state: State, settings_source: SettingsSource) {
    let mut current = Ok(state.settings().clone());
    loop {
        let signalled = timeout(POLL_PAUSE, settings_source.reload_requested.notified())
            .await
            .is_ok();
        let loaded = settings_source.load();
        if loaded == current {
            if signalled {
                log::info!("settings reloaded; nothing has changed");
            }
            continue;
        }
        match &loaded {
            Ok(settings) => apply(&state, settings),
            Err(reason) => {
                log::error!(
                    reason = reason;
                    "new settings are invalid; the previous ones stay in force"
                );
            }
        }
        current = loaded;
    }
}

fn apply(state: &State, settings: &Settings) {
    state.router().set_bounds(settings.bounds);
    let applied = Settings {
        bounds: settings.bounds,
        ..state.settings().clone()
    };
    log::info!(
        grace_ms = settings.bounds.stop_grace.as_millis(),
        revoke_ms = settings.bounds.key_revocation.as_millis(),
        at_next_start = applied != *settings;
        "new settings applied"
    );
}
