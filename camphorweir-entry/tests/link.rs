//! The connection to an engine: orders are sent in frames, replies are reported as events, and a
//! new connection carries nothing from an old one.

use {
    bytes::Bytes,
    camphorweir_entry::{
        core_task::{self, Connected, Input},
        link,
    },
    camphorweir_policy::event::Event,
    camphorweir_wire::{
        codec,
        engine::{Command, FORMAT, Frame, Hello, Layers, LayersHeld, Load, MAX_FRAME_BYTES, Reply},
    },
    http_body_util::{
        BodyExt,
        channel::{Channel, Sender},
    },
    hyper::{Request, Response, body::Incoming, service::service_fn},
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{convert::Infallible, net::SocketAddr},
    tokio::{net::TcpListener, sync::mpsc, task::JoinHandle},
};

/// The engine's side of one connection.
struct Session {
    orders: Incoming,
    replies: Sender<Bytes>,
    connection: JoinHandle<()>,
}

/// An engine that passes each of its connections to the test.
struct Engine {
    address: SocketAddr,
    sessions: mpsc::Receiver<Session>,
}

async fn engine() -> Engine {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, sessions) = mpsc::channel(8);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (stream_sender, mut stream_receiver) = mpsc::channel(1);
            let service = service_fn(move |request: Request<Incoming>| {
                let (replies, body) = Channel::<Bytes>::new(4);
                let stream_sender = stream_sender.clone();
                async move {
                    assert_eq!(request.uri().path(), "/v1/steps");
                    stream_sender
                        .send((request.into_body(), replies))
                        .await
                        .unwrap();
                    Ok::<_, Infallible>(Response::new(body))
                }
            });
            let connection = tokio::spawn(async move {
                let builder = hyper::server::conn::http2::Builder::new(TokioExecutor::new());
                let _ = builder
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            let sender = sender.clone();
            tokio::spawn(async move {
                let (orders, replies) = stream_receiver.recv().await.unwrap();
                let _ = sender
                    .send(Session {
                        orders,
                        replies,
                        connection,
                    })
                    .await;
            });
        }
    });
    Engine { address, sessions }
}

fn hello() -> Hello {
    let layers = Layers { first: 0, end: 4 };
    let holds = LayersHeld {
        model: "m".to_owned(),
        layers,
        fence: 0,
        loading: false,
    };
    Hello {
        incarnation: 3,
        layers_held: holds,
        kind: "l40".to_owned(),
    }
}

fn load(open: u32) -> Reply {
    Reply::Load(Load {
        age_ms: 0,
        open_attempts: open,
        queued_positions: 0,
    })
}

fn frame(items: Vec<Reply>) -> Bytes {
    let body = codec::encode(&Frame {
        format: FORMAT,
        items,
    });
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    bytes.into()
}

async fn next_orders(session: &mut Session, count: usize) -> Vec<Command> {
    let (mut bytes, mut orders) = (Vec::new(), Vec::new());
    while orders.len() < count {
        let chunk = session.orders.frame().await.unwrap().unwrap();
        bytes.extend_from_slice(&chunk.into_data().unwrap());
        while bytes.len() >= 4 {
            let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
            if bytes.len() < 4 + length {
                break;
            }
            let frame: Frame<Command> = codec::decode(&bytes[4..4 + length]).unwrap();
            orders.extend(frame.items);
            bytes.drain(..4 + length);
        }
    }
    orders
}

/// Waits until the connection is established.
async fn next_connected(inputs: &mut mpsc::Receiver<Input>) -> Connected {
    loop {
        match inputs.recv().await.unwrap() {
            Input::Connected(connected) => return connected,
            Input::Tagged(1, Event::Disconnected(_)) => {}
            other => panic!("a connection was expected: {other:?}"),
        }
    }
}

async fn next_event(inputs: &mut mpsc::Receiver<Input>) -> Event {
    match inputs.recv().await.unwrap() {
        Input::Tagged(1, event) => event,
        other => panic!("an event was expected: {other:?}"),
    }
}

#[tokio::test]
async fn orders_go_out_and_replies_come_in() {
    let mut engine = engine().await;
    let (core_handle, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        core_handle,
        1,
        "t".to_owned(),
        engine.address.to_string(),
    ));
    let mut session = engine.sessions.recv().await.unwrap();
    session
        .replies
        .send_data(frame(vec![Reply::Hello(hello()), load(1)]))
        .await
        .unwrap();
    let Connected {
        hello: received_hello,
        commands: orders,
        ..
    } = next_connected(&mut inputs).await;
    assert_eq!(received_hello, hello());
    assert_eq!(
        next_event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(1))
    );
    // A frame that arrives byte by byte is decoded as one frame.
    for byte in frame(vec![load(2), load(3)]) {
        session
            .replies
            .send_data(Bytes::copy_from_slice(&[byte]))
            .await
            .unwrap();
    }
    assert_eq!(
        next_event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(2))
    );
    assert_eq!(
        next_event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(3))
    );
    for attempt in 0..1000 {
        orders.send(Command::Cancel(9, attempt)).await.unwrap();
    }
    let expected: Vec<Command> = (0..1000)
        .map(|attempt| Command::Cancel(9, attempt))
        .collect();
    assert_eq!(next_orders(&mut session, 1000).await, expected);
}

#[tokio::test]
async fn a_new_connection_carries_no_old_orders() {
    let mut engine = engine().await;
    let (core_handle, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        core_handle,
        1,
        "t".to_owned(),
        engine.address.to_string(),
    ));
    let mut session = engine.sessions.recv().await.unwrap();
    session
        .replies
        .send_data(frame(vec![Reply::Hello(hello())]))
        .await
        .unwrap();
    let old = next_connected(&mut inputs).await;
    session.connection.abort();
    assert_eq!(
        next_event(&mut inputs).await,
        Event::Disconnected("t".to_owned())
    );
    // The core may not have received the event yet; an order that it still sends must be dropped.
    let _ = old.commands.send(Command::Cancel(1, 1)).await;
    let mut session = engine.sessions.recv().await.unwrap();
    session
        .replies
        .send_data(frame(vec![Reply::Hello(hello())]))
        .await
        .unwrap();
    let new = next_connected(&mut inputs).await;
    new.commands.send(Command::Cancel(2, 2)).await.unwrap();
    assert_eq!(next_orders(&mut session, 1).await, [Command::Cancel(2, 2)]);
}

#[tokio::test]
async fn protocol_errors_close_the_connection() {
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    let invalid_message = [0, 0, 0, 1, 0xc1].to_vec();
    let frame_of_unknown_format = codec::encode(&Frame {
        format: FORMAT + 1,
        items: vec![load(1)],
    });
    let mut unknown_format = (frame_of_unknown_format.len() as u32)
        .to_be_bytes()
        .to_vec();
    unknown_format.extend_from_slice(&frame_of_unknown_format);
    for bytes in [too_long, invalid_message, unknown_format] {
        let mut engine = engine().await;
        let (core_handle, mut inputs) = core_task::channel();
        tokio::spawn(link::run(
            core_handle,
            1,
            "t".to_owned(),
            engine.address.to_string(),
        ));
        let mut session = engine.sessions.recv().await.unwrap();
        session
            .replies
            .send_data(frame(vec![Reply::Hello(hello())]))
            .await
            .unwrap();
        let _connected = next_connected(&mut inputs).await;
        session.replies.send_data(bytes.into()).await.unwrap();
        assert_eq!(
            next_event(&mut inputs).await,
            Event::Disconnected("t".to_owned())
        );
    }
}

#[tokio::test]
async fn an_engine_must_send_hello_first() {
    let mut engine = engine().await;
    let (core_handle, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        core_handle,
        1,
        "t".to_owned(),
        engine.address.to_string(),
    ));
    let mut session = engine.sessions.recv().await.unwrap();
    session
        .replies
        .send_data(frame(vec![load(1)]))
        .await
        .unwrap();
    assert_eq!(
        next_event(&mut inputs).await,
        Event::Disconnected("t".to_owned())
    );
}
