//! Fake key-value service with paged reads, conditional transactions, leases and long-polling
//! watches.
//!
//! It adds latency to each call and enforces rate limits and size limits. Each call, including a
//! watch, counts once against the rate limits.

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

/// Maximum size of a value.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// Maximum number of entries of a transaction, including its conditions.
const MAX_TRANSACTION_ENTRIES: usize = 32;
/// Maximum number of changes kept for watches.
const MAX_HISTORY: usize = 20_000;
/// Revision of the store before the first change.
const INITIAL_REVISION: u64 = 1;
/// Maximum number of items per page.
const MAX_PAGE_ITEMS: usize = 500;
/// Total size of the values after which a page ends; the last value may exceed it.
const MAX_PAGE_BYTES: usize = 1 << 20;
/// Maximum duration of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);
/// Interval at which a waiting watch checks whether the service is down.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which expired leases are revoked.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Latency and rate limits of the healthy service.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Latency of each call.
    pub latency: Duration,
    /// Maximum number of writes per second.
    pub writes_per_s: f64,
    /// Maximum number of reads per second.
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
    at: Instant,
}

struct Lease {
    ttl: Duration,
    expires: Instant,
}

/// Token bucket that holds up to one second's worth of calls.
struct TokenBucket {
    tokens: f64,
    rate: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self { tokens: rate, rate, refilled_at: Instant::now() }
    }

    /// Takes a token if there is one, and returns whether there was.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + refill).min(self.rate);
        self.refilled_at = now;
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
    writes: TokenBucket,
    reads: TokenBucket,
    /// Number of committed transactions.
    committed: u32,
    /// Revision up to which watches no longer find the changes.
    compacted: u64,
    /// Number of compactions that were carried out.
    compactions: u32,
}

impl Store {
    /// Returns the items as they were at `at`, and the revision of that time.
    ///
    /// The history is only kept from watches when it is dropped, so it still tells.
    fn as_of(&self, at: Instant) -> (BTreeMap<String, Item>, u64) {
        let mut items = BTreeMap::new();
        let mut revision = INITIAL_REVISION;
        for change in self.history.iter().take_while(|change| change.at <= at) {
            revision = change.revision;
            match &change.item {
                Some(item) => drop(items.insert(change.key.clone(), item.clone())),
                None => drop(items.remove(&change.key)),
            }
        }
        (items, revision)
    }

    /// Drops the history if `ordered` compactions are more than were carried out.
    fn compact(&mut self, ordered: u32) {
        if ordered > self.compactions {
            self.compactions = ordered;
            self.compacted = self.revision;
        }
    }

    fn put(&mut self, key: String, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(&key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.clone(), item.clone());
        self.record_change(key, Some(item));
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.record_change(key.to_owned(), None);
        }
    }

    fn record_change(&mut self, key: String, item: Option<Item>) {
        let at = Instant::now();
        self.history.push_back(Change { revision: self.revision, key, item, at });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn revoke_expired(&mut self, now: Instant) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        for lease in expired {
            self.revoke(lease);
        }
    }

    /// Removes a lease and deletes the keys attached to it.
    fn revoke(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

/// Counters of the calls to the service.
#[derive(Debug, Default)]
pub struct Counters {
    /// Writes that were admitted, including those that were rejected afterwards, for example because
    /// a condition was not met.
    pub writes: AtomicU64,
    /// Reads that were admitted, including watches and lease renewals.
    pub reads: AtomicU64,
    /// Calls that were rejected by the rate limits.
    pub rate_limited: AtomicU64,
    /// Total size of the values written, in bytes.
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

    /// Wakes the waiting watches.
    fn notify_watches(&self) {
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }
}

/// A running fake of the key-value service.
pub struct Kv {
    /// HTTP server of the fake.
    pub server: Server,
    /// Counters of the calls to the service.
    pub counters: Arc<Counters>,
}

impl Kv {
    /// Starts the fake.
    pub async fn start(spec: Spec, faults: Injector) -> Self {
        let counters = Arc::new(Counters::default());
        let store = Store {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            leases: BTreeMap::new(),
            next_lease: 100,
            writes: TokenBucket::new(spec.writes_per_s),
            reads: TokenBucket::new(spec.reads_per_s),
            committed: 0,
            compacted: 0,
            compactions: 0,
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

    /// Returns the number of writes admitted so far.
    pub fn writes(&self) -> u64 {
        self.counters.writes.load(Ordering::Relaxed)
    }

    /// Returns the base URL for clients.
    pub fn url(&self) -> String {
        format!("http://{}", self.server.addr)
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        shared.lock().revoke_expired(Instant::now());
        shared.notify_watches();
    }
}

type JsonResult = Result<(ContentType, String), Status>;
type App = State<Arc<Shared>>;

fn json_response(body: &Value) -> JsonResult {
    Ok((ContentType::JSON, body.to_string()))
}

async fn read_body(body: Data<'_>) -> Result<Value, Status> {
    let bytes = body.open(4.mebibytes()).into_bytes().await.map_err(|_| Status::BadRequest)?;
    serde_json::from_slice(&bytes).map_err(|_| Status::BadRequest)
}

/// Returns the items of a field, or none if the field is missing.
fn items_of<'a>(body: &'a Value, name: &str) -> &'a [Value] {
    body[name].as_array().map_or(&[], Vec::as_slice)
}

fn as_text(value: &Value) -> &str {
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

/// Delays a call and rejects it if the service is down or the rate limit is exceeded.
async fn admit(app: &Shared, write: bool) -> Result<(), Status> {
    let faults = app.faults.kv();
    tokio::time::sleep(app.latency + faults.delay).await;
    // A call that arrived while the service was down has no effect, even if the service has
    // recovered in the meantime.
    if faults.down || app.faults.kv().down {
        return Err(Status::ServiceUnavailable);
    }
    let mut store = app.lock();
    let (bucket, count) = match write {
        true => (&mut store.writes, &app.counters.writes),
        false => (&mut store.reads, &app.counters.reads),
    };
    if !bucket.try_take() {
        app.counters.rate_limited.fetch_add(1, Ordering::Relaxed);
        return Err(Status::TooManyRequests);
    }
    count.fetch_add(1, Ordering::Relaxed);
    Ok(())
}

/// Counts a committed transaction and returns whether its response is lost.
fn is_response_lost(app: &Shared) -> bool {
    let every = app.faults.kv().lose_response_every;
    let mut store = app.lock();
    store.committed += 1;
    every > 0 && store.committed.is_multiple_of(every)
}

#[get("/kv-key?<key>")]
async fn key(app: &App, key: &str) -> JsonResult {
    admit(app, false).await?;
    let store = app.lock();
    let item = store.items.get(key).ok_or(Status::NotFound)?;
    json_response(&item_json(key, item))
}

#[get("/kv-range?<path_prefix>&<after>&<stale_ok>")]
async fn range(
    app: &App,
    path_prefix: Option<&str>,
    after: Option<&str>,
    stale_ok: Option<u8>,
) -> JsonResult {
    admit(app, false).await?;
    if app.faults.kv().stale_reads && stale_ok == Some(1) {
        return json_response(
            &json!({ "items": [], "has_more": false, "store_revision": INITIAL_REVISION }),
        );
    }
    let prefix = path_prefix.unwrap_or_default();
    let after = after.unwrap_or_default();
    let store = app.lock();
    let stale_by = app.faults.kv().stale_by;
    let stale = Instant::now()
        .checked_sub(stale_by)
        .filter(|_| stale_ok == Some(1) && !stale_by.is_zero())
        .map(|at| store.as_of(at));
    let (all, revision) = match &stale {
        Some((items, revision)) => (items, *revision),
        None => (&store.items, store.revision),
    };
    let from = prefix.max(after).to_owned();
    let mut found = all.range(from..).filter(|(key, _)| key.as_str() > after);
    let mut items = Vec::new();
    let mut bytes = 0;
    let mut has_more = false;
    for (key, item) in found.by_ref().take_while(|(key, _)| key.starts_with(prefix)) {
        if items.len() == MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES {
            has_more = true;
            break;
        }
        bytes += item.value.len();
        items.push(item_json(key, item));
    }
    json_response(&json!({ "items": items, "has_more": has_more, "store_revision": revision }))
}

/// Returns a response with the current items of the keys in a transaction's conditions.
fn condition_items(store: &Store, body: &Value) -> (ContentType, String) {
    let keys = items_of(body, "expected_rev").iter().map(|condition| as_text(&condition["key"]));
    let items = keys.filter_map(|key| Some(item_json(key, store.items.get(key)?)));
    (ContentType::JSON, json!({ "items": items.collect::<Vec<_>>() }).to_string())
}

/// Returns the status with which a transaction is rejected, if any.
fn rejection(store: &Store, body: &Value) -> Option<Status> {
    let conditions = items_of(body, "expected_rev");
    let all_met = conditions.iter().all(|condition| {
        let revision = store.items.get(as_text(&condition["key"])).map_or(0, |item| item.revision);
        Some(revision) == condition["revision"].as_u64()
    });
    if !all_met {
        return Some(Status::PreconditionFailed);
    }
    let leases = items_of(body, "puts").iter().filter_map(|put| put["lease"].as_u64());
    let all_exist =
        leases.filter(|lease| *lease != 0).all(|lease| store.leases.contains_key(&lease));
    (!all_exist).then_some(Status::NotFound)
}

#[post("/kv-txn", data = "<body>")]
async fn txn(app: &App, body: Data<'_>) -> Result<(Status, (ContentType, String)), Status> {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let puts: Vec<(String, Vec<u8>, u64)> = items_of(&body, "puts")
        .iter()
        .map(|put| {
            let value = STANDARD.decode(as_text(&put["value"])).unwrap_or_default();
            (as_text(&put["key"]).to_owned(), value, put["lease"].as_u64().unwrap_or_default())
        })
        .collect();
    if puts.iter().any(|(_, value, _)| value.len() > MAX_VALUE_BYTES) {
        return Err(Status::PayloadTooLarge);
    }
    let entries =
        puts.len() + items_of(&body, "expected_rev").len() + items_of(&body, "remove").len();
    if entries > MAX_TRANSACTION_ENTRIES {
        return Err(Status::BadRequest);
    }
    let revision = {
        let mut store = app.lock();
        match rejection(&store, &body) {
            Some(Status::PreconditionFailed) => {
                return Ok((Status::PreconditionFailed, condition_items(&store, &body)));
            }
            Some(status) => return Err(status),
            None => {}
        }
        for (key, value, lease) in puts {
            app.counters.value_bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
            store.put(key, value, lease);
        }
        for key in items_of(&body, "remove") {
            store.delete(as_text(key));
        }
        store.revision
    };
    app.notify_watches();
    if is_response_lost(app) {
        return Err(Status::GatewayTimeout);
    }
    Ok((Status::Ok, json_response(&json!({ "revision": revision }))?))
}

#[post("/kv-lease", data = "<body>")]
async fn grant(app: &App, body: Data<'_>) -> JsonResult {
    let body = read_body(body).await?;
    admit(app, true).await?;
    let ttl = Duration::from_millis(body["ttl_ms"].as_u64().ok_or(Status::BadRequest)?);
    let mut store = app.lock();
    store.next_lease += 1;
    let id = store.next_lease;
    store.leases.insert(id, Lease { ttl, expires: Instant::now() + ttl });
    json_response(&json!({ "lease": id, "ttl_ms": ttl.as_millis() as u64 }))
}

#[post("/kv-keep/<id>")]
async fn keep_alive(app: &App, id: u64) -> JsonResult {
    admit(app, false).await?;
    let mut store = app.lock();
    store.revoke_expired(Instant::now());
    let lease = store.leases.get_mut(&id).ok_or(Status::NotFound)?;
    lease.expires = Instant::now() + lease.ttl;
    json_response(&json!({ "ttl_ms": lease.ttl.as_millis() as u64 }))
}

#[delete("/kv-lease-end/<id>")]
async fn revoke(app: &App, id: u64) -> JsonResult {
    admit(app, true).await?;
    app.lock().revoke(id);
    app.notify_watches();
    json_response(&json!({}))
}

#[get("/kv-watch?<path_prefix>&<after>&<wait_ms>")]
async fn changes(app: &App, path_prefix: Option<&str>, after: u64, wait_ms: u64) -> JsonResult {
    admit(app, false).await?;
    let prefix = path_prefix.unwrap_or_default();
    let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
    let mut changed = app.changed.subscribe();
    let compactions = app.faults.kv().compactions;
    app.lock().compact(compactions);
    loop {
        changed.mark_unchanged();
        let faults = app.faults.kv();
        if faults.down || faults.compactions != compactions {
            return Err(Status::ServiceUnavailable);
        }
        let timed_out = tokio::time::Instant::now() >= deadline;
        if let Some(body) = changes_since(app, prefix, after, timed_out)? {
            return json_response(&body);
        }
        let next_check = deadline.min(tokio::time::Instant::now() + FAULT_CHECK_INTERVAL);
        // After a timeout, the loop checks again just as after a change.
        let _ = tokio::time::timeout_at(next_check, changed.changed()).await;
    }
}

/// Returns the changes after a revision as a response body, or `None` to keep waiting for one.
///
/// The status is `Gone` if the changes since then are no longer kept.
fn changes_since(
    app: &Shared,
    prefix: &str,
    after: u64,
    timed_out: bool,
) -> Result<Option<Value>, Status> {
    let store = app.lock();
    let faults = app.faults.kv();
    let oldest = store.history.front().map_or(0, |change| change.revision);
    let discarded = store.history.len() == MAX_HISTORY && after < oldest;
    if discarded || after < store.compacted || (faults.stale_reads && after <= INITIAL_REVISION) {
        return Err(Status::Gone);
    }
    let recent = store.history.iter().rev().take_while(|change| change.revision > after);
    let mut events: Vec<Value> = recent
        .filter(|change| !faults.deaf && change.key.starts_with(prefix))
        .map(change_json)
        .collect();
    events.reverse();
    let body = json!({ "events": events, "store_revision": store.revision });
    Ok((timed_out || !events.is_empty()).then_some(body))
}
