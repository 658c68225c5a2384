//! The connection to an engine: orders in frames, replies as events, and nothing of an old
//! connection on a new one.

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

/// One connection as the engine sees it.
struct Session {
    orders: Incoming,
    replies: Sender<Bytes>,
    connection: JoinHandle<()>,
}

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
            let (opened, mut opening) = mpsc::channel(1);
            let service = service_fn(move |request: Request<Incoming>| {
                let (replies, body) = Channel::<Bytes>::new(4);
                let opened = opened.clone();
                async move {
                    assert_eq!(request.uri().path(), "/v1/steps");
                    opened.send((request.into_body(), replies)).await.unwrap();
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
                let (orders, replies) = opening.recv().await.unwrap();
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
        let part = session.orders.frame().await.unwrap().unwrap();
        bytes.extend_from_slice(&part.into_data().unwrap());
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

async fn up(inputs: &mut mpsc::Receiver<Input>) -> Connected {
    loop {
        match inputs.recv().await.unwrap() {
            Input::Connected(up) => return up,
            Input::Tagged(1, Event::Disconnected(_)) => {}
            other => panic!("a connection was expected: {other:?}"),
        }
    }
}

async fn event(inputs: &mut mpsc::Receiver<Input>) -> Event {
    match inputs.recv().await.unwrap() {
        Input::Tagged(1, event) => event,
        other => panic!("an event was expected: {other:?}"),
    }
}

#[tokio::test]
async fn orders_go_out_and_replies_come_in() {
    let mut engine = engine().await;
    let (port, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        port,
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
        hello: said,
        commands: orders,
        ..
    } = up(&mut inputs).await;
    assert_eq!(said, hello());
    assert_eq!(
        event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(1))
    );
    // A frame that comes byte by byte is one frame.
    for byte in frame(vec![load(2), load(3)]) {
        session
            .replies
            .send_data(Bytes::copy_from_slice(&[byte]))
            .await
            .unwrap();
    }
    assert_eq!(
        event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(2))
    );
    assert_eq!(
        event(&mut inputs).await,
        Event::EngineReply("t".to_owned(), load(3))
    );
    for attempt in 0..1000 {
        orders.send(Command::Cancel(9, attempt)).await.unwrap();
    }
    let wanted: Vec<Command> = (0..1000)
        .map(|attempt| Command::Cancel(9, attempt))
        .collect();
    assert_eq!(next_orders(&mut session, 1000).await, wanted);
}

#[tokio::test]
async fn a_new_connection_carries_no_old_orders() {
    let mut engine = engine().await;
    let (port, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        port,
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
    let old = up(&mut inputs).await;
    session.connection.abort();
    assert_eq!(
        event(&mut inputs).await,
        Event::Disconnected("t".to_owned())
    );
    // The core may not have heard yet; such an order must get nowhere.
    let _ = old.commands.send(Command::Cancel(1, 1)).await;
    let mut session = engine.sessions.recv().await.unwrap();
    session
        .replies
        .send_data(frame(vec![Reply::Hello(hello())]))
        .await
        .unwrap();
    let new = up(&mut inputs).await;
    new.commands.send(Command::Cancel(2, 2)).await.unwrap();
    assert_eq!(next_orders(&mut session, 1).await, [Command::Cancel(2, 2)]);
}

#[tokio::test]
async fn what_breaks_the_protocol_loses_the_connection() {
    let too_long = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes().to_vec();
    let no_message = [0, 0, 0, 1, 0xc1].to_vec();
    let unknown = codec::encode(&Frame {
        format: FORMAT + 1,
        items: vec![load(1)],
    });
    let mut format = (unknown.len() as u32).to_be_bytes().to_vec();
    format.extend_from_slice(&unknown);
    for bytes in [too_long, no_message, format] {
        let mut engine = engine().await;
        let (port, mut inputs) = core_task::channel();
        tokio::spawn(link::run(
            port,
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
        let _up = up(&mut inputs).await;
        session.replies.send_data(bytes.into()).await.unwrap();
        assert_eq!(
            event(&mut inputs).await,
            Event::Disconnected("t".to_owned())
        );
    }
}

#[tokio::test]
async fn an_engine_that_says_no_hello_first_is_not_up() {
    let mut engine = engine().await;
    let (port, mut inputs) = core_task::channel();
    tokio::spawn(link::run(
        port,
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
        event(&mut inputs).await,
        Event::Disconnected("t".to_owned())
    );
}
