//! Callers that stop sending or reading are closed after the idle timeout; slower ones are served.

mod common;

use {
    camphorweir_entry::settings::Limits,
    camphorweir_policy::call::{Answered, End},
    camphorweir_wire::outcome::Answer,
    common::{limits, post, read_to_close, rig, send_raw},
    std::time::Duration,
    tokio::io::AsyncReadExt,
};

/// More bytes than the socket buffers of a loopback connection hold.
const LARGE_BODY: usize = 32 << 20;

fn short_idle_limits() -> Limits {
    Limits {
        idle: Duration::from_millis(400),
        ..limits()
    }
}

fn answer_with_size(size: usize) -> End {
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
async fn a_caller_that_sends_nothing_is_closed() {
    let rig = rig(short_idle_limits()).await;
    assert_eq!(
        read_to_close(&mut send_raw(rig.address, b"").await).await,
        ""
    );
}

#[tokio::test]
async fn a_caller_that_does_not_read_its_answer_is_closed() {
    let mut rig = rig(short_idle_limits()).await;
    let stream = send_raw(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    rig.arrival()
        .await
        .responder
        .end
        .send(answer_with_size(LARGE_BODY))
        .unwrap();
    rig.closing.send_replace(true);
    rig.server.drained().await;
    drop(stream);
}

#[tokio::test]
async fn a_caller_that_awaits_the_core_is_not_closed() {
    let mut rig = rig(short_idle_limits()).await;
    let mut stream = send_raw(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    let arrival = rig.arrival().await;
    tokio::time::sleep(short_idle_limits().idle * 3).await;
    arrival.responder.end.send(answer_with_size(10)).unwrap();
    assert!(
        read_to_close(&mut stream)
            .await
            .ends_with("\r\n\r\nxxxxxxxxxx")
    );
}

#[tokio::test]
async fn a_caller_that_reads_slowly_gets_everything() {
    let mut rig = rig(short_idle_limits()).await;
    let mut stream = send_raw(rig.address, post("/services/a/b", "", "").as_bytes()).await;
    rig.arrival()
        .await
        .responder
        .end
        .send(answer_with_size(LARGE_BODY))
        .unwrap();
    let (mut total, mut buffer) = (0, vec![0; LARGE_BODY / 16]);
    loop {
        match stream.read(&mut buffer).await.unwrap() {
            0 => break,
            count => total += count,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(total > LARGE_BODY, "{total}");
}
