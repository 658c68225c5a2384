//! Instances that stop while callers use their connections.

use {
    crate::{
        bench::{Answer, Bench, Channel, KEYS, call, plain, stream, until},
        holders::metric,
        site::site,
    },
    bytes::Bytes,
    camphorweir_standin::platform_target::{ResponseFault, STREAM_EVENTS, event},
    http_body_util::Full,
    hyper::Request,
    std::{
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    tokio::{
        io::AsyncReadExt,
        net::TcpSocket,
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, sleep_until},
    },
};

/// Time from SIGTERM to SIGKILL in the settings of the bench.
const GRACE: Duration = Duration::from_secs(8);
/// Pause after each event of a stream of 5.4 s.
const SLOW: ResponseFault = ResponseFault::SlowBy(900);
/// Pause after each event of a stream of 7 s.
const LONG: ResponseFault = ResponseFault::SlowBy(1_170);
/// Silence of a sound target.
const SILENT: ResponseFault = ResponseFault::LateBy(1_000);
/// Longest Retry-After with which a caller still comes back at once, in seconds.
const SHORT_S: f64 = 0.5;
/// Time within which a refusal counts as given at once.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Time from the stop at which idle connections are closed.
const IDLE_CLOSE: Duration = Duration::from_millis(2_200);
/// Size of a body that fits into no buffers of sockets.
const LARGE: usize = 7 << 20;
/// Guards against a hang; no promise is measured by it.
const GUARD: Duration = Duration::from_secs(10);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn all_events() -> String {
    (1..=STREAM_EVENTS).map(event).collect()
}

/// A request for a stream whose caller waits for as long as the route allows.
fn patient(id: &str) -> Request<Full<Bytes>> {
    let mut request = stream(id);
    let headers = request.headers_mut();
    headers.insert("x-deadline-ms", "20000".parse().unwrap());
    request
}

/// Opens connections, each of which has served a call.
async fn used_channels(front: SocketAddr, count: usize) -> Vec<Channel> {
    let mut channels = Vec::new();
    for index in 0..count {
        let mut channel = Channel::open(front).await;
        let warm = plain("/look/b", &format!("w{index}"), KEYS[0]);
        assert_eq!(channel.call(&warm).await.unwrap().status, 200);
        channels.push(channel);
    }
    channels
}

/// Lets the next streams of all targets take 5.4 s, and the instance see some of them.
async fn slow_streams(bench: &Bench) {
    for part in &bench.parts {
        (0..200).for_each(|_| part.inject(SLOW));
    }
    let mut streams = JoinSet::new();
    for index in 0..12 {
        let front = bench.front();
        streams.spawn(async move { call(front, &patient(&format!("before-{index}"))).await });
    }
    for answer in streams.join_all().await {
        assert!(answer.whole && answer.status == 200, "{answer:?}");
    }
}

/// A request on a connection that is used as the operating system has it, with no task of its own.
struct Socket {
    stream: TcpStream,
    received: Vec<u8>,
    sent: bool,
}

impl Socket {
    async fn open(front: SocketAddr) -> Self {
        let stream = TcpStream::connect(front).unwrap();
        // The instance accepts it before the next is opened.
        sleep(ms(1)).await;
        stream.set_nonblocking(true).unwrap();
        Self {
            stream,
            received: Vec::new(),
            sent: false,
        }
    }

    fn is_closed(&self) -> bool {
        match self.stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends a call unless the connection is closed; nothing else runs between the two.
    fn send(&mut self, id: &str) {
        if self.is_closed() {
            return;
        }
        let text = format!(
            "POST /look/b HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {id}\r\n\
             x-deadline-ms: 3000\r\nauthorization: Bearer {}\r\ncontent-length: 2\r\n\r\nab",
            KEYS[0]
        );
        self.sent = self.stream.write(text.as_bytes()).unwrap() == text.len();
        self.received.clear();
    }

    /// Reads until an answer is whole; returns whether it is.
    async fn is_answered(&mut self) -> bool {
        let until = Instant::now() + GUARD;
        while Instant::now() < until {
            let mut buffer = [0; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) => self.received.extend(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(ms(2)).await,
                Err(_) => break,
            }
            if self.is_whole() {
                return true;
            }
        }
        self.is_whole()
    }

    fn is_whole(&self) -> bool {
        let text = String::from_utf8_lossy(&self.received);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return false;
        };
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let is_length = name.eq_ignore_ascii_case("content-length");
            is_length.then(|| value.trim().parse::<usize>().ok())?
        });
        length == Some(body.len())
    }
}

/// Guards against streams that a stopping instance admits and cuts, and against reloads that move its end.
#[tokio::test]
async fn a_stream_that_arrives_during_a_stop_is_served_whole_or_refused_at_once() {
    let mut bench = Bench::start(1).await;
    slow_streams(&bench).await;
    let front = bench.front();
    let early = used_channels(front, 4).await;
    let mut entry = bench.entries.remove(0);
    let settings = entry.settings.clone();
    let begun = Instant::now();
    entry.stop();
    let end = tokio::spawn(async move {
        entry.ended().await.unwrap();
        Instant::now()
    });
    sleep(ms(100)).await;
    if let Ok(settings) = settings.lock().unwrap().as_mut() {
        settings.bounds.stop_grace = 3 * GRACE;
    }
    let mut streams = JoinSet::new();
    // Connections from before the stop are idle until 2 s, the others, opened later, until 2.8 s.
    let early = early
        .into_iter()
        .zip(0..)
        .map(|(channel, index)| (Some(channel), 150 + 500 * index));
    let late = (0..6).map(|index| (None, 1_900 + 150 * index));
    for (index, (channel, at)) in early.chain(late).enumerate() {
        streams.spawn(async move {
            let mut channel = match channel {
                Some(channel) => channel,
                None => {
                    sleep_until(begun + ms(1_000)).await;
                    Channel::open(front).await
                }
            };
            sleep_until(begun + ms(at)).await;
            let sent = Instant::now();
            let answer = channel.call(&patient(&format!("s{index}"))).await;
            (index, at, (sent, Instant::now()), answer)
        });
    }
    for version in 2..8 {
        bench.configure(version, &KEYS);
        sleep(ms(400)).await;
    }
    let (mut served, mut refused) = (0, 0);
    let end = end.await.unwrap();
    for (index, at, (sent, answered), answer) in streams.join_all().await {
        let answer = answer.unwrap();
        match answer.status {
            200 => {
                assert!(answer.whole && answered <= end, "cut: sent after {at} ms");
                assert_eq!(answer.body, all_events(), "sent after {at} ms");
                served += 1;
            }
            status => {
                assert_eq!((status, answer.header("connection")), (503, "close"));
                let retry_after: f64 = answer.header("retry-after").parse().unwrap();
                assert!(retry_after <= SHORT_S && answered - sent < AT_ONCE);
                assert_eq!(bench.runs(&format!("s{index}")), 0);
                refused += 1;
            }
        }
    }
    assert!(served > 0 && refused > 0, "{served} {refused}");
    assert!(end - begun < GRACE);
}

/// Guards against instances that send callers away who could still be served.
#[tokio::test]
async fn calls_and_streams_that_end_in_time_are_served_late_in_a_stop() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    bench.parts.iter().for_each(|part| part.inject(SLOW));
    let long = tokio::spawn(async move { call(front, &patient("long")).await });
    until("the run", || async {
        (bench.runs("long") == 1).then_some(())
    })
    .await;
    bench.parts.iter().for_each(|part| part.clear_faults());
    bench.entries[0].stop();
    sleep(ms(3_500)).await;
    let answer = call(front, &plain("/look/b", "a1", KEYS[0])).await;
    assert_eq!((answer.status, answer.header("connection")), (200, "close"));
    let answer = call(front, &stream("s1")).await;
    assert_eq!((answer.status, answer.whole), (200, true), "{answer:?}");
    assert!(long.await.unwrap().whole);
}

/// Lets a stream begin that keeps the instance busy for nearly all of the grace, and stops the instance;
/// returns when the instance ended, where a process does with all that it has.
async fn stop_while_busy(bench: &mut Bench) -> (JoinHandle<Answer>, JoinHandle<Instant>) {
    let front = bench.front();
    bench.parts.iter().for_each(|part| part.inject(LONG));
    let long = tokio::spawn(async move { call(front, &patient("long")).await });
    until("the run", || async {
        (bench.runs("long") == 1).then_some(())
    })
    .await;
    bench.parts.iter().for_each(|part| part.clear_faults());
    let mut entry = bench.entries.remove(0);
    entry.stop();
    let end = tokio::spawn(async move {
        entry.ended().await.unwrap();
        Instant::now()
    });
    (long, end)
}

/// Guards against calls that are taken late in a stop and cut while a sound target is silent.
#[tokio::test]
async fn calls_late_in_a_stop_are_answered_or_refused_at_once_while_a_target_is_silent() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    used_channels(front, 20).await;
    let begun = Instant::now();
    let (long, end) = stop_while_busy(&mut bench).await;
    let mut calls = JoinSet::new();
    for index in 0..76 {
        calls.spawn(async move {
            sleep_until(begun + ms(5_000 + 25 * index)).await;
            let path = ["/seal/b", "/look/b"][index as usize % 2];
            let sent = Instant::now();
            let answer = call(front, &plain(path, &format!("a{index}"), KEYS[0])).await;
            (index, (sent, Instant::now()), answer)
        });
    }
    sleep_until(begun + ms(6_300)).await;
    for target in &bench.calls {
        (0..100).for_each(|_| target.inject(SILENT));
    }
    let (mut served, mut refused) = (0, 0);
    let end = end.await.unwrap();
    for (index, (sent, answered), answer) in calls.join_all().await {
        match answer.status {
            200 => {
                assert!(answered <= end, "cut: a{index}");
                served += 1;
            }
            status => {
                assert_eq!((status, answer.header("camphorweir-code")), (503, "2005"));
                assert!(answered - sent < AT_ONCE, "{:?}", answered - sent);
                assert_eq!(bench.runs(&format!("a{index}")), 0);
                refused += 1;
            }
        }
    }
    assert!(served > 0 && refused > 0, "{served} {refused}");
    assert!(long.await.unwrap().whole);
}

/// Guards against connections that close on a request without an answer as the process ends.
#[tokio::test]
async fn what_has_no_answer_at_the_end_of_a_stop_is_told_so() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    let begun = Instant::now();
    let (long, end) = stop_while_busy(&mut bench).await;
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Hang));
    let mut partial = Socket::open(front).await;
    let head = format!(
        "POST /seal/b HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: p1\r\nx-deadline-ms: 20000\r\n\
         authorization: Bearer {}\r\ncontent-length: 4\r\n\r\nab",
        KEYS[0]
    );
    partial.stream.write_all(head.as_bytes()).unwrap();
    let mut request = plain("/seal/b", "a1", KEYS[0]);
    let deadline = "20000".parse().unwrap();
    request.headers_mut().insert("x-deadline-ms", deadline);
    let answer = call(front, &request).await;
    let answered = Instant::now();
    assert_eq!((answer.status, bench.runs("a1")), (504, 1), "{answer:?}");
    let (code, ran) = ("camphorweir-code", "camphorweir-ran");
    assert_eq!(
        (answer.header(code), answer.header(ran)),
        ("2007", "unknown")
    );
    assert!(
        answered - begun > GRACE - ms(1_000),
        "{:?}",
        answered - begun
    );
    assert!(partial.is_answered().await);
    assert!(answered <= end.await.unwrap());
    let text = String::from_utf8_lossy(&partial.received).into_owned();
    assert!(text.starts_with("HTTP/1.1 503") && text.contains("camphorweir-code: 2005"));
    assert!(long.await.unwrap().whole);
}

/// Guards against a request that crosses the close of its connection, and that operators can't see.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_its_connection_is_counted() {
    let mut bench = Bench::start(1).await;
    let mut socket = Socket::open(bench.front()).await;
    socket.send("w");
    assert!(socket.is_answered().await);
    bench.entries[0].stop();
    until("the close", || async { socket.is_closed().then_some(()) }).await;
    socket
        .stream
        .write_all(b"POST /look/b HTTP/1.1\r\n")
        .unwrap();
    let counter = "camphorweir_connections_unanswered_total{cause=\"crossing\"";
    metric(&bench, counter, " 1").await;
}

/// Guards against idle connections that are closed with a request on them.
#[tokio::test]
async fn a_request_in_the_moment_of_the_idle_close_is_answered() {
    let mut bench = Bench::start(1).await;
    let mut sockets = Vec::new();
    for index in 0..240 {
        let mut socket = Socket::open(bench.front()).await;
        socket.send(&format!("w{index}"));
        assert!(socket.is_answered().await);
        sockets.push(socket);
    }
    let begun = Instant::now();
    bench.entries[0].stop();
    let mut calls = JoinSet::new();
    for (index, mut socket) in sockets.into_iter().enumerate() {
        calls.spawn(async move {
            socket.sent = false;
            let at = IDLE_CLOSE + Duration::from_micros(200) * index as u32;
            sleep_until(begun + at - ms(20)).await;
            socket.send(&format!("a{index}"));
            let is_answered = !socket.sent || socket.is_answered().await;
            (socket.sent, is_answered)
        });
    }
    let ends = calls.join_all().await;
    let sent = ends.iter().filter(|(sent, _)| *sent).count();
    let lost = ends.iter().filter(|(_, answered)| !answered).count();
    assert_eq!(lost, 0, "{sent} sent");
    assert!(sent > 0 && sent < ends.len(), "{sent} sent");
}

/// Guards against a process that ends with connections open on which callers may send.
#[tokio::test]
async fn a_request_in_the_moment_of_the_end_is_answered_and_no_connection_outlives_it() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    let mut entry = bench.entries.remove(0);
    let begun = Instant::now();
    entry.stop();
    // Connections that are opened during the stop are kept for some time.
    sleep(ms(1_500)).await;
    let mut calls = JoinSet::new();
    for index in 0..200 {
        let mut socket = Socket::open(front).await;
        calls.spawn(async move {
            sleep_until(begun + ms(2_550 + 3 * index)).await;
            socket.send(&format!("a{index}"));
            let is_answered = !socket.sent || socket.is_answered().await;
            (socket.sent, is_answered)
        });
    }
    let mut idle = Vec::new();
    for _ in 0..20 {
        idle.push(Socket::open(front).await);
    }
    entry.ended().await.unwrap();
    let open = idle.iter_mut().filter(|socket| !socket.is_closed()).count();
    let ends = calls.join_all().await;
    let lost = ends.iter().filter(|(_, answered)| !answered).count();
    assert_eq!((open, lost), (0, 0), "open at the end, lost");
}

/// Guards against a process that ends before an answer is written.
#[tokio::test]
async fn an_answer_to_a_caller_that_reads_slowly_is_written_before_the_end() {
    let mut bench = Bench::start(1).await;
    let front = bench.front();
    bench
        .calls
        .iter()
        .for_each(|target| target.inject(ResponseFault::Large(LARGE)));
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let stream = socket.connect(front).await.unwrap();
    let stream = stream.into_std().unwrap();
    let mut caller = Socket {
        stream,
        received: Vec::new(),
        sent: false,
    };
    caller.send("a1");
    until("the run", || async {
        (bench.runs("a1") == 1).then_some(())
    })
    .await;
    let mut entry = bench.entries.remove(0);
    let begun = Instant::now();
    entry.stop();
    sleep_until(begun + ms(4_500)).await;
    assert!(!entry.is_over(), "ended with an answer that is not written");
    let mut stream = tokio::net::TcpStream::from_std(caller.stream).unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert!(received.len() > LARGE, "{}", received.len());
    entry.ended().await.unwrap();
    assert!(begun.elapsed() < GRACE);
}

/// Guards against connections that close earlier than the configuration in force lets callers expect.
#[tokio::test]
async fn a_connection_that_was_idle_for_four_fifths_of_a_raised_limit_is_open() {
    let bench = Bench::start(1).await;
    let limit = async |version: u64, idle_ms: u64| {
        let mut site = site(version, &KEYS);
        site["limits"]["idleTimeoutMs"] = idle_ms.into();
        bench
            .store
            .put("keyed.op", "config", site.to_string().as_bytes());
        sleep(ms(1_000)).await;
    };
    limit(2, 2_000).await;
    let mut used = used_channels(bench.front(), 4).await;
    let mut unused = Vec::new();
    for _ in 0..4 {
        unused.push(Channel::open(bench.front()).await);
    }
    limit(3, 5_000).await;
    sleep(ms(3_000)).await;
    let answers = async |channels: &mut Vec<Channel>| -> Vec<Option<u16>> {
        let mut answers = Vec::new();
        for channel in channels {
            let answer: Option<Answer> = channel.call(&plain("/look/b", "a1", KEYS[0])).await;
            answers.push(answer.map(|answer| answer.status));
        }
        answers
    };
    let (used, unused) = (answers(&mut used).await, answers(&mut unused).await);
    assert_eq!((used, unused), (vec![Some(200); 4], vec![Some(200); 4]));
}
