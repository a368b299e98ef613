//! Loopback TCP proxy that injects faults into the connections through it.
//!
//! A stall holds bytes back and forwards them when it ends, like a network that loses packets and
//! retransmits them. A blackhole is permanent: connections opened before it never forward another
//! byte, while new ones work. A [`Spoil`] changes the next responses to POST requests.

use crate::net;
use socket2::SockRef;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
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
    /// Forwards this many bytes a second from the server, over all connections together.
    Rate(u32),
    /// Holds back bytes sent to the server.
    StallToServer,
    /// Holds back bytes sent to the client.
    StallToClient,
    /// Holds back bytes in both directions.
    StallBoth,
}

/// Change of the response to one POST request, on its first bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Spoil {
    /// Forwards only this many bytes, and closes the connection.
    Truncate(usize),
    /// Sends these bytes instead, and closes the connection.
    Replace(Vec<u8>),
    /// Sends these bytes before the response if the connection has carried a request before, else
    /// waits for such a connection.
    PrecedeOnKept(Vec<u8>),
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
            Fault::None | Fault::Delay(_) | Fault::Rate(_) => false,
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
    spoils: Arc<Mutex<VecDeque<Spoil>>>,
    /// Time at which a link with a limited rate has sent what was given to it.
    idle_at: Arc<Mutex<Option<Instant>>>,
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
        let proxy = Self {
            addr,
            state: watch::Sender::default(),
            spoils: Arc::default(),
            idle_at: Arc::default(),
        };
        tokio::spawn(proxy.clone().accept(listener, target));
        proxy
    }

    /// Sets the fault, replacing the previous one.
    pub fn set_fault(&self, fault: Fault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Changes the responses to the next POST requests, in order.
    pub fn spoil(&self, spoils: impl IntoIterator<Item = Spoil>) {
        self.lock_spoils().extend(spoils);
    }

    /// Returns the number of responses that are still to be changed.
    pub fn unspoiled(&self) -> usize {
        self.lock_spoils().len()
    }

    fn lock_spoils(&self) -> std::sync::MutexGuard<'_, VecDeque<Spoil>> {
        self.spoils.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time at which `count` more bytes have passed a link with this rate.
    fn pass(&self, count: usize, rate: u32, now: Instant) -> Instant {
        let mut idle_at = self.idle_at.lock().unwrap_or_else(PoisonError::into_inner);
        let begins = idle_at.map_or(now, |idle_at| idle_at.max(now));
        let passed = begins + Duration::from_secs_f64(count as f64 / f64::from(rate));
        *idle_at = Some(passed);
        passed
    }

    /// Takes the change of a response on a connection, which is kept if it carried one before.
    fn take_spoil(&self, kept: bool) -> Option<Spoil> {
        let mut spoils = self.lock_spoils();
        let applies = match spoils.front()? {
            Spoil::Truncate(_) | Spoil::Replace(_) => true,
            Spoil::PrecedeOnKept(_) => kept,
        };
        applies.then(|| spoils.pop_front())?
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
            let proxy = self.clone();
            tokio::spawn(async move {
                // If the connection to the server fails, the client's connection is closed.
                if let Ok(server) = TcpStream::connect(target).await {
                    proxy.forward_connection(client, server, number).await;
                }
            });
        }
    }

    async fn forward_connection(self, mut client: TcpStream, mut server: TcpStream, number: u64) {
        // Fails only on connections that are already closed.
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let mut state = self.state.subscribe();
        let connection = Connection { proxy: self, number, awaited: AtomicBool::default() };
        let reset = {
            let (from_client, to_client) = client.split();
            let (from_server, to_server) = server.split();
            let forwarding = async {
                tokio::join!(
                    connection.forward_bytes(from_client, to_server, Direction::ToServer),
                    connection.forward_bytes(from_server, to_client, Direction::ToClient),
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
}

/// One connection through a proxy.
struct Connection {
    proxy: Proxy,
    number: u64,
    /// Whether the response to a POST request is to begin.
    awaited: AtomicBool,
}

impl Connection {
    /// Forwards bytes in one direction until either side closes the connection.
    async fn forward_bytes(
        &self,
        mut from: ReadHalf<'_>,
        mut to: WriteHalf<'_>,
        direction: Direction,
    ) {
        let mut state = self.proxy.state.subscribe();
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut kept = false;
        loop {
            let mut count = from.read(&mut buffer).await.unwrap_or(0);
            let forwards = |state: &State| state.forwards(direction, self.number);
            let (delay, fault) = match state.wait_for(forwards).await {
                Ok(state) => (state.delay(), state.fault),
                Err(_) => return,
            };
            tokio::time::sleep(delay).await;
            if let (Fault::Rate(rate), Direction::ToClient) = (fault, direction) {
                let passed = self.proxy.pass(count, rate, Instant::now());
                tokio::time::sleep_until(passed.into()).await;
            }
            let mut truncated = false;
            match direction {
                Direction::ToServer if buffer[..count].starts_with(b"POST ") => {
                    self.awaited.store(true, Ordering::Relaxed);
                }
                Direction::ToClient if self.awaited.swap(false, Ordering::Relaxed) => {
                    match self.proxy.take_spoil(kept) {
                        Some(Spoil::Truncate(length)) => {
                            count = count.min(length);
                            truncated = true;
                        }
                        Some(Spoil::Replace(bytes)) => {
                            // The connection is closed in any case.
                            let _ = to.write_all(&bytes).await;
                            count = 0;
                        }
                        Some(Spoil::PrecedeOnKept(bytes)) => {
                            // The next write fails as well if this one does.
                            let _ = to.write_all(&bytes).await;
                        }
                        None => {}
                    }
                }
                Direction::ToServer | Direction::ToClient => {}
            }
            kept = true;
            if count == 0 || to.write_all(&buffer[..count]).await.is_err() || truncated {
                // The receiving side may already have closed its connection.
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}
