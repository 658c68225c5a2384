//! Variant names on the wire where they differ from the names in the code.

use {
    camphorweir_wire::{
        claim::Key,
        codec,
        engine::{Assignment, Command, Layers, LayersHeld, Reply},
        peer::{Body, StartStatus},
    },
    serde::Serialize,
};

fn contains_name<T: Serialize>(message: &T, name: &str) -> bool {
    let bytes = codec::encode(message);
    // A MessagePack string of fewer than 32 bytes is its length in one byte, then its bytes.
    let mut encoded = vec![0xa0 | name.len() as u8];
    encoded.extend_from_slice(name.as_bytes());
    bytes
        .windows(encoded.len())
        .any(|window| window == encoded.as_slice())
}

#[test]
fn renamed_variants_keep_their_names_on_the_wire() {
    let key = Key {
        workspace: String::new(),
        id: 1,
    };
    let status = Body::StartStatus(key.clone(), 2, StartStatus::UnknownHere);
    assert!(contains_name(&status, "Told"));
    assert!(contains_name(&status, "NotMine"));
    assert!(contains_name(&Body::StartQuery(key, 2), "Ask"));
    assert!(contains_name(&Body::AppendAccepted(vec![2]), "Kept"));
    assert!(contains_name(&Body::ConfigRequest(3), "Want"));

    let (model, layers) = (String::new(), Layers { first: 0, end: 8 });
    let assignment = Assignment {
        fence: 1,
        model: model.clone(),
        layers,
    };
    assert!(contains_name(&Command::Assign(assignment), "Hold"));
    let held = LayersHeld {
        model,
        layers,
        fence: 1,
        loading: false,
    };
    assert!(contains_name(&Reply::LayersHeld(held), "Holds"));
}
