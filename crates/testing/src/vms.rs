//! Fake of the platform's list of VMs, which shows changes after a delay.

use crate::net::{self, Server};
use platform::vms::{State as VmState, Vm};
use rocket::serde::json::Json;
use rocket::{State, get, routes};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Versions of the list, each with the time from which it is shown.
type Versions = Arc<Mutex<Vec<(Instant, Vec<Vm>)>>>;

/// A running fake of the VM list.
pub struct Vms {
    /// HTTP server of the fake.
    pub server: Server,
    lag: Duration,
    versions: Versions,
}

impl Vms {
    /// Starts the fake with the given VMs; later changes are shown after `lag`.
    pub async fn start(vms: Vec<Vm>, lag: Duration) -> Self {
        let versions: Versions = Arc::new(Mutex::new(vec![(Instant::now(), vms)]));
        let state = versions.clone();
        let server = net::launch(|rocket| rocket.manage(state).mount("/", routes![list])).await;
        Self { server, lag, versions }
    }

    /// Returns the URL of the list.
    pub fn url(&self) -> String {
        format!("http://{}/vms", self.server.addr)
    }

    /// Changes the state of a VM; `None` removes it from the list.
    pub fn set(&self, name: &str, state: Option<VmState>) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = versions.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        match state {
            Some(state) => {
                vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = state);
            }
            None => vms.retain(|vm| vm.name != name),
        }
        versions.push((Instant::now() + self.lag, vms));
    }
}

#[get("/vms")]
fn list(versions: &State<Versions>) -> Json<Vec<Vm>> {
    let versions = versions.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let shown = versions.iter().rev().find(|(from, _)| *from <= now);
    Json(shown.map(|(_, vms)| vms.clone()).unwrap_or_default())
}
