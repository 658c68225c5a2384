//! The engine against the chain that is worked out in one piece.

mod support;

use {
    camphorweir_standin::{
        engine::{self, Faults, Handle, Settings},
        reference_model,
    },
    camphorweir_wire::{
        engine::{Assignment, Command, Layers, Reason, Reply},
        ids::Token,
        prefix,
    },
    std::{net::SocketAddr, time::Duration},
    support::{Link, Path, any, expect_done, open, step},
    tokio::time::timeout,
};

const MODEL: &str = "pine";
const LAYERS: u32 = 7;

fn layers(first: u32, end: u32) -> Layers {
    Layers { first, end }
}

fn settings(first: u32, end: u32) -> Settings {
    Settings::new(any(), "l40", MODEL, LAYERS, layers(first, end))
}

async fn spawn(first: u32, end: u32) -> (Handle, (SocketAddr, Layers)) {
    let engine = engine::spawn(settings(first, end)).await.unwrap();
    let place = (engine.address(), layers(first, end));
    (engine, place)
}

fn prompt(length: u32) -> Vec<Token> {
    (0..length).map(|n| 32 + n * 7 % 95).collect()
}

#[tokio::test]
async fn two_stages_give_the_tokens_expected_also_from_the_cache() {
    let (a, first) = spawn(0, 3).await;
    let (b, second) = spawn(3, LAYERS).await;
    let prompt = prompt(50);
    let expected = reference_model::expected(MODEL, LAYERS, &prompt, 20);
    let mut cold = Path::open(&[first, second], 1, &prompt, u32::MAX).await;
    assert_eq!(cold.next(), 0);
    assert_eq!(cold.run(20).await, expected);
    let mut warm = Path::open(&[first, second], 2, &prompt, u32::MAX).await;
    assert_eq!(warm.next(), 48);
    assert_eq!(warm.run(20).await, expected);
    let mut earlier = Path::open(&[first, second], 3, &prompt, 16).await;
    assert_eq!(earlier.next(), 16);
    assert_eq!(earlier.run(20).await, expected);
    let resumed: Vec<_> = [&prompt[..], &expected[..9]].concat();
    let mut moved = Path::open(&[first, second], 4, &resumed, u32::MAX).await;
    assert_eq!(moved.run(11).await, expected[9..]);
    let run = b.audit()[0];
    assert_eq!((run.request, run.position, run.count), (1, 0, 50));
    for mut path in [cold, warm, earlier, moved] {
        path.cancel().await;
    }
    a.stop().await;
    b.stop().await;
}

#[tokio::test]
async fn a_swapped_skipped_or_foreign_layer_gives_wrong_tokens() {
    let (_a, first) = spawn(0, 2).await;
    let (_b, second) = spawn(2, 4).await;
    let (_c, third) = spawn(4, LAYERS).await;
    let prompt = prompt(20);
    let expected = reference_model::expected(MODEL, LAYERS, &prompt, 20);
    let wrong = [
        vec![second, first, third],
        vec![first, third],
        vec![first, second, second, third],
    ];
    for (request, path) in (0..).zip(wrong) {
        let mut path = Path::open(&path, request, &prompt, 0).await;
        assert_ne!(path.run(20).await, expected);
    }
    assert_ne!(
        reference_model::expected("other", LAYERS, &prompt, 20),
        expected
    );
}

#[tokio::test]
async fn requests_and_lives_are_kept_apart() {
    let (a, first) = spawn(0, LAYERS).await;
    let (one, two) = (prompt(40), prompt(33));
    let mut paths = [
        Path::open(&[first], 1, &one, 0).await,
        Path::open(&[first], 2, &two, 0).await,
    ];
    let [x, y] = &mut paths;
    let (x, y) = futures::join!(x.run(30), y.run(30));
    assert_eq!(x, reference_model::expected(MODEL, LAYERS, &one, 30));
    assert_eq!(y, reference_model::expected(MODEL, LAYERS, &two, 30));
    let before = a.incarnation();
    let mut link = Link::open(a.address()).await;
    a.crash();
    while link.reply().await.is_some() {}
    assert_ne!(a.incarnation(), before);
    let again = Path::open(&[first], 3, &one, u32::MAX).await;
    assert_eq!(again.next(), 0);
}

#[tokio::test]
async fn positions_it_does_not_hold_are_refused() {
    let (a, (_, all)) = spawn(0, LAYERS).await;
    let mut link = Link::open(a.address()).await;
    link.news().await.unwrap();
    for (request, position) in [(1, 16), (2, 5)] {
        link.order(vec![
            Command::Open(open(request, all, prefix::block_hashes(&prompt(32)))),
            Command::Step(step(request, all, position, vec![1])),
        ])
        .await;
        assert!(matches!(link.news().await, Some(Reply::Opened(_))));
        match link.news().await {
            Some(Reply::Refused(refused)) => assert_eq!(refused.reason, Reason::UnknownAttempt),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((a.open(), a.audit().len()), (0, 0));
}

#[tokio::test]
async fn faults_lose_double_and_misname_answers() {
    let (a, (_, all)) = spawn(0, LAYERS).await;
    a.set_faults(Faults {
        drop_done: 1,
        foreign: 1,
        duplicate: 2,
        ..Faults::default()
    });
    let mut link = Link::open(a.address()).await;
    link.news().await.unwrap();
    link.order(vec![Command::Open(open(1, all, Vec::new()))])
        .await;
    link.news().await.unwrap();
    for position in 0..3 {
        link.order(vec![Command::Step(step(1, all, position, vec![40]))])
            .await;
    }
    let mut seen = Vec::new();
    for _ in 0..4 {
        let done = expect_done(link.news().await);
        seen.push((done.request == 1, done.position));
    }
    assert_eq!(seen, [(false, 1), (false, 1), (true, 2), (true, 2)]);
}

#[tokio::test]
async fn a_leaving_engine_finishes_what_is_open() {
    let (a, (_, all)) = spawn(0, LAYERS).await;
    let address = a.address();
    let mut link = Link::open(address).await;
    link.news().await.unwrap();
    link.order(vec![Command::Open(open(1, all, Vec::new()))])
        .await;
    link.news().await.unwrap();
    let stop = tokio::spawn(a.stop());
    assert_eq!(link.news().await, Some(Reply::Leaving));
    link.order(vec![
        Command::Open(open(2, all, Vec::new())),
        Command::Step(step(1, all, 0, vec![40])),
    ])
    .await;
    match link.news().await {
        Some(Reply::Refused(refused)) => assert_eq!(refused.reason, Reason::Leaving),
        other => panic!("{other:?}"),
    }
    assert_eq!(expect_done(link.news().await).request, 1);
    assert!(!stop.is_finished());
    link.order(vec![Command::Cancel(1, 0)]).await;
    assert_eq!(link.news().await, None);
    stop.await.unwrap();
}

#[tokio::test]
async fn old_orders_are_ignored_only_by_engines_that_check() {
    for (fencing, end) in [(true, 3), (false, 5)] {
        let mut settings = settings(0, 2);
        settings.fencing = fencing;
        let engine = engine::spawn(settings).await.unwrap();
        let mut link = Link::open(engine.address()).await;
        link.news().await.unwrap();
        for (fence, end) in [(9, 3), (8, 5)] {
            link.order(vec![Command::Assign(Assignment {
                fence,
                model: MODEL.to_owned(),
                layers: layers(0, end),
            })])
            .await;
            while !matches!(link.news().await, Some(Reply::LayersHeld(holds)) if !holds.loading) {}
        }
        let holds = engine.holds();
        assert_eq!((holds.fence, holds.layers), (9, layers(0, end)));
    }
}

#[tokio::test]
async fn a_frozen_engine_is_silent_until_it_thaws() {
    let (a, (address, _)) = spawn(0, LAYERS).await;
    a.set_faults(Faults {
        freeze: true,
        ..Faults::default()
    });
    let mut hello = tokio::spawn(async move { Link::open(address).await.news().await });
    assert!(
        timeout(Duration::from_millis(50), &mut hello)
            .await
            .is_err()
    );
    a.set_faults(Faults::default());
    assert!(matches!(hello.await.unwrap(), Some(Reply::Hello(_))));
}

#[tokio::test]
async fn a_poisoned_prompt_crashes_the_engine() {
    let (a, (address, all)) = spawn(0, LAYERS).await;
    let prompt = prompt(20);
    let before = a.incarnation();
    a.set_faults(Faults {
        poison: prompt[3..5].to_vec(),
        ..Faults::default()
    });
    let mut link = Link::open(address).await;
    link.news().await.unwrap();
    let input = prompt.iter().map(|token| u64::from(*token)).collect();
    link.order(vec![
        Command::Open(open(1, all, Vec::new())),
        Command::Step(step(1, all, 0, input)),
    ])
    .await;
    while link.news().await.is_some() {}
    assert_ne!(a.incarnation(), before);
    assert!(a.audit().is_empty());
}

#[tokio::test(start_paused = true)]
async fn reports_are_late_and_cache_events_have_gaps() {
    let mut settings = settings(0, LAYERS);
    settings.report_age_ms = 250;
    settings.cached_gap = 2;
    let engine = engine::spawn(settings).await.unwrap();
    let all = layers(0, LAYERS);
    let mut link = Link::open(engine.address()).await;
    let mut sequences = Vec::new();
    for request in 0..3 {
        let prompt = vec![request as Token; 16];
        let hashes = prefix::block_hashes(&prompt);
        let input = vec![request; 16];
        link.order(vec![
            Command::Open(open(request, all, hashes.clone())),
            Command::Step(step(request, all, 0, input)),
        ])
        .await;
        while !matches!(link.reply().await, Some(Reply::Done(_))) {}
        loop {
            match link.reply().await {
                Some(Reply::Cached(cached)) => {
                    assert_eq!(cached.added, hashes);
                    sequences.push(cached.sequence);
                    break;
                }
                Some(Reply::Load(load)) => {
                    assert!(load.age_ms >= 250);
                    if request == 1 && load.open_attempts == 2 {
                        break;
                    }
                }
                other => panic!("{other:?}"),
            }
        }
    }
    assert_eq!(sequences, [1, 3]);
}
