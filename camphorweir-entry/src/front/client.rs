//! The one client of the platform's store.

use {
    crate::front::pool::Connection,
    bytes::Bytes,
    camphorweir_platform::store::{Call, Fault},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, header},
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// Largest answer, in bytes; above the size of one page or read.
const MOST: usize = 16 << 20;

/// Asks one server, on a connection that is kept while answers come.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl Client {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Makes a call; gives status and body.
    ///
    /// # Errors
    ///
    /// [`Fault::Unanswered`] when no whole answer comes in time. The connection is then given up,
    /// since nothing may follow on it.
    pub async fn call(&mut self, call: Call, within: Duration) -> Result<(u16, Bytes), Fault> {
        let connection = self
            .connection
            .take()
            .filter(|connection| !connection.sender.is_closed());
        let done = timeout(within, exchange(self.address, connection, call, within)).await;
        let (connection, status, body) = match done {
            Ok(done) => done?,
            Err(_) => return Err(unanswered("time is over")),
        };
        self.connection = Some(connection);
        Ok((status, body))
    }
}

async fn exchange(
    address: SocketAddr,
    connection: Option<Connection>,
    call: Call,
    within: Duration,
) -> Result<(Connection, u16, Bytes), Fault> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection::open(address, within)
            .await
            .map_err(unanswered)?,
    };
    connection.sender.ready().await.map_err(unanswered)?;
    let request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(call.body))
        .map_err(unanswered)?;
    let response = connection.sender.send_request(request).await;
    let response = response.map_err(unanswered)?;
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MOST).collect().await;
    let body = body.map_err(unanswered)?.to_bytes();
    Ok((connection, status, body))
}

fn unanswered(what: impl ToString) -> Fault {
    Fault::Unanswered {
        what: what.to_string(),
    }
}
