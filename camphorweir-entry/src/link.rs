//! Long-lived connections to engines: sends commands, batched into frames, and receives replies.

use {
    crate::{
        core_task::{Closed, Connected, Generation, Handle, Input},
        supervise::Backoff,
    },
    bytes::{Buf, Bytes, BytesMut},
    camphorweir_config::model::TargetId,
    camphorweir_policy::event::Event,
    camphorweir_wire::{
        codec,
        engine::{Command, FORMAT, Frame, Hello, MAX_FRAME_BYTES, PATH, Reply},
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

/// Time within which a connection must be open and the engine's hello received.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// First and longest delay before a reconnect.
const RECONNECT_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Capacity of a connection's command queue; a connection that falls further behind is reset.
const COMMAND_QUEUE_LEN: usize = 16_384;
/// Most commands in one frame.
const MAX_COMMANDS_PER_FRAME: usize = 512;
/// Capacity that the buffer of commands keeps between two frames.
const MIN_COMMAND_CAPACITY: usize = 16;
/// Frames queued for writing.
const FRAME_QUEUE_LEN: usize = 4;
/// Interval of HTTP/2 pings, and the timeout of each.
const HTTP2_PING: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3));
/// Flow-control window of a connection, in bytes.
const HTTP2_WINDOW: u32 = 4 << 20;
/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_LEN: usize = 4;

#[derive(Debug, Snafu)]
enum Error {
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    #[snafu(display("the connection failed: {what}"))]
    Failed { what: String },
    #[snafu(display("the engine closed the stream"))]
    StreamEnded,
    #[snafu(display("the engine broke the protocol: {what}"))]
    Protocol { what: &'static str },
    #[snafu(display("this entry is shutting down"))]
    ShuttingDown,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Failed {
        what: error.to_string(),
    }
}

/// An open session with an engine: both directions of its stream and the task that drives it.
struct Session {
    commands: Sender<Bytes>,
    replies: Replies,
    _keep_open: SendRequest<Channel<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a connection to an engine open, reconnecting until the core task has ended.
pub async fn run(core_handle: Handle, generation: Generation, target: TargetId, address: String) {
    let mut backoff = Backoff::new(RECONNECT_BACKOFF.0, RECONNECT_BACKOFF.1);
    loop {
        let ended =
            connect_and_serve(&core_handle, generation, &target, &address, &mut backoff).await;
        if let Err(error) = ended {
            log::debug!(target_name = target.as_str(), reason:% = error; "engine connection lost");
        }
        let event = Event::Disconnected(target.clone());
        if core_handle.send(Input::Tagged(generation, event)).await == Err(Closed) {
            return;
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

async fn connect_and_serve(
    core_handle: &Handle,
    generation: Generation,
    target: &TargetId,
    address: &str,
    backoff: &mut Backoff,
) -> Result<(), Error> {
    let opened = timeout(CONNECT_TIMEOUT, open(address)).await;
    let (mut session, hello) = opened.map_err(|_| Error::ConnectTimeout)??;
    backoff.reset();
    // Each connection has its own channel, so commands for an earlier one can't be sent on it.
    let (commands, queue) = mpsc::channel(COMMAND_QUEUE_LEN);
    let connected = Connected {
        generation,
        target: target.clone(),
        hello,
        commands,
    };
    core_handle
        .send(Input::Connected(connected))
        .await
        .map_err(|_| Error::ShuttingDown)?;
    let Session {
        commands, replies, ..
    } = &mut session;
    tokio::select! {
        result = write_commands(commands, queue) => result,
        result = read_replies(replies, core_handle, generation, target) => result,
    }
}

async fn open(address: &str) -> Result<(Session, Hello), Error> {
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(HTTP2_PING.0)
        .keep_alive_timeout(HTTP2_PING.1)
        .initial_stream_window_size(HTTP2_WINDOW)
        .initial_connection_window_size(HTTP2_WINDOW);
    let (mut sender, connection) = builder
        .handshake(TokioIo::new(stream))
        .await
        .map_err(failed)?;
    let task = tokio::spawn(async move {
        // The stream ends with the connection, and its reader reports that.
        let _ = connection.await;
    });
    let (commands, body) = Channel::new(FRAME_QUEUE_LEN);
    let request = Request::post(format!("http://{address}{PATH}")).body(body);
    let sent = sender.send_request(request.map_err(failed)?).await;
    let response = match sent {
        Ok(response) => response,
        Err(error) => {
            task.abort();
            return Err(failed(error));
        }
    };
    let replies = Replies::new(response.into_body());
    let mut session = Session {
        commands,
        replies,
        _keep_open: sender,
        task,
    };
    match session.replies.next().await? {
        Reply::Hello(hello) => Ok((session, hello)),
        _ => Err(Error::Protocol {
            what: "the first message is not a hello",
        }),
    }
}

/// Writes commands, all queued ones in one frame.
async fn write_commands(
    frames: &mut Sender<Bytes>,
    mut queue: mpsc::Receiver<Command>,
) -> Result<(), Error> {
    let mut items = Vec::new();
    loop {
        if queue.recv_many(&mut items, MAX_COMMANDS_PER_FRAME).await == 0 {
            return Err(Error::ShuttingDown);
        }
        let frame = Frame {
            format: FORMAT,
            items: std::mem::take(&mut items),
        };
        let bytes = codec::encode_frame(&frame).ok_or(Error::Protocol {
            what: "the commands do not fit in a frame",
        })?;
        items = frame.items;
        items.clear();
        items.shrink_to(MIN_COMMAND_CAPACITY);
        frames
            .send_data(bytes.into())
            .await
            .map_err(|_| Error::StreamEnded)?;
    }
}

async fn read_replies(
    replies: &mut Replies,
    core_handle: &Handle,
    generation: Generation,
    target: &TargetId,
) -> Result<(), Error> {
    loop {
        let replies = replies.next_all().await?;
        let events = replies
            .map(|reply| Input::Tagged(generation, Event::EngineReply(target.clone(), reply)));
        core_handle
            .send_all(events)
            .await
            .map_err(|_| Error::ShuttingDown)?;
    }
}

/// Reads the replies of an engine.
struct Replies {
    body: Incoming,
    buffer: BytesMut,
    decoded: VecDeque<Reply>,
}

impl Replies {
    fn new(body: Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            decoded: VecDeque::new(),
        }
    }

    async fn next(&mut self) -> Result<Reply, Error> {
        self.read_until_decoded().await?;
        self.decoded.pop_front().ok_or(Error::StreamEnded)
    }

    /// Waits for at least one reply and returns all that are decoded.
    async fn next_all(&mut self) -> Result<vec_deque::Drain<'_, Reply>, Error> {
        self.read_until_decoded().await?;
        Ok(self.decoded.drain(..))
    }

    /// Reads frames until a reply is decoded.
    async fn read_until_decoded(&mut self) -> Result<(), Error> {
        while self.decoded.is_empty() {
            if let Some(frame) = take_frame(&mut self.buffer)? {
                self.decoded.extend(frame.items);
                continue;
            }
            let chunk = self
                .body
                .frame()
                .await
                .ok_or(Error::StreamEnded)?
                .map_err(failed)?;
            if let Ok(data) = chunk.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        Ok(())
    }
}

/// Removes a complete frame from the buffer, which stays below [`MAX_FRAME_BYTES`] plus one read.
fn take_frame(buffer: &mut BytesMut) -> Result<Option<Frame<Reply>>, Error> {
    let Some(prefix) = buffer.first_chunk::<LENGTH_PREFIX_LEN>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).map_err(failed)?;
    if length > MAX_FRAME_BYTES {
        return Err(Error::Protocol {
            what: "a frame is too long",
        });
    }
    if buffer.len() < LENGTH_PREFIX_LEN + length {
        return Ok(None);
    }
    buffer.advance(LENGTH_PREFIX_LEN);
    let body = buffer.split_to(length);
    let frame: Frame<Reply> = codec::decode(&body).map_err(failed)?;
    match frame.format {
        FORMAT => Ok(Some(frame)),
        _ => Err(Error::Protocol {
            what: "the format of the frame is unknown",
        }),
    }
}
