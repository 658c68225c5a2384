//! Children that fail are restarted, and one that keeps failing ends the process with a code.

use {
    camphorweir_entry::supervise::{Backoff, Supervisor},
    camphorweir_wire::code::Code,
    std::{
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

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
