//! One connection of an entry to an engine: frames in and out.

use {
    crate::{
        engine::Engine,
        server::{Body, lock},
    },
    bytes::{Buf, BufMut, Bytes, BytesMut},
    camphorweir_wire::{
        codec,
        engine::{Command, FORMAT, Frame, MAX_FRAME_BYTES, Reply},
    },
    http_body_util::{
        BodyExt,
        channel::{Channel, Sender},
    },
    hyper::{Response, body::Incoming},
    std::{io, sync::Arc},
    tokio::sync::mpsc::UnboundedReceiver,
};

/// Most replies in a frame.
const MAX_ITEMS: usize = 64;
/// Bytes of a frame's length.
const LENGTH: usize = 4;

type Out = Sender<Bytes, io::Error>;

/// Answers with the replies and reads the orders, until either side ends.
pub(crate) fn open(engine: Arc<Engine>, body: Incoming, from: Option<String>) -> Response<Body> {
    let (out, answer) = Channel::new(1);
    let (link, replies) = lock(&engine.state).link(from);
    tokio::spawn(async move {
        tokio::select! {
            () = read(&engine, link, body) => {}
            () = write(&engine, replies, out) => {}
        }
        engine.unlink(link);
    });
    Response::new(answer.boxed_unsync())
}

async fn write(engine: &Engine, mut replies: UnboundedReceiver<Reply>, mut out: Out) {
    let mut items = Vec::new();
    while replies.recv_many(&mut items, MAX_ITEMS).await > 0 {
        engine.thawed().await;
        let frame = encode(std::mem::take(&mut items));
        if out.send_data(frame).await.is_err() {
            return;
        }
    }
}

fn encode(items: Vec<Reply>) -> Bytes {
    let format = FORMAT;
    let message = codec::encode(&Frame { format, items });
    let mut frame = BytesMut::with_capacity(LENGTH + message.len());
    frame.put_u32(message.len() as u32);
    frame.put_slice(&message);
    frame.freeze()
}

async fn read(engine: &Engine, link: u64, mut body: Incoming) {
    let mut bytes = BytesMut::new();
    while let Some(Ok(part)) = body.frame().await {
        engine.thawed().await;
        if let Ok(data) = part.into_data() {
            bytes.extend_from_slice(&data);
        }
        while let Some(frame) = whole(&mut bytes) {
            let Some(orders) = frame.and_then(decode) else {
                return;
            };
            for order in orders {
                engine.order(link, order);
            }
        }
    }
}

/// The next whole frame; `Some(None)` when it is too long.
fn whole(bytes: &mut BytesMut) -> Option<Option<BytesMut>> {
    let length = bytes.first_chunk::<LENGTH>()?;
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Some(None);
    }
    if bytes.len() < LENGTH + length {
        return None;
    }
    bytes.advance(LENGTH);
    Some(Some(bytes.split_to(length)))
}

fn decode(frame: BytesMut) -> Option<Vec<Command>> {
    let frame: Frame<Command> = codec::decode(&frame).ok()?;
    (frame.format == FORMAT).then_some(frame.items)
}
