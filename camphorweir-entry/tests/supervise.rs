//! Children are kept up, and one that can't be kept up ends the process with a code.

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
async fn a_child_that_panics_is_started_again() {
    let (supervisor, mut fatal) = Supervisor::new();
    let lives = Arc::new(AtomicUsize::new(0));
    let (count, (done, mut over)) = (lives.clone(), tokio::sync::mpsc::channel(1));
    supervisor.spawn("test", move || {
        let (life, done) = (count.fetch_add(1, Ordering::SeqCst), done.clone());
        async move {
            assert_eq!(life, 2, "this life fails");
            done.send(()).await.unwrap();
        }
    });
    over.recv().await.unwrap();
    assert_eq!(lives.load(Ordering::SeqCst), 3);
    assert!(fatal.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_child_that_keeps_failing_is_fatal() {
    let (supervisor, mut fatal) = Supervisor::new();
    supervisor.spawn("test", || async { panic!("again") });
    assert_eq!(fatal.recv().await, Some(Code::Internal));
}

#[tokio::test(start_paused = true)]
async fn the_first_failure_of_an_only_child_is_fatal() {
    let (supervisor, mut fatal) = Supervisor::new();
    supervisor.spawn_once("test", async { panic!("once") });
    assert_eq!(fatal.recv().await, Some(Code::Internal));
}

#[test]
fn pauses_grow_to_their_bound_and_start_over() {
    let (first, longest) = (Duration::from_millis(10), Duration::from_millis(35));
    let mut backoff = Backoff::new(first, longest);
    for step in [10, 20, 35, 35] {
        let step = Duration::from_millis(step);
        let pause = backoff.next_delay();
        assert!(pause >= step / 2 && pause <= step, "{pause:?}");
    }
    backoff.reset();
    assert!(backoff.next_delay() <= first);
}
