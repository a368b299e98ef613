//! Log lines.
//!
//! The gateway and storage roles write one JSON object a line to standard output, with the values
//! that a line carries as fields of their own; the programs role writes text to standard error. Under
//! load, lines below warnings are left out beyond a number a second, and the next line tells how many.

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Level of the lines that are written when `RUST_LOG` does not say.
const DEFAULT_LEVEL: &str = "info,rocket=warn";

/// Starts the log.
pub fn init(structured: bool) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL));
    if structured {
        let limit = Mutex::new(Limiter::default());
        builder.target(Target::Stdout).format(move |out, record| {
            let now = Instant::now();
            let admitted = limit.lock().unwrap_or_else(PoisonError::into_inner).admit(record, now);
            match admitted {
                Some(left_out) => writeln!(out, "{}", line(record, left_out)),
                None => Ok(()),
            }
        });
    }
    builder.init();
}

/// Lines below warnings that one second may have.
const LINES_PER_SECOND: u32 = 100;

/// Count of the lines of this second.
#[derive(Debug, Default)]
pub struct Limiter {
    since: Option<Instant>,
    written: u32,
    left_out: u64,
}

impl Limiter {
    /// Decides whether a line is written; returns how many were left out before it.
    pub fn admit(&mut self, record: &log::Record<'_>, now: Instant) -> Option<u64> {
        if self.since.is_none_or(|since| now.duration_since(since) >= Duration::from_secs(1)) {
            self.since = Some(now);
            self.written = 0;
        }
        let optional = record.level() > log::Level::Warn;
        if optional && self.written >= LINES_PER_SECOND {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let number = value.to_u64().map(|number| json!(number));
        let value = number.unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn line(record: &log::Record<'_>, left_out: u64) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), json!(time.as_millis() as u64));
    fields.0.insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("part".to_owned(), json!(record.target()));
    fields.0.insert("event".to_owned(), json!(record.args().to_string()));
    if left_out > 0 {
        fields.0.insert("left_out".to_owned(), json!(left_out));
    }
    // A value that cannot be shown is left out; the rest of the line still helps.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}
