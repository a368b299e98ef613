//! The addresses that tests give to servers.

use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use testing::net;

/// Processes that are started while addresses are taken.
const PROCESSES: usize = 50;

fn start_processes() {
    let program = std::env::current_exe().expect("the path of this test");
    for _ in 0..PROCESSES {
        let mut command = Command::new(&program);
        command.arg("--list").stdout(Stdio::null());
        assert!(command.status().expect("the process ends").success());
    }
}

#[test]
fn an_address_stays_free_while_processes_start() {
    let done = AtomicBool::new(false);
    let mut taken = 0;
    std::thread::scope(|scope| {
        scope.spawn(|| {
            start_processes();
            done.store(true, Ordering::Relaxed);
        });
        while !done.load(Ordering::Relaxed) {
            taken += usize::from(TcpListener::bind(net::free_addr()).is_err());
        }
    });
    assert_eq!(taken, 0, "addresses that were said to be free could not be bound");
}
