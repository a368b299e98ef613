//! What the cases share: a small deployment of processes, its store, its engines, and clients.

use platform::kv::Client;
use serde_json::{Value, json};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use testing::faults::Injector;
use testing::kv::{self, Kv};
use testing::net::free_addr;
use testing::process::Process;
use testing::script::Endpoint;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Host name of all routes.
pub const HOST: &str = "app.example";
/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["tayninh-a", "tayninh-b", "tayninh-c"];

/// Record of what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("cannot write the record");
        Self { file: Mutex::new(file), started: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:9.3} {text}").expect("cannot write the record");
    }
}

/// One gateway process.
pub struct Gateway {
    pub name: String,
    pub client_addr: SocketAddr,
    pub probe_addr: SocketAddr,
    pub process: Process,
}

/// Store, gateways and the folder of their settings.
pub struct Deployment {
    pub kv: Kv,
    pub client: Client,
    pub gateways: Vec<Gateway>,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts a store with the figures of the site caneshift.
    pub async fn new(name: &str) -> Self {
        let spec = kv::Spec {
            latency: Duration::from_millis(4),
            writes_per_s: 400.0,
            reads_per_s: 2_000.0,
        };
        let kv = Kv::start(spec, Injector::default()).await;
        let client = Client::new(&kv.url(), Duration::from_secs(2)).expect("store client");
        let dir = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        Self { kv, client, gateways: Vec::new(), dir }
    }

    pub async fn put(&self, key: &str, value: &Value) {
        let started = Instant::now();
        while self.client.put(key, value.to_string().as_bytes(), None).await.is_err() {
            assert!(started.elapsed() < Duration::from_secs(10), "cannot write {key}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn remove(&self, key: &str) {
        let started = Instant::now();
        while self.client.delete_all(&[key]).await.is_err() {
            assert!(started.elapsed() < Duration::from_secs(10), "cannot remove {key}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn register(&self, engine: &Endpoint, service: &str, zone: &str, slots: u32, state: &str) {
        let entry = json!({
            "backend": service, "address": engine.addr.to_string(), "zone": zone, "version": "v1",
            "slots": slots, "state": state, "cold_left_ms": 0, "stage": "dual",
            "models": [{ "name": "m", "version": 1, "adapters": [] }], "call_seq": 0,
            "born": 1_790_000_000_000_u64,
        });
        self.put(&format!("servers/{}", engine.id), &entry).await;
    }

    /// Starts `count` gateways with the command and the settings of the deploy file, spread over
    /// the zones, and waits until they are ready and know each other.
    pub async fn start_gateways(&mut self, count: usize) {
        let peers: Vec<SocketAddr> = (0..count).map(|_| free_addr()).collect();
        let seeds: Vec<String> = peers.iter().take(3).map(ToString::to_string).collect();
        for (number, peer) in peers.iter().enumerate() {
            let zone = ZONES[number % ZONES.len()];
            let name = format!("front-{zone}-{}", number / ZONES.len() + 1);
            let (client_addr, probe_addr) = (free_addr(), free_addr());
            let settings = json!({
                "vm": name, "dc": zone, "client_addr": client_addr.to_string(),
                "probe_addr": probe_addr.to_string(), "peer_addr": peer.to_string(),
                "seeds": seeds, "kv": self.kv.url(),
                "cluster_key": "replace-me-for-each-system", "cpu_share": 0.25,
                "first_start": true,
            });
            let path = self.dir.join(format!("{name}.json"));
            std::fs::write(&path, settings.to_string()).expect("settings file");
            let process = start(&name, &path);
            self.gateways.push(Gateway { name, client_addr, probe_addr, process });
        }
        self.wait_for_members(count).await;
    }

    pub async fn wait_for_members(&self, count: usize) {
        let started = Instant::now();
        for gateway in &self.gateways {
            while gateway.gauge("view_members").await != Some(count)
                || gateway.gauge("founders_term").await.is_none_or(|term| term < 1)
                || !gateway.ready().await
            {
                assert!(started.elapsed() < Duration::from_secs(20), "{} not ready", gateway.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

fn start(name: &str, path: &Path) -> Process {
    Process::start("target/release/catkinshed", name, &["gateway"], path)
}

impl Gateway {
    pub async fn ready(&self) -> bool {
        let url = format!("http://{}/api/ready", self.probe_addr);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }

    pub async fn gauge(&self, name: &str) -> Option<usize> {
        let url = format!("http://{}/metrics", self.probe_addr);
        let text = reqwest::get(url).await.ok()?.text().await.ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
    }
}

/// A route as the operator writes it.
pub fn route(prefix: &str, kind: &str, service: &str, resumable: bool) -> Value {
    json!({
        "name": format!("r-{prefix}"), "hostname": HOST, "path_prefix": format!("/{prefix}/"),
        "kind": kind, "timeout_ms": if kind == "unsafe" { 6_000 } else { 4_000 },
        "target_latency_ms": 250, "priority": 0, "backend": service, "max_attempts": 1,
        "retain": false, "retention_s": 60.0, "sticky_sessions": true, "resumable": resumable,
        "gap_aim_ms": 200,
    })
}

/// The configuration of the deployment.
pub fn config() -> Value {
    json!({
        "version": 7,
        "routes": [
            route("chat", "stream", "agent-llm", true),
            route("book", "unsafe", "rota-app", false),
            route("look", "safe", "rota-app", false),
        ],
        "services": [
            {
                "name": "agent-llm", "health_path": "/healthz", "max_connections": 180,
                "protocol": "h1", "tls": false,
                "engine": { "slots": 16, "kv_capacity": 123_112, "chunk_tokens": 10 },
            },
            {
                "name": "rota-app", "health_path": "/healthz", "max_connections": 110,
                "protocol": "h1", "tls": false,
            },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    })
}

/// Answer to a client's request.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without a status line.
    pub status: u16,
    pub text: String,
}

impl Answer {
    /// Counts the events of a stream that have arrived whole.
    pub fn events(&self) -> u64 {
        self.text.lines().filter(|line| line.starts_with("id:")).count() as u64
    }
}

/// Sends a request on a connection of its own and reads the answer to its end.
pub async fn request(addr: SocketAddr, method: &str, path: &str, id: &str, headers: &[String]) -> Answer {
    let Ok(mut stream) = TcpStream::connect(addr).await else {
        return Answer::default();
    };
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nConnection: close\r\n"
    );
    headers.iter().for_each(|header| head += &format!("{header}\r\n"));
    head += "Content-Length: 0\r\n\r\n";
    if stream.write_all(head.as_bytes()).await.is_err() {
        return Answer::default();
    }
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    parse(&bytes)
}

pub fn parse(bytes: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    Answer { status, text }
}
