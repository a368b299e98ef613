//! Stand-ins for the scripts of this review, with the standard library only: the platform's store,
//! plain services and model engines, clients, and the processes under test.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- JSON and base64 ---------------------------------------------------------------------------

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Self::value(bytes, &mut at)?;
        Some(value)
    }
    fn skip(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut members = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if *bytes.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Obj(members));
                    }
                    if *bytes.get(*at)? == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Str(name) = Self::value(bytes, at)? else { return None };
                    Self::skip(bytes, at);
                    if *bytes.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    members.push((name, Self::value(bytes, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::Arr(list));
                        }
                        b',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Str(String::from_utf8(text).ok()?));
                        }
                        b'\\' => {
                            let escaped = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(hex, 16).ok()?;
                                    *at += 4;
                                    let mut buffer = [0; 4];
                                    let found = char::from_u32(code)?.encode_utf8(&mut buffer);
                                    text.extend_from_slice(found.as_bytes());
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let begin = *at;
                while *at < bytes.len() && !b",]} \n\r\t".contains(&bytes[*at]) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[begin..*at]).ok()? {
                    "null" => Some(Json::Null),
                    "true" => Some(Json::Bool(true)),
                    "false" => Some(Json::Bool(false)),
                    number => number.parse().ok().map(Json::Num),
                }
            }
        }
    }
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(members) => {
                members.iter().find(|(found, _)| found == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }
    pub fn list(&self) -> &[Json] {
        match self {
            Json::Arr(list) => list,
            _ => &[],
        }
    }
    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }
    pub fn number(&self) -> u64 {
        match self {
            Json::Num(number) => *number as u64,
            _ => 0,
        }
    }
}

pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for found in text.chars() {
        match found {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(LETTERS[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---- record of what happened -------------------------------------------------------------------

/// Writes what was sent, answered and run to `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create() -> Self {
        let file = File::create("record.txt").expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// ---- HTTP --------------------------------------------------------------------------------------

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body came, by its framing.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if !line.ends_with('\n') {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Some(message);
        }
        match message.first.is_empty() {
            true => message.first = line.to_owned(),
            false => {
                let (key, value) = line.split_once(':')?;
                message.headers.push((key.to_owned(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a request with a body of a stated length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let length: usize = message.header("Content-Length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    message.body = body;
    message.complete = true;
    Some(message)
}

/// Reads a response; `complete` tells whether its framing ended.
pub fn read_response(reader: &mut BufReader<TcpStream>) -> Message {
    let Some(mut message) = read_head(reader) else {
        return Message::default();
    };
    if message.header("Transfer-Encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return message;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return message };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return message;
            }
            message.body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                message.complete = true;
                return message;
            }
        }
    }
    let length: usize = message.header("Content-Length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    if reader.read_exact(&mut body).is_ok() {
        message.body = body;
        message.complete = true;
    }
    message
}

/// Sends one request on a connection of its own, as these clients do for each attempt.
pub fn request(addr: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Message {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return Message::default();
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Message::default();
    }
    let mut reader = BufReader::new(stream);
    read_response(&mut reader)
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Returns a free port for a process under test, below those that connections take for themselves.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let begin = u64::from(std::process::id()) * 37 + unix_ms() / 1_000 * 101;
    loop {
        let port = 20_000 + (begin + NEXT.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

// ---- the platform's store ----------------------------------------------------------------------

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, ends))| *ends <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// The way of one machine to the store; while it is cut, nothing passes in either direction.
#[derive(Default)]
pub struct Way {
    pub cut: AtomicBool,
    /// Number of watches of the directory of servers that this machine has begun.
    pub watches: AtomicU64,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State { revision: 1, next_lease: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.state.0.lock().unwrap().expire();
                expiring.state.1.notify_all();
            }
        });
        store
    }

    /// Opens a way to the store for one machine.
    pub fn open_way(&self) -> (SocketAddr, Arc<Way>) {
        let (listener, addr) = listen();
        let way = Arc::new(Way::default());
        let (store, opened) = (self.clone(), way.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, way) = (store.clone(), opened.clone());
                thread::spawn(move || store.serve(stream, &way));
            }
        });
        (addr, way)
    }

    /// Writes a key as the operator or a server; the return is the acknowledgement.
    pub fn put(&self, key: &str, json: &str) -> Instant {
        self.state.0.lock().unwrap().put(key, &base64(json.as_bytes()), 0);
        self.state.1.notify_all();
        Instant::now()
    }

    /// Removes a key, as the platform does with the entry of a server that has left.
    pub fn remove(&self, key: &str) -> Instant {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
        Instant::now()
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, stream: TcpStream, way: &Way) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if way.cut.load(Ordering::SeqCst) {
                wait_for_end_of_cut(way);
                return;
            }
            // 4 ms an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request, way);
            if way.cut.load(Ordering::SeqCst) {
                wait_for_end_of_cut(way);
                return;
            }
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, way: &Way) -> (u16, String) {
        let method = request.first.split(' ').next().unwrap_or("").to_owned();
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        match (method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let key = text("key");
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, Some(state.revision))),
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (text("path_prefix"), text("after"));
                let found: Vec<(&String, &Item)> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .collect();
                let has_more = found.len() > 500;
                let items: Vec<String> =
                    found.iter().take(500).map(|(key, item)| item_json(key, item, None)).collect();
                let items = items.join(",");
                let revision = state.revision;
                let body = format!(
                    "{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}"
                );
                (200, body)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = text("path_prefix");
                if prefix.starts_with('s') {
                    way.watches.fetch_add(1, Ordering::SeqCst);
                }
                let after: u64 = text("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(text("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item, None),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        let events = events.join(",");
                        let revision = state.revision;
                        let body =
                            format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                        return (200, body);
                    }
                    state = changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/api/kv-txn") => {
                let guards = body.get("expected_rev").list();
                let holds = guards.iter().all(|guard| {
                    let found = state.items.get(guard.get("key").text());
                    found.map_or(0, |item| item.revision) == guard.get("revision").number()
                });
                if !holds {
                    let items: Vec<String> = guards
                        .iter()
                        .map(|guard| {
                            let key = guard.get("key").text();
                            match state.items.get(key) {
                                Some(item) => item_json(key, item, None),
                                None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                            }
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                let puts = body.get("puts").list();
                let missing = puts.iter().any(|put| {
                    let lease = put.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                });
                if missing {
                    return (404, "{}".to_owned());
                }
                for put in puts {
                    let lease = put.get("lease").number();
                    state.put(put.get("key").text(), put.get("value").text(), lease);
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/api/kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttl_ms").number().clamp(1_000, 600_000));
                state.next_lease += 1;
                let id = state.next_lease;
                state.leases.insert(id, (ttl, Instant::now() + ttl));
                (200, format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((ttl, ends)) => {
                        *ends = Instant::now() + *ttl;
                        (200, "{}".to_owned())
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id: u64 = path["/api/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(id);
                changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn wait_for_end_of_cut(way: &Way) {
    while way.cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(20));
    }
}

fn item_json(key: &str, item: &Item, store: Option<u64>) -> String {
    let store = store.map_or(String::new(), |revision| format!(",\"store_revision\":{revision}"));
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created_rev\":{},\"lease\":{}{store}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        match bytes[at] {
            b'%' if at + 2 < bytes.len() + 0 => {
                let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                at += 3;
            }
            b'+' => {
                decoded.push(b' ');
                at += 1;
            }
            byte => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---- processes under test ----------------------------------------------------------------------

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// One gateway of the deploy file: `target/release/catkinshed gateway`, with the settings of
/// `deploy/gateway.jsonc`.
pub struct Gateway {
    pub name: String,
    pub client: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct GatewayPlace<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    pub control: SocketAddr,
    pub seeds: &'a [SocketAddr],
}

impl Gateway {
    pub fn start(dir: &std::path::Path, place: &GatewayPlace<'_>) -> Self {
        let (client, ready) = (free_addr(), free_addr());
        let seeds: Vec<String> = place.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "{{\"vm\":\"{}\",\"dc\":\"{}\",\"client_addr\":\"{client}\",\"probe_addr\":\"{ready}\",\
             \"peer_addr\":\"{}\",\"seeds\":[{}],\"kv\":\"http://{}\",\
             \"cluster_key\":\"replace-me-for-each-system\",\"cpu_share\":0.25,\"memory_mb\":110,\
             \"first_start\":true}}",
            place.name,
            place.zone,
            place.control,
            seeds.join(","),
            place.store
        );
        let settings = dir.join(format!("{}.json", place.name));
        let log = dir.join(format!("{}.log", place.name));
        fs::write(&settings, text).expect("settings");
        let mut gateway = Self {
            name: place.name.to_owned(),
            client,
            ready,
            control: place.control,
            settings,
            log,
            child: None,
        };
        gateway.spawn();
        gateway
    }

    fn spawn(&mut self) {
        let root = std::env::var("ROOT").expect("ROOT names the repository");
        let log = File::options().create(true).append(true).open(&self.log).expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(format!("{root}/target/release/catkinshed"))
            .arg("gateway")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CATKINSHED_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the gateway starts");
        // `run.sh` ends what is left if this program is stopped.
        let pids = self.settings.with_file_name("pids");
        if let Ok(mut pids) = File::options().create(true).append(true).open(pids) {
            let _ = writeln!(pids, "{}", child.id());
        }
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and starts it again, no longer as a first start.
    pub fn restart(&mut self) {
        self.end();
        let text = fs::read_to_string(&self.settings).expect("settings");
        let text = text.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&self.settings, text).expect("settings");
        self.spawn();
    }

    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        request(self.ready, head, b"", Duration::from_secs(1)).status() == 200
    }

    pub fn metric(&self, name: &str) -> Option<u64> {
        let head = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let found = request(self.ready, head, b"", Duration::from_secs(1));
        let text = String::from_utf8_lossy(&found.body).into_owned();
        text.lines().find_map(|line| line.strip_prefix(name)?.trim().parse::<f64>().ok()).map(|x| x as u64)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.end();
    }
}

pub fn wait_until(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < limit, "could not run: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

// ---- servers -----------------------------------------------------------------------------------

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
}

/// A server of the users' deployment.
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub born: u64,
    pub slots: u32,
    pub runs: Mutex<Vec<Run>>,
    /// Connections in use, to be reset when the server exits.
    open: Mutex<Vec<TcpStream>>,
    pub exited: AtomicBool,
}

pub type Handler = dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync;

impl Server {
    /// Starts a server; `handler` answers a request and returns whether the connection is kept.
    pub fn start(id: &str, service: &str, zone: &str, slots: u32, handler: Arc<Handler>) -> Arc<Self> {
        let (listener, addr) = listen();
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr,
            zone: zone.to_owned(),
            born: unix_ms(),
            slots,
            runs: Mutex::default(),
            open: Mutex::default(),
            exited: AtomicBool::new(false),
        });
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.exited.load(Ordering::SeqCst) {
                    return;
                }
                let (server, handler) = (accepting.clone(), handler.clone());
                thread::spawn(move || server.serve(stream, &*handler));
            }
        });
        server
    }

    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"call_seq\":1,\"born\":{}}}",
            self.service, self.addr, self.zone, self.slots, self.born
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Ends the server's process: its connections break.
    pub fn exit(&self) {
        self.exited.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.addr, Duration::from_millis(100));
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        if let Ok(open) = stream.try_clone() {
            self.open.lock().unwrap().push(open);
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if self.exited.load(Ordering::SeqCst) {
                return;
            }
            if request.path() == "/api/report" {
                let body = format!("{{\"born\":{},\"queued\":0,\"running\":0}}", self.born);
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("Request-Id").to_owned();
            let expected = request.header("Expect-Instance");
            if !expected.is_empty() && expected != self.id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                     Content-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run { id, began: Instant::now() });
            if !handler(self, &request, &mut writer) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Writes a whole answer of a plain service.
pub fn answer_plain(server: &Server, request: &Message, writer: &mut TcpStream) -> bool {
    let body = format!("answer of {} to {}", server.id, request.header("Request-Id"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\
         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n",
        request.header("Request-Id"),
        body.len()
    );
    writer.write_all(format!("{head}{body}").as_bytes()).is_ok()
}
