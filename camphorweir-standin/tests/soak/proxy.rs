//! A loopback proxy that passes connections on, or disturbs them.

use {
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        time::sleep,
    },
};

/// What it does to connections, those that are open included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Passes all on.
    Pass,
    /// Passes all on, later.
    Delay(Duration),
    /// Closes connections, the open ones and new ones.
    Reset,
    /// Drops what the caller sends.
    MuteCaller,
    /// Drops what the server sends.
    MuteServer,
    /// Drops what both send.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// Rises when all connections are closed.
    round: u64,
}

/// The proxy of one server; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    state: Arc<watch::Sender<State>>,
}

impl Proxy {
    /// Opens a proxy before a server.
    pub(crate) async fn open(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let begun = State {
            mode: Mode::Pass,
            round: 0,
        };
        let state = Arc::new(watch::channel(begun).0);
        let states = state.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(pass(caller, server, states.subscribe()));
            }
        });
        Self { address, state }
    }

    /// Behaves so from now on.
    pub(crate) fn set(&self, mode: Mode) {
        self.state.send_modify(|state| {
            state.mode = mode;
            state.round += u64::from(mode == Mode::Reset);
        });
    }

    /// Passes all on again; connections that may have lost something are closed.
    pub(crate) fn mend(&self) {
        self.set(Mode::Reset);
        self.set(Mode::Pass);
    }
}

async fn pass(caller: TcpStream, server: SocketAddr, states: watch::Receiver<State>) {
    let begun = *states.borrow();
    if begun.mode == Mode::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    let mut rounds = states.clone();
    let reset = async {
        // The sender outlives the connections of a test.
        let _ = rounds.wait_for(|state| state.round != begun.round).await;
    };
    let up = copy(from_caller, to_server, states.clone(), Mode::MuteCaller);
    let down = copy(from_server, to_caller, states, Mode::MuteServer);
    tokio::select! {
        () = reset => {}
        _ = async { tokio::join!(up, down) } => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    states: watch::Receiver<State>,
    mute: Mode,
) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let mode = states.borrow().mode;
        if mode == mute || mode == Mode::Silent {
            // What is lost on a connection is never made good; it stays open until a reset.
            std::future::pending::<()>().await;
        }
        if let Mode::Delay(time) = mode {
            sleep(time).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
    // The other side may have gone.
    let _ = to.shutdown().await;
}
