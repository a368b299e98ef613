//! Stand-in for the key-value service: pages, guarded transactions, leases and waiting watches.
//!
//! Rates, latency and the value limit are enforced. Each call counts, a waiting watch too.

use crate::faults::Injector;
use crate::net::{self, Server};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use rocket::data::{Data, ToByteUnit};
use rocket::http::{ContentType, Status};
use rocket::{State, delete, get, post, routes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most entries of a transaction, its guards included.
const MAX_TRANSACTION_ENTRIES: usize = 32;
/// Changes kept for watches.
const HISTORY: usize = 20_000;
/// Revision before the first change.
const FIRST: u64 = 1;
/// Most items of one page.
const PAGE_ITEMS: usize = 500;
/// Most bytes of one page's values.
const PAGE_BYTES: usize = 1 << 20;
/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a waiting watch looks whether the service went down.
const FAULT_CHECK: Duration = Duration::from_millis(500);
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
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    key: String,
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
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    writes: Bucket,
    reads: Bucket,
    written: u32,
}

impl Store {
    fn put(&mut self, key: String, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(&key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.clone(), item.clone());
        self.log(key, Some(item));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log(key.to_owned(), None);
        }
    }

    fn log(&mut self, key: String, item: Option<Item>) {
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
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

/// Counts of calls.
#[derive(Debug, Default)]
pub struct Counters {
    /// Writes that took effect or failed their guard.
    pub writes: AtomicU64,
    /// Reads.
    pub reads: AtomicU64,
    /// Calls beyond the rates.
    pub rate_limited: AtomicU64,
    /// Bytes of values written.
    pub value_bytes: AtomicU64,
}

struct Shared {
    store: Mutex<Store>,
    changed: watch::Sender<u64>,
    faults: Injector,
    latency: Duration,
    counters: Arc<Counters>,
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
    pub counters: Arc<Counters>,
}

impl Kv {
    /// Starts the stand-in.
    pub async fn start(spec: Spec, faults: Injector) -> Self {
        let counters = Arc::new(Counters::default());
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
            counters: counters.clone(),
        });
        tokio::spawn(expire_leases(shared.clone()));
        let routes = routes![key, range, txn, grant, keep_alive, revoke, changes];
        let server = net::launch(|rocket| rocket.manage(shared).mount("/api", routes)).await;
        Self { server, counters }
    }

    /// Writes so far that took effect or failed their guard.
    pub fn writes(&self) -> u64 {
        self.counters.writes.load(Ordering::Relaxed)
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

fn list<'a>(body: &'a Value, name: &str) -> &'a [Value] {
    body[name].as_array().map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": STANDARD.encode(&item.value),
        "revision": item.revision,
        "created_rev": item.created,
        "lease": item.lease,
    })
}

fn change_json(change: &Change) -> Value {
    match &change.item {
        Some(item) => item_json(&change.key, item),
        None => json!({ "key": change.key, "revision": change.revision, "deleted": true }),
    }
}

async fn admit(app: &Shared, write: bool) -> Result<(), Status> {
    let faults = app.faults.kv();
    tokio::time::sleep(app.latency + faults.delay).await;
    // A call that came while the service was down has no effect, also when it is back meanwhile.
    if faults.down || app.faults.kv().down {
        return Err(Status::ServiceUnavailable);
    }
    let mut store = app.lock();
    let (bucket, count) = match write {
        true => (&mut store.writes, &app.counters.writes),
        false => (&mut store.reads, &app.counters.reads),
    };
    if !bucket.take() {
        app.counters.rate_limited.fetch_add(1, Ordering::Relaxed);
        return Err(Status::TooManyRequests);
    }
    count.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// Decides whether the answer to a write that took effect is lost.
fn answer_lost(app: &Shared) -> bool {
    let every = app.faults.kv().lose_response_every;
    let mut store = app.lock();
    store.written += 1;
    every > 0 && store.written.is_multiple_of(every)
}

#[get("/kv-key?<key>")]
async fn key(app: &App, key: &str) -> Answer {
    admit(app, false).await?;
    let store = app.lock();
    let item = store.items.get(key).ok_or(Status::NotFound)?;
    answer(&item_json(key, item))
}

#[get("/kv-range?<path_prefix>&<after>&<stale_ok>")]
async fn range(
    app: &App,
    path_prefix: Option<&str>,
    after: Option<&str>,
    stale_ok: Option<u8>,
) -> Answer {
    admit(app, false).await?;
    if app.faults.kv().stale_reads && stale_ok == Some(1) {
        return answer(&json!({ "items": [], "has_more": false, "store_revision": FIRST }));
    }
    let prefix = path_prefix.unwrap_or_default();
    let after = after.unwrap_or_default();
    let store = app.lock();
    let from = prefix.max(after).to_owned();
    let mut found = store.items.range(from..).filter(|(key, _)| key.as_str() > after);
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (key, item) in found.by_ref().take_while(|(key, _)| key.starts_with(prefix)) {
        if items.len() == PAGE_ITEMS || bytes > PAGE_BYTES {
            has_more = true;
            break;
        }
        bytes += item.value.len();
        items.push(item_json(key, item));
    }
    answer(&json!({ "items": items, "has_more": has_more, "store_revision": store.revision }))
}

/// The present items of the keys that a transaction guards.
fn found(store: &Store, body: &Value) -> (ContentType, String) {
    let keys = list(body, "expected_rev").iter().map(|guard| text(&guard["key"]));
    let items = keys.filter_map(|key| Some(item_json(key, store.items.get(key)?)));
    (ContentType::JSON, json!({ "items": items.collect::<Vec<_>>() }).to_string())
}

/// Tells which status keeps a transaction from taking effect.
fn refusal(store: &Store, body: &Value) -> Option<Status> {
    let guards = list(body, "expected_rev");
    let held = guards.iter().all(|guard| {
        let found = store.items.get(text(&guard["key"])).map_or(0, |item| item.revision);
        Some(found) == guard["revision"].as_u64()
    });
    if !held {
        return Some(Status::PreconditionFailed);
    }
    let leases = list(body, "puts").iter().filter_map(|put| put["lease"].as_u64());
    let known = leases.filter(|lease| *lease != 0).all(|lease| store.leases.contains_key(&lease));
    (!known).then_some(Status::NotFound)
}

#[post("/kv-txn", data = "<body>")]
async fn txn(app: &App, body: Data<'_>) -> Result<(Status, (ContentType, String)), Status> {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let puts: Vec<(String, Vec<u8>, u64)> = list(&body, "puts")
        .iter()
        .map(|put| {
            let value = STANDARD.decode(text(&put["value"])).unwrap_or_default();
            (text(&put["key"]).to_owned(), value, put["lease"].as_u64().unwrap_or_default())
        })
        .collect();
    if puts.iter().any(|(_, value, _)| value.len() > MAX_VALUE_BYTES) {
        return Err(Status::PayloadTooLarge);
    }
    let entries = puts.len() + list(&body, "expected_rev").len() + list(&body, "remove").len();
    if entries > MAX_TRANSACTION_ENTRIES {
        return Err(Status::BadRequest);
    }
    let revision = {
        let mut store = app.lock();
        match refusal(&store, &body) {
            Some(Status::PreconditionFailed) => {
                return Ok((Status::PreconditionFailed, found(&store, &body)));
            }
            Some(status) => return Err(status),
            None => {}
        }
        for (key, value, lease) in puts {
            app.counters.value_bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
            store.put(key, value, lease);
        }
        for key in list(&body, "remove") {
            store.delete(text(key));
        }
        store.revision
    };
    app.wake();
    if answer_lost(app) {
        return Err(Status::GatewayTimeout);
    }
    Ok((Status::Ok, answer(&json!({ "revision": revision }))?))
}

#[post("/kv-lease", data = "<body>")]
async fn grant(app: &App, body: Data<'_>) -> Answer {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().ok_or(Status::BadRequest)?);
    let mut store = app.lock();
    store.next_lease += 1;
    let id = store.next_lease;
    store.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
    answer(&json!({ "lease": id, "ttl_ms": ttl.as_millis() as u64 }))
}

#[post("/kv-keep/<id>")]
async fn keep_alive(app: &App, id: u64) -> Answer {
    admit(app, false).await?;
    let mut store = app.lock();
    store.expire(Instant::now());
    let lease = store.leases.get_mut(&id).ok_or(Status::NotFound)?;
    lease.expires = Instant::now() + lease.ttl;
    answer(&json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
}

#[delete("/kv-lease-end/<id>")]
async fn revoke(app: &App, id: u64) -> Answer {
    admit(app, true).await?;
    app.lock().revoke(id);
    app.wake();
    answer(&json!({}))
}

#[get("/kv-watch?<path_prefix>&<after>&<wait_ms>")]
async fn changes(app: &App, path_prefix: Option<&str>, after: u64, wait_ms: u64) -> Answer {
    admit(app, false).await?;
    let prefix = path_prefix.unwrap_or_default();
    let until = tokio::time::Instant::now() + Duration::from_millis(wait_ms).min(MAX_WAIT);
    let mut changed = app.changed.subscribe();
    loop {
        changed.mark_unchanged();
        if app.faults.kv().down {
            return Err(Status::ServiceUnavailable);
        }
        let waited = tokio::time::Instant::now() >= until;
        if let Some(body) = changes_since(app, prefix, after, waited)? {
            return answer(&body);
        }
        let wake = until.min(tokio::time::Instant::now() + FAULT_CHECK);
        // A wait that ends early only looks again.
        let _ = tokio::time::timeout_at(wake, changed.changed()).await;
    }
}

fn changes_since(
    app: &Shared,
    prefix: &str,
    after: u64,
    waited: bool,
) -> Result<Option<Value>, Status> {
    let store = app.lock();
    let oldest = store.history.front().map_or(0, |change| change.revision);
    let lost = store.history.len() == HISTORY && after < oldest;
    if lost || (app.faults.kv().stale_reads && after <= FIRST) {
        return Err(Status::Gone);
    }
    let recent = store.history.iter().rev().take_while(|change| change.revision > after);
    let mut events: Vec<Value> =
        recent.filter(|change| change.key.starts_with(prefix)).map(change_json).collect();
    events.reverse();
    let body = json!({ "events": events, "store_revision": store.revision });
    Ok((waited || !events.is_empty()).then_some(body))
}
