//! Loopback proxy that disturbs the connections through it.
//!
//! A cut holds bytes back and lets them go on when it ends, as a network does that retransmits. A
//! silence is for good: connections of before it never carry another byte, while new ones work.

use crate::net;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What happens to all connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Bytes take longer.
    Delay(Duration),
    /// Bytes towards the server are held back.
    CutThere,
    /// Bytes towards the client are held back.
    CutBack,
    /// All bytes are held back.
    Cut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    fault: Fault,
    /// Number of the next connection.
    next: u64,
    /// Connections with lower numbers are silent.
    silent: u64,
    /// Connections with lower numbers are reset.
    reset: u64,
}

impl State {
    fn passes(&self, way: Way, number: u64) -> bool {
        let held = match self.fault {
            Fault::None | Fault::Delay(_) => false,
            Fault::CutThere => way == Way::There,
            Fault::CutBack => way == Way::Back,
            Fault::Cut => true,
        };
        !held && number >= self.silent
    }

    fn delay(&self) -> Duration {
        match self.fault {
            Fault::Delay(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// A running proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Where it listens.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        let addr = net::free_addr();
        let listener = TcpListener::bind(addr).await.expect("a free port");
        let proxy = Self { addr, state: watch::Sender::default() };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    /// Replaces the fault.
    pub fn set(&self, fault: Fault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Makes all present connections silent for good.
    pub fn silence(&self) {
        self.state.send_modify(|state| state.silent = state.next);
    }

    /// Resets all present connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.reset = state.next);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let mut number = 0;
            self.state.send_modify(|state| {
                number = state.next;
                state.next += 1;
            });
            let state = self.state.subscribe();
            tokio::spawn(async move {
                // A server that is down resets the client's connection.
                if let Ok(server) = TcpStream::connect(target).await {
                    carry(client, server, number, state).await;
                }
            });
        }
    }
}

async fn carry(
    mut client: TcpStream,
    mut server: TcpStream,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    // Options of a connection that is closed already do not matter.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (there, back) = (state.clone(), state.clone());
    let reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let both = async {
            tokio::join!(
                pump(from_client, to_server, Way::There, number, there),
                pump(from_server, to_client, Way::Back, number, back),
            )
        };
        tokio::select! {
            _ = both => false,
            found = state.wait_for(|state| number < state.reset) => found.is_ok(),
        }
    };
    if reset {
        for stream in [&client, &server] {
            // Closing without lingering sends a reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Passes bytes on until either side ends.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    way: Way,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let delay = match state.wait_for(|state| state.passes(way, number)).await {
            Ok(state) => state.delay(),
            Err(_) => return,
        };
        tokio::time::sleep(delay).await;
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            // The other side may have gone already.
            let _ = to.shutdown().await;
            return;
        }
    }
}
