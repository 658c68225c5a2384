//! Order of the waiting requests.

use {
    camphorweir_config::model::Priority::{self, Bulk, Normal, Urgent},
    camphorweir_policy::queue::{CLASS_CAPACITY, Queue},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(1);

fn push(queue: &mut Queue, class: Priority, id: u64, workspace: &str, work: u64) -> bool {
    let workspace = workspace.to_owned();
    queue.push("m", class, id, &workspace, work, NOW).is_ok()
}

/// Starts up to so many requests.
fn drain(queue: &mut Queue, count: usize) -> Vec<u64> {
    let lane = queue.lane("m");
    let mut out = Vec::new();
    while let Some(class) = lane.next_class().filter(|_| out.len() < count) {
        out.extend(lane.pop(class));
        lane.started(class, NOW);
    }
    out
}

#[test]
fn the_first_class_goes_first_and_the_last_is_not_starved() {
    let mut queue = Queue::default();
    for id in 0..100 {
        assert!(push(&mut queue, Bulk, 1000 + id, "b", 1));
        assert!(push(&mut queue, Urgent, id, "u", 1));
    }
    let first = drain(&mut queue, 40);
    let bulk = first.iter().filter(|id| **id >= 1000).count();
    assert_eq!(bulk, 2, "one start in twenty: {first:?}");
}

#[test]
fn workspaces_share_a_class_by_work() {
    // Requests each sends, work of each of them, and how many of the first 20 are the first's.
    let cases = [
        ((50, 10), (50, 10), 10),
        ((50, 10), (50, 30), 15),
        ((50, 10), (2, 10), 18),
    ];
    for ((ones, one), (twos, two), want) in cases {
        let mut queue = Queue::default();
        for id in 0..ones {
            assert!(push(&mut queue, Normal, id, "one", one));
        }
        for id in 0..twos {
            assert!(push(&mut queue, Normal, 1000 + id, "two", two));
        }
        let first = drain(&mut queue, 20);
        let got = first.iter().filter(|id| **id < 1000).count();
        assert!(got.abs_diff(want) <= 1, "{one} against {two}: {first:?}");
    }
}

#[test]
fn a_class_is_bounded_and_gives_back_what_it_took() {
    let mut queue = Queue::default();
    for id in 0..CLASS_CAPACITY as u64 {
        assert!(push(&mut queue, Normal, id, "w", 1));
    }
    assert!(!push(&mut queue, Normal, 9999, "w", 1));
    queue.remove("m", Normal, 0);
    assert!(push(&mut queue, Normal, 9999, "w", 1));
    assert_eq!(drain(&mut queue, CLASS_CAPACITY + 1).len(), CLASS_CAPACITY);
    assert!(queue.is_empty());
}

#[test]
fn a_lane_sleeps_until_something_changes() {
    let mut queue = Queue::default();
    assert!(push(&mut queue, Normal, 1, "w", 1));
    assert_eq!(queue.take_awake(), ["m"]);
    assert!(queue.take_awake().is_empty());
    queue.wake("m");
    assert_eq!(queue.take_awake(), ["m"]);
}
