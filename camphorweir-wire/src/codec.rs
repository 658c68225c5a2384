//! MessagePack to and from bytes.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
};

/// Bytes that are not the message expected.
#[derive(Debug, Snafu)]
#[snafu(display("not the message expected: {source}"))]
pub struct Error {
    /// What the decoder says.
    source: rmp_serde::decode::Error,
}

/// Encodes a message.
///
/// Every message of this crate can be encoded; one that can't gives no bytes, which no reader takes
/// for a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Decodes a message.
///
/// # Errors
///
/// [`Error`] when `bytes` are not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|source| Error { source })
}
