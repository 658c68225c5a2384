//! Targets that send bytes without end, in every part of a response.

use {
    crate::bench::{Bench, KEYS, call, plain, stream},
    futures::future::{self, join_all},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep},
    },
};

/// Requests under way at once.
const REQUESTS: usize = 100;
/// They end within this time: what callers say they wait, and a turn of a busy machine.
const ENDED: Duration = Duration::from_millis(4_000);
/// Pause between two pieces, in which the other responses get as far.
const PAUSE: Duration = Duration::from_millis(5);
/// Pause between looks at the memory in use.
const LOOK: Duration = Duration::from_millis(5);
/// Memory of the smallest machine of the users, in KiB.
const MEMORY_KIB: usize = 160 << 10;

/// Where the bytes go on without end.
#[derive(Clone, Copy, Debug)]
enum Part {
    HeaderLine,
    Headers,
    InterimResponses,
    ChunkSize,
    ChunkExtension,
    Trailers,
    DeclaredBody,
    UndeclaredBody,
    Event,
}

impl Part {
    const ALL: [Self; 9] = [
        Self::HeaderLine,
        Self::Headers,
        Self::InterimResponses,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::DeclaredBody,
        Self::UndeclaredBody,
        Self::Event,
    ];

    /// What comes first, for attempt `id`, and what is repeated.
    fn bytes(self, id: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Self::HeaderLine => (format!("{head}x-long: "), "x".repeat(1024)),
            Self::Headers => (head, "x-more: y\r\n".repeat(100)),
            Self::InterimResponses => {
                (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(40))
            }
            Self::ChunkSize => (chunked, "0".repeat(1024)),
            Self::ChunkExtension => (format!("{chunked}5;"), "x".repeat(1024)),
            Self::Trailers => (format!("{chunked}0\r\n"), "x-more: y\r\n".repeat(100)),
            Self::DeclaredBody => (
                format!("{head}content-length: 1000000000000\r\n\r\n"),
                "x".repeat(64 << 10),
            ),
            Self::UndeclaredBody => (format!("{head}\r\n"), "x".repeat(64 << 10)),
            Self::Event => (
                format!("{head}content-type: text/event-stream\r\n\r\nid: 1\ndata: "),
                "x".repeat(64 << 10),
            ),
        }
    }
}

async fn serve(mut client: TcpStream, part: Part) -> Option<()> {
    let mut request = Vec::new();
    while !request.windows(4).any(|end| end == b"\r\n\r\n") {
        client
            .read_buf(&mut request)
            .await
            .ok()
            .filter(|count| *count > 0)?;
    }
    let request = String::from_utf8_lossy(&request);
    let id = request.split("x-attempt-id: ").nth(1)?.split('\r').next()?;
    let (first, more) = part.bytes(id);
    client.write_all(first.as_bytes()).await.ok()?;
    loop {
        client.write_all(more.as_bytes()).await.ok()?;
        sleep(PAUSE).await;
    }
}

/// A server that answers requests without end, and reports not at all.
async fn endless(part: Part) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client, part));
        }
    });
    address
}

/// Memory of this process in KiB: entries, targets and callers together.
fn memory_kib() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap();
    line.split_ascii_whitespace()
        .nth(1)
        .unwrap()
        .parse()
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_without_end_are_ended_and_harm_no_other_request() {
    let bench = Bench::start(1).await;
    for part in Part::ALL {
        let address = endless(part).await;
        for target in &bench.calls {
            target.set_published_address(address);
        }
        // The records of the new addresses travel as all records do.
        sleep(Duration::from_millis(1_200)).await;
        let before = memory_kib();
        let begun = Instant::now();
        let front = bench.front();
        let seals = (0..REQUESTS).map(|index| async move {
            let request = plain("/seal/b", &format!("{part:?}-{index}"), KEYS[0]);
            call(front, &request).await
        });
        let others = async {
            for index in 0..10 {
                let answer = call(bench.front(), &stream(&format!("{part:?}-s{index}"))).await;
                assert_eq!((answer.status, answer.whole), (200, true), "{part:?}");
            }
        };
        let mut most = before;
        let watch = async {
            loop {
                most = most.max(memory_kib());
                sleep(LOOK).await;
            }
        };
        let answers = tokio::select! {
            (answers, ()) = future::join(join_all(seals), others) => answers,
            () = watch => unreachable!(),
        };
        assert!(begun.elapsed() < ENDED, "{part:?}: {:?}", begun.elapsed());
        for answer in answers {
            // A limit ends them, not the time that the caller waits.
            let ran = answer.header("camphorweir-ran");
            let may_have_run = answer.status == 502 && ran == "unknown";
            let was_not_sent = answer.status == 503 && ran == "no";
            assert!(may_have_run || was_not_sent, "{part:?}: {answer:?}");
        }
        let grown = most - before;
        assert!(grown < MEMORY_KIB, "{part:?}: {grown} KiB more");
    }
}
