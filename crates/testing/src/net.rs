//! HTTP servers on loopback.

use rocket::{Build, Rocket};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use tokio::net::TcpSocket;

/// A running server; it ends when dropped.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    shutdown: rocket::Shutdown,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Finds a loopback address whose port is free now and was not given out in this process before.
///
/// # Panics
///
/// Panics when no port can be bound.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let size = PORTS.end - PORTS.start;
    let first = (std::process::id().wrapping_mul(97) % u32::from(size)) as u16;
    for _ in 0..size {
        let step = NEXT.fetch_add(1, Ordering::Relaxed) % size;
        let port = PORTS.start + (first + step) % size;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if is_free(addr) {
            return addr;
        }
    }
    panic!("no loopback port is free");
}

/// Tells whether an address can be bound.
///
/// The socket never listens: a process that is being started inherits it for a moment, and a listening
/// copy would keep the address taken.
fn is_free(addr: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else {
        return false;
    };
    socket.set_reuseaddr(true).is_ok() && socket.bind(addr).is_ok()
}

/// Starts a server on loopback.
///
/// # Panics
///
/// Panics when the server cannot start.
pub async fn launch(build: impl FnOnce(Rocket<Build>) -> Rocket<Build>) -> Server {
    let addr = free_addr();
    let rocket = build(rocket::custom(gateway::probes::server_config(addr)))
        .ignite()
        .await
        .expect("a valid server");
    let shutdown = rocket.shutdown();
    tokio::spawn(async move {
        let ended = rocket.launch().await;
        if let Err(error) = &ended
            && let rocket::error::ErrorKind::Bind(_) = error.kind()
        {
            panic!("the server at {addr} cannot start: {}", error.kind());
        }
    });
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    Server { addr, shutdown }
}
