//! Connections that another daemon makes to an endpoint, whose bytes it passes on.
//!
//! A tunnel is one `h2` stream. The first frame names the endpoint, the first frame back says whether it
//! is connected, and plain bytes follow in both directions. Each side reads only what the other has room
//! for, so a slow reader slows the sender down. An end of either side's bytes is passed on as an end and
//! a failure as a failure, so that a response which ends with its connection is never taken for whole
//! when it broke off. Dropping a tunnel closes the connection to the endpoint.

use crate::Error;
use crate::frame::{self, Reader};
use bytes::{Buf, Bytes};
use h2::{Reason, RecvStream, SendStream};
use sched::id::EndpointId;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

/// Maximum number of bytes that are read from the endpoint at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// The endpoint at the other end of a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Number of its process.
    pub incarnation: u64,
}

/// Why another daemon did not connect to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The endpoint refuses connections.
    #[error("the endpoint refuses connections")]
    Refused,
    /// The endpoint does not answer.
    #[error("the endpoint does not answer")]
    TimedOut,
    /// The daemon is cut off from the endpoint, too, or does not know it.
    #[error("the daemon cannot tell")]
    Unknown,
    /// The daemon passes on as many connections as it may.
    #[error("the daemon has no room")]
    Full,
}

/// The client's side of a tunnel.
pub struct Tunnel {
    sender: SendStream<Bytes>,
    receiver: RecvStream,
    /// Bytes that were received and not read.
    received: Bytes,
    /// Whether the flow-control capacity of `received` is released already.
    released: bool,
    /// Whether this side has ended its bytes.
    ended: bool,
}

impl Tunnel {
    /// Creates a tunnel on a stream whose first frames have been exchanged.
    pub(crate) fn new(sender: SendStream<Bytes>, reader: Reader) -> Self {
        let (receiver, received) = reader.into_parts();
        Self { sender, receiver, received, released: true, ended: false }
    }
}

fn to_io(error: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, error)
}

impl AsyncRead for Tunnel {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.received.is_empty() {
            match ready!(self.receiver.poll_data(context)) {
                Some(Ok(bytes)) => (self.received, self.released) = (bytes, false),
                Some(Err(error)) => return Poll::Ready(Err(to_io(error))),
                None => return Poll::Ready(Ok(())),
            }
        }
        let length = buffer.remaining().min(self.received.len());
        buffer.put_slice(&self.received[..length]);
        self.received.advance(length);
        if self.released {
            return Poll::Ready(Ok(()));
        }
        let released = self.receiver.flow_control().release_capacity(length);
        Poll::Ready(released.map_err(to_io))
    }
}

impl AsyncWrite for Tunnel {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if bytes.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.sender.reserve_capacity(bytes.len());
        let closed = || io::Error::from(io::ErrorKind::BrokenPipe);
        // A window that was assigned earlier is not told again.
        let mut capacity = self.sender.capacity();
        while capacity == 0 {
            capacity = match ready!(self.sender.poll_capacity(context)) {
                Some(capacity) => capacity.map_err(to_io)?,
                None => return Poll::Ready(Err(closed())),
            };
        }
        let length = capacity.min(bytes.len());
        let sent = self.sender.send_data(Bytes::copy_from_slice(&bytes[..length]), false);
        Poll::Ready(sent.map(|()| length).map_err(to_io))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if std::mem::replace(&mut self.ended, true) {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(self.sender.send_data(Bytes::new(), true).map_err(to_io))
    }
}

/// Connections that a daemon makes for others.
pub trait Connect: Clone + Send + Sync + 'static {
    /// Guard of a connection, dropped when it has ended.
    type Guard: Send;

    /// Connects to an endpoint.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when there is no connection.
    fn connect(
        &self,
        target: Target,
    ) -> impl Future<Output = Result<(TcpStream, Self::Guard), Refusal>> + Send;
}

/// Makes no connections for others.
#[derive(Clone, Copy, Debug)]
pub struct Never;

impl Connect for Never {
    type Guard = ();

    async fn connect(&self, _target: Target) -> Result<(TcpStream, ()), Refusal> {
        Err(Refusal::Unknown)
    }
}

/// Serves a tunnel whose stream has begun.
pub(crate) async fn serve(
    mut reader: Reader,
    mut sender: SendStream<Bytes>,
    connect: impl Connect,
) -> Result<(), Error> {
    let target: Option<Target> = reader.next().await?;
    let target =
        target.ok_or_else(|| Error::Malformed("the stream ended before a target".to_owned()))?;
    let (stream, _guard) = match connect.connect(target).await {
        Ok(connected) => connected,
        Err(refusal) => {
            let refused: Result<(), Refusal> = Err(refusal);
            return frame::send(&mut sender, frame::encode(&refused)?, true).await;
        }
    };
    let connected: Result<(), Refusal> = Ok(());
    frame::send(&mut sender, frame::encode(&connected)?, false).await?;
    let (mut from_endpoint, mut to_endpoint) = stream.into_split();
    let (mut receiver, received) = reader.into_parts();
    let up = async {
        to_endpoint.write_all(&received).await?;
        while let Some(bytes) = receiver.data().await {
            let bytes = bytes?;
            to_endpoint.write_all(&bytes).await?;
            receiver.flow_control().release_capacity(bytes.len())?;
        }
        to_endpoint.shutdown().await?;
        // The endpoint may go on sending.
        std::future::pending::<Result<(), Error>>().await
    };
    let down = async {
        let mut buffer = bytes::BytesMut::with_capacity(CHUNK_BYTES);
        while from_endpoint.read_buf(&mut buffer).await? > 0 {
            frame::send(&mut sender, buffer.split().freeze(), false).await?;
            buffer.reserve(CHUNK_BYTES);
        }
        Ok::<(), Error>(())
    };
    let ended = tokio::select! {
        ended = up => ended,
        ended = down => ended,
    };
    match ended {
        Ok(()) => sender.send_data(Bytes::new(), true)?,
        Err(_) => sender.send_reset(Reason::CONNECT_ERROR),
    }
    Ok(())
}
