//! Callers that stop moving cost only themselves, and only for a time.

mod common;

use {
    camphorweir_entry::settings::Limits,
    camphorweir_policy::call::{Answered, End},
    camphorweir_wire::outcome::Answer,
    common::{limits, open, post, rest, rig},
    std::time::Duration,
    tokio::io::AsyncReadExt,
};

/// More than the buffers of a connection on loopback take.
const LARGE: usize = 32 << 20;

fn brief() -> Limits {
    Limits {
        idle: Duration::from_millis(400),
        ..limits()
    }
}

fn answered(size: usize) -> End {
    let answer = Answer {
        status: 200,
        content_type: String::new(),
        body: vec![b'x'; size],
    };
    End::Answered(Answered {
        answer,
        replayed: false,
    })
}

#[tokio::test]
async fn a_caller_that_says_nothing_is_closed() {
    let rig = rig(brief()).await;
    assert_eq!(rest(&mut open(rig.address, b"").await).await, "");
}

#[tokio::test]
async fn a_caller_that_does_not_read_its_answer_is_closed() {
    let mut rig = rig(brief()).await;
    let stream = open(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    rig.arrival()
        .await
        .responder
        .end
        .send(answered(LARGE))
        .unwrap();
    rig.closing.send_replace(true);
    rig.server.drained().await;
    drop(stream);
}

#[tokio::test]
async fn a_caller_that_waits_for_the_core_is_not() {
    let mut rig = rig(brief()).await;
    let mut stream = open(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    let arrival = rig.arrival().await;
    tokio::time::sleep(brief().idle * 3).await;
    arrival.responder.end.send(answered(10)).unwrap();
    assert!(rest(&mut stream).await.ends_with("\r\n\r\nxxxxxxxxxx"));
}

#[tokio::test]
async fn a_caller_that_reads_slowly_gets_everything() {
    let mut rig = rig(brief()).await;
    let mut stream = open(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    rig.arrival()
        .await
        .responder
        .end
        .send(answered(LARGE))
        .unwrap();
    let (mut total, mut buffer) = (0, vec![0; LARGE / 16]);
    loop {
        match stream.read(&mut buffer).await.unwrap() {
            0 => break,
            count => total += count,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(total > LARGE, "{total}");
}
