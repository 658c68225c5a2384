//! Single faults at the moment at which each mechanism matters; random search meets them seldom.

use {
    crate::world::{World, engine::POISON, oracle::Sent, service::Mood},
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
/// How long the log keeps records.
const RETENTION: Duration = Duration::from_secs(25 * 3600);
const LEDGERS: [&str; 3] = ["ledger-a", "ledger-b", "ledger-c"];

fn world() -> World {
    let mut world = World::new(7);
    world.run(SECOND);
    world
}

fn mood(world: &mut World, mood: Mood) {
    for id in LEDGERS {
        world.services.get_mut(id).expect("known").mood = mood;
    }
}

fn answered(world: &World, id: u64) -> bool {
    matches!(world.oracle.calls[&id].end, Some(End::Answered(_)))
}

fn finished(world: &World, id: u64) -> bool {
    matches!(world.oracle.calls[&id].end, Some(End::Finished(_)))
}

/// The refusal that a request ended with.
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

/// Runs of the ledgers in all.
fn runs(world: &World) -> u32 {
    world.runs().values().sum()
}

#[test]
fn forged_answers_to_steps_are_dropped() {
    let mut world = world();
    world.noise = true;
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
    let calls = [0, 1, 2].map(|entry| world.seal(entry, key, 7));
    world.run(3 * SECOND);
    assert!(calls.into_iter().all(|id| answered(&world, id)));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_start_that_lands_late_does_not_hold_its_key() {
    let mut world = world();
    world.log.make_late = Some(4 * SECOND);
    let key = world.new_key();
    let first = world.seal(0, key, 7);
    world.run(5 * SECOND);
    assert_eq!(refusal(&world, first), (Code::ClaimTimeout, Ran::No));
    let again = world.seal(1, key, 7);
    world.run(3 * SECOND);
    assert!(answered(&world, again));
}

#[test]
fn a_start_read_back_after_a_freeze_is_not_sent() {
    let mut world = world();
    let key = world.new_key();
    let first = world.seal(0, key, 7);
    while !world.is_reading(0) {
        world.run(MS / 4);
    }
    world.entries[0].frozen = true;
    world.run(20 * SECOND);
    world.resolve(key);
    world.thaw_reading(0);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, first).1, Ran::No);
    assert_eq!(runs(&world), 0);
}

#[test]
fn the_start_of_an_earlier_life_is_unknown_at_once() {
    let mut world = world();
    for id in LEDGERS {
        world.services.get_mut(id).expect("known").frozen = true;
    }
    let key = world.new_key();
    world.seal(0, key, 7);
    world.run(100 * MS);
    world.restart(0);
    world.run(2 * SECOND);
    let again = world.seal(1, key, 7);
    world.run(SECOND);
    assert_eq!(refusal(&world, again), (Code::OutcomeUnknown, Ran::Unknown));
    let listed = world.entries[2].core.unresolved();
    assert!(
        listed
            .iter()
            .any(|one| one.key.id == key && one.live.unknown)
    );
}

#[test]
fn a_key_that_ran_under_a_dead_entry_does_not_run_again() {
    let mut world = world();
    let key = world.new_key();
    world.seal(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.restart(0);
    world.run(2 * SECOND);
    for entry in 0..9 {
        world.seal(entry % 3, key, 7);
        world.run(SECOND);
    }
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_caller_asking_again_gets_the_first_answer() {
    let mut world = world();
    let key = world.new_key();
    let first = world.seal(0, key, 7);
    world.run(SECOND);
    let again = world.seal(1, key, 7);
    world.run(SECOND);
    assert!(answered(&world, first) && answered(&world, again));
    let other = world.seal(2, key, 8);
    world.run(SECOND);
    assert_eq!(refusal(&world, other), (Code::KeyReused, Ran::No));
}

#[test]
fn a_broken_exchange_is_unknown_and_not_repeated() {
    let mut world = world();
    mood(&mut world, Mood::DropAfter);
    let key = world.new_key();
    let id = world.seal(0, key, 7);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, id), (Code::OutcomeUnknown, Ran::Unknown));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_failure_after_the_start_is_unknown_and_not_repeated() {
    let mut world = world();
    mood(&mut world, Mood::FailAfter);
    let key = world.new_key();
    let id = world.seal(0, key, 7);
    world.run(2 * SECOND);
    assert_eq!(refusal(&world, id), (Code::OutcomeUnknown, Ran::Unknown));
    assert_eq!(runs(&world), 1);
}

#[test]
fn a_frozen_entry_does_not_send_on_old_news() {
    let mut world = world();
    let key = world.new_key();
    world.seal(0, key, 7);
    while !world.is_forwarding(0) {
        world.run(MS / 4);
    }
    world.entries[0].frozen = true;
    world.run(20 * SECOND);
    world.resolve(key);
    world.run(SECOND);
    world.thaw(0);
    world.run(2 * SECOND);
    assert_eq!(world.oracle.not_run, [key]);
    assert_eq!(runs(&world), 0, "it was sent on old news");
}

#[test]
fn a_key_past_retention_does_not_run_again() {
    let mut world = world();
    let key = world.new_key();
    world.seal(0, key, 7);
    world.run(SECOND);
    pass_retention(&mut world);
    world.restart(1);
    world.entries[1].behind = RETENTION;
    world.run(2 * SECOND);
    world.seal(1, key, 7);
    world.run(12 * SECOND);
    assert_eq!(runs(&world), 1);
}

#[test]
fn two_operators_settle_a_key_once() {
    let mut world = world();
    mood(&mut world, Mood::DropBefore);
    let key = world.new_key();
    world.seal(0, key, 7);
    world.run(SECOND);
    mood(&mut world, Mood::Well);
    world.resolve(key);
    world.run(SECOND);
    let outcomes = [0, 1, 2].map(|entry: usize| world.entries[entry].core.outcome(key));
    assert_eq!(outcomes, [Some(false); 3]);
    let again = world.seal(1, key, 7);
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
fn a_peers_word_that_a_target_leaves_counts_within_three_seconds() {
    let mut world = world();
    world.list_down = true;
    engine_leaves(&mut world, "a1", &[0]);
    world.run(3 * SECOND);
    for entry in &world.entries {
        assert!(entry.core.is_leaving("a1"));
    }
}

/// An engine says to some entries that it is leaving.
fn engine_leaves(world: &mut World, id: &str, entries: &[usize]) {
    world.engines.get_mut(id).expect("known").leaving = true;
    let now = world.now;
    world.leaving_since.insert(id.to_owned(), now);
    for entry in entries {
        world.tell(*entry, Event::EngineReply(id.to_owned(), Reply::Leaving));
    }
}

#[test]
fn a_plain_service_that_says_it_leaves_gets_no_more() {
    let mut world = world();
    world.services.get_mut("lookup-a").expect("known").leaving = true;
    let first = world.lookup(0);
    world.run(SECOND);
    let later: Vec<u64> = (0..20).map(|_| world.lookup(0)).collect();
    world.run(SECOND);
    assert!(answered(&world, first));
    let at = &world.services["lookup-a"].runs;
    assert!(later.iter().all(|id| !at.contains_key(id)));
}

#[test]
fn a_returned_incarnation_is_new() {
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
        world.seal(0, key, 7),
    ];
    world.run(20 * MS);
    world.tell(0, Event::Stop);
    world.tell(0, Event::Stop);
    world.run(90 * SECOND);
    assert!(world.entries[0].exited);
    assert!(finished(&world, ids[0]));
    assert!(world.oracle.open().is_empty());
}

#[test]
fn a_planned_stop_loses_no_outcome_while_it_is_cut_off() {
    let mut world = world();
    let key = world.new_key();
    let id = world.seal(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.cut_zone("a");
    world.tell(0, Event::Stop);
    world.run(10 * SECOND);
    assert!(answered(&world, id));
    assert!(
        !world.entries[0].exited,
        "neither log nor peers have the outcome"
    );
    world.mend_zone("a");
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
fn a_stale_checkpoint_moves_nobody_back() {
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

/// Lets the log drop what it holds now, with a little time now and then for what must be renewed.
fn pass_retention(world: &mut World) {
    let now = world.wall();
    while world.wall() <= now + RETENTION {
        world.skip(Duration::from_secs(3600));
        world.run(65 * SECOND);
        let oldest = world.wall() - RETENTION;
        world.log.forget(oldest);
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
    mood(&mut world, Mood::DropAfter);
    let key = world.new_key();
    world.seal(0, key, 7);
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
                .any(|one| one.key.id == key && one.live.unknown)
        );
    }
}

#[test]
fn peers_take_over_what_a_stop_can_not_record() {
    let mut world = world();
    let key = world.new_key();
    let id = world.seal(0, key, 7);
    while runs(&world) == 0 {
        world.run(MS);
    }
    world.log.down = true;
    world.tell(0, Event::Stop);
    world.run(10 * SECOND);
    assert!(answered(&world, id));
    assert!(world.entries[0].exited, "the stop waits for the log");
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
    let readers = |world: &World| {
        let of_zone = world.entries.iter().filter(|entry| entry.zone == "a");
        of_zone.filter(|entry| entry.reads(STREAM)).count()
    };
    assert_eq!(readers(&world), 3);
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
    world.seal(0, key, 7);
    world.run(100 * MS);
    world.seal(1, key, 7);
    let before = world.letters;
    world.run(5 * SECOND);
    // Two heartbeats a second to each of two peers, and four questions and answers a second.
    assert!(world.letters - before <= (3 * 2 * 2 + 4 * 2) * 6);
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
fn a_cut_makes_no_suspects() {
    let mut world = world();
    let prompt: Vec<u32> = (0..60).collect();
    for _ in 0..4 {
        let id = world.prompt(0, prompt.clone(), 60);
        world.run(8 * MS);
        world.cut_zone("a");
        world.run(SECOND);
        world.mend_zone("a");
        world.run(5 * SECOND);
        assert!(finished(&world, id));
    }
}

/// The record of the quarantine that the log holds.
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
fn a_quarantine_ends_although_entries_tell_each_other() {
    let mut world = world();
    world.prompt(0, vec![POISON, 1, 2], 12);
    world.run(2 * SECOND);
    for engine in world.engines.values_mut() {
        engine.poison = None;
    }
    for entry in &mut world.entries {
        entry.skew = 4000 * SECOND;
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
