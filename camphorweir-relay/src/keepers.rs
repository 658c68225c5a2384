//! Which instances are told of the targets that ended under a content or a part of prompts.
//!
//! Two instances of each zone keep account of a fingerprint. Who sees a crash or a success tells all of
//! them, and they tell their zone what all have to know; so no instance tells more than its zone, and
//! zones that are cut off from each other keep accounts of their own.

use {
    crate::ids::{Fingerprint, Zone, ids_tag},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
};

/// Number of keepers in each zone: one, and one more in case it is down.
const KEEPERS: usize = 2;
/// Odd multiplier that mixes the bits of the numbers by which keepers are chosen.
const RANK_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The keepers of a fingerprint among the instances of a zone, by rendezvous hashing: instances that know
/// the same others choose the same.
///
/// Linear in the instances.
pub fn keepers_choose(fingerprint: Fingerprint, instances: &BTreeSet<String>) -> Vec<&String> {
    let rank = |name: &&String| {
        let mix = |number: u64| (number ^ (number >> 32)).wrapping_mul(RANK_FACTOR);
        Reverse(mix(mix(u64::from(ids_tag(name)) ^ mix(fingerprint))))
    };
    let mut ranked: Vec<&String> = instances.iter().collect();
    ranked.sort_by_cached_key(rank);
    ranked.truncate(KEEPERS);
    ranked
}

/// What an instance knows that others may not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Scope {
    /// Whether it saw this itself, and was not told.
    pub is_own: bool,
    /// Whether all instances have to know it.
    pub is_shared: bool,
}

/// The instances that `own`, in `own_zone`, tells about a fingerprint; `zones` has all instances that it
/// knows, itself included.
pub fn keepers_recipients<'a>(
    fingerprint: Fingerprint,
    scope: Scope,
    own: &str,
    own_zone: &Zone,
    zones: &'a BTreeMap<Zone, BTreeSet<String>>,
) -> BTreeSet<&'a String> {
    let mut recipients = BTreeSet::new();
    let is_keeper = zones.get(own_zone).is_some_and(|instances| {
        let keepers = keepers_choose(fingerprint, instances);
        keepers.into_iter().any(|keeper| keeper == own)
    });
    if scope.is_own {
        let keepers = zones.values();
        recipients.extend(keepers.flat_map(|instances| keepers_choose(fingerprint, instances)));
    }
    if scope.is_shared && is_keeper {
        recipients.extend(zones.get(own_zone).into_iter().flatten());
    }
    recipients.retain(|name| *name != own);
    recipients
}
