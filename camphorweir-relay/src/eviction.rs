//! Which connections of callers are closed for new ones when there is room for no more.

use std::{cmp::Reverse, collections::HashMap, net::IpAddr, time::Duration};

/// A connection without a whole request is not closed for others before this age: its caller is about to send one.
const MIN_UNUSED_AGE: Duration = Duration::from_millis(25);
/// The same of a connection that has brought requests, since its last answer.
const MIN_IDLE_AGE: Duration = Duration::from_secs(1);

/// A connection with no request in hand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Connection {
    /// Identifies it.
    pub key: u64,
    /// Address of the caller.
    pub address: IpAddr,
    /// Whether no whole request has come on it yet, or only a part of the next.
    pub is_unused: bool,
    /// Time since its opening or last answer.
    pub age: Duration,
}

/// Chooses up to `count` connections to close, the first first: those without a whole request before those that
/// wait for the next one, then those of the address with most connections, then the oldest.
///
/// `n log n` in the connections.
pub fn eviction_choose(connections: &[Connection], count: usize) -> Vec<u64> {
    let mut by_address: HashMap<IpAddr, usize> = HashMap::new();
    for connection in connections {
        *by_address.entry(connection.address).or_default() += 1;
    }
    let may_close = connections.iter().filter(|connection| {
        let min_age = match connection.is_unused {
            true => MIN_UNUSED_AGE,
            false => MIN_IDLE_AGE,
        };
        connection.age >= min_age
    });
    let ranked = may_close.map(|connection| {
        let at_address = by_address.get(&connection.address).copied();
        let rank = (connection.is_unused, at_address, connection.age);
        (Reverse(rank), connection.key)
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_unstable();
    let chosen = ranked.into_iter().take(count);
    chosen.map(|(_, key)| key).collect()
}
