//! One request of each kind through every entry.

use {
    crate::world::{World, oracle::Sent},
    camphorweir_policy::call::End,
    std::time::Duration,
};

#[test]
fn each_kind_is_answered_through_every_entry() {
    let mut world = World::new(1);
    for number in 0..3 {
        let prompt = (0..40).map(|token| token + number as u32).collect();
        world.prompt(number, prompt, 20);
        world.lookup(number);
        let key = world.new_key();
        world.never_repeat(number, key, 7);
    }
    world.run(Duration::from_secs(2));
    assert!(world.oracle.unanswered().is_empty());
    for call in world.oracle.calls.values() {
        let complete = match call.sent {
            Sent::Tokens(_) => matches!(call.end, Some(End::Finished(_))),
            _ => matches!(call.end, Some(End::Answered(_))),
        };
        assert!(complete, "{call:?}");
    }
    for engine in world.engines.values() {
        assert_eq!(engine.open_attempts(), 0, "an attempt was left open");
    }
}
