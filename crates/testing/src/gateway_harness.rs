//! Gateway daemons as processes, with scripted endpoints and the key-value stand-in.

use crate::faults::Injector;
use crate::kv::{self, Kv};
use crate::net;
use crate::process::Running;
use crate::scripted_endpoint::{Behaviour, Endpoint};
use compact_str::CompactString;
use gateway::settings::{Limits, Settings};
use platform::kv::{Client, Error, WriteOutcome};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Host of all routes.
pub const HOST: &str = "app.example";
/// Longest wait for something that has to happen.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Bound of one call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// A gateway daemon.
pub struct Daemon {
    /// Its settings.
    pub settings: Settings,
    /// Its process.
    pub process: Running,
    path: PathBuf,
    binary: String,
}

impl Daemon {
    /// Starts the daemon again after it has ended.
    pub fn restart(&mut self) {
        self.process.kill();
        self.settings.first_start = false;
        write(&self.path, &self.settings);
        self.process = Running::start(&self.binary, &self.settings.vm, &["gateway"], &self.path);
    }

    /// Tells whether the daemon reports itself ready.
    pub async fn is_ready(&self) -> bool {
        let url = format!("http://{}{}", self.settings.probe_addr, platform::READY_PATH);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }

    /// Number of members that the daemon knows.
    pub async fn members(&self) -> Option<usize> {
        self.gauge("view_members").await
    }

    /// Number of the founders' term that the daemon knows to be open.
    pub async fn term(&self) -> Option<usize> {
        self.gauge("founders_term").await
    }

    async fn gauge(&self, name: &str) -> Option<usize> {
        let url = format!("http://{}/metrics", self.settings.probe_addr);
        let text = reqwest::get(url).await.ok()?.text().await.ok()?;
        let value = |line: &str| line.strip_prefix(name)?.trim().parse().ok();
        text.lines().find_map(value)
    }

    /// Waits until the daemon knows this term of founders to be open.
    ///
    /// # Panics
    ///
    /// Panics when that does not come in time.
    pub async fn wait_for_term(&self, term: usize) {
        let started = Instant::now();
        while self.term().await != Some(term) {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{}: no term {term}", self.settings.vm);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon is ready and knows this many members.
    ///
    /// # Panics
    ///
    /// Panics when that does not come in time.
    pub async fn wait_for_members(&self, members: usize, patience: Duration) {
        let started = Instant::now();
        loop {
            let (ready, known) = (self.is_ready().await, self.members().await);
            if ready && known == Some(members) {
                return;
            }
            let name = &self.settings.vm;
            assert!(started.elapsed() < patience, "{name}: ready {ready}, members {known:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the daemon reports itself ready.
    ///
    /// # Panics
    ///
    /// Panics when it does not become ready.
    pub async fn ready(&self) {
        let started = Instant::now();
        while !self.is_ready().await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{} is not ready", self.settings.vm);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its head, in lower case.
    pub head: String,
    /// Its body, without the framing.
    pub body: String,
    /// Whether it ended as its framing says.
    pub complete: bool,
}

impl Response {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.filter(|(found, _)| *found == name).map(|(_, value)| value.trim()).next()
    }
}

/// Everything of one test.
pub struct Harness {
    /// Switches of the key-value stand-in's faults.
    pub faults: Injector,
    /// The key-value stand-in.
    pub kv: Kv,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// A client of the key-value stand-in.
    pub kv_client: Client,
    folder: PathBuf,
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.daemons.clear();
        // What is left behind is in the system's folder for temporary files.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Harness {
    /// Starts `count` daemons and registers the endpoints, all of service `s`.
    ///
    /// # Panics
    ///
    /// Panics when a process cannot be started.
    pub async fn start(binary: &str, name: &str, count: usize, endpoints: &[&Endpoint]) -> Self {
        let mut gate = Self::without_daemons(name).await;
        for endpoint in endpoints {
            gate.register(endpoint, "ready").await;
        }
        gate.configure(&config(1)).await;
        let peers: Vec<_> = (0..count).map(|_| net::free_addr()).collect();
        let seeds: Vec<_> = peers.iter().map(|addr| addr.to_string().into()).collect();
        for (number, peer_addr) in peers.into_iter().enumerate() {
            let daemon = gate.launch(binary, gate.settings(number, peer_addr, &seeds));
            gate.daemons.push(daemon);
        }
        gate.wait_until_converged().await;
        gate
    }

    /// Starts the key-value stand-in only.
    ///
    /// # Panics
    ///
    /// Panics when it cannot be started.
    pub async fn without_daemons(name: &str) -> Self {
        let faults = Injector::default();
        let kv = Kv::start(kv::Spec::default(), faults.clone()).await;
        let kv_client = Client::new(&kv.url(), KV_TIMEOUT).expect("a client");
        let folder = format!("catkinshed-gate-{name}-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).expect("a folder for temporary files");
        Self { faults, kv, daemons: Vec::new(), kv_client, folder }
    }

    /// Settings of the daemon with this number.
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
            admission: sched::admission::Limits::default(),
            first_start: true,
            limits: Limits { lease_ttl_ms: 2_000, ..Limits::default() },
        }
    }

    /// Waits until all daemons are ready, know each other, and know the first term of founders.
    ///
    /// # Panics
    ///
    /// Panics when that never comes.
    pub async fn wait_until_converged(&self) {
        for daemon in &self.daemons {
            daemon.wait_for_members(self.daemons.len(), WAIT_TIMEOUT).await;
            daemon.wait_for_term(1).await;
        }
    }

    /// Starts a daemon.
    ///
    /// # Panics
    ///
    /// Panics when the process cannot be started.
    pub fn launch(&self, binary: &str, settings: Settings) -> Daemon {
        let path = self.folder.join(format!("{}.json", settings.vm));
        write(&path, &settings);
        let process = Running::start(binary, &settings.vm, &["gateway"], &path);
        Daemon { settings, process, path, binary: binary.to_owned() }
    }

    /// Writes an endpoint's registration.
    ///
    /// # Panics
    ///
    /// Panics when the key-value stand-in refuses it.
    pub async fn register(&self, endpoint: &Endpoint, state: &str) {
        self.register_at(&endpoint.id, "s", endpoint.addr, state).await;
    }

    /// Writes the registration of an endpoint that is reached at `addr`.
    ///
    /// # Panics
    ///
    /// Panics when the key-value stand-in refuses it.
    pub async fn register_at(&self, id: &str, service: &str, addr: SocketAddr, state: &str) {
        let value = json!({
            "backend": service, "address": addr.to_string(), "zone": "dc-1", "version": "v1",
            "slots": 4, "state": state, "call_seq": 1, "born": 1,
        });
        self.put(&format!("servers/{id}"), &value).await;
    }

    /// Deletes an endpoint's registration.
    ///
    /// # Panics
    ///
    /// Panics when the key-value stand-in refuses it.
    pub async fn unregister(&self, endpoint: &Endpoint) {
        let key = format!("servers/{}", endpoint.id);
        let started = Instant::now();
        loop {
            match self.kv_client.get(&key).await {
                Ok(None) => return,
                // The next look tells whether it is gone.
                Ok(Some(found)) => drop(self.kv_client.delete(&key, found.revision).await),
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{key} is not deleted");
        }
    }

    /// Writes the operators' configuration.
    ///
    /// # Panics
    ///
    /// Panics when the key-value stand-in refuses it.
    pub async fn configure(&self, config: &Value) {
        self.put("op/config", config).await;
    }

    /// Writes a key, however often the stand-in fails meanwhile.
    ///
    /// # Panics
    ///
    /// Panics when the stand-in fails for too long.
    pub async fn put(&self, key: &str, value: &Value) {
        let started = Instant::now();
        while let Err(error) = self.try_put(key, value).await {
            assert!(started.elapsed() < WAIT_TIMEOUT, "{key} is not written: {error}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn try_put(&self, key: &str, value: &Value) -> Result<(), Error> {
        let value = value.to_string();
        let found = self.kv_client.get(key).await?;
        // An earlier write whose answer was lost need not be repeated.
        if found.as_ref().is_some_and(|found| found.value == value.as_bytes()) {
            return Ok(());
        }
        let revision = found.map_or(0, |entry| entry.revision);
        match self.kv_client.compare_and_swap(key, value.as_bytes(), revision, None).await? {
            WriteOutcome::Done(_) => Ok(()),
            WriteOutcome::Conflict => Err(Error::Refused("the key changed meanwhile".to_owned())),
        }
    }

    /// Sends a request with these further headers to a daemon and reads the answer.
    ///
    /// # Panics
    ///
    /// Panics when the daemon does not take the connection.
    pub async fn request(&self, daemon: usize, path: &str, id: &str, headers: &[&str]) -> Response {
        let mut stream = self.start_request(daemon, path, id, headers).await;
        let mut bytes = Vec::new();
        // A connection that breaks leaves an answer that is not complete.
        let _ = stream.read_to_end(&mut bytes).await;
        parse(&bytes)
    }

    /// Sends a request as [`Harness::request`] does, and leaves its answer to be read.
    ///
    /// # Panics
    ///
    /// Panics when the daemon does not take the connection.
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

    /// Sends bytes to a daemon.
    ///
    /// # Panics
    ///
    /// Panics when the daemon does not take the connection.
    pub async fn send_raw(&self, daemon: usize, bytes: &[u8]) -> TcpStream {
        let addr = self.daemons[daemon].settings.client_addr;
        let mut stream = TcpStream::connect(addr).await.expect("the daemon takes a connection");
        stream.write_all(bytes).await.expect("the daemon reads");
        stream
    }
}

/// Waits until `check` holds.
///
/// # Panics
///
/// Panics when it never does; the message names what was waited for.
pub async fn wait_until(what: &str, mut check: impl FnMut() -> bool) {
    let started = Instant::now();
    while !check() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{what} never came");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A route to `service`; streams under the prefix `stream` may be resumed.
pub fn route(prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
    json!({
        "name": prefix, "hostname": HOST, "path_prefix": format!("/{prefix}/"), "kind": kind,
        "timeout_ms": 3_000, "target_latency_ms": 250, "priority": 0, "backend": service,
        "max_attempts": attempts, "retention_s": 60.0, "resumable": prefix == "stream",
        "gap_aim_ms": 200,
    })
}

/// A configuration with one route of each kind, all to service `s`.
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

/// An endpoint that streams this many events without a break.
pub fn streaming(events: u64, gap: Duration) -> Behaviour {
    Behaviour::Stream { events, gap, breaks_after: None }
}

fn write(path: &PathBuf, settings: &Settings) {
    let mut value = serde_json::to_value(settings).expect("settings");
    // The key is left out where settings are shown.
    value["cluster_key"] = json!(settings.cluster_key);
    std::fs::write(path, value.to_string()).expect("a settings file");
}

fn parse(bytes: &[u8]) -> Response {
    let text = String::from_utf8_lossy(bytes);
    let Some((head, rest)) = text.split_once("\r\n\r\n") else {
        return Response::default();
    };
    let head = head.to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let answer = Response { status, head, ..Response::default() };
    if answer.header("transfer-encoding") == Some("chunked") {
        let (body, complete) = unchunk(rest);
        return Response { body, complete, ..answer };
    }
    let length = answer.header("content-length").and_then(|length| length.parse().ok());
    Response { body: rest.to_owned(), complete: length == Some(rest.len()), ..answer }
}

fn unchunk(mut rest: &str) -> (String, bool) {
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
