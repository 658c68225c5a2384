//! Which connections are closed for new ones.

use {
    camphorweir_relay::eviction::{Connection, eviction_choose},
    std::time::Duration,
};

#[test]
fn connections_that_brought_nothing_are_closed_first_and_new_ones_not_at_all() {
    let connection = |key, last, is_unused, age| Connection {
        key,
        address: [10, 0, 0, last].into(),
        is_unused,
        age: Duration::from_millis(age),
    };
    let connections = [
        connection(1, 1, false, 9_000),
        connection(2, 1, true, 10),
        connection(3, 1, true, 300),
        connection(4, 2, true, 4_000),
        connection(5, 1, true, 400),
        connection(6, 1, false, 900),
    ];
    assert_eq!(eviction_choose(&connections, 9), [5, 3, 4, 1]);
    assert_eq!(eviction_choose(&connections, 2), [5, 3]);
}
