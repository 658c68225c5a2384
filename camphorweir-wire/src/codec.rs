//! MessagePack to and from bytes.

use {
    serde::{Serialize, de::DeserializeOwned},
    snafu::Snafu,
};

/// Bytes of the length before a frame.
const LENGTH: usize = 4;

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

/// Encodes a message after its length as a big-endian `u32`; `None` when it is longer than that can
/// say.
pub fn framed<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    let mut bytes = vec![0; LENGTH];
    rmp_serde::encode::write(&mut bytes, message).ok()?;
    let length = u32::try_from(bytes.len() - LENGTH).ok()?;
    bytes[..LENGTH].copy_from_slice(&length.to_be_bytes());
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
