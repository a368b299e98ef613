//! Length-prefixed `bincode` frames over an `h2` stream.

use crate::Error;
use bytes::{BufMut, Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::future::poll_fn;

/// Maximum length of a frame's body, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 8 << 20;
/// Maximum size of a decoded frame, in bytes; in memory, values take more than in the frame.
const MAX_DECODED_BYTES: usize = 8 * MAX_FRAME_BYTES;
/// Length of the prefix, in bytes; it holds the body's length as a big-endian integer.
const LENGTH_BYTES: usize = 4;

/// Encodes a value as one frame, with the length prefix.
pub(crate) fn encode(value: &impl Serialize) -> Result<Bytes, Error> {
    let body = bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| Error::Malformed(error.to_string()))?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::Malformed(format!(
            "body of {} bytes exceeds the frame limit",
            body.len()
        )));
    }
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    frame.put_u32(body.len() as u32);
    frame.extend_from_slice(&body);
    Ok(frame.freeze())
}

/// Sends bytes as the peer's flow-control window allows, and ends the stream after them if
/// `end_stream` is set.
pub(crate) async fn send(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    end_stream: bool,
) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let capacity =
            capacity.ok_or_else(|| Error::Interrupted("the stream is closed".to_owned()))??;
        let chunk = bytes.split_to(capacity.min(bytes.len()));
        let last = end_stream && bytes.is_empty();
        stream.send_data(chunk, last)?;
    }
    Ok(())
}

/// Reader of the frames of a stream.
pub(crate) struct Reader {
    stream: RecvStream,
    buffer: BytesMut,
}

impl Reader {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { stream, buffer: BytesMut::new() }
    }

    /// Returns the stream, and the bytes after the last frame, whose capacity is released already.
    pub(crate) fn into_parts(self) -> (RecvStream, Bytes) {
        (self.stream, self.buffer.freeze())
    }

    /// Returns the value of the next frame, or `None` when the stream ended between frames.
    pub(crate) async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, Error> {
        loop {
            if let Some(body) = self.split_frame()? {
                return decode(&body).map(Some);
            }
            match self.stream.data().await {
                Some(chunk) => self.buffer_chunk(&chunk?)?,
                None if self.buffer.is_empty() => return Ok(None),
                None => {
                    return Err(Error::Interrupted("the stream ended inside a frame".to_owned()));
                }
            }
        }
    }

    /// Buffers received bytes and returns their flow-control capacity to the peer.
    fn buffer_chunk(&mut self, chunk: &Bytes) -> Result<(), Error> {
        self.stream.flow_control().release_capacity(chunk.len())?;
        self.buffer.extend_from_slice(chunk);
        Ok(())
    }

    /// Removes the first frame from the buffer and returns its body; `None` while it is incomplete.
    fn split_frame(&mut self) -> Result<Option<Bytes>, Error> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(Error::Malformed(format!(
                "body of {length} bytes exceeds the frame limit"
            )));
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        let frame = self.buffer.split_to(LENGTH_BYTES + length).freeze();
        Ok(Some(frame.slice(LENGTH_BYTES..)))
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    // Without a limit, a frame that announces a huge list would allocate it before it is read.
    let config = bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();
    let decoded = bincode::serde::decode_from_slice(body, config);
    decoded.map(|(value, _)| value).map_err(|error| Error::Malformed(error.to_string()))
}
