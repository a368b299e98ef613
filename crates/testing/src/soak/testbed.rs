//! Processes and fakes of a soak run, with a proxy on every link.

use super::Spec;
use crate::gateway_harness::{self, Harness};
use crate::net;
use crate::proxy::{Fault, Proxy};
use crate::script::{Behaviour, Endpoint, Run};
use indexmap::IndexSet;
use sched::id::Version;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Mutex as AsyncMutex;

/// Number of engines, which respond with streams.
const ENGINES: usize = 3;
/// Number of plain endpoints, which respond with single bodies.
const PLAIN_ENDPOINTS: usize = 3;
/// Number of events of one stream.
pub const EVENTS: u64 = 5;
/// Number of tokens of one event.
pub const EVENT_TOKENS: u64 = 10;
/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Time that a plain endpoint takes to respond.
const SERVICE_TIME: Duration = Duration::from_millis(25);

/// Endpoint and the proxy in front of it.
#[derive(Clone)]
pub struct ProxiedEndpoint {
    /// Endpoint behind the proxy.
    pub endpoint: Endpoint,
    /// Proxy through which daemons reach the endpoint.
    pub proxy: Proxy,
    /// Service that the endpoint is registered for.
    pub service: &'static str,
}

/// Daemon and the proxies on its links.
pub struct ProxiedDaemon {
    /// Daemon; a step holds the lock while it stops or pauses the process.
    pub daemon: AsyncMutex<gateway_harness::Daemon>,
    /// Proxy from clients to the daemon.
    pub client_proxy: Proxy,
    /// Proxy from the daemon to the key-value service.
    pub kv_proxy: Proxy,
    /// Proxy from other daemons to the daemon.
    pub peer_proxy: Proxy,
}

/// Daemons, endpoints and the fake key-value service of one run.
pub struct Testbed {
    /// Harness with the fake key-value service and the settings directory; its own list of daemons
    /// is empty.
    pub harness: Harness,
    /// Gateway daemons.
    pub daemons: Vec<Arc<ProxiedDaemon>>,
    endpoints: Mutex<Vec<ProxiedEndpoint>>,
    /// Latest configuration version written to the key-value service.
    latest_version: Mutex<Version>,
    restarts: Mutex<Vec<Restart>>,
    /// Ids of the endpoints that were drained.
    drained: Mutex<IndexSet<String>>,
    /// Storage VMs whose retirement was requested.
    retiring: Mutex<IndexSet<String>>,
    /// Held while a configuration is written, so that versions are written in order.
    config_lock: AsyncMutex<()>,
}

/// Restart of a daemon's process.
#[derive(Clone, Copy, Debug)]
pub struct Restart {
    /// Number of the daemon.
    pub daemon: usize,
    /// Time at which the previous process had ended.
    pub at: Instant,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Testbed {
    /// Starts endpoints, daemons and proxies, and waits until the daemons have converged.
    pub async fn start(binary: &str, spec: &Spec) -> Self {
        let harness =
            Harness::without_daemons(&format!("soak-{:?}-{}", spec.scenario, spec.seed)).await;
        let testbed = Self {
            harness,
            daemons: Vec::new(),
            endpoints: Mutex::default(),
            latest_version: Mutex::default(),
            restarts: Mutex::default(),
            drained: Mutex::default(),
            retiring: Mutex::default(),
            config_lock: AsyncMutex::default(),
        };
        for number in 0..ENGINES + PLAIN_ENDPOINTS {
            testbed.add_endpoint(number, if number < ENGINES { "s" } else { "t" }).await;
        }
        testbed.write_next_config().await;
        testbed.with_daemons(binary, spec.daemons).await
    }

    async fn with_daemons(mut self, binary: &str, count: usize) -> Self {
        let kv_addr = self.harness.kv.server.addr;
        let peer_addrs: Vec<SocketAddr> = (0..count).map(|_| net::free_addr()).collect();
        let mut proxies = Vec::new();
        for addr in &peer_addrs {
            proxies.push((Proxy::start(kv_addr).await, Proxy::start(*addr).await));
        }
        let seeds: Vec<_> =
            proxies.iter().map(|(_, peer_proxy)| peer_proxy.addr.to_string().into()).collect();
        for (number, (addr, (kv_proxy, peer_proxy))) in
            peer_addrs.into_iter().zip(proxies).enumerate()
        {
            let settings = gateway::settings::Settings {
                peer_public: Some(peer_proxy.addr),
                kv: format!("http://{}", kv_proxy.addr).into(),
                ..self.harness.settings(number, addr, &seeds)
            };
            let client_proxy = Proxy::start(settings.client_addr).await;
            let daemon = AsyncMutex::new(self.harness.launch(binary, settings));
            self.daemons.push(Arc::new(ProxiedDaemon {
                daemon,
                client_proxy,
                kv_proxy,
                peer_proxy,
            }));
        }
        self.wait_until_converged(gateway_harness::WAIT_TIMEOUT).await;
        for proxied in &self.daemons {
            proxied.daemon.lock().await.wait_for_term(1).await;
        }
        self
    }

    /// Starts an endpoint and registers it at its proxy's address.
    pub async fn add_endpoint(&self, number: usize, service: &'static str) {
        let behaviour = match service {
            "s" => gateway_harness::streaming(EVENTS, EVENT_GAP),
            _ => Behaviour::RespondAfter(SERVICE_TIME),
        };
        let endpoint = Endpoint::start(&format!("{service}-{number}"), behaviour).await;
        let proxy = Proxy::start(endpoint.addr).await;
        let proxied = ProxiedEndpoint { endpoint, proxy, service };
        self.register(&proxied, "ready").await;
        lock(&self.endpoints).push(proxied);
    }

    async fn register(&self, proxied: &ProxiedEndpoint, state: &str) {
        let ProxiedEndpoint { endpoint, proxy, service } = proxied;
        self.harness.register_at(&endpoint.id, service, proxy.addr, state).await;
    }

    /// Registers an endpoint as draining, unless it was drained before; returns whether it was
    /// registered.
    pub async fn drain(&self, proxied: &ProxiedEndpoint) -> bool {
        let newly_drained = lock(&self.drained).insert(proxied.endpoint.id.clone());
        if newly_drained {
            self.register(proxied, "draining").await;
        }
        newly_drained
    }

    /// Deletes an endpoint's registration.
    pub async fn deregister(&self, proxied: &ProxiedEndpoint) {
        self.harness.deregister(&proxied.endpoint).await;
    }

    /// Returns all endpoints, including those that were drained or deregistered.
    pub fn endpoints(&self) -> Vec<ProxiedEndpoint> {
        lock(&self.endpoints).clone()
    }

    /// Writes the next configuration version.
    pub async fn write_next_config(&self) {
        let _guard = self.config_lock.lock().await;
        let version = self.latest_version() + 1;
        self.harness.configure(&config(version)).await;
        *lock(&self.latest_version) = version;
    }

    /// Requests the retirement of a storage VM, which a daemon has to report as done.
    pub async fn retire(&self, number: usize) {
        let vm = format!("storage-{number}");
        let key = format!("{}{vm}", platform::config::RETIRE_PREFIX);
        self.harness.put(&key, &json!({ "duration_s": 5 })).await;
        lock(&self.retiring).insert(vm);
    }

    /// Returns the storage VMs whose retirement was requested and is not reported as done.
    ///
    /// # Panics
    ///
    /// Panics if the key-value service cannot be read.
    pub async fn pending_retirements(&self) -> Vec<String> {
        let requested = lock(&self.retiring).clone();
        let mut pending = Vec::new();
        for vm in requested {
            let key = platform::config::retire_status_key(&vm);
            let found = self
                .harness
                .kv_client
                .get(&key)
                .await
                .expect("failed to read from the key-value service");
            if found.is_none_or(|found| found.value != platform::config::RETIRE_DONE) {
                pending.push(vm);
            }
        }
        pending
    }

    /// Returns the latest configuration version that was written.
    pub fn latest_version(&self) -> Version {
        *lock(&self.latest_version)
    }

    /// Restarts a daemon, killing its process first if it is running, and records the restart.
    pub fn restart(&self, number: usize, daemon: &mut gateway_harness::Daemon) {
        daemon.process.kill();
        lock(&self.restarts).push(Restart { daemon: number, at: Instant::now() });
        daemon.restart();
    }

    /// Returns the restarts of daemons, in order.
    pub fn restarts(&self) -> Vec<Restart> {
        lock(&self.restarts).clone()
    }

    /// Returns all requests that endpoints ran.
    pub fn runs(&self) -> Vec<Run> {
        self.endpoints().iter().flat_map(|proxied| proxied.endpoint.runs()).collect()
    }

    /// Clears all faults of the links and of the key-value service.
    pub async fn clear_faults(&self) {
        self.harness.faults.update(|state| *state = crate::faults::State::default());
        for proxied in self.endpoints() {
            proxied.proxy.set_fault(Fault::None);
        }
        for proxied in &self.daemons {
            proxied.client_proxy.set_fault(Fault::None);
            proxied.kv_proxy.set_fault(Fault::None);
            proxied.peer_proxy.set_fault(Fault::None);
        }
    }

    /// Waits until each daemon is ready and has all daemons in its view.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than `timeout` for all daemons together.
    pub async fn wait_until_converged(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        for proxied in &self.daemons {
            let remaining = deadline.saturating_duration_since(Instant::now());
            proxied.daemon.lock().await.wait_for_members(self.daemons.len(), remaining).await;
        }
    }
}

/// Returns a configuration whose routes under `/v` reveal its version: the route `/v<version>/`
/// exists in that version and the next one.
fn config(version: u64) -> Value {
    let route =
        |prefix: &str, kind: &str, service: &str| gateway_harness::route(prefix, kind, service, 2);
    let version_route = |version: u64| route(&format!("v{version}"), "safe", "t");
    let mut config = gateway_harness::config(version);
    config["routes"] = json!([
        route("safe", "safe", "t"),
        route("unsafe", "unsafe", "t"),
        route("stream", "stream", "s"),
        route("plain", "stream", "s"),
        version_route(version),
        version_route(version - 1),
    ]);
    let mut plain_service = config["services"][0].clone();
    plain_service["name"] = "t".into();
    plain_service.as_object_mut().expect("service is not an object").remove("engine");
    config["services"].as_array_mut().expect("services is not an array").push(plain_service);
    config
}
