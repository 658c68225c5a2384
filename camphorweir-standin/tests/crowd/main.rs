//! Clients that don't behave, against an entry as a process: whatever they send, it lives, keeps to its memory and
//! descriptors, and answers an ordinary request. `--nocapture` shows what it used.

#[path = "../process/child.rs"]
#[allow(dead_code)]
mod child;
mod client;
mod machine;
#[path = "../support/port.rs"]
mod port;
#[path = "../support/site.rs"]
mod site;

use {
    camphorweir_standin::platform_target::ResponseFault,
    camphorweir_wire::{
        codec,
        detour::{RUNS_HEADER, VERSION_HEADER},
        digest::{Datagram, Digest},
    },
    client::{Crowd, Script, ask, chunk, head},
    machine::{BODY, KEY, MEMORY_MB, Machine, SMALLEST_MB, library, resident},
    std::{net::SocketAddr, time::Duration},
    tokio::net::UdpSocket,
};

/// Clients with bodies of the largest legal size: together twice the memory of the machine.
const LARGE: usize = 32;
/// Clients with chunks of one byte, and how many chunks each sends.
const TINY: (usize, usize) = (8, 400_000);
/// Clients whose bodies are far over the limit, and bytes that each sends.
const OVERSIZED: (usize, usize) = (32, 16 << 20);
/// Clients that hold a connection each: more than there are descriptors.
const CONNECTIONS: usize = 1_400;
/// Bytes of their heads, which don't end.
const UNFINISHED_HEAD: usize = 12 << 10;
/// Clients that don't read answers of so many bytes.
const UNREAD_ANSWERS: (usize, usize) = (40, 7 << 20);
/// Clients with input behind a request in hand, and bytes of it.
const BEHIND: (usize, usize) = (500, 1 << 20);
/// Senders of datagrams, whose names have a thousand bytes.
const SENDERS: u64 = 200_000;
/// A target that answers after 20 s.
const SLOW: ResponseFault = ResponseFault::LateBy(20_000);
/// Bytes that are sent at a time.
const PIECE: usize = 64 << 10;

fn with_length(bytes: usize) -> String {
    format!("content-length: {bytes}")
}

const CHUNKED: &str = "transfer-encoding: chunked";

/// A body of the largest legal size, less its last byte.
fn short(key: &str) -> Script {
    let head = head(key, &with_length(BODY));
    Script::body(head, vec![b'x'; BODY - 1], 1)
}

/// A chunked body of the largest legal size, less its last chunk.
fn chunked(bytes: usize, chunks: usize) -> Script {
    Script::body(head(KEY, CHUNKED), chunk(bytes), chunks)
}

/// A head, sent anew each time that the connection is closed.
fn returning(head: String) -> Script {
    Script {
        returns: 1_000,
        ..Script::head(head)
    }
}

/// Runs a crowd against callers' address.
async fn bear(clients: usize, script: Script) {
    bear_at(|machine| machine.callers, clients, script).await;
}

/// Runs a crowd against an address of a machine.
async fn bear_at(address: impl Fn(&Machine) -> SocketAddr, clients: usize, script: Script) {
    let machine = Machine::start(MEMORY_MB).await;
    let crowd = Crowd::open(address(&machine), clients, &script);
    machine.bear(crowd).await;
}

/// Runs a crowd against callers' address while the target has so many faults.
async fn bear_faults(faults: (ResponseFault, usize), clients: usize, script: Script) {
    let machine = Machine::start(MEMORY_MB).await;
    (0..faults.1).for_each(|_| machine.target.inject(faults.0));
    let crowd = Crowd::open(machine.callers, clients, &script);
    machine.bear(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_length() {
    bear(LARGE, short(KEY)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_that_stop_short_of_their_length() {
    let script = Script {
        pause: Duration::from_millis(5),
        ..Script::body(head(KEY, &with_length(BODY)), vec![b'x'; PIECE - 1], 64)
    };
    bear(LARGE, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_with_a_wrong_key() {
    bear(LARGE, short("key-of-none")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_large_chunks() {
    bear(LARGE, chunked(PIECE, 63)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte() {
    let (clients, chunks) = TINY;
    bear(clients, chunked(1, chunks)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_over_the_limit() {
    let (clients, bytes) = OVERSIZED;
    let head = head(KEY, &with_length(8 << 30));
    let script = Script::body(head, vec![b'x'; PIECE], bytes / PIECE);
    bear(clients, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_far_over_the_limit() {
    let (clients, bytes) = OVERSIZED;
    bear(clients, chunked(PIECE, bytes / PIECE)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_whose_target_is_slow() {
    let script = Script::body(head(KEY, &with_length(BODY)), vec![b'x'; BODY], 1);
    bear_faults((SLOW, 2 * LARGE), LARGE, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_nobody_reads() {
    let (clients, bytes) = UNREAD_ANSWERS;
    let script = Script {
        is_deaf: true,
        apart: Duration::from_millis(100),
        ..Script::head(head(KEY, &with_length(0)))
    };
    let faults = (ResponseFault::Large(bytes), clients);
    bear_faults(faults, clients, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn input_behind_a_request_in_hand() {
    let (clients, bytes) = BEHIND;
    let head = head(KEY, &with_length(0));
    let script = Script::body(head, vec![b'x'; PIECE], bytes / PIECE);
    bear_faults((SLOW, 2 * clients), clients, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_that_do_not_end() {
    let long = "x".repeat(UNFINISHED_HEAD);
    let head = format!("GET /look/a HTTP/1.1\r\nx-long: {long}");
    bear(CONNECTIONS, returning(head)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_that_say_nothing_at_callers_address() {
    bear(CONNECTIONS, returning(String::new())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_at_the_address_of_readiness() {
    let head = Script::head("GET /api/readyz HTTP/1.1\r\n".to_owned());
    bear_at(|machine| machine.ready, CONNECTIONS, head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_at_the_port_of_peers() {
    let head = Script::head("POST /follow HTTP/1.1\r\n".to_owned());
    bear_at(|machine| machine.peers, CONNECTIONS, head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_at_the_port_of_metrics() {
    let head = Script::head("GET /metrics HTTP/1.1\r\n".to_owned());
    bear_at(|machine| machine.metrics, CONNECTIONS, head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_at_the_port_of_peers() {
    let framing = format!(
        "{VERSION_HEADER}: 0\r\n{RUNS_HEADER}: 0\r\n{}",
        with_length(BODY)
    );
    let script = Script::body(head(KEY, &framing), vec![b'x'; BODY - 1], 1);
    bear_at(|machine| machine.peers, LARGE, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn datagrams_of_ever_new_senders() {
    let machine = Machine::start(MEMORY_MB).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for sender in 0..SENDERS {
        let digest = Digest {
            entry: format!("{sender:0>1000}"),
            ..Digest::default()
        };
        let bytes = codec::encode(&Datagram::Digest(digest));
        socket.send_to(&bytes, machine.peers).await.unwrap();
        // Few of them find no room in the receiver's buffer.
        if sender % 64 == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
    let crowd = Crowd::open(machine.callers, 0, &Script::head(String::new()));
    machine.bear(crowd).await;
}

/// What clients make the process hold is no more than what is booked, but for buffers of the allocator.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_held_is_booked() {
    let machine = Machine::start(MEMORY_MB).await;
    let calm = machine.resident();
    let mut crowd = Crowd::open(machine.callers, LARGE, &short(KEY));
    crowd.settled().await;
    let (held, booked) = (machine.resident() - calm, machine.booked().await);
    println!("{held} bytes held, {booked} booked");
    assert!(booked >= 4 * BODY, "{booked} bytes booked");
    assert!(held <= booked + (MEMORY_MB << 20) / 8);
    machine.bear(crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_in_calm_on_the_smallest_machine() {
    let machine = Machine::start(SMALLEST_MB).await;
    machine.serve_largest().await;
}

/// Without `--platform` the bound is that of the small machine too, far above what eight bodies of 1 MiB are.
#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_one_byte_without_the_platform() {
    let _turn = machine::turn().await;
    let (clients, chunks) = TINY;
    let (mut process, callers) = library(2 * clients).await;
    let head = format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\n{CHUNKED}\r\n\r\n");
    let mut crowd = Crowd::open(callers, clients, &Script::body(head, chunk(1), chunks));
    crowd.settled().await;
    let peak = resident(process.process.id(), "VmHWM:");
    println!("{} MiB at most, crowd {:?}", peak >> 20, crowd.statuses());
    // No service and no log: the answer is a refusal.
    assert!(ask(callers, KEY, 7).await >= 400);
    assert!(process.is_running());
    assert!(peak <= MEMORY_MB << 20, "{} MiB of memory", peak >> 20);
}
