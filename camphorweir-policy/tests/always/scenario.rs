//! Single faults, each at the moment that one mechanism guards; fuzzing rarely hits these moments.

use {
    crate::world::{World, engine::POISON, oracle::Sent, service::Behavior},
    camphorweir_config::{
        model::Service,
        record::{Edit, STREAM},
    },
    camphorweir_policy::{call::End, event::Event},
    camphorweir_wire::{code::Code, codec, engine::Reply, outcome::Ran, suspect},
    std::time::Duration,
};

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Time after which the log drops records.
const RETENTION: Duration = Duration::from_secs(25 * 3600);
const LEDGERS: [&str; 3] = ["ledger-a", "ledger-b", "ledger-c"];

fn world() -> World {
    let mut world = World::new(7);
    world.run(SECOND);
    world
}

fn set_behavior(world: &mut World, behavior: Behavior) {
    for id in LEDGERS {
        world.services.get_mut(id).expect("known").behavior = behavior;
    }
}

fn answered(world: &World, id: u64) -> bool {
    matches!(world.oracle.calls[&id].end, Some(End::Answered(_)))
}

fn finished(world: &World, id: u64) -> bool {
    matches!(world.oracle.calls[&id].end, Some(End::Finished(_)))
}

/// Returns the refusal that a request ended with.
fn refusal(world: &World, id: u64) -> (Code, Ran) {
    match &world.oracle.calls[&id].end {
        Some(End::Refused(refusal)) => (refusal.code, refusal.ran),
        end => panic!("request {id} ended as {end:?}"),
    }
}

fn edit(name: &str) -> Vec<Edit> {
    vec![Edit::Service(
        name.to_owned(),
        Some(Service { fencing: false }),
    )]
}

/// Number of runs at all services.
fn runs(world: &World) -> u32 {
    world.runs().values().sum()
}

#[test]
fn forged_answers_to_steps_are_dropped() {
    let mut world = world();
    world.forge_replies = true;
    let prompt = (0..20).collect();
    let id = world.prompt(0, prompt, 12);
    world.run(5 * MS);
    world.restart_engine("a1");
    world.run(3 * SECOND);
    assert!(finished(&world, id));
}

#[test]
fn two_entries_with_one_key_run_it_once() {
    let mut world = world();
    let key = world.new_key();
    let calls = [0, 1, 2].map(|entry| world.never_repeat(entry, key, 7));
    world.run(3 * SECOND);
    assert!(calls.into_iter().all(|id| answered(&world, id)));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_start_appended_late_does_not_block_its_key() {
    let mut world = world();
    world.log.delay_next = Some(4 * SECOND);
    let key = world.new_key();
    let first = world.never_repeat(0, key, 7);
    world.run(5 * SECOND);
    assert_eq!(refusal(&world, first), (Code::ClaimTimeout, Ran::No));
    let again = world.never_repeat(1, key, 7);
    world.run(3 * SECOND);
    assert!(answered(&world, again));
}

#[test]
fn a_start_read_back_after_a_freeze_is_not_sent() {
    let mut world = world();
    let key = world.new_key();
    let first = world.never_repeat(0, key, 7);
    while !world.is_reading(0) {
        world.run(MS / 4);
    }
    world.entries[0].frozen = true;
    world.run(20 * SECOND);
    world.resolve(key);
    world.resume_reading_first(0);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, first).1, Ran::No);
    assert_eq!(runs(&world), 0);
}

#[test]
fn the_start_of_an_earlier_incarnation_is_unknown_at_once() {
    let mut world = world();
    for id in LEDGERS {
        world.services.get_mut(id).expect("known").frozen = true;
    }
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    world.run(100 * MS);
    world.restart(0);
    world.run(2 * SECOND);
    let again = world.never_repeat(1, key, 7);
    world.run(SECOND);
    assert_eq!(refusal(&world, again), (Code::OutcomeUnknown, Ran::Unknown));
    let listed = world.entries[2].core.unresolved();
    assert!(
        listed
            .iter()
            .any(|one| one.key.id == key && one.start.unknown)
    );
}

#[test]
fn a_call_at_an_entry_that_stood_still_waits_for_what_has_arrived_meanwhile() {
    let mut world = world();
    let key = world.new_key();
    let first = world.never_repeat(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS / 4);
    }
    world.entries[1].frozen = true;
    world.run(4 * SECOND);
    assert!(answered(&world, first));
    // A call comes before the heartbeats and records that wait.
    world.entries[1].frozen = false;
    let again = world.never_repeat(1, key, 7);
    world.resume_reading_first(1);
    world.run(SECOND);
    assert!(
        answered(&world, again),
        "{:?}",
        world.oracle.calls[&again].end
    );
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_key_that_ran_under_a_dead_entry_does_not_run_again() {
    let mut world = world();
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.restart(0);
    world.run(2 * SECOND);
    for entry in 0..9 {
        world.never_repeat(entry % 3, key, 7);
        world.run(SECOND);
    }
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_caller_asking_again_gets_the_first_answer() {
    let mut world = world();
    let key = world.new_key();
    let first = world.never_repeat(0, key, 7);
    world.run(SECOND);
    let again = world.never_repeat(1, key, 7);
    world.run(SECOND);
    assert!(answered(&world, first) && answered(&world, again));
    let other = world.never_repeat(2, key, 8);
    world.run(SECOND);
    assert_eq!(refusal(&world, other), (Code::KeyReused, Ran::No));
}

#[test]
fn a_broken_exchange_is_unknown_and_not_repeated() {
    let mut world = world();
    set_behavior(&mut world, Behavior::DropAfter);
    let key = world.new_key();
    let id = world.never_repeat(0, key, 7);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, id), (Code::OutcomeUnknown, Ran::Unknown));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_failure_after_the_start_is_unknown_and_not_repeated() {
    let mut world = world();
    set_behavior(&mut world, Behavior::FailAfter);
    let key = world.new_key();
    let id = world.never_repeat(0, key, 7);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, id), (Code::OutcomeUnknown, Ran::Unknown));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_frozen_entry_does_not_send_on_stale_input() {
    let mut world = world();
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    while !world.is_forwarding(0) {
        world.run(MS / 4);
    }
    world.entries[0].frozen = true;
    world.run(20 * SECOND);
    world.resolve(key);
    world.run(SECOND);
    world.resume(0);
    world.run(2 * SECOND);
    assert_eq!(world.oracle.resolved_not_run, [key]);
    assert_eq!(runs(&world), 0, "the call was sent on stale input");
}

#[test]
fn a_key_past_retention_does_not_run_again() {
    let mut world = world();
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    world.run(SECOND);
    pass_retention(&mut world);
    world.restart(1);
    world.entries[1].clock_behind = RETENTION;
    world.run(2 * SECOND);
    world.never_repeat(1, key, 7);
    world.run(12 * SECOND);
    assert_eq!(runs(&world), 1);
}

#[test]
fn two_operators_settle_a_key_once() {
    let mut world = world();
    set_behavior(&mut world, Behavior::DropBefore);
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    world.run(SECOND);
    set_behavior(&mut world, Behavior::Normal);
    world.resolve(key);
    world.run(SECOND);
    let outcomes = [0, 1, 2].map(|entry: usize| world.entries[entry].core.outcome(key));
    assert_eq!(outcomes, [Some(false); 3]);
    let again = world.never_repeat(1, key, 7);
    world.run(SECOND);
    assert_eq!(refusal(&world, again), (Code::ResolvedNotRun, Ran::No));
}

#[test]
fn leaving_is_sticky_while_the_list_lags() {
    let mut world = world();
    engine_leaves(&mut world, "a1", &[0, 1, 2]);
    world.run(4 * SECOND);
    for entry in 0..3 {
        assert!(world.entries[entry].core.is_leaving("a1"));
        let id = world.prompt(entry, vec![1, 2, 3], 4);
        world.run(SECOND);
        assert!(finished(&world, id));
    }
}

#[test]
fn a_peers_report_of_a_leaving_target_counts_within_three_seconds() {
    let mut world = world();
    world.list_down = true;
    engine_leaves(&mut world, "a1", &[0]);
    world.run(3 * SECOND);
    for entry in &world.entries {
        assert!(entry.core.is_leaving("a1"));
    }
}

/// An engine reports to some entries that it is leaving.
fn engine_leaves(world: &mut World, id: &str, entries: &[usize]) {
    world.engines.get_mut(id).expect("known").leaving = true;
    let now = world.now;
    world.leaving_since.insert(id.to_owned(), now);
    for entry in entries {
        world.deliver_event(*entry, Event::EngineReply(id.to_owned(), Reply::Leaving));
    }
}

#[test]
fn a_service_that_reports_leaving_gets_no_more_calls() {
    let mut world = world();
    world.services.get_mut("lookup-a").expect("known").leaving = true;
    let first = world.lookup(0);
    world.run(SECOND);
    let later: Vec<u64> = (0..20).map(|_| world.lookup(0)).collect();
    world.run(SECOND);
    assert!(answered(&world, first));
    let runs = &world.services["lookup-a"].runs;
    assert!(later.iter().all(|id| !runs.contains_key(id)));
}

#[test]
fn a_restarted_target_is_no_longer_leaving() {
    let mut world = world();
    engine_leaves(&mut world, "a1", &[0, 1, 2]);
    world.run(SECOND);
    world.restart_engine("a1");
    world.run(SECOND);
    for entry in &world.entries {
        assert!(!entry.core.is_leaving("a1"));
    }
}

#[test]
fn a_planned_stop_waits_for_its_requests() {
    let mut world = world();
    world.services.get_mut("ledger-a").expect("known").frozen = true;
    let key = world.new_key();
    let ids = [
        world.prompt(0, (0..50).collect(), 100),
        world.never_repeat(0, key, 7),
    ];
    world.run(20 * MS);
    world.deliver_event(0, Event::Stop);
    world.deliver_event(0, Event::Stop);
    world.run(90 * SECOND);
    assert!(world.entries[0].exited);
    assert!(finished(&world, ids[0]));
    assert!(world.oracle.unanswered().is_empty());
}

#[test]
fn a_planned_stop_loses_no_outcome_while_it_is_cut_off() {
    let mut world = world();
    let key = world.new_key();
    let id = world.never_repeat(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.isolate_zone("a");
    world.deliver_event(0, Event::Stop);
    world.run(10 * SECOND);
    assert!(answered(&world, id));
    assert!(
        !world.entries[0].exited,
        "the entry exited before the log or a peer had the outcome"
    );
    world.rejoin_zone("a");
    world.run(10 * SECOND);
    assert!(world.entries[0].exited);
    assert_eq!(world.entries[1].core.outcome(key), Some(true));
}

#[test]
fn one_of_two_racing_publications_wins_everywhere() {
    let mut world = world();
    world.publish_edits(1, edit("first"));
    world.publish_edits(1, edit("second"));
    world.run(5 * SECOND);
    for entry in &world.entries {
        let services = entry.services();
        assert!(services.contains(&"first".to_owned()));
        assert!(!services.contains(&"second".to_owned()));
    }
}

#[test]
fn a_stale_checkpoint_rolls_no_entry_back() {
    let mut world = world();
    let stale = world.entries[0].core.checkpoint().expect("a version");
    world.publish_edits(1, edit("first"));
    world.run(SECOND);
    let wall = world.wall();
    world.log.append(wall, STREAM, &[stale]);
    world.run(5 * SECOND);
    for entry in &world.entries {
        assert_eq!(entry.version, 2);
        assert!(entry.services().contains(&"first".to_owned()));
    }
}

#[test]
fn an_entry_without_a_version_serves_nothing() {
    let mut world = world();
    world.log.down = true;
    for entry in 0..3 {
        world.restart(entry);
    }
    world.run(SECOND);
    let id = world.prompt(0, vec![1], 1);
    assert_eq!(refusal(&world, id), (Code::NoConfiguration, Ran::No));
    assert!(world.entries.iter().all(|entry| !entry.ready));
    assert!(matches!(world.oracle.calls[&id].sent, Sent::Tokens(_)));
}

/// Advances time past the retention of all present records, running the entries for 65 s after each
/// skipped hour so that they renew what must be kept.
fn pass_retention(world: &mut World) {
    let now = world.wall();
    while world.wall() <= now + RETENTION {
        world.skip(Duration::from_secs(3600));
        world.run(65 * SECOND);
        let oldest = world.wall() - RETENTION;
        world.log.expire(oldest);
    }
}

#[test]
fn a_configuration_outlives_retention() {
    let mut world = world();
    pass_retention(&mut world);
    for entry in 0..3 {
        world.restart(entry);
    }
    world.run(2 * SECOND);
    assert!(world.entries.iter().all(|entry| entry.version == 1));
}

#[test]
fn an_unresolved_key_outlives_retention() {
    let mut world = world();
    set_behavior(&mut world, Behavior::DropAfter);
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    world.run(SECOND);
    pass_retention(&mut world);
    pass_retention(&mut world);
    for entry in 0..3 {
        world.restart(entry);
    }
    world.run(2 * SECOND);
    for entry in &world.entries {
        let listed = entry.core.unresolved();
        assert!(
            listed
                .iter()
                .any(|one| one.key.id == key && one.start.unknown)
        );
    }
}

#[test]
fn peers_record_an_outcome_that_a_stopping_entry_cannot() {
    let mut world = world();
    let key = world.new_key();
    let id = world.never_repeat(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.log.down = true;
    world.deliver_event(0, Event::Stop);
    world.run(10 * SECOND);
    assert!(answered(&world, id));
    assert!(world.entries[0].exited, "the stop waited for the log");
    world.log.down = false;
    world.run(10 * SECOND);
    assert_eq!(world.entries[1].core.outcome(key), Some(true));
}

#[test]
fn a_new_entry_learns_the_configuration_from_peers() {
    let mut world = world();
    world.log.down = true;
    world.restart(0);
    world.run(5 * SECOND);
    assert_eq!(world.entries[0].version, 1);
    let id = world.prompt(0, vec![1, 2, 3], 4);
    world.run(SECOND);
    assert!(finished(&world, id));
}

#[test]
fn three_of_a_zone_read_the_configuration_for_the_others() {
    let mut world = world();
    for _ in 0..5 {
        world.spawn("a");
    }
    world.run(3 * SECOND);
    let tailing = |world: &World| {
        let of_zone = world.entries.iter().filter(|entry| entry.zone == "a");
        of_zone.filter(|entry| entry.is_tailing(STREAM)).count()
    };
    assert_eq!(tailing(&world), 3);
    world.publish_edits(1, edit("first"));
    world.run(5 * SECOND);
    assert!(world.entries.iter().all(|entry| entry.version == 2));
}

#[test]
fn waiting_for_an_owner_costs_few_messages() {
    let mut world = world();
    for id in LEDGERS {
        world.services.get_mut(id).expect("known").frozen = true;
    }
    let key = world.new_key();
    world.never_repeat(0, key, 7);
    world.run(100 * MS);
    world.never_repeat(1, key, 7);
    let before = world.peer_messages;
    world.run(5 * SECOND);
    // Three entries send two heartbeats a second to each of two peers; four questions a second are
    // asked and answered.
    assert!(world.peer_messages - before <= (3 * 2 * 2 + 4 * 2) * 6);
}

#[test]
fn a_request_that_crashes_targets_kills_two_and_no_more() {
    let mut world = world();
    let mut innocents = Vec::new();
    let mut poison = Vec::new();
    for round in 0..6 {
        let entry = round % 3;
        let others = (0..4).map(|stem| world.prompt(entry, vec![stem, round as u32, 3], 12));
        innocents.extend(others);
        poison.push(world.prompt(entry, vec![POISON, 1, 2], 12));
        world.run(2 * SECOND);
    }
    world.run(5 * SECOND);
    let crashed = world.engines.values().filter(|engine| !engine.up).count();
    assert!(crashed <= 2, "{crashed} targets crashed");
    assert!(innocents.into_iter().all(|id| finished(&world, id)));
    assert_eq!(refusal(&world, poison[0]).0, Code::Quarantined);
    assert_eq!(refusal(&world, poison[5]), (Code::Quarantined, Ran::No));
}

#[test]
fn isolating_a_zone_makes_no_suspects() {
    let mut world = world();
    let prompt: Vec<u32> = (0..60).collect();
    for _ in 0..4 {
        let id = world.prompt(0, prompt.clone(), 60);
        world.run(8 * MS);
        world.isolate_zone("a");
        world.run(SECOND);
        world.rejoin_zone("a");
        world.run(5 * SECOND);
        assert!(finished(&world, id));
    }
}

/// Returns the first quarantine record of the log.
fn quarantine(world: &World) -> suspect::Record {
    let page = world.log.read(suspect::STREAM, 0).expect("a page");
    codec::decode(&page.records[0].body).expect("a record")
}

#[test]
fn a_quarantine_outlives_the_entries_that_saw_it() {
    let mut world = world();
    world.prompt(0, vec![POISON, 1, 2], 12);
    world.run(2 * SECOND);
    for entry in 0..3 {
        world.restart(entry);
    }
    world.run(2 * SECOND);
    let again = world.prompt(1, vec![POISON, 1, 2], 12);
    world.run(SECOND);
    assert_eq!(refusal(&world, again), (Code::Quarantined, Ran::No));
    assert_eq!(world.crashes, 2);
}

#[test]
fn a_quarantine_ends_although_entries_report_it_to_each_other() {
    let mut world = world();
    world.prompt(0, vec![POISON, 1, 2], 12);
    world.run(2 * SECOND);
    for engine in world.engines.values_mut() {
        engine.poison = None;
    }
    for entry in &mut world.entries {
        entry.clock_ahead = 4000 * SECOND;
    }
    world.run(3 * SECOND);
    let again = world.prompt(1, vec![POISON, 1, 2], 12);
    world.run(3 * SECOND);
    assert!(
        finished(&world, again),
        "{:?}",
        world.oracle.calls[&again].end
    );
}

#[test]
fn operators_release_a_quarantined_request() {
    let mut world = world();
    world.prompt(0, vec![POISON, 1, 2], 12);
    world.run(2 * SECOND);
    let mut record = quarantine(&world);
    for engine in world.engines.values_mut() {
        engine.poison = None;
    }
    record.body = suspect::Body::Release {
        operator: "test".to_owned(),
    };
    let wall = world.wall();
    world
        .log
        .append(wall, suspect::STREAM, &[codec::encode(&record)]);
    world.run(2 * SECOND);
    let again = [0, 1, 2].map(|entry| world.prompt(entry, vec![POISON, 1, 2], 12));
    world.run(3 * SECOND);
    assert!(again.into_iter().all(|id| finished(&world, id)));
}

#[test]
fn a_crash_counts_beside_the_loss_of_another_target() {
    let mut world = world();
    for (entry, lost) in ["a2", "b2", "c2"].into_iter().enumerate() {
        world.kill_engine(lost);
        world.prompt(entry, vec![POISON, 1, 2], 12);
        world.run(2 * SECOND);
        world.restart_engine(lost);
        world.run(2 * SECOND);
    }
    assert!(world.crashes <= 2, "{} targets crashed", world.crashes);
}

#[test]
fn a_quarantine_reaches_peers_while_the_log_is_down() {
    let mut world = world();
    world.log.down = true;
    for entry in 0..3 {
        world.prompt(entry, vec![POISON, 1, 2], 12);
        world.run(2 * SECOND);
        world.restart_engine("a0");
        world.restart_engine("b0");
        world.restart_engine("c0");
    }
    assert_eq!(world.crashes, 2);
}

#[test]
fn a_list_read_before_the_configuration_counts() {
    let mut world = world();
    world.listed_leaving.insert("lookup-c".to_owned());
    world.restart(2);
    world.run(100 * MS);
    world.list_down = true;
    world.run(4 * SECOND);
    for _ in 0..10 {
        let id = world.lookup(2);
        world.run(100 * MS);
        assert!(answered(&world, id), "{:?}", world.oracle.calls[&id].end);
    }
}
