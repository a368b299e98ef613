//! Starts HTTP servers on loopback and finds free ports for them.

use rocket::{Build, Rocket};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};
use tokio::net::TcpSocket;

/// Running HTTP server that shuts down when dropped.
pub struct Server {
    /// Address that the server listens on.
    pub addr: SocketAddr,
    shutdown: rocket::Shutdown,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
    }
}

/// Ports to choose from; they lie below the usual ephemeral range, so outgoing connections don't
/// take them.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Returns a loopback address whose port is free now and was not yet returned in this process,
/// unless the whole port range has been used up.
///
/// # Panics
///
/// Panics if no port in the range can be bound.
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
    panic!("no free loopback port found");
}

/// Returns whether `addr` can be bound.
///
/// The socket never listens: a child process that is being started briefly inherits it, and an
/// inherited listening socket would keep the address in use.
fn is_free(addr: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else {
        return false;
    };
    socket.set_reuseaddr(true).is_ok() && socket.bind(addr).is_ok()
}

/// Starts a server on a free loopback address and waits until it accepts connections.
///
/// # Panics
///
/// Panics if the server configuration is invalid.
pub async fn launch(build: impl FnOnce(Rocket<Build>) -> Rocket<Build>) -> Server {
    let addr = free_addr();
    let rocket = build(rocket::custom(gateway::probes::server_config(addr)))
        .ignite()
        .await
        .expect("invalid server configuration");
    let shutdown = rocket.shutdown();
    tokio::spawn(async move {
        let result = rocket.launch().await;
        if let Err(error) = &result
            && let rocket::error::ErrorKind::Bind(_) = error.kind()
        {
            panic!("failed to bind the server to {addr}: {}", error.kind());
        }
    });
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    Server { addr, shutdown }
}
