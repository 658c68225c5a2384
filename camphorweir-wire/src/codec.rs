//! Encodes and decodes messages as MessagePack.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
};

/// Size in bytes of a frame's length prefix.
const LENGTH_BYTES: usize = 4;

/// The bytes are not a message of the expected type.
#[derive(Debug, Snafu)]
#[snafu(display("not the message expected: {source}"))]
pub struct Error {
    /// The decoder's error.
    source: rmp_serde::decode::Error,
}

/// Encodes a message.
///
/// Every message of this crate can be encoded. A value that can't be gives no bytes, which no
/// reader accepts as a message.
pub fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Encodes a message with the names of its fields, so that releases may add some: a reader passes over
/// those that it does not know.
pub fn encode_named<T: Serialize>(message: &T) -> Vec<u8> {
    rmp_serde::to_vec_named(message).unwrap_or_default()
}

/// Encodes a message with its length in front as a big-endian `u32`; `None` when the length does
/// not fit.
pub fn encode_frame<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH_BYTES];
    rmp_serde::encode::write(&mut bytes, message).ok()?;
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).ok()?;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Some(bytes)
}

/// Decodes a message.
///
/// # Errors
///
/// [`Error`] when `bytes` are not a `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes).map_err(|source| Error { source })
}
