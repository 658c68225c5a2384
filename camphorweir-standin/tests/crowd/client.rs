//! Clients that send what they shouldn't, and stay.

use {
    crate::child::GUARD,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// A client that can't send on for this long has done what it can.
const BLOCKED: Duration = Duration::from_secs(2);
/// Pause before a client connects anew.
const RETURN: Duration = Duration::from_millis(50);
/// Receive buffer of clients that don't read, in bytes.
const RECEIVE_BUFFER: u32 = 4 << 10;
/// Send buffer, so that what a client has sent has arrived.
const SEND_BUFFER: u32 = 64 << 10;
/// Time in which the last of it is read.
const READ: Duration = Duration::from_secs(2);

/// What a client sends.
#[derive(Clone, Default)]
pub(crate) struct Script {
    pub(crate) head: String,
    /// Sent so many times after the head.
    pub(crate) piece: Vec<u8>,
    pub(crate) pieces: usize,
    /// Pause after each piece.
    pub(crate) pause: Duration,
    /// Whether it leaves answers unread.
    pub(crate) is_deaf: bool,
    /// How often it connects anew when its connection is closed.
    pub(crate) returns: usize,
    /// Time from the start of one client to that of the next.
    pub(crate) apart: Duration,
}

impl Script {
    /// A head and nothing else.
    pub(crate) fn head(head: String) -> Self {
        Self {
            head,
            ..Self::default()
        }
    }

    /// A head and a body in pieces.
    pub(crate) fn body(head: String, piece: Vec<u8>, pieces: usize) -> Self {
        Self {
            piece,
            pieces,
            ..Self::head(head)
        }
    }
}

/// A head of a call with headers of the framing.
pub(crate) fn head(key: &str, framing: &str) -> String {
    format!(
        "POST /look/a HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: c0ffee\r\nx-deadline-ms: 60000\r\n\
         authorization: Bearer {key}\r\n{framing}\r\n\r\n"
    )
}

/// A chunk with so many bytes.
pub(crate) fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "x".repeat(bytes)).into_bytes()
}

/// Clients that have connections open, until dropped.
pub(crate) struct Crowd {
    clients: JoinSet<()>,
    /// Number of clients that have done what they can.
    settled: Arc<AtomicUsize>,
    count: usize,
    /// Number of answers by status; 0 stands for a close without one.
    statuses: Arc<Mutex<BTreeMap<u16, usize>>>,
}

impl Crowd {
    /// So many clients at once.
    pub(crate) fn open(address: SocketAddr, count: usize, script: &Script) -> Self {
        let mut crowd = Self {
            clients: JoinSet::new(),
            settled: Arc::default(),
            count,
            statuses: Arc::default(),
        };
        for index in 0..count {
            let (script, settled) = (script.clone(), crowd.settled.clone());
            let statuses = crowd.statuses.clone();
            crowd.clients.spawn(async move {
                sleep(script.apart * index as u32).await;
                let mut is_settled = false;
                for _ in 0..=script.returns {
                    let Ok(mut stream) = connect(address, script.is_deaf).await else {
                        continue;
                    };
                    send(&mut stream, &script).await;
                    settled.fetch_add(usize::from(!is_settled), Ordering::Relaxed);
                    is_settled = true;
                    let status = stay(stream, script.is_deaf).await;
                    *statuses.lock().unwrap().entry(status).or_default() += 1;
                    sleep(RETURN).await;
                }
                settled.fetch_add(usize::from(!is_settled), Ordering::Relaxed);
            });
        }
        crowd
    }

    /// Waits until all have done what they can.
    pub(crate) async fn settled(&mut self) {
        let all = async {
            while self.settled.load(Ordering::Relaxed) < self.count {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(GUARD, all).await.expect("the crowd goes on");
        sleep(READ).await;
    }

    /// Answers so far.
    pub(crate) fn statuses(&self) -> BTreeMap<u16, usize> {
        self.statuses.lock().unwrap().clone()
    }
}

async fn connect(address: SocketAddr, is_deaf: bool) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    if is_deaf {
        socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    }
    socket.connect(address).await
}

async fn send(stream: &mut TcpStream, script: &Script) {
    let pieces = std::iter::once(script.head.as_bytes());
    let pieces = pieces.chain(std::iter::repeat_n(&script.piece[..], script.pieces));
    for piece in pieces {
        // A refusal ends the connection while the client still sends.
        if !matches!(timeout(BLOCKED, stream.write_all(piece)).await, Ok(Ok(()))) {
            return;
        }
        if !script.pause.is_zero() {
            sleep(script.pause).await;
        }
    }
}

/// Stays until the connection is closed; returns the status of the first answer.
async fn stay(mut stream: TcpStream, is_deaf: bool) -> u16 {
    let mut answer = Vec::new();
    let mut buffer = vec![0; 1 << 10];
    if is_deaf {
        std::future::pending::<()>().await;
    }
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return status(&answer),
            Ok(count) if answer.len() < 64 => answer.extend(&buffer[..count]),
            Ok(_) => {}
        }
    }
}

fn status(answer: &[u8]) -> u16 {
    let text = String::from_utf8_lossy(answer);
    let status = text
        .strip_prefix("HTTP/1.1 ")
        .and_then(|text| text.get(..3));
    status.and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// The answer to a request without a body.
pub(crate) async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Status of the answer to an ordinary call with a body of so many bytes, on a connection of its own; 0 without one.
pub(crate) async fn ask(address: SocketAddr, key: &str, bytes: usize) -> u16 {
    let framing = format!("connection: close\r\ncontent-length: {bytes}");
    let request = [head(key, &framing).into_bytes(), vec![b'x'; bytes]].concat();
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let mut answer = Vec::new();
        // The answer may come before the whole request is read.
        let _ = stream.write_all(&request).await;
        stream.read_to_end(&mut answer).await?;
        std::io::Result::Ok(status(&answer))
    };
    let answered = timeout(GUARD, exchange).await;
    answered.ok().and_then(Result::ok).unwrap_or(0)
}
