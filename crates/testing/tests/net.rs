//! Allocation of free addresses for test servers.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use testing::net;

/// Number of child processes started while addresses are allocated.
const PROCESS_COUNT: usize = 50;

fn start_processes() {
    let program = std::env::current_exe().expect("failed to get the path of the test binary");
    for _ in 0..PROCESS_COUNT {
        let mut command = Command::new(&program);
        command.arg("--list").stdout(Stdio::null());
        assert!(command.status().expect("failed to run the test binary").success());
    }
}

// A child process that is being started briefly inherits the socket that probes an address. If that
// socket listened, the address would still be in use when the test binds it.
#[test]
fn addresses_stay_free_while_processes_start() {
    let done = AtomicBool::new(false);
    let mut in_use = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            start_processes();
            done.store(true, Ordering::Relaxed);
        });
        while !done.load(Ordering::Relaxed) {
            in_use += usize::from(TcpListener::bind(net::free_addr()).is_err());
        }
    });
    assert_eq!(in_use, 0, "addresses reported as free could not be bound");
}
