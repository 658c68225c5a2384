//! Client for the metadata store: counts its calls and drops responses of earlier eras.

use {
    crate::front::{client::Client, state::State},
    bytes::Bytes,
    camphorweir_platform::store::{Call, Error, store_call_kind, store_decode_era},
    camphorweir_relay::store::{Era, Observation},
    std::time::Duration,
};

/// A response of the store.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The whole body.
    pub body: Bytes,
    /// Era in which the response was written.
    pub era: Era,
}

/// A connection to the store.
#[derive(Debug)]
pub struct Store {
    client: Client,
    state: State,
}

impl Store {
    /// A client that is not connected yet.
    pub fn new(state: &State) -> Self {
        Self {
            client: Client::new(state.settings().store_address),
            state: state.clone(),
        }
    }

    /// The highest era of the store that was heard of.
    pub fn era(&self) -> Era {
        self.state.era()
    }

    /// Makes a call within `time_limit`.
    ///
    /// # Errors
    ///
    /// [`Error::NoResponse`] without a complete response in time, and [`Error::Outdated`] for a
    /// response from before a restore of the store.
    pub async fn call(&mut self, call: Call, time_limit: Duration) -> Result<Response, Error> {
        self.state
            .metrics()
            .record_store_call(store_call_kind(&call));
        let (head, body) = self.client.exchange(call, time_limit).await?;
        let era = store_decode_era(&head.headers);
        match self.state.observe_era(era, "store") {
            Observation::Outdated => Err(Error::Outdated),
            Observation::Current | Observation::Restored { .. } => Ok(Response {
                status: head.status.as_u16(),
                body,
                era,
            }),
        }
    }
}
