//! Stand-in for the platform's list of VMs; it shows changes with a lag.

use crate::net::{self, Server};
use platform::vms::{State as VmState, Vm};
use rocket::serde::json::Json;
use rocket::{State, get, routes};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

type Log = Arc<Mutex<Vec<(Instant, Vec<Vm>)>>>;

/// A running stand-in.
pub struct Vms {
    /// Its server.
    pub server: Server,
    lag: Duration,
    log: Log,
}

impl Vms {
    /// Starts the stand-in with these VMs; changes show after `lag`.
    pub async fn start(vms: Vec<Vm>, lag: Duration) -> Self {
        let log: Log = Arc::new(Mutex::new(vec![(Instant::now(), vms)]));
        let state = log.clone();
        let server = net::launch(|rocket| rocket.manage(state).mount("/", routes![list])).await;
        Self { server, lag, log }
    }

    /// Address of the list.
    pub fn url(&self) -> String {
        format!("http://{}/vms", self.server.addr)
    }

    /// Changes a VM's state; `None` takes it off the list.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = log.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        match state {
            Some(state) => {
                vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = state);
            }
            None => vms.retain(|vm| vm.name != name),
        }
        log.push((Instant::now() + self.lag, vms));
    }
}

#[get("/vms")]
fn list(log: &State<Log>) -> Json<Vec<Vm>> {
    let log = log.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let shown = log.iter().rev().find(|(from, _)| *from <= now);
    Json(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
}
