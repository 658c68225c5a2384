//! One connection between an entry and an engine: framed orders in, framed replies out.

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

/// Maximum number of replies in a frame.
const MAX_FRAME_REPLIES: usize = 64;
/// Size of a frame's length prefix in bytes.
const LENGTH_BYTES: usize = 4;

type ReplySender = Sender<Bytes, io::Error>;

/// Responds with a stream of replies and reads orders until either side ends.
pub(crate) fn open(engine: Arc<Engine>, body: Incoming, client: Option<String>) -> Response<Body> {
    let (sender, response) = Channel::new(1);
    let (connection, replies) = lock(&engine.state).connect(client);
    tokio::spawn(async move {
        tokio::select! {
            () = read_orders(&engine, connection, body) => {}
            () = write_replies(&engine, replies, sender) => {}
        }
        engine.disconnect(connection);
    });
    Response::new(response.boxed_unsync())
}

async fn write_replies(
    engine: &Engine,
    mut replies: UnboundedReceiver<Reply>,
    mut sender: ReplySender,
) {
    let mut items = Vec::new();
    while replies.recv_many(&mut items, MAX_FRAME_REPLIES).await > 0 {
        engine.wait_while_frozen().await;
        let frame = encode(std::mem::take(&mut items));
        if sender.send_data(frame).await.is_err() {
            return;
        }
    }
}

fn encode(items: Vec<Reply>) -> Bytes {
    let format = FORMAT;
    let message = codec::encode(&Frame { format, items });
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + message.len());
    frame.put_u32(message.len() as u32);
    frame.put_slice(&message);
    frame.freeze()
}

async fn read_orders(engine: &Engine, connection: u64, mut body: Incoming) {
    let mut bytes = BytesMut::new();
    while let Some(Ok(frame)) = body.frame().await {
        engine.wait_while_frozen().await;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
        while let Some(frame) = next_frame(&mut bytes) {
            let Some(orders) = frame.and_then(decode) else {
                return;
            };
            for order in orders {
                engine.handle_order(connection, order);
            }
        }
    }
}

/// Removes the next complete frame; `Some(None)` if it is too long.
fn next_frame(bytes: &mut BytesMut) -> Option<Option<BytesMut>> {
    let length = bytes.first_chunk::<LENGTH_BYTES>()?;
    let length = u32::from_be_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Some(None);
    }
    if bytes.len() < LENGTH_BYTES + length {
        return None;
    }
    bytes.advance(LENGTH_BYTES);
    Some(Some(bytes.split_to(length)))
}

fn decode(frame: BytesMut) -> Option<Vec<Command>> {
    let frame: Frame<Command> = codec::decode(&frame).ok()?;
    (frame.format == FORMAT).then_some(frame.items)
}
