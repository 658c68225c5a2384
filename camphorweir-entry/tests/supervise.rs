//! Children that fail are restarted, and one that keeps failing ends the process with a code.

use {
    camphorweir_entry::{
        supervise::{Backoff, Supervisor},
        telemetry::Metrics,
    },
    camphorweir_wire::code::Code,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{sync::mpsc, time::timeout},
};

/// Longest time without a child that the process can serve without, and what the timer rounds up.
const MAX_ABSENCE: Duration = Duration::from_millis(5_010);

#[tokio::test(start_paused = true)]
async fn a_child_that_panics_is_restarted() {
    let (supervisor, mut fatal) = Supervisor::new();
    let starts = Arc::new(AtomicUsize::new(0));
    let (count, (done_sender, mut done_receiver)) = (starts.clone(), tokio::sync::mpsc::channel(1));
    supervisor.spawn("test", move || {
        let (run, done_sender) = (count.fetch_add(1, Ordering::SeqCst), done_sender.clone());
        async move {
            assert_eq!(run, 2, "this run fails");
            done_sender.send(()).await.unwrap();
        }
    });
    done_receiver.recv().await.unwrap();
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    assert!(fatal.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_child_that_keeps_failing_is_fatal() {
    let (supervisor, mut fatal) = Supervisor::new();
    supervisor.spawn("test", || async { panic!("again") });
    assert_eq!(fatal.recv().await, Some(Code::Internal));
}

#[tokio::test(start_paused = true)]
async fn the_first_failure_of_a_child_without_restarts_is_fatal() {
    let (supervisor, mut fatal) = Supervisor::new();
    supervisor.spawn_once("test", async { panic!("once") });
    assert_eq!(fatal.recv().await, Some(Code::Internal));
}

#[tokio::test(start_paused = true)]
async fn an_optional_child_that_keeps_failing_is_restarted_for_good_and_counted() {
    let metrics = Metrics::new().unwrap();
    let (supervisor, mut fatal) = Supervisor::new();
    let supervisor = supervisor.with_counter(metrics.task_failures());
    let (run_sender, mut runs) = mpsc::channel(1);
    let starts = AtomicUsize::new(0);
    supervisor.spawn_optional("test", move || {
        let (run, run_sender) = (starts.fetch_add(1, Ordering::SeqCst), run_sender.clone());
        async move {
            run_sender.send(()).await.unwrap();
            assert_eq!(run, 100, "this run fails");
            std::future::pending().await
        }
    });
    for _ in 0..=100 {
        timeout(MAX_ABSENCE, runs.recv()).await.unwrap().unwrap();
    }
    assert!(fatal.try_recv().is_err());
    let text = metrics.render(None);
    let counted = text
        .lines()
        .find(|line| line.starts_with("camphorweir_task_failures_total{"));
    let counted = counted.unwrap();
    assert!(counted.contains("task=\"test\""), "{counted}");
    assert!(counted.ends_with(" 100"), "{counted}");
}

#[tokio::test(start_paused = true)]
async fn a_child_that_ends_the_process_is_named() {
    let (supervisor, mut fatal) = Supervisor::new();
    supervisor.spawn("listener", || async { panic!("again") });
    let stop = std::future::pending();
    let failure = supervisor.wait_for(&mut fatal, stop).await.unwrap_err();
    assert_eq!(failure.code, Code::Internal);
    assert!(failure.what.contains("`listener`"), "{failure}");
}

#[test]
fn backoff_doubles_to_its_limit_and_resets() {
    let (first, limit) = (Duration::from_millis(10), Duration::from_millis(35));
    let mut backoff = Backoff::new(first, limit);
    for step in [10, 20, 35, 35] {
        let step = Duration::from_millis(step);
        let delay = backoff.next_delay();
        assert!(delay >= step / 2 && delay <= step, "{delay:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= first);
}
