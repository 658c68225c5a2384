//! What entries learn from the store and from each other, and what they do without it.

use {
    crate::bench::{Bench, KEYS, call, is_ready, plain, stream, until},
    camphorweir_standin::{
        metadata::Behavior,
        platform_target::{ResponseFault, STREAM_EVENTS, event},
    },
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// A configuration is in force within this time.
const CONFIGURE: Duration = Duration::from_secs(2);
/// Entries that start anew serve within this time.
const RECOVERY: Duration = Duration::from_secs(12);
/// A target that leaves gets nothing more within this time.
const LEFT: Duration = Duration::from_secs(2);
/// A revoked key stops within this time.
const REVOKE: Duration = Duration::from_secs(5);

#[tokio::test]
async fn a_configuration_is_in_force_everywhere_in_time() {
    let bench = Bench::start(3).await;
    bench.configure(7, &KEYS[..1]);
    sleep(CONFIGURE).await;
    for entry in &bench.entries {
        let answer = call(entry.callers, &plain("/seal/b", "a1", KEYS[1])).await;
        assert_eq!(answer.status, 401);
        let answer = call(entry.callers, &plain("/seal/b", "a2", KEYS[0])).await;
        assert_eq!(answer.status, 200);
    }
    assert_eq!(bench.runs("a1"), 0);
    // An older one that is written later changes nothing.
    bench.configure(3, &KEYS);
    sleep(CONFIGURE).await;
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[1])).await;
    assert_eq!(answer.status, 401);
}

#[tokio::test]
async fn a_key_that_was_revoked_while_the_store_is_away_stops_in_time() {
    let bench = Bench::start(2).await;
    for mood in [Behavior::Silent, Behavior::Refusing] {
        bench.store.set_behavior(mood);
        let revoked = Instant::now();
        sleep(Duration::from_millis(300)).await;
        // What was confirmed lately still serves.
        let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
        assert_eq!(answer.status, 200, "{mood:?}");
        tokio::time::sleep_until(revoked + REVOKE).await;
        for entry in &bench.entries {
            let answer = call(entry.callers, &plain("/seal/b", "a2", KEYS[0])).await;
            assert_eq!(answer.status, 503, "{mood:?}");
            assert_eq!(answer.header("camphorweir-ran"), "no");
            assert!(!is_ready(entry).await);
        }
        bench.store.set_behavior(Behavior::Sound);
        for entry in &bench.entries {
            until("ready again", || async {
                is_ready(entry).await.then_some(())
            })
            .await;
        }
    }
    assert_eq!(bench.runs("a2"), 0);
}

#[tokio::test]
async fn changed_settings_are_in_force_without_a_restart_and_bad_ones_change_nothing() {
    let bench = Bench::start(1).await;
    let entry = &bench.entries[0];
    let mut settings = entry.settings.lock().unwrap().clone().unwrap();
    settings.bounds.key_revocation = Duration::from_secs(60);
    *entry.settings.lock().unwrap() = Ok(settings);
    // Longer than the pause between looks.
    sleep(Duration::from_secs(3)).await;
    *entry.settings.lock().unwrap() = Err("not a file of settings".to_owned());
    sleep(Duration::from_secs(3)).await;
    bench.store.set_behavior(Behavior::Refusing);
    sleep(REVOKE + Duration::from_secs(1)).await;
    // The former bound would have shut the key out by now.
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn history_that_is_gone_is_read_anew() {
    let bench = Bench::start(1).await;
    bench.store.set_behavior(Behavior::Refusing);
    bench.configure(9, &KEYS[..1]);
    bench.store.drop_history("keyed.op");
    bench.store.drop_history("keyed.servers");
    bench.store.set_behavior(Behavior::Sound);
    sleep(CONFIGURE).await;
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[1])).await;
    assert_eq!(answer.status, 401);
    let answer = call(bench.front(), &stream("s1")).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn a_target_that_leaves_gets_nothing_more_in_time() {
    let bench = Bench::start(2).await;
    bench.calls[0].drain();
    sleep(Duration::from_secs(2)).await;
    for entry in &bench.entries {
        for index in 0..6 {
            let id = format!("a{index}");
            let answer = call(entry.callers, &plain("/seal/b", &id, KEYS[0])).await;
            assert_eq!((answer.status, bench.calls[0].runs(&id)), (200, 0));
        }
    }
}

#[tokio::test]
async fn a_record_that_can_not_be_read_names_no_target_and_harms_no_other() {
    let bench = Bench::start(1).await;
    for value in [
        "{",
        "{\"service\": 3}",
        "{\"service\": \"ledger\"}",
        "\u{1}",
    ] {
        bench.store.put("keyed.servers", "odd", value.as_bytes());
    }
    sleep(Duration::from_secs(1)).await;
    let answer = call(bench.front(), &plain("/seal/b", "a1", KEYS[0])).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn one_entry_of_a_zone_reads_for_all() {
    let one = Bench::start(1).await;
    let three = Bench::start(3).await;
    sleep(Duration::from_secs(2)).await;
    let calls = async |bench: &Bench| {
        let before = bench.store.request_count();
        sleep(Duration::from_secs(4)).await;
        bench.store.request_count() - before
    };
    let (one, three) = (calls(&one).await, calls(&three).await);
    // Half again as many leaves room for a follower that turned to the store for a moment.
    assert!(
        three * 2 <= one * 3,
        "{one} calls by one entry, {three} by three"
    );
}

#[tokio::test]
async fn one_call_at_a_time_asks_for_a_store_that_is_away() {
    let bench = Bench::start(1).await;
    bench.store.set_behavior(Behavior::Refusing);
    // What was under way ends first.
    sleep(Duration::from_millis(1000)).await;
    let before = bench.store.request_count();
    sleep(Duration::from_secs(6)).await;
    let calls = bench.store.request_count() - before;
    // Pauses grow to between 0.6 and 1.2 s, so one reader asks ten times at most.
    assert!((3..=10).contains(&calls), "{calls} calls in six seconds");
    // All that waited for it goes on once it answers.
    bench.store.set_behavior(Behavior::Sound);
    sleep(CONFIGURE).await;
    bench.parts[0].drain();
    until("the list is read again", || async {
        call(bench.front(), &stream("s1")).await;
        let seen = bench.parts[0].requests().len();
        call(bench.front(), &stream("s2")).await;
        (bench.parts[0].requests().len() == seen).then_some(())
    })
    .await;
}

#[tokio::test]
async fn an_entry_that_the_store_refuses_keeps_up_with_its_zone() {
    keeps_up(Behavior::Refusing).await;
}

#[tokio::test]
async fn an_entry_that_the_store_does_not_answer_keeps_up_with_its_zone() {
    keeps_up(Behavior::Silent).await;
}

/// Turns each entry of three away in its turn, so that the one that reads for the others is among
/// them.
async fn keeps_up(mood: Behavior) {
    for door in 0..3 {
        let bench = Bench::start(3).await;
        // Long enough for each to have settled on whom it follows.
        sleep(Duration::from_secs(1)).await;
        bench.store.set_listener_behavior(door, mood);
        bench.configure(7, &KEYS[..1]);
        sleep(CONFIGURE).await;
        for (index, entry) in bench.entries.iter().enumerate() {
            if index == door {
                // It is out of touch with the store, and need not be as quick.
                continue;
            }
            let answer = call(entry.callers, &plain("/seal/b", "a1", KEYS[1])).await;
            assert_eq!(answer.status, 401, "entry {index}, {mood:?} for {door}");
        }
        until("the configuration from a peer", || async {
            let cut = bench.entries[door].callers;
            let revoked = call(cut, &plain("/seal/b", "a1", KEYS[1])).await;
            (revoked.status == 401).then_some(())
        })
        .await;
        // It goes on serving on what its peers confirm.
        sleep(REVOKE).await;
        let answer = call(
            bench.entries[door].callers,
            &plain("/seal/b", "a2", KEYS[0]),
        )
        .await;
        assert_eq!(answer.status, 200, "{mood:?} for {door}");
    }
}

#[tokio::test]
async fn a_stop_says_so_first_and_cuts_nothing() {
    let mut bench = Bench::start(2).await;
    for part in &bench.parts {
        part.inject(ResponseFault::Slow);
    }
    let mut entry = bench.entries.remove(0);
    let front = entry.callers;
    let slow = tokio::spawn(async move { call(front, &stream("s1")).await });
    until("the run", || async {
        (bench.runs("s1") == 1).then_some(())
    })
    .await;
    entry.stop();
    until("not ready", || async {
        (!is_ready(&entry).await).then_some(())
    })
    .await;
    // Callers that come before the balancer has looked are served, and told to connect anew.
    let answer = call(front, &plain("/look/b", "a2", KEYS[0])).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let slow = slow.await.unwrap();
    assert!(slow.whole, "{slow:?}");
    let all: String = (1..=STREAM_EVENTS).map(event).collect();
    assert_eq!(slow.body, all);
    entry.ended().await.unwrap();
    // The rest of the deployment goes on.
    let answer = call(bench.front(), &plain("/look/b", "a3", KEYS[0])).await;
    assert_eq!(answer.status, 200);
}

#[tokio::test]
async fn entries_that_all_lost_power_serve_again_from_the_store_and_the_targets_alone() {
    let mut bench = Bench::start(3).await;
    let orders = |bench: &Bench| -> usize {
        let parts = bench.parts.iter();
        parts.map(|part| part.fencing_tokens().len()).sum()
    };
    bench.configure(7, &KEYS[..1]);
    sleep(CONFIGURE).await;
    let before = orders(&bench);
    bench.replace_entries().await;
    let begun = Instant::now();
    for entry in &bench.entries {
        until("ready", || async { is_ready(entry).await.then_some(()) }).await;
        until("a stream", || async {
            let answer = call(entry.callers, &stream("s")).await;
            (answer.status == 200).then_some(())
        })
        .await;
        let revoked = call(entry.callers, &plain("/seal/b", "a1", KEYS[1])).await;
        let valid = call(entry.callers, &plain("/seal/b", "a2", KEYS[0])).await;
        assert_eq!((revoked.status, valid.status), (401, 200));
    }
    assert!(begun.elapsed() < RECOVERY, "{:?}", begun.elapsed());
    // The targets still hold their layers, and say so.
    sleep(CONFIGURE).await;
    assert_eq!(orders(&bench), before);
}

#[tokio::test]
async fn a_target_whose_record_ends_after_an_outage_is_dropped_by_every_entry() {
    let bench = Bench::start(3).await;
    bench.store.set_behavior(Behavior::Refusing);
    sleep(Duration::from_millis(800)).await;
    bench.store.set_behavior(Behavior::Sound);
    // Readers have found the store again, and the list as it was.
    sleep(Duration::from_millis(1_500)).await;
    let left = &bench.calls[0];
    bench.store.put("keyed.servers", left.id(), b"");
    sleep(LEFT).await;
    for entry in &bench.entries {
        for index in 0..12 {
            let id = format!("a{index}");
            let answer = call(entry.callers, &plain("/seal/b", &id, KEYS[0])).await;
            assert_eq!((answer.status, left.runs(&id)), (200, 0));
        }
    }
}
