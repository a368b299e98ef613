//! Test harness that runs gateway daemons as processes, with scripted endpoints and a fake key-value
//! service.

use crate::faults::Injector;
use crate::kv::{self, Kv};
use crate::net;
use crate::process::Process;
use crate::proxy::{Fault, Proxy};
use crate::script::{Behaviour, Endpoint};
use compact_str::CompactString;
use gateway::settings::{Limits, Settings};
use platform::kv::{Client, Error, WriteOutcome};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Hostname of all routes.
pub const HOST: &str = "app.example";
/// Time limit for waiting on an expected condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Start time of endpoints that did not start again, in milliseconds since the Unix epoch.
const START_TIME: u64 = 1;
/// Timeout of one call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// Gateway daemon that runs as a child process.
pub struct Daemon {
    /// Settings that the process was started with.
    pub settings: Settings,
    /// Running process.
    pub process: Process,
    settings_path: PathBuf,
    binary: String,
}

impl Daemon {
    /// Kills the daemon if it is running and starts it again with `first_start` unset.
    pub fn restart(&mut self) {
        self.process.kill();
        self.settings.first_start = false;
        write_settings(&self.settings_path, &self.settings);
        self.process =
            Process::start(&self.binary, &self.settings.vm, &["gateway"], &self.settings_path);
    }

    /// Returns whether the daemon reports itself ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}{}", self.settings.probe_addr, platform::READY_PATH);
        reqwest::get(url).await.is_ok_and(|response| response.status().is_success())
    }

    /// Returns the number of members in the daemon's view, or `None` if it can't be read.
    pub async fn member_count(&self) -> Option<usize> {
        self.gauge("view_members").await
    }

    /// Returns the number of the open allocation term in the daemon's view, or `None` if it can't
    /// be read.
    pub async fn open_term(&self) -> Option<usize> {
        self.gauge("founders_term").await
    }

    async fn gauge(&self, name: &str) -> Option<usize> {
        let url = format!("http://{}/metrics", self.settings.probe_addr);
        let text = reqwest::get(url).await.ok()?.text().await.ok()?;
        let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
        text.lines().find_map(value)
    }

    /// Waits until allocation term `term` is open in the daemon's view.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_for_term(&self, term: usize) {
        let started = Instant::now();
        while self.open_term().await != Some(term) {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{}: term {term} did not open in time",
                self.settings.vm
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon is ready and its view has exactly this many members.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than `timeout`.
    pub async fn wait_for_members(&self, members: usize, timeout: Duration) {
        let started = Instant::now();
        loop {
            let (ready, known) = (self.is_ready().await, self.member_count().await);
            if ready && known == Some(members) {
                return;
            }
            let name = &self.settings.vm;
            assert!(
                started.elapsed() < timeout,
                "{name} did not converge in time: ready {ready}, members {known:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon reports itself ready.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than [`WAIT_TIMEOUT`].
    pub async fn ready(&self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{} did not become ready in time",
                self.settings.vm
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// HTTP response as a client receives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code; 0 if no complete head was received.
    pub status: u16,
    /// Status line and headers, in lower case.
    pub head: String,
    /// Body without its chunked framing.
    pub body: String,
    /// Whether the whole body was received, according to its framing.
    pub complete: bool,
}

impl Response {
    /// Returns the value of the header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.filter(|(found, _)| *found == name).map(|(_, value)| value.trim()).next()
    }
}

/// Daemons and fakes of one test.
pub struct Harness {
    /// Injector of faults into the key-value service.
    pub faults: Injector,
    /// Fake key-value service.
    pub kv: Kv,
    /// Gateway daemons.
    pub daemons: Vec<Daemon>,
    /// Client of the key-value service.
    pub kv_client: Client,
    dir: PathBuf,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.daemons.clear();
        // If this fails, files are left behind in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Harness {
    /// Registers `endpoints` for service `s`, starts `count` daemons and waits until they have
    /// converged.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or the daemons don't converge in time.
    pub async fn start(binary: &str, name: &str, count: usize, endpoints: &[&Endpoint]) -> Self {
        Self::start_with(binary, name, count, endpoints, |_| {}).await
    }

    /// Starts daemons like [`Harness::start`] after `adjust` changed the settings of each.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or the daemons don't converge in time.
    pub async fn start_with(
        binary: &str,
        name: &str,
        count: usize,
        endpoints: &[&Endpoint],
        adjust: impl Fn(&mut Settings),
    ) -> Self {
        let mut harness = Self::without_daemons(name).await;
        for endpoint in endpoints {
            harness.register(endpoint, "ready").await;
        }
        harness.configure(&config(1)).await;
        let peer_addrs: Vec<_> = (0..count).map(|_| net::free_addr()).collect();
        let seeds: Vec<_> = peer_addrs.iter().map(|addr| addr.to_string().into()).collect();
        for (number, peer_addr) in peer_addrs.into_iter().enumerate() {
            let mut settings = harness.settings(number, peer_addr, &seeds);
            adjust(&mut settings);
            let daemon = harness.launch(binary, settings);
            harness.daemons.push(daemon);
        }
        harness.wait_until_converged().await;
        harness
    }

    /// Starts only the fake key-value service.
    ///
    /// # Panics
    ///
    /// Panics if it cannot be started.
    pub async fn without_daemons(name: &str) -> Self {
        let faults = Injector::default();
        let kv = Kv::start(kv::Spec::default(), faults.clone()).await;
        let kv_client =
            Client::new(&kv.url(), KV_TIMEOUT).expect("failed to create the key-value client");
        let dir = format!("catkinshed-gate-{name}-{}", std::process::id());
        let dir = std::env::temp_dir().join(dir);
        std::fs::create_dir_all(&dir).expect("failed to create a temporary directory");
        Self { faults, kv, daemons: Vec::new(), kv_client, dir }
    }

    /// Returns the settings of daemon `number` with peer address `addr`.
    pub fn settings(&self, number: usize, addr: SocketAddr, seeds: &[CompactString]) -> Settings {
        Settings {
            vm: format!("gate-{number}").into(),
            dc: "dc-1".into(),
            client_addr: net::free_addr(),
            probe_addr: net::free_addr(),
            peer_addr: addr,
            peer_public: None,
            seeds: seeds.to_vec(),
            kv: self.kv.url().into(),
            cluster_key: "key-of-the-gate-tests".to_owned(),
            cpu_share: 1.0,
            memory_mb: 128,
            admission: sched::admission::Limits::default(),
            locality: sched::locality::Prices::default(),
            quarantine: sched::quarantine::Limits::default(),
            operator_token: None,
            quota_tolerance: sched::quota::Tolerance::default(),
            first_start: true,
            limits: Limits { lease_ttl_ms: 2_000, ..Limits::default() },
        }
    }

    /// Waits until each daemon is ready, has all daemons in its view and sees the first allocation
    /// term open.
    ///
    /// # Panics
    ///
    /// Panics if a daemon takes longer than [`WAIT_TIMEOUT`].
    pub async fn wait_until_converged(&self) {
        for daemon in &self.daemons {
            daemon.wait_for_members(self.daemons.len(), WAIT_TIMEOUT).await;
            daemon.wait_for_term(1).await;
        }
    }

    /// Starts a daemon without waiting until it is ready.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started.
    pub fn launch(&self, binary: &str, settings: Settings) -> Daemon {
        let settings_path = self.dir.join(format!("{}.json", settings.vm));
        write_settings(&settings_path, &settings);
        let process = Process::start(binary, &settings.vm, &["gateway"], &settings_path);
        Daemon { settings, process, settings_path, binary: binary.to_owned() }
    }

    /// Registers an endpoint for service `s` in state `state`.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for longer than [`WAIT_TIMEOUT`].
    pub async fn register(&self, endpoint: &Endpoint, state: &str) {
        self.register_version(endpoint, "v1", state).await;
    }

    /// Registers endpoint `id` for `service`, reachable at `addr`.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for longer than [`WAIT_TIMEOUT`].
    pub async fn register_at(&self, id: &str, service: &str, addr: SocketAddr, state: &str) {
        let value = registration(service, addr, "v1", state, START_TIME);
        self.put(&format!("servers/{id}"), &value).await;
    }

    /// Registers an endpoint with a version of its software for service `s` in state `state`.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for longer than [`WAIT_TIMEOUT`].
    pub async fn register_version(&self, endpoint: &Endpoint, version: &str, state: &str) {
        let start_time = endpoint.start_time().unwrap_or(START_TIME);
        endpoint.set_start_time(start_time);
        let value = registration("s", endpoint.addr, version, state, start_time);
        self.put(&format!("servers/{}", endpoint.id), &value).await;
    }

    /// Deletes an endpoint's registration.
    ///
    /// # Panics
    ///
    /// Panics if the deletion fails for longer than [`WAIT_TIMEOUT`].
    pub async fn deregister(&self, endpoint: &Endpoint) {
        let key = format!("servers/{}", endpoint.id);
        let started = Instant::now();
        loop {
            match self.kv_client.get(&key).await {
                Ok(None) => return,
                // The next read shows whether the deletion took effect.
                Ok(Some(found)) => drop(self.kv_client.delete(&key, found.revision).await),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "failed to delete {key} in time");
        }
    }

    /// Writes the operators' configuration.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for longer than [`WAIT_TIMEOUT`].
    pub async fn configure(&self, config: &Value) {
        self.put("op/config", config).await;
    }

    /// Writes a key, retrying after errors and conflicts.
    ///
    /// # Panics
    ///
    /// Panics if the write fails for longer than [`WAIT_TIMEOUT`].
    pub async fn put(&self, key: &str, value: &Value) {
        let started = Instant::now();
        while let Err(error) = self.try_put(key, value).await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "failed to write {key} in time: {error}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn try_put(&self, key: &str, value: &Value) -> Result<(), Error> {
        let value = value.to_string();
        let found = self.kv_client.get(key).await?;
        // An earlier attempt may have taken effect although its response was lost.
        if found.as_ref().is_some_and(|found| found.value == value.as_bytes()) {
            return Ok(());
        }
        let revision = found.map_or(0, |entry| entry.revision);
        match self.kv_client.compare_and_swap(key, value.as_bytes(), revision, None).await? {
            WriteOutcome::Done(_) => Ok(()),
            WriteOutcome::Conflict => {
                Err(Error::Refused("the key was changed concurrently".to_owned()))
            }
        }
    }

    /// Sends a request with request id `id` and additional `headers` to daemon number `daemon`, and
    /// returns the response.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not accept the connection.
    pub async fn request(&self, daemon: usize, path: &str, id: &str, headers: &[&str]) -> Response {
        let mut stream = self.start_request(daemon, path, id, headers).await;
        let mut bytes = Vec::new();
        // A connection error leaves an incomplete response.
        let _ = stream.read_to_end(&mut bytes).await;
        parse_response(&bytes)
    }

    /// Sends a safe request and returns the response, or `None` if none arrives within `timeout`.
    pub async fn try_request(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        timeout: Duration,
    ) -> Option<Response> {
        let exchange = async {
            let addr = self.daemons[daemon].settings.client_addr;
            let mut stream = TcpStream::connect(addr).await.ok()?;
            let head = format!(
                "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nConnection: close\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await.ok()?;
            let mut bytes = Vec::new();
            stream.read_to_end(&mut bytes).await.ok()?;
            Some(parse_response(&bytes))
        };
        tokio::time::timeout(timeout, exchange).await.ok()?
    }

    /// Sends a request like [`Harness::request`] and returns the connection without reading the
    /// response.
    ///
    /// Paths under `/safe/` are requested with GET, all others with POST.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not accept the connection.
    pub async fn start_request(
        &self,
        daemon: usize,
        path: &str,
        id: &str,
        headers: &[&str],
    ) -> TcpStream {
        let method = if path.starts_with("/safe/") { "GET" } else { "POST" };
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
             Connection: close\r\n"
        );
        headers.iter().for_each(|header| head += &format!("{header}\r\n"));
        self.send_raw(daemon, format!("{head}Content-Length: 4\r\n\r\nbody").as_bytes()).await
    }

    /// Sends raw bytes to a daemon on a new connection and returns the connection.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not accept the connection.
    pub async fn send_raw(&self, daemon: usize, bytes: &[u8]) -> TcpStream {
        let addr = self.daemons[daemon].settings.client_addr;
        let mut stream = TcpStream::connect(addr).await.expect("failed to connect to the daemon");
        stream.write_all(bytes).await.expect("failed to send to the daemon");
        stream
    }
}

/// Daemons whose links to the key-value service and to each other can be cut.
pub struct Partitionable {
    /// The daemons and fakes.
    pub harness: Harness,
    /// Links of the daemons to the key-value service.
    pub kv_links: Vec<Proxy>,
    /// Links of the peers to each daemon.
    pub peer_links: Vec<Proxy>,
}

impl Partitionable {
    /// Registers `endpoints` for service `s`, starts `count` daemons and waits until they have
    /// converged. The daemons' leases outlive a cut of some seconds.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or the daemons don't converge in time.
    pub async fn start(binary: &str, name: &str, count: usize, endpoints: &[&Endpoint]) -> Self {
        let harness = Harness::without_daemons(name).await;
        for endpoint in endpoints {
            harness.register(endpoint, "ready").await;
        }
        harness.configure(&config(1)).await;
        Self::launch(binary, harness, count, |_, _| {}).await
    }

    /// Starts `count` daemons on a harness with an endpoint and a configuration, after `adjust`
    /// changed the settings of each, and waits until they have converged.
    ///
    /// # Panics
    ///
    /// Panics if a process cannot be started or the daemons don't converge in time.
    pub async fn launch(
        binary: &str,
        mut harness: Harness,
        count: usize,
        adjust: impl Fn(usize, &mut Settings),
    ) -> Self {
        let kv_addr = harness.kv.url().trim_start_matches("http://").parse().expect("an address");
        let peer_addrs: Vec<_> = (0..count).map(|_| net::free_addr()).collect();
        let (mut kv_links, mut peer_links) = (Vec::new(), Vec::new());
        for addr in &peer_addrs {
            kv_links.push(Proxy::start(kv_addr).await);
            peer_links.push(Proxy::start(*addr).await);
        }
        let seeds: Vec<_> = peer_links.iter().map(|link| link.addr.to_string().into()).collect();
        for (number, addr) in peer_addrs.into_iter().enumerate() {
            let mut settings = harness.settings(number, addr, &seeds);
            settings.peer_public = Some(peer_links[number].addr);
            settings.kv = format!("http://{}", kv_links[number].addr).into();
            settings.limits.lease_ttl_ms = 10_000;
            adjust(number, &mut settings);
            let daemon = harness.launch(binary, settings);
            harness.daemons.push(daemon);
        }
        harness.wait_until_converged().await;
        Self { harness, kv_links, peer_links }
    }

    /// Holds back all bytes between these daemons and the key-value service, without a reset.
    pub fn cut_from_kv(&self, daemons: &[usize]) {
        daemons.iter().for_each(|daemon| self.kv_links[*daemon].set_fault(Fault::StallBoth));
    }

    /// Holds back all bytes between these daemons and the key-value service, and between all
    /// daemons.
    pub fn cut_from_all(&self, daemons: &[usize]) {
        self.cut_from_kv(daemons);
        self.peer_links.iter().for_each(|link| link.set_fault(Fault::StallBoth));
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        let links = self.kv_links.iter().chain(&self.peer_links);
        links.for_each(|link| link.set_fault(Fault::None));
    }
}

/// Waits until `condition` returns true.
///
/// # Panics
///
/// Panics if that takes longer than [`WAIT_TIMEOUT`]; `what` names the condition in the message.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the registration of an endpoint in the platform's format.
fn registration(
    service: &str,
    addr: SocketAddr,
    version: &str,
    state: &str,
    start_time: u64,
) -> Value {
    json!({
        "backend": service, "address": addr.to_string(), "zone": "dc-1", "version": version,
        "slots": 4, "state": state, "call_seq": 1, "born": start_time,
    })
}

/// Returns a route to `service` in the platform's configuration format; only streams of the route
/// `stream` are resumable.
pub fn route(prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "name": prefix, "hostname": HOST, "path_prefix": format!("/{prefix}/"), "kind": kind,
        "timeout_ms": 3_000, "target_latency_ms": 250, "priority": 0, "backend": service,
        "max_attempts": attempts, "retention_s": 60.0, "resumable": prefix == "stream",
        "gap_aim_ms": 200,
    })
}

/// Returns a configuration with one route of each kind, all to service `s`.
pub fn config(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [
            route("safe", "safe", "s", 2), route("unsafe", "unsafe", "s", 2),
            route("stream", "stream", "s", 1), route("plain", "stream", "s", 1),
        ],
        "services": [{
            "name": "s", "health_path": "/healthz", "max_connections": 100,
            "engine": { "slots": 4, "kv_capacity": 100_000, "chunk_tokens": 10 },
        }],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 65_536, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

/// Returns the behaviour of streaming `events` events to the end.
pub fn streaming(events: u64, gap: Duration) -> Behaviour {
    Behaviour::Stream { events, gap, breaks_after: None }
}

fn write_settings(path: &PathBuf, settings: &Settings) {
    let mut value = serde_json::to_value(settings).expect("failed to serialize the settings");
    // Serializing the settings omits the key and the token.
    value["cluster_key"] = json!(settings.cluster_key);
    value["operator_token"] = json!(settings.operator_token);
    std::fs::write(path, value.to_string()).expect("failed to write the settings file");
}

fn parse_response(bytes: &[u8]) -> Response {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Response::default();
    };
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let response = Response { status, head, ..Response::default() };
    if response.header("transfer-encoding") == Some("chunked") {
        let (body, complete) = decode_chunked(rest);
        return Response { body, complete, ..response };
    }
    let length = response.header("content-length").and_then(|length| length.parse().ok());
    Response { body: rest.to_owned(), complete: length == Some(rest.len()), ..response }
}

fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(part) = tail.get(..size) else {
            return (body + tail, false);
        };
        body += part;
        rest = tail.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
