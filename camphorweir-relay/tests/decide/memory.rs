//! What clients may make an instance hold, and who yields.

use {
    camphorweir_relay::memory::{
        Arrivals, Class, SMALL_BYTES, Sender, memory_limit, memory_retry_after, memory_room,
    },
    std::time::Duration,
};

const MIB: usize = 1 << 20;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn sender(last: u8) -> Sender {
    Sender {
        address: [10, 0, 0, last].into(),
        workspace: None,
    }
}

#[test]
fn the_smallest_machine_has_room_for_the_largest_body_and_small_ones_beside() {
    for (machine, targets) in [(64, 1), (112, 41), (160, 3_000), (260, 3_000)] {
        let limit = memory_limit(machine * MIB, targets);
        assert!(limit < machine * MIB * 7 / 8, "{machine}");
        assert!(memory_room(limit, 0, Class::Large) > 4 * MIB, "{machine}");
        let booked = memory_room(limit, 0, Class::Large);
        assert_eq!(memory_room(limit, booked, Class::Large), 0);
        assert!(memory_room(limit, booked, Class::Small) > 16 * SMALL_BYTES);
    }
    assert_eq!(
        memory_room(usize::MAX, usize::MAX / 2, Class::Large) >> 62,
        1
    );
}

#[test]
fn bodies_without_progress_yield_first() {
    let mut arrivals = Arrivals::default();
    let quick = arrivals.begin(sender(1), 4 * MIB, ms(0));
    let silent = arrivals.begin(sender(1), MIB, ms(0));
    let trickling = arrivals.begin(sender(1), 2 * MIB, ms(0));
    assert!(arrivals.choose(&sender(1), None, MIB, ms(900)).is_empty());
    for at in (0..2_000).step_by(100) {
        arrivals.record(quick, SMALL_BYTES, ms(at));
        arrivals.record(trickling, 1, ms(at));
    }
    let chosen = arrivals.choose(&sender(1), None, 3 * MIB, ms(2_000));
    assert_eq!(chosen, [trickling, silent]);
    // Those that yield already free nothing more.
    assert!(arrivals.choose(&sender(1), None, 1, ms(2_000)).is_empty());
    arrivals.end(trickling);
    arrivals.end(silent);
    assert_eq!(arrivals.largest_sender(), Some((&sender(1), 4 * MIB)));
}

#[test]
fn nobody_yields_where_that_would_not_be_enough() {
    let mut arrivals = Arrivals::default();
    arrivals.begin(sender(1), MIB, ms(0));
    assert!(
        arrivals
            .choose(&sender(1), None, 2 * MIB, ms(5_000))
            .is_empty()
    );
    assert_eq!(arrivals.choose(&sender(1), None, MIB, ms(5_000)).len(), 1);
}

#[test]
fn who_holds_much_yields_to_who_holds_little_and_not_the_other_way_round() {
    let mut arrivals = Arrivals::default();
    let large = [0; 4].map(|_| arrivals.begin(sender(1), 4 * MIB, ms(0)));
    let own = arrivals.begin(sender(2), MIB, ms(0));
    let chosen = arrivals.choose(&sender(2), Some(own), 4 * MIB, ms(10));
    assert_eq!(chosen.len(), 1);
    assert!(large.contains(&chosen[0]));
    assert!(arrivals.choose(&sender(1), None, MIB, ms(10)).is_empty());
    // It grew to what the other holds.
    arrivals.grow(own, 11 * MIB);
    assert!(
        arrivals
            .choose(&sender(2), Some(own), MIB, ms(10))
            .is_empty()
    );
}

#[test]
fn refused_callers_return_after_those_without_progress_have_yielded_and_not_all_at_once() {
    assert_eq!(memory_retry_after(0.0), ms(1_000));
    assert_eq!(memory_retry_after(0.5), ms(1_500));
}
