//! A cluster of fakes, with settings for daemons that run against them.

use crate::engine::{self, Engine, SharedStats};
use crate::faults::Injector;
use crate::kv::{self, Kv};
use crate::net;
use crate::proxy::Proxy;
use crate::service::Service;
use crate::vms::Vms;
use catkinshed::settings::{InjectedFault, Keys, Limits, Platform, Settings};
use catkinshed::traffic::changes;
use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use platform::vms::{State, Vm};
use sched::config::{Account, Action, Change, Edit, Endpoint, Kind, Pool, Team};
use sched::id::{LogId, Tokens};
use sched::queue::Policy;
use std::net::SocketAddr;
use std::time::Duration;

/// Token of callers of the team `crew`.
pub const CREW_TOKEN: &str = "crew-token";
/// Token of callers of the team `vans`.
pub const VANS_TOKEN: &str = "vans-token";
/// Token of the operator `ana`.
pub const OPERATOR_TOKEN: &str = "ana-token";
/// Secret shared by the daemons.
pub const CLUSTER_KEY: &str = "a cluster key for tests";
/// Data centres, which VMs are assigned to in round-robin order.
pub const DCS: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Parameters of a cluster.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Number of model engines.
    pub engines: usize,
    /// Capacity and speed of each engine; `checks_epoch` is set for every other one.
    pub engine: engine::Spec,
    /// Number of plain services in the pool `booking`.
    pub services: usize,
    /// Time that a plain service takes for a request if no fault is injected.
    pub service_time: Duration,
    /// Latency and rate limits of the key-value service.
    pub kv: kv::Spec,
    /// Delay after which the VM list shows a change.
    pub vm_lag: Duration,
    /// Number of logs of the daemons.
    pub logs: LogId,
    /// Limits of the daemons.
    pub limits: Limits,
    /// Queue policy of the daemons.
    pub policy: Policy,
    /// Limit of each team's account, in tokens.
    pub budget: Tokens,
    /// Limits of the model pool.
    pub pool: Pool,
    /// Faults injected into the daemons.
    pub injected: IndexSet<InjectedFault>,
    /// Whether daemons reach the endpoints through proxies.
    pub proxied: bool,
}

impl Default for Spec {
    fn default() -> Self {
        Self {
            engines: 2,
            engine: engine::Spec::default(),
            services: 1,
            service_time: Duration::from_millis(5),
            kv: kv::Spec::default(),
            vm_lag: Duration::from_millis(200),
            logs: 8,
            limits: Limits { lease_ttl_ms: 2_000, ..Limits::default() },
            policy: Policy::default(),
            budget: 10_000_000,
            pool: Pool { model: "planner".into(), ..Pool::default() },
            injected: IndexSet::new(),
            proxied: false,
        }
    }
}

/// A cluster of running fakes.
pub struct Cluster {
    /// Parameters that the cluster was started with.
    pub spec: Spec,
    /// Injector of faults into the fakes.
    pub faults: Injector,
    /// Fake key-value service.
    pub kv: Kv,
    /// Fake VM list.
    pub vms: Vms,
    /// Fake model engines, `engine-0` and following.
    pub engines: Vec<Engine>,
    /// Fake plain services, `booking-0` and following.
    pub services: Vec<Service>,
    /// Statistics of all engines.
    pub engine_stats: SharedStats,
    /// Proxies in front of the endpoints by name, if there are any.
    pub links: IndexMap<CompactString, Proxy>,
}

impl Cluster {
    /// Starts the fakes and writes the first configuration.
    ///
    /// # Panics
    ///
    /// Panics when a fake cannot be started or the configuration cannot be written.
    pub async fn start(spec: Spec) -> Self {
        let faults = Injector::default();
        let engine_stats = SharedStats::default();
        let kv = Kv::start(spec.kv.clone(), faults.clone()).await;
        let mut engines = Vec::new();
        for index in 0..spec.engines {
            let name = format!("engine-{index}");
            let engine_spec = engine::Spec { checks_epoch: index % 2 == 0, ..spec.engine.clone() };
            engines.push(
                Engine::start(&name, engine_spec, faults.clone(), engine_stats.clone()).await,
            );
        }
        let mut services = Vec::new();
        for index in 0..spec.services {
            let name = format!("booking-{index}");
            services.push(Service::start(&name, spec.service_time, faults.clone()).await);
        }
        let names = engines.iter().map(|e| &e.name).chain(services.iter().map(|s| &s.name));
        let vms = names.enumerate().map(|(index, name)| Vm {
            name: vm_of(name),
            dc: dc_of(index),
            state: State::Live,
        });
        let vms = Vms::start(vms.collect(), spec.vm_lag).await;
        let mut links = IndexMap::new();
        if spec.proxied {
            let engines = engines.iter().map(|engine| (engine.name.clone(), engine.server.addr));
            let services =
                services.iter().map(|service| (service.name.clone(), service.server.addr));
            for (name, addr) in engines.chain(services) {
                links.insert(name, Proxy::start(addr).await);
            }
        }
        let cluster = Self { spec, faults, kv, vms, engines, services, engine_stats, links };
        cluster.write_config().await;
        cluster
    }

    async fn write_config(&self) {
        let client = self.kv_client();
        let change = Change {
            version: 1,
            who: "harness".into(),
            at_ms: 0,
            why: "first configuration".to_owned(),
            actions: self.actions(),
        };
        let result = changes::write(&client, &change).await;
        assert!(result.is_ok_and(|written| written), "failed to write the first configuration");
    }

    /// Returns a client of the key-value service.
    ///
    /// # Panics
    ///
    /// Panics when the HTTP client cannot be created.
    pub fn kv_client(&self) -> platform::kv::Client {
        let client = platform::kv::Client::new(&self.kv.url(), Duration::from_secs(2));
        client.expect("failed to create the key-value client")
    }

    /// Returns the configuration actions that create the teams, accounts, pools and endpoints.
    fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for team in ["crew", "vans"] {
            actions.push(Action::Team(create(team, Team::default())));
            let account = Account { team: team.into(), limit: self.spec.budget };
            actions.push(Action::Budget(create(&format!("{team}-tokens"), account)));
        }
        actions.push(Action::Pool(create("models", self.spec.pool.clone())));
        actions.push(Action::Pool(create("booking", Pool::default())));
        for (index, engine) in self.engines.iter().enumerate() {
            let endpoint = Endpoint {
                kind: Kind::Engine,
                pool: "models".into(),
                addr: self.addr_of(&engine.name, engine.server.addr),
                vm: vm_of(&engine.name),
                dc: dc_of(index),
                slots: self.spec.engine.slots,
                memory: self.spec.engine.memory,
                draining: false,
            };
            actions.push(Action::Endpoint(create(&engine.name, endpoint)));
        }
        for (index, service) in self.services.iter().enumerate() {
            let endpoint = Endpoint {
                kind: Kind::Service,
                pool: "booking".into(),
                addr: self.addr_of(&service.name, service.server.addr),
                vm: vm_of(&service.name),
                dc: dc_of(self.engines.len() + index),
                slots: 64,
                ..Endpoint::default()
            };
            actions.push(Action::Endpoint(create(&service.name, endpoint)));
        }
        actions
    }

    /// Returns the address at which daemons reach the endpoint `name`.
    fn addr_of(&self, name: &str, addr: SocketAddr) -> CompactString {
        format_compact!("{}", self.links.get(name).map_or(addr, |link| link.addr))
    }

    /// Returns the settings of the daemon with the given index, with unused addresses.
    pub fn settings(&self, index: usize) -> Settings {
        Settings {
            vm: format_compact!("entry-{index}"),
            dc: dc_of(index),
            http_addr: net::free_addr(),
            peer_addr: net::free_addr(),
            platform: Platform { kv: self.kv.url().into(), vms: self.vms.url().into() },
            logs: self.spec.logs,
            policy: self.spec.policy,
            limits: self.spec.limits.clone(),
            injected: self.spec.injected.clone(),
            keys: keys(),
            ..Settings::default()
        }
    }

    /// Returns the number of tokens that the engines generated for a program.
    pub fn generated(&self, program: &str) -> Tokens {
        let stats = self.engine_stats.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        stats.generated.get(program).copied().unwrap_or_default()
    }

    /// Returns the requests that the plain services ran, in order for each service.
    pub fn effects(&self) -> Vec<crate::service::Effect> {
        self.services.iter().flat_map(|service| service.log.effects()).collect()
    }

    /// Returns the programs that the engines hold pinned memory for.
    pub fn pinned(&self) -> Vec<CompactString> {
        self.engines.iter().flat_map(Engine::pinned).collect()
    }
}

/// Returns the tokens and the shared secret of the cluster.
pub fn keys() -> Keys {
    let teams = [(CREW_TOKEN, "crew"), (VANS_TOKEN, "vans")];
    Keys {
        cluster: CLUSTER_KEY.to_owned(),
        teams: teams.iter().map(|(token, team)| ((*token).into(), (*team).into())).collect(),
        operators: IndexMap::from([(OPERATOR_TOKEN.into(), "ana".into())]),
    }
}

/// Returns the name of the VM that an endpoint runs on.
pub fn vm_of(endpoint: &str) -> CompactString {
    format_compact!("vm-{endpoint}")
}

fn dc_of(index: usize) -> CompactString {
    DCS[index % DCS.len()].into()
}

fn create<T>(name: &str, value: T) -> Edit<T> {
    Edit { name: name.into(), from: None, to: Some(value) }
}
