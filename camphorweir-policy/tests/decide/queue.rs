//! The order in which waiting requests start.

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

/// Starts up to `count` requests and returns their ids.
fn drain(queue: &mut Queue, count: usize) -> Vec<u64> {
    let lane = queue.lane("m");
    let mut started = Vec::new();
    while let Some(class) = lane.next_class().filter(|_| started.len() < count) {
        started.extend(lane.pop(class));
        lane.started(class, NOW);
    }
    started
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
    assert_eq!(bulk, 2, "one bulk start in twenty: {first:?}");
}

#[test]
fn workspaces_share_a_class_by_work() {
    // For each of two workspaces the number of requests and the work of each; then how many of the
    // first 20 starts belong to the first workspace.
    let cases = [
        ((50, 10), (50, 10), 10),
        ((50, 10), (50, 30), 15),
        ((50, 10), (2, 10), 18),
    ];
    for ((count_a, work_a), (count_b, work_b), expected) in cases {
        let mut queue = Queue::default();
        for id in 0..count_a {
            assert!(push(&mut queue, Normal, id, "one", work_a));
        }
        for id in 0..count_b {
            assert!(push(&mut queue, Normal, 1000 + id, "two", work_b));
        }
        let first = drain(&mut queue, 20);
        let actual = first.iter().filter(|id| **id < 1000).count();
        assert!(
            actual.abs_diff(expected) <= 1,
            "work {work_a} against {work_b}: {first:?}"
        );
    }
}

#[test]
fn a_class_is_bounded_and_returns_every_request() {
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
fn a_lane_is_tried_again_only_after_a_change() {
    let mut queue = Queue::default();
    assert!(push(&mut queue, Normal, 1, "w", 1));
    assert_eq!(queue.take_awake(), ["m"]);
    assert!(queue.take_awake().is_empty());
    queue.wake("m");
    assert_eq!(queue.take_awake(), ["m"]);
}
