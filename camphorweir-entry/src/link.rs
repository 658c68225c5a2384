//! Long-lived connections to engines: orders go out, many to a frame, and replies come in.

use {
    crate::{
        port::{Closed, Generation, Input, Port, Up},
        supervise::Backoff,
    },
    bytes::{Buf, Bytes, BytesMut},
    camphorweir_config::model::TargetId,
    camphorweir_policy::event::Event,
    camphorweir_wire::{
        codec,
        engine::{FORMAT, Frame, Hello, MAX_FRAME, Order, PATH, Reply},
    },
    http_body_util::{
        BodyExt,
        channel::{Channel, Sender},
    },
    hyper::{
        Request,
        body::Incoming,
        client::conn::http2::{self, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer},
    snafu::Snafu,
    std::{
        collections::{VecDeque, vec_deque},
        time::Duration,
    },
    tokio::{net::TcpStream, sync::mpsc, task::JoinHandle, time::timeout},
};

/// A connection must be up, and have said who it is, in this time.
const CONNECT: Duration = Duration::from_secs(2);
/// First and longest pause before another try.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Orders that wait for a connection; one that falls further behind is dropped.
const ORDERS: usize = 16_384;
/// Orders in one frame.
const BATCH: usize = 512;
/// Orders for which a connection keeps room between two frames.
const KEPT: usize = 16;
/// Frames that wait to be written.
const FRAMES: usize = 4;
/// Time between two pings, and how long an answer to one may take.
const PING: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3));
/// Flow-control window of a connection, in bytes.
const WINDOW: u32 = 4 << 20;
/// Bytes of the length before each frame.
const HEAD: usize = 4;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("no connection in time"))]
    Late,
    #[snafu(display("the connection failed: {what}"))]
    Failed { what: String },
    #[snafu(display("the engine ended the exchange"))]
    Ended,
    #[snafu(display("the engine broke the protocol: {what}"))]
    Protocol { what: &'static str },
    #[snafu(display("this entry is ending"))]
    Gone,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed {
        what: error.to_string(),
    }
}

/// A connection that is up: both halves and the task that drives it.
struct Line {
    orders: Sender<Bytes>,
    replies: Replies,
    _alive: SendRequest<Channel<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a connection to an engine until the core's task is gone.
pub async fn run(port: Port, life: Generation, target: TargetId, address: String) {
    let mut backoff = Backoff::new(BACKOFF.0, BACKOFF.1);
    loop {
        let ended = connect_and_serve(&port, life, &target, &address, &mut backoff).await;
        if let Err(error) = ended {
            log::debug!(target_name = target.as_str(), reason:% = error; "link down");
        }
        let event = Event::Unlinked(target.clone());
        if port.send(Input::Live(life, event)).await == Err(Closed) {
            return;
        }
        tokio::time::sleep(backoff.pause()).await;
    }
}

async fn connect_and_serve(
    port: &Port,
    life: Generation,
    target: &TargetId,
    address: &str,
    backoff: &mut Backoff,
) -> Result<(), Error> {
    let opened = timeout(CONNECT, open(address)).await;
    let (mut line, hello) = opened.map_err(|_| Error::Late)??;
    backoff.reset();
    // Orders for an earlier connection went to another channel, so none of them gets here.
    let (orders, queue) = mpsc::channel(ORDERS);
    let up = Up {
        generation: life,
        target: target.clone(),
        hello,
        orders,
    };
    port.send(Input::Up(up)).await.map_err(|_| Error::Gone)?;
    let Line {
        orders, replies, ..
    } = &mut line;
    tokio::select! {
        result = write(orders, queue) => result,
        result = read(replies, port, life, target) => result,
    }
}

async fn open(address: &str) -> Result<(Line, Hello), Error> {
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(PING.0)
        .keep_alive_timeout(PING.1)
        .initial_stream_window_size(WINDOW)
        .initial_connection_window_size(WINDOW);
    let (mut alive, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(failed)?;
    let task = tokio::spawn(async move {
        // The stream on it ends with it, which the reader sees.
        let _ = connection.await;
    });
    let (orders, body) = Channel::new(FRAMES);
    let request = Request::post(format!("http://{address}{PATH}")).body(body);
    let sent = alive.send_request(request.map_err(failed)?).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            task.abort();
            return Err(failed(error));
        }
    };
    let replies = Replies::new(response.into_body());
    let mut line = Line {
        orders,
        replies,
        _alive: alive,
        task,
    };
    match line.replies.next().await? {
        Reply::Hello(hello) => Ok((line, hello)),
        _ => Err(Error::Protocol {
            what: "the first message is no hello",
        }),
    }
}

/// Writes orders, all that wait in one frame.
async fn write(frames: &mut Sender<Bytes>, mut queue: mpsc::Receiver<Order>) -> Result<(), Error> {
    let mut items = Vec::new();
    loop {
        if queue.recv_many(&mut items, BATCH).await == 0 {
            return Err(Error::Gone);
        }
        let frame = Frame {
            format: FORMAT,
            items: std::mem::take(&mut items),
        };
        let bytes = codec::framed(&frame).ok_or(Error::Protocol {
            what: "the orders do not fit a frame",
        })?;
        items = frame.items;
        items.clear();
        items.shrink_to(KEPT);
        frames
            .send_data(bytes.into())
            .await
            .map_err(|_| Error::Ended)?;
    }
}

async fn read(
    replies: &mut Replies,
    port: &Port,
    life: Generation,
    target: &TargetId,
) -> Result<(), Error> {
    loop {
        let replies = replies.next_all().await?;
        let events = replies.map(|reply| Input::Live(life, Event::Engine(target.clone(), reply)));
        port.send_all(events).await.map_err(|_| Error::Gone)?;
    }
}

/// The replies of an engine, one after the other.
struct Replies {
    body: Incoming,
    buffer: BytesMut,
    ready: VecDeque<Reply>,
}

impl Replies {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
        }
    }

    async fn next(&mut self) -> Result<Reply, Error> {
        self.fill().await?;
        self.ready.pop_front().ok_or(Error::Ended)
    }

    /// All replies that are there, at least one.
    async fn next_all(&mut self) -> Result<vec_deque::Drain<'_, Reply>, Error> {
        self.fill().await?;
        Ok(self.ready.drain(..))
    }

    /// Waits until a reply is there.
    async fn fill(&mut self) -> Result<(), Error> {
        while self.ready.is_empty() {
            if let Some(frame) = take_frame(&mut self.buffer)? {
                self.ready.extend(frame.items);
                continue;
            }
            let part = self
                .body
                .frame()
                .await
                .ok_or(Error::Ended)?
                .map_err(failed)?;
            if let Ok(data) = part.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        Ok(())
    }
}

/// Takes a whole frame off the buffer; the buffer stays under [`MAX_FRAME`] and one read.
fn take_frame(buffer: &mut BytesMut) -> Result<Option<Frame<Reply>>, Error> {
    let Some(head) = buffer.first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*head)).map_err(failed)?;
    if length > MAX_FRAME {
        return Err(Error::Protocol {
            what: "a frame is too long",
        });
    }
    if buffer.len() < HEAD + length {
        return Ok(None);
    }
    buffer.advance(HEAD);
    let body = buffer.split_to(length);
    let frame: Frame<Reply> = codec::decode(&body).map_err(failed)?;
    match frame.format {
        FORMAT => Ok(Some(frame)),
        _ => Err(Error::Protocol {
            what: "the frame's format is not known",
        }),
    }
}
