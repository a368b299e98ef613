//! Log segments, and the encoding of segments and other values in the key-value service.

use sched::id::Epoch;
use sched::record::Record;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Compression level of zstd.
const COMPRESSION_LEVEL: i32 = 1;
/// Maximum length of a decompressed value, in bytes.
const MAX_DECOMPRESSED_BYTES: usize = 256 << 20;

/// Error for a value that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("a stored value is damaged: {0}")]
pub struct Error(String);

/// Log entries that are committed together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Epoch of the owner that wrote the segment.
    pub epoch: Epoch,
    /// Random value by which a writer recognizes its own segment.
    pub nonce: u64,
    /// The entries, in order.
    pub records: Vec<Record>,
}

/// Encodes a value with bincode and compresses it with zstd.
///
/// # Errors
///
/// Returns an [`Error`] when the value cannot be encoded.
pub fn pack(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    let encoded = encoded.map_err(|error| Error(error.to_string()))?;
    zstd::bulk::compress(&encoded, COMPRESSION_LEVEL).map_err(|error| Error(error.to_string()))
}

/// Decompresses and decodes a value.
///
/// # Errors
///
/// Returns an [`Error`] when the bytes are not a value of this type encoded by [`pack`].
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let reader = zstd::stream::Decoder::new(bytes).map_err(|error| Error(error.to_string()))?;
    let mut reader = std::io::Read::take(reader, MAX_DECOMPRESSED_BYTES as u64);
    let mut reader = std::io::BufReader::new(&mut reader);
    bincode::serde::decode_from_std_read(&mut reader, bincode::config::standard())
        .map_err(|error| Error(error.to_string()))
}
