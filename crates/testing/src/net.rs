//! HTTP servers on loopback.

use rocket::{Build, Rocket};
use std::net::{SocketAddr, TcpListener};

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

/// Finds a loopback address whose port is free now.
///
/// # Panics
///
/// Panics when no port can be bound.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    listener.local_addr().expect("a bound address")
}

/// Starts a server on loopback.
///
/// # Panics
///
/// Panics when the server cannot start.
pub async fn launch(build: impl FnOnce(Rocket<Build>) -> Rocket<Build>) -> Server {
    let addr = free_addr();
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: 0,
        mercy: 0,
        ..rocket::config::Shutdown::default()
    };
    let config = rocket::Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..rocket::Config::release_default()
    };
    let rocket = build(rocket::custom(config)).ignite().await.expect("a valid server");
    let shutdown = rocket.shutdown();
    tokio::spawn(rocket.launch());
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    Server { addr, shutdown }
}
