//! Loopback TCP proxy that injects faults into the connections through it.
//!
//! A stall holds bytes back and forwards them when it ends, like a network that loses packets and
//! retransmits them. A blackhole is permanent: connections opened before it never forward another
//! byte, while new ones work.

use crate::net;
use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// Fault that applies to all connections of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Forwards bytes unchanged.
    #[default]
    None,
    /// Delays each chunk of bytes.
    Delay(Duration),
    /// Holds back bytes sent to the server.
    StallToServer,
    /// Holds back bytes sent to the client.
    StallToClient,
    /// Holds back bytes in both directions.
    StallBoth,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    fault: Fault,
    /// Number of the next connection.
    next_connection: u64,
    /// Connections with lower numbers no longer forward bytes.
    blackholed_below: u64,
    /// Connections with lower numbers are reset.
    reset_below: u64,
}

impl State {
    fn forwards(&self, direction: Direction, number: u64) -> bool {
        let stalled = match self.fault {
            Fault::None | Fault::Delay(_) => false,
            Fault::StallToServer => direction == Direction::ToServer,
            Fault::StallToClient => direction == Direction::ToClient,
            Fault::StallBoth => true,
        };
        !stalled && number >= self.blackholed_below
    }

    fn delay(&self) -> Duration {
        match self.fault {
            Fault::Delay(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// Running proxy; clones control the same proxy.
#[derive(Clone, Debug)]
pub struct Proxy {
    /// Address that the proxy listens on.
    pub addr: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    /// Starts a proxy on a free loopback address that forwards to `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(target: SocketAddr) -> Self {
        let addr = net::free_addr();
        let listener = TcpListener::bind(addr).await.expect("failed to bind the proxy");
        let proxy = Self { addr, state: watch::Sender::default() };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    /// Sets the fault, replacing the previous one.
    pub fn set_fault(&self, fault: Fault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Stops forwarding on all current connections, permanently and without closing them.
    pub fn blackhole(&self) {
        self.state.send_modify(|state| state.blackholed_below = state.next_connection);
    }

    /// Resets all current connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.reset_below = state.next_connection);
    }

    async fn accept(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((client, _)) = listener.accept().await {
            let mut number = 0;
            self.state.send_modify(|state| {
                number = state.next_connection;
                state.next_connection += 1;
            });
            let state = self.state.subscribe();
            tokio::spawn(async move {
                // If the connection to the server fails, the client's connection is closed.
                if let Ok(server) = TcpStream::connect(target).await {
                    forward_connection(client, server, number, state).await;
                }
            });
        }
    }
}

async fn forward_connection(
    mut client: TcpStream,
    mut server: TcpStream,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    // Fails only on connections that are already closed.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (to_server_state, to_client_state) = (state.clone(), state.clone());
    let reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let forwarding = async {
            tokio::join!(
                forward_bytes(from_client, to_server, Direction::ToServer, number, to_server_state),
                forward_bytes(from_server, to_client, Direction::ToClient, number, to_client_state),
            )
        };
        tokio::select! {
            _ = forwarding => false,
            changed = state.wait_for(|state| number < state.reset_below) => changed.is_ok(),
        }
    };
    if reset {
        for stream in [&client, &server] {
            // Closing with a zero linger time sends a reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Forwards bytes in one direction until either side closes the connection.
async fn forward_bytes(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    direction: Direction,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let delay = match state.wait_for(|state| state.forwards(direction, number)).await {
            Ok(state) => state.delay(),
            Err(_) => return,
        };
        tokio::time::sleep(delay).await;
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            // The receiving side may already have closed its connection.
            let _ = to.shutdown().await;
            return;
        }
    }
}
