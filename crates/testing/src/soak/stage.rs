//! The processes and stand-ins of a soak, with a proxy on every link.

use super::Spec;
use crate::gateway_harness::{self, Harness};
use crate::net;
use crate::proxy::{Fault, Proxy};
use crate::scripted_endpoint::{Behaviour, Endpoint, Run};
use indexmap::IndexSet;
use sched::id::Version;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Mutex as Turns;

/// Engines, which answer with streams.
const ENGINES: usize = 3;
/// Plain endpoints.
const TOOLS: usize = 3;
/// Events of one stream.
pub const EVENTS: u64 = 5;
/// Tokens of one event.
pub const EVENT_TOKENS: u64 = 10;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(15);
/// Time that a plain endpoint works.
const WORK: Duration = Duration::from_millis(25);

/// An endpoint behind its proxy.
#[derive(Clone)]
pub struct Site {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The way to it.
    pub proxy: Proxy,
    /// Its service.
    pub service: &'static str,
}

/// One daemon with the ways to it.
pub struct Post {
    /// The daemon; held while it is down.
    pub daemon: Turns<gateway_harness::Daemon>,
    /// The way of clients to it.
    pub clients: Proxy,
    /// Its way to the key-value service.
    pub kv: Proxy,
    /// The way of other daemons to it.
    pub peers: Proxy,
}

/// Everything of one run.
pub struct Stage {
    /// The key-value stand-in and the settings folder.
    pub gate: Harness,
    /// The daemons.
    pub posts: Vec<Arc<Post>>,
    sites: Mutex<Vec<Site>>,
    /// Newest version of the configuration that the key-value service has.
    newest: Mutex<Version>,
    starts: Mutex<Vec<Start>>,
    left: Mutex<IndexSet<String>>,
    /// Storage VMs that were to be emptied.
    retired: Mutex<IndexSet<String>>,
    /// Held while a configuration is written.
    writing: Turns<()>,
}

/// A start of a daemon's process after the first.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// Number of the daemon.
    pub daemon: usize,
    /// When the process before it had ended.
    pub at: Instant,
}

fn lock<T>(list: &Mutex<T>) -> MutexGuard<'_, T> {
    list.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Stage {
    /// Starts everything and waits until the daemons know each other.
    pub async fn start(binary: &str, spec: &Spec) -> Self {
        let gate =
            Harness::without_daemons(&format!("soak-{:?}-{}", spec.scenario, spec.seed)).await;
        let stage = Self {
            gate,
            posts: Vec::new(),
            sites: Mutex::default(),
            newest: Mutex::default(),
            starts: Mutex::default(),
            left: Mutex::default(),
            retired: Mutex::default(),
            writing: Turns::default(),
        };
        for number in 0..ENGINES + TOOLS {
            stage.join(number, if number < ENGINES { "s" } else { "t" }).await;
        }
        stage.advance().await;
        stage.with_daemons(binary, spec.daemons).await
    }

    async fn with_daemons(mut self, binary: &str, count: usize) -> Self {
        let kv_addr = self.gate.kv.server.addr;
        let listen: Vec<SocketAddr> = (0..count).map(|_| net::free_addr()).collect();
        let mut ways = Vec::new();
        for addr in &listen {
            ways.push((Proxy::start(kv_addr).await, Proxy::start(*addr).await));
        }
        let seeds: Vec<_> = ways.iter().map(|(_, peers)| peers.addr.to_string().into()).collect();
        for (number, (addr, (kv, peers))) in listen.into_iter().zip(ways).enumerate() {
            let settings = gateway::settings::Settings {
                peer_public: Some(peers.addr),
                kv: format!("http://{}", kv.addr).into(),
                ..self.gate.settings(number, addr, &seeds)
            };
            let clients = Proxy::start(settings.client_addr).await;
            let daemon = Turns::new(self.gate.launch(binary, settings));
            self.posts.push(Arc::new(Post { daemon, clients, kv, peers }));
        }
        self.settle(gateway_harness::WAIT_TIMEOUT).await;
        for post in &self.posts {
            post.daemon.lock().await.wait_for_term(1).await;
        }
        self
    }

    /// Starts an endpoint and registers it at its proxy's address.
    pub async fn join(&self, number: usize, service: &'static str) {
        let act = match service {
            "s" => gateway_harness::streaming(EVENTS, EVENT_GAP),
            _ => Behaviour::RespondAfter(WORK),
        };
        let endpoint = Endpoint::start(&format!("{service}-{number}"), act).await;
        let proxy = Proxy::start(endpoint.addr).await;
        let site = Site { endpoint, proxy, service };
        self.register(&site, "ready").await;
        lock(&self.sites).push(site);
    }

    async fn register(&self, site: &Site, state: &str) {
        let Site { endpoint, proxy, service } = site;
        self.gate.register_at(&endpoint.id, service, proxy.addr, state).await;
    }

    /// Lets an endpoint report that it leaves, unless it left before.
    pub async fn drain(&self, site: &Site) -> bool {
        let fresh = lock(&self.left).insert(site.endpoint.id.clone());
        if fresh {
            self.register(site, "draining").await;
        }
        fresh
    }

    /// Removes an endpoint's registration.
    pub async fn remove(&self, site: &Site) {
        self.gate.unregister(&site.endpoint).await;
    }

    /// All endpoints, those that have left included.
    pub fn sites(&self) -> Vec<Site> {
        lock(&self.sites).clone()
    }

    /// Writes the next version of the configuration.
    pub async fn advance(&self) {
        let _held = self.writing.lock().await;
        let version = self.newest() + 1;
        self.gate.configure(&config(version)).await;
        *lock(&self.newest) = version;
    }

    /// Asks for a storage VM to be emptied.
    pub async fn retire(&self, number: usize) {
        let vm = format!("storage-{number}");
        let key = format!("{}{vm}", platform::config::RETIRE_PREFIX);
        self.gate.put(&key, &json!({ "duration_s": 5 })).await;
        lock(&self.retired).insert(vm);
    }

    /// Storage VMs that were to be emptied and are not reported empty.
    ///
    /// # Panics
    ///
    /// Panics when the key-value stand-in cannot be read.
    pub async fn unreported(&self) -> Vec<String> {
        let asked = lock(&self.retired).clone();
        let mut open = Vec::new();
        for vm in asked {
            let key = platform::config::retire_status_key(&vm);
            let found = self.gate.kv_client.get(&key).await.expect("an answer");
            if found.is_none_or(|found| found.value != platform::config::RETIRE_DONE) {
                open.push(vm);
            }
        }
        open
    }

    /// Newest version of the configuration that was written.
    pub fn newest(&self) -> Version {
        *lock(&self.newest)
    }

    /// Starts a daemon again, whose process has ended or is killed now.
    pub fn restart(&self, number: usize, daemon: &mut gateway_harness::Daemon) {
        daemon.process.kill();
        lock(&self.starts).push(Start { daemon: number, at: Instant::now() });
        daemon.restart();
    }

    /// Starts of daemons after the first.
    pub fn starts(&self) -> Vec<Start> {
        lock(&self.starts).clone()
    }

    /// What the endpoints ran.
    pub fn runs(&self) -> Vec<Run> {
        self.sites().iter().flat_map(|site| site.endpoint.runs()).collect()
    }

    /// Ends all faults of the links and of the key-value service.
    pub async fn heal(&self) {
        self.gate.faults.set(|state| *state = crate::faults::State::default());
        for site in self.sites() {
            site.proxy.set_fault(Fault::None);
        }
        for post in &self.posts {
            post.clients.set_fault(Fault::None);
            post.kv.set_fault(Fault::None);
            post.peers.set_fault(Fault::None);
        }
    }

    /// Waits until all daemons are ready and know each other.
    ///
    /// # Panics
    ///
    /// Panics when that never comes.
    pub async fn settle(&self, patience: Duration) {
        let until = Instant::now() + patience;
        for post in &self.posts {
            let left = until.saturating_duration_since(Instant::now());
            post.daemon.lock().await.wait_for_members(self.posts.len(), left).await;
        }
    }
}

/// A configuration whose routes under `/v` tell its version: each is there for two versions.
fn config(version: u64) -> Value {
    let route =
        |prefix: &str, kind: &str, service: &str| gateway_harness::route(prefix, kind, service, 2);
    let mark = |version: u64| route(&format!("v{version}"), "safe", "t");
    let mut config = gateway_harness::config(version);
    config["routes"] = json!([
        route("safe", "safe", "t"),
        route("unsafe", "unsafe", "t"),
        route("stream", "stream", "s"),
        route("plain", "stream", "s"),
        mark(version),
        mark(version - 1),
    ]);
    let mut tools = config["services"][0].clone();
    tools["name"] = "t".into();
    tools.as_object_mut().expect("a service").remove("engine");
    config["services"].as_array_mut().expect("services").push(tools);
    config
}
