//! Fake of the platform's list of VMs, which shows changes after a delay.

use crate::net::{self, Server};
use platform::vms::{State as VmState, Vm};
use rocket::serde::json::Json;
use rocket::{State, get, routes};
use serde_json::{Value, json};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Versions of the list, each with the time from which it is shown.
type Versions = Arc<Mutex<Vec<(Instant, Vec<Vm>)>>>;

/// Entries that are listed besides the VMs.
type OddEntries = Arc<Mutex<Vec<Value>>>;

/// A running fake of the VM list.
pub struct Vms {
    /// HTTP server of the fake.
    pub server: Server,
    lag: Duration,
    versions: Versions,
    odd_entries: OddEntries,
}

impl Vms {
    /// Starts the fake with the given VMs; later changes are shown after `lag`.
    pub async fn start(vms: Vec<Vm>, lag: Duration) -> Self {
        let versions: Versions = Arc::new(Mutex::new(vec![(Instant::now(), vms)]));
        let odd_entries = OddEntries::default();
        let state = (versions.clone(), odd_entries.clone());
        let server = net::launch(|rocket| rocket.manage(state).mount("/", routes![list])).await;
        Self { server, lag, versions, odd_entries }
    }

    /// Adds entries in any form to the list, at once.
    pub fn add_odd(&self, entries: impl IntoIterator<Item = Value>) {
        self.odd_entries.lock().unwrap_or_else(PoisonError::into_inner).extend(entries);
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
fn list(state: &State<(Versions, OddEntries)>) -> Json<Value> {
    let (versions, odd_entries) = &**state;
    let versions = versions.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let shown = versions.iter().rev().find(|(from, _)| *from <= now);
    let vms = shown.map(|(_, vms)| vms.clone()).unwrap_or_default();
    let mut entries = odd_entries.lock().unwrap_or_else(PoisonError::into_inner).clone();
    entries.extend(vms.iter().map(|vm| json!(vm)));
    Json(Value::Array(entries))
}
