//! Targets that send an answer a second time, late, on a connection that is in use again.

use {
    crate::bench::{Bench, KEYS, call, plain},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// When the second copy is sent.
#[derive(Clone, Copy, Debug)]
enum When {
    /// Once the next request has arrived, before its answer.
    BeforeNext,
    /// While no request is under way.
    Idle,
}

/// Sends its first response on each connection twice; answers all other requests.
async fn serve(mut client: TcpStream, when: When) -> Option<()> {
    let mut copy: Option<String> = None;
    for turn in 0.. {
        let mut request = Vec::new();
        while !request.ends_with(b"batch 7") {
            let read = client.read_buf(&mut request).await;
            read.ok().filter(|count| *count > 0)?;
        }
        let request = String::from_utf8_lossy(&request);
        let id = request.split("x-attempt-id: ").nth(1)?.split('\r').next()?;
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\ncontent-length: {}\r\n\r\n{id}",
            id.len()
        );
        if let Some(copy) = copy.take() {
            client.write_all(copy.as_bytes()).await.ok()?;
        }
        client.write_all(response.as_bytes()).await.ok()?;
        match when {
            When::BeforeNext if turn == 0 => copy = Some(response),
            When::Idle if turn == 0 => {
                sleep(Duration::from_millis(20)).await;
                client.write_all(response.as_bytes()).await.ok()?;
            }
            _ => {}
        }
    }
    None
}

async fn start(when: When) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client, when));
        }
    });
    address
}

#[tokio::test]
async fn a_late_copy_of_an_answer_reaches_no_other_caller() {
    let bench = Bench::start(1).await;
    for when in [When::BeforeNext, When::Idle] {
        let address = start(when).await;
        for target in &bench.calls {
            target.set_published_address(address);
        }
        // The records of the new addresses travel as all records do.
        sleep(Duration::from_millis(1_200)).await;
        let mut answered = 0;
        for index in 0..10 {
            let id = format!("{when:?}-{index}");
            let answer = call(bench.front(), &plain("/look/b", &id, KEYS[0])).await;
            if answer.status == 200 {
                assert_eq!(answer.header("x-attempt-id"), id);
                assert_eq!(answer.body, id.as_bytes());
                answered += 1;
            }
            sleep(Duration::from_millis(40)).await;
        }
        assert!(answered >= 5, "{answered} answered, {when:?}");
    }
}
