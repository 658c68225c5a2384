//! Access control: route, API key, and the age of the configuration that lists the keys.

use {
    crate::{
        configuration::{Configuration, Owner, Route},
        head::Head,
        ids::Time,
    },
    camphorweir_wire::{code::Code, outcome::Refusal},
    std::{sync::Arc, time::Duration},
};

/// Subtracted from the revocation bound, as a request takes time from this check to its target.
const KEY_AGE_MARGIN: Duration = Duration::from_millis(500);
/// Retry-After while keys can't be trusted: about one attempt to reach the store.
const STALE_KEYS_RETRY_AFTER: Duration = Duration::from_millis(700);
/// Retry-After before a configuration has been read: about the time of one read.
const NO_CONFIGURATION_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A configuration, and the time at which it was last confirmed as the newest.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// Start of the last read that found nothing newer.
    pub confirmed_at: Time,
}

/// Route and key owner of a request that passed the checks.
#[derive(Clone, Debug)]
pub struct Permit {
    /// Route of the request.
    pub route: Arc<Route>,
    /// Owner of the API key; `None` where no key is needed.
    pub owner: Option<Arc<Owner>>,
}

/// Whether the keys of a configuration are recent enough for a revoked one to be refused within
/// `bound`.
pub fn access_keys_trusted(snapshot: &Snapshot, now: Time, bound: Duration) -> bool {
    now.saturating_sub(snapshot.confirmed_at) + KEY_AGE_MARGIN < bound
}

/// Finds the route of a request and checks its API key.
///
/// # Errors
///
/// The refusal, which always says that the request did not run.
pub fn access_check(
    snapshot: Option<&Snapshot>,
    head: &Head,
    now: Time,
    bound: Duration,
) -> Result<Permit, Refusal> {
    let Some(snapshot) = snapshot else {
        return Err(Refusal::not_run(Code::NoConfiguration, "")
            .with_retry_after(NO_CONFIGURATION_RETRY_AFTER));
    };
    let configuration = &snapshot.configuration;
    let Some(route) = configuration.find_route(&head.host, &head.path) else {
        return Err(Refusal::not_run(Code::NoSuchPath, ""));
    };
    let route = route.clone();
    let Some(keys) = configuration.keys_for(&route) else {
        return Ok(Permit { route, owner: None });
    };
    // An unknown key may be newer than this configuration, so the age is checked first.
    if !access_keys_trusted(snapshot, now, bound) {
        return Err(Refusal::not_run(Code::KeysStale, "").with_retry_after(STALE_KEYS_RETRY_AFTER));
    }
    let owner = head.key.as_ref().and_then(|key| keys.get(key));
    match owner {
        Some(owner) => Ok(Permit {
            route,
            owner: Some(owner.clone()),
        }),
        None => Err(Refusal::not_run(Code::Unauthorized, "")),
    }
}
