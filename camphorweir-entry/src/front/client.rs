//! HTTP client for small calls to the store, to targets and to peers.

use {
    crate::{
        front::pool::Connection,
        response_head::{Error as HeadError, head_receive},
    },
    bytes::{Bytes, BytesMut},
    camphorweir_platform::store::{Call, Error},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Request, header, http::response::Parts},
    std::{
        io,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::time::{Instant, timeout},
};

/// Limit on a response body of the store or a peer, in bytes; above the size of one page or read of
/// the store.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Limit on a response body of a target, in bytes; a report lists two hundred streams at most.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Calls one server; keeps its connection open as long as calls succeed.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    /// Local address of the connection; the system's choice if `None`.
    source: Option<IpAddr>,
    max_response_bytes: usize,
    connection: Option<Connection>,
}

impl Client {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            source: None,
            max_response_bytes: MAX_RESPONSE_BYTES,
            connection: None,
        }
    }

    /// A client for reports of a target and orders to it, which is not connected yet and will connect
    /// from a local address, if one is given.
    pub fn to_target(address: SocketAddr, source: Option<IpAddr>) -> Self {
        Self {
            source,
            max_response_bytes: MAX_REPORT_BYTES,
            ..Self::new(address)
        }
    }

    /// Connects within `time_limit`, for the next call.
    ///
    /// # Errors
    ///
    /// The I/O error, or a timeout.
    pub async fn connect(&mut self, time_limit: Duration) -> io::Result<()> {
        let connection = Connection::open(self.address, self.source, time_limit).await?;
        self.connection = Some(connection);
        Ok(())
    }

    /// Makes a call within `time_limit`; returns status and body.
    ///
    /// # Errors
    ///
    /// [`Error::NoResponse`] without a complete response in time. The connection is then closed, as
    /// the rest of that response could still arrive on it.
    pub async fn call(&mut self, call: Call, time_limit: Duration) -> Result<(u16, Bytes), Error> {
        let (head, body) = self.exchange(call, time_limit).await?;
        Ok((head.status.as_u16(), body))
    }

    /// Makes a call like [`Client::call`]; returns head and body of the response.
    ///
    /// # Errors
    ///
    /// Those of [`Client::call`].
    pub async fn exchange(
        &mut self,
        call: Call,
        time_limit: Duration,
    ) -> Result<(Parts, Bytes), Error> {
        let deadline = Instant::now() + time_limit;
        let connection = self
            .connection
            .take()
            .filter(|connection| !connection.sender.is_closed());
        let connection = match connection {
            Some(connection) => connection,
            None => Connection::open(self.address, self.source, time_limit)
                .await
                .map_err(no_response)?,
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let result = timeout(left, self.send(connection, call)).await;
        let (connection, head, body) = match result {
            Ok(result) => result?,
            Err(_) => return Err(no_response("timed out")),
        };
        self.connection = Some(connection);
        Ok((head, body))
    }

    async fn send(
        &self,
        mut connection: Connection,
        call: Call,
    ) -> Result<(Connection, Parts, Bytes), Error> {
        connection.sender.ready().await.map_err(no_response)?;
        let request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(call.body))
            .map_err(no_response)?;
        connection.expect_next();
        let sender = &mut connection.sender;
        let response = head_receive(request, |request| async {
            let sent = sender.send_request(request).await;
            sent.map_err(HeadError::connection)
        });
        let response = response.await.map_err(no_response)?;
        let (head, body) = response.into_parts();
        let mut body = Limited::new(body, self.max_response_bytes);
        let mut collected = BytesMut::new();
        connection.expect_next();
        while let Some(frame) = body.frame().await {
            connection.expect_next();
            let frame = frame.map_err(no_response)?;
            collected.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        Ok((connection, head, collected.freeze()))
    }
}

fn no_response(reason: impl ToString) -> Error {
    Error::NoResponse {
        reason: reason.to_string(),
    }
}
