//! Encoding of log segments and other values in the key-value service.

use sched::id::Epoch;
use sched::record::Record;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Compression level.
const LEVEL: i32 = 1;
/// Longest decompressed value, in bytes.
const MAX_PLAIN_BYTES: usize = 256 << 20;

/// A value that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("a stored value is damaged: {0}")]
pub struct Error(String);

/// Entries that were committed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Value that no other write has, by which a writer knows its own.
    pub nonce: u64,
    /// The entries, in order.
    pub records: Vec<Record>,
}

/// Encodes and compresses a value.
///
/// # Errors
///
/// Returns an [`Error`] when the value cannot be encoded.
pub fn pack(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let plain = bincode::serde::encode_to_vec(value, bincode::config::standard());
    let plain = plain.map_err(|error| Error(error.to_string()))?;
    zstd::bulk::compress(&plain, LEVEL).map_err(|error| Error(error.to_string()))
}

/// Decompresses and decodes a value.
///
/// # Errors
///
/// Returns an [`Error`] when the bytes are not what [`pack`] made.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let reader = zstd::stream::Decoder::new(bytes).map_err(|error| Error(error.to_string()))?;
    let mut reader = std::io::Read::take(reader, MAX_PLAIN_BYTES as u64);
    let mut reader = std::io::BufReader::new(&mut reader);
    bincode::serde::decode_from_std_read(&mut reader, bincode::config::standard())
        .map_err(|error| Error(error.to_string()))
}
