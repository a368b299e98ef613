//! Stand-in for the key-value service: ranges, guarded writes, leases and watches.
//!
//! Rates, latency and the value limit are enforced. Each call counts, a waiting watch too.

use crate::faults::Switchboard;
use crate::net::{self, Server};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::response::stream::ByteStream;
use rocket::{State, post, routes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Changes kept for watches.
const HISTORY: usize = 20_000;
/// Interval of the check for lapsed leases.
const LEASE_CHECK: Duration = Duration::from_millis(50);

/// Behaviour of a healthy service.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Time for one call.
    pub latency: Duration,
    /// Most writes a second.
    pub writes_per_s: f64,
    /// Most reads a second.
    pub reads_per_s: f64,
}

impl Default for Spec {
    fn default() -> Self {
        Self { latency: Duration::from_millis(2), writes_per_s: 600.0, reads_per_s: 2_000.0 }
    }
}

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: Vec<u8>,
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

struct Bucket {
    tokens: f64,
    rate: f64,
    last: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { tokens: rate, rate, last: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        let earned = now.duration_since(self.last).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + earned).min(self.rate);
        self.last = now;
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}

struct Store {
    revision: u64,
    items: BTreeMap<Vec<u8>, Item>,
    history: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    writes: Bucket,
    reads: Bucket,
    written: u32,
}

impl Store {
    fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = Item { value, revision: self.revision, lease };
        self.items.insert(key.clone(), item.clone());
        self.log(key, Some(item));
    }

    fn delete(&mut self, key: &[u8]) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log(key.to_vec(), None);
        }
    }

    fn log(&mut self, key: Vec<u8>, item: Option<Item>) {
        self.history.push_back(Change { revision: self.revision, key, item });
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn expire(&mut self, now: Instant) {
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.revoke(lease);
        }
    }

    fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<Vec<u8>> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

/// Counts of calls.
#[derive(Debug, Default)]
pub struct Counts {
    /// Writes that took effect or failed their guard.
    pub writes: AtomicU64,
    /// Reads.
    pub reads: AtomicU64,
    /// Calls beyond the rates.
    pub limited: AtomicU64,
    /// Bytes of values written.
    pub bytes: AtomicU64,
}

struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    faults: Switchboard,
    latency: Duration,
    counts: Arc<Counts>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }
}

/// A running stand-in.
pub struct Kv {
    /// Its server.
    pub server: Server,
    /// Counts of calls.
    pub counts: Arc<Counts>,
}

impl Kv {
    /// Starts the stand-in.
    pub async fn start(spec: Spec, faults: Switchboard) -> Self {
        let counts = Arc::new(Counts::default());
        let store = Store {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 100,
            writes: Bucket::new(spec.writes_per_s),
            reads: Bucket::new(spec.reads_per_s),
            written: 0,
        };
        let shared = Arc::new(Shared {
            store: Mutex::new(store),
            changed: watch::Sender::new(1),
            faults,
            latency: spec.latency,
            counts: counts.clone(),
        });
        tokio::spawn(expire_leases(shared.clone()));
        let routes = routes![range, txn, delete_range, grant, keep_alive, revoke, open_watch];
        let server = net::launch(|rocket| rocket.manage(shared).mount("/v3", routes)).await;
        Self { server, counts }
    }

    /// Address for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK).await;
        shared.lock().expire(Instant::now());
        shared.wake();
    }
}

type Answer = Result<(ContentType, String), Status>;
type App = State<Arc<Shared>>;

fn answer(body: &Value) -> Answer {
    Ok((ContentType::JSON, body.to_string()))
}

async fn read_body(body: Data<'_>) -> Result<Value, Status> {
    let bytes = body.open(4.mebibytes()).into_bytes().await.map_err(|_| Status::BadRequest)?;
    serde_json::from_slice(&bytes).map_err(|_| Status::BadRequest)
}

fn bytes(value: &Value) -> Vec<u8> {
    STANDARD.decode(value.as_str().unwrap_or_default()).unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    value.as_str().and_then(|text| text.parse().ok()).or(value.as_u64()).unwrap_or_default()
}

fn kv_json(key: &[u8], item: &Item) -> Value {
    json!({
        "key": STANDARD.encode(key),
        "value": STANDARD.encode(&item.value),
        "mod_revision": item.revision.to_string(),
        "lease": item.lease.to_string(),
    })
}

async fn admit(app: &Shared, write: bool) -> Result<(), Status> {
    let faults = app.faults.kv();
    tokio::time::sleep(app.latency + faults.delay).await;
    if app.faults.kv().down {
        return Err(Status::ServiceUnavailable);
    }
    let mut store = app.lock();
    let (bucket, count) = match write {
        true => (&mut store.writes, &app.counts.writes),
        false => (&mut store.reads, &app.counts.reads),
    };
    if !bucket.take() {
        app.counts.limited.fetch_add(1, Ordering::Relaxed);
        return Err(Status::TooManyRequests);
    }
    count.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// Decides whether the answer to a write that took effect is lost.
fn answer_lost(app: &Shared) -> bool {
    let every = app.faults.kv().lose_answer_every;
    let mut store = app.lock();
    store.written += 1;
    every > 0 && store.written.is_multiple_of(every)
}

#[post("/kv/range", data = "<body>")]
async fn range(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, false).await?;
    let (key, end) = (bytes(&body["key"]), bytes(&body["range_end"]));
    let limit = match number(&body["limit"]) {
        0 => usize::MAX,
        limit => limit as usize,
    };
    let store = app.lock();
    let found: Vec<Value> = match end.is_empty() {
        true => store.items.get(&key).map(|item| kv_json(&key, item)).into_iter().collect(),
        false => store.items.range(key..end).take(limit + 1).map(|(k, i)| kv_json(k, i)).collect(),
    };
    let more = found.len() > limit;
    let kvs: Vec<Value> = found.into_iter().take(limit).collect();
    let header = json!({ "revision": store.revision.to_string() });
    answer(&json!({ "header": header, "kvs": kvs, "more": more }))
}

#[post("/kv/txn", data = "<body>")]
async fn txn(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let compare = &body["compare"][0];
    let key = bytes(&compare["key"]);
    let expected = number(&compare["mod_revision"]);
    let success = &body["success"][0];
    let put = &success["requestPut"];
    let value = bytes(&put["value"]);
    if value.len() > MAX_VALUE_BYTES {
        return Err(Status::PayloadTooLarge);
    }
    let (succeeded, revision) = {
        let mut store = app.lock();
        let found = store.items.get(&key).cloned();
        let succeeded = found.as_ref().map_or(0, |item| item.revision) == expected;
        if succeeded && put.is_object() {
            let kept = found.map_or(0, |item| item.lease);
            let keep = put["ignore_lease"].as_bool().unwrap_or_default();
            let lease = if keep { kept } else { number(&put["lease"]) };
            if lease != 0 && !store.leases.contains_key(&lease) {
                return Err(Status::BadRequest);
            }
            app.counts.bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
            store.put(key, value, lease);
        } else if succeeded {
            store.delete(&key);
        }
        (succeeded, store.revision)
    };
    app.wake();
    if answer_lost(app) {
        return Err(Status::GatewayTimeout);
    }
    answer(&json!({ "header": { "revision": revision.to_string() }, "succeeded": succeeded }))
}

#[post("/kv/deleterange", data = "<body>")]
async fn delete_range(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let (from, end) = (bytes(&body["key"]), bytes(&body["range_end"]));
    {
        let mut store = app.lock();
        let keys: Vec<Vec<u8>> = store.items.range(from..end).map(|(k, _)| k.clone()).collect();
        for key in keys {
            store.delete(&key);
        }
    }
    app.wake();
    answer(&json!({}))
}

#[post("/lease/grant", data = "<body>")]
async fn grant(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let ttl = Duration::from_secs(number(&body["TTL"]));
    let mut store = app.lock();
    store.next_lease += 1;
    let id = store.next_lease;
    store.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
    answer(&json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }))
}

#[post("/lease/keepalive", data = "<body>")]
async fn keep_alive(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let id = number(&body["ID"]);
    let mut store = app.lock();
    store.expire(Instant::now());
    let ttl = match store.leases.get_mut(&id) {
        Some(lease) => {
            lease.expires = Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        }
        None => 0,
    };
    answer(&json!({ "result": { "ID": id.to_string(), "TTL": ttl.to_string() } }))
}

#[post("/lease/revoke", data = "<body>")]
async fn revoke(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    app.lock().revoke(number(&body["ID"]));
    app.wake();
    answer(&json!({}))
}

#[post("/watch", data = "<body>")]
async fn open_watch(app: &App, body: Data<'_>) -> Result<ByteStream![Vec<u8>], Status> {
    let body = read_body(body).await?;
    admit(app, false).await?;
    let request = &body["create_request"];
    let (key, end) = (bytes(&request["key"]), bytes(&request["range_end"]));
    let mut from = number(&request["start_revision"]);
    let shared = Arc::clone(app);
    let mut changed = shared.changed.subscribe();
    Ok(ByteStream! {
        loop {
            changed.mark_unchanged();
            if shared.faults.kv().down {
                return;
            }
            let (line, next, canceled) = watch_line(&shared, &key, &end, from);
            from = next;
            if let Some(line) = line {
                yield line;
            }
            if canceled {
                return;
            }
            if tokio::time::timeout(Duration::from_millis(500), changed.changed()).await.is_err() {
                yield b"{\"result\":{\"header\":{\"revision\":\"0\"},\"events\":[]}}\n".to_vec();
            }
        }
    })
}

fn watch_line(shared: &Shared, key: &[u8], end: &[u8], from: u64) -> (Option<Vec<u8>>, u64, bool) {
    let store = shared.lock();
    let oldest = store.history.front().map_or(0, |change| change.revision);
    let complete = store.history.len() < HISTORY || from >= oldest;
    let header = json!({ "revision": store.revision.to_string() });
    let events: Vec<Value> = store
        .history
        .iter()
        .rev()
        .take_while(|change| change.revision >= from)
        .filter(|change| change.key.as_slice() >= key && change.key.as_slice() < end)
        .map(|change| match &change.item {
            Some(item) => json!({ "type": "PUT", "kv": kv_json(&change.key, item) }),
            None => json!({ "type": "DELETE", "kv": { "key": STANDARD.encode(&change.key) } }),
        })
        .collect();
    let events: Vec<Value> = events.into_iter().rev().collect();
    let next = store.revision + 1;
    if complete && events.is_empty() {
        return (None, next, false);
    }
    let result = json!({ "header": header, "events": events, "canceled": !complete });
    (Some(format!("{}\n", json!({ "result": result })).into_bytes()), next, !complete)
}
