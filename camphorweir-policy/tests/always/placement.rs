//! The lease holder assigns an engine to a layer range that has lost its own.

use {crate::world::World, camphorweir_policy::call::End, std::time::Duration};

const STAGE_ENGINES: [&str; 3] = ["a1", "b1", "c1"];

fn served(world: &mut World, entry: usize) -> bool {
    let id = world.prompt(entry, vec![5; 20], 8);
    world.run(Duration::from_secs(3));
    matches!(world.oracle.calls[&id].end, Some(End::Finished(_)))
}

fn kill_stage(world: &mut World) {
    for id in STAGE_ENGINES {
        world.kill_engine(id);
    }
    world.run(Duration::from_secs(8));
}

#[test]
fn a_range_without_an_engine_borrows_one_and_gives_it_back() {
    let mut world = World::new(11);
    kill_stage(&mut world);
    assert!(served(&mut world, 2), "no engine was reassigned");
    for id in STAGE_ENGINES {
        world.engines.get_mut(id).expect("known").restart();
        world.reconnect(id);
    }
    world.run(Duration::from_secs(8));
    for (id, engine) in &world.engines {
        let stage: u32 = id[1..].parse().expect("a stage");
        assert_eq!(
            engine.layers.first,
            stage * 4,
            "{id} was not returned to its own layers"
        );
    }
    assert!(served(&mut world, 0));
}

#[test]
fn the_next_entry_takes_the_lease_of_one_that_died() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(4));
    let lease_holder = lease_holder(&world);
    world.kill(lease_holder);
    world.run(Duration::from_secs(25));
    kill_stage(&mut world);
    let other = (lease_holder + 1) % 3;
    assert!(served(&mut world, other), "no engine was reassigned");
}

fn lease_holder(world: &World) -> usize {
    let is_holder = |entry: &crate::world::Entry| entry.core.holds_lease();
    world
        .entries
        .iter()
        .position(is_holder)
        .expect("a lease holder")
}

#[test]
fn a_holder_that_was_frozen_gives_no_order_after_its_term() {
    let mut world = World::new(13);
    world.run(Duration::from_secs(4));
    for id in STAGE_ENGINES {
        world.kill_engine(id);
    }
    world.run(Duration::from_millis(2_900));
    let lease_holder = lease_holder(&world);
    world.entries[lease_holder].frozen = true;
    world.run(Duration::from_secs(25));
    world.resume(lease_holder);
    world.run(Duration::from_secs(5));
    let ordered = world.engines.values().any(|engine| engine.fence > 0);
    assert!(ordered, "no order was given");
    let stale: u32 = world
        .engines
        .values()
        .map(|engine| engine.stale_orders)
        .sum();
    assert_eq!(stale, 0, "an order under the expired lease arrived");
}
