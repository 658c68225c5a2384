//! The end of a listener: what waits in its queue is accepted, and further connections are refused.

use {
    rustix::{
        io::Errno,
        net::{Shutdown, SocketFlags, accept_with, shutdown},
    },
    std::net,
    tokio::net::{TcpListener, TcpStream},
};

/// Shuts a listener, so that new connections are refused; returns those that waited in its queue.
/// Connections that were accepted stay open.
pub fn listener_close(listener: &TcpListener) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    // The runtime may not know of them yet, and the shutdown resets what is left in the queue.
    loop {
        match accept_with(listener, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK) {
            Ok(socket) => waiting.extend(TcpStream::from_std(net::TcpStream::from(socket))),
            Err(Errno::AGAIN) => break,
            Err(Errno::INTR | Errno::CONNABORTED) => {}
            Err(error) => {
                log::warn!(reason:% = error; "could not accept the last connections");
                break;
            }
        }
    }
    if let Err(error) = shutdown(listener, Shutdown::Both) {
        log::warn!(reason:% = error; "could not shut down the callers' listener");
    }
    waiting
}
