//! A range of layers without an engine borrows one, under a lease.

use {crate::world::World, camphorweir_policy::call::End, std::time::Duration};

const STAGE: [&str; 3] = ["a1", "b1", "c1"];

fn served(world: &mut World, entry: usize) -> bool {
    let id = world.prompt(entry, vec![5; 20], 8);
    world.run(Duration::from_secs(3));
    matches!(world.oracle.calls[&id].end, Some(End::Finished(_)))
}

fn lose_stage(world: &mut World) {
    for id in STAGE {
        world.kill_engine(id);
    }
    world.run(Duration::from_secs(8));
}

#[test]
fn a_range_without_an_engine_borrows_one_and_gives_it_back() {
    let mut world = World::new(11);
    lose_stage(&mut world);
    assert!(served(&mut world, 2), "no engine was borrowed");
    for id in STAGE {
        world.engines.get_mut(id).expect("known").restart();
        world.relink(id);
    }
    world.run(Duration::from_secs(8));
    for (id, engine) in &world.engines {
        let stage: u32 = id[1..].parse().expect("a stage");
        assert_eq!(engine.layers.first, stage * 4, "{id} was not given back");
    }
    assert!(served(&mut world, 0));
}

#[test]
fn the_next_entry_takes_the_lease_of_one_that_died() {
    let mut world = World::new(12);
    world.run(Duration::from_secs(4));
    let holder = holder(&world);
    world.kill(holder);
    world.run(Duration::from_secs(25));
    lose_stage(&mut world);
    let other = (holder + 1) % 3;
    assert!(served(&mut world, other), "no engine was borrowed");
}

fn holder(world: &World) -> usize {
    let holds = |entry: &crate::world::Entry| entry.core.holds_lease();
    world.entries.iter().position(holds).expect("a holder")
}

#[test]
fn a_holder_that_was_frozen_gives_no_order_after_its_term() {
    let mut world = World::new(13);
    world.run(Duration::from_secs(4));
    for id in STAGE {
        world.kill_engine(id);
    }
    world.run(Duration::from_millis(2_900));
    let holder = holder(&world);
    world.entries[holder].frozen = true;
    world.run(Duration::from_secs(25));
    world.thaw(holder);
    world.run(Duration::from_secs(5));
    let ordered = world.engines.values().any(|engine| engine.fence > 0);
    assert!(ordered, "no order was given");
    let stale: u32 = world
        .engines
        .values()
        .map(|engine| engine.stale_orders)
        .sum();
    assert_eq!(stale, 0, "an order under the old lease came");
}
