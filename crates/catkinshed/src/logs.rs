//! Logging.
//!
//! The gateway and storage roles write one JSON object per line to standard output, with one field
//! for each key-value pair of the log record. The programs role writes plain text to standard error.
//! The JSON log is rate-limited: beyond `LINES_PER_SECOND`, lines below level `WARN` are dropped,
//! and the next line that is written has the number of dropped lines in its field `left_out`.

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Filter that is used if `RUST_LOG` is not set.
const DEFAULT_FILTER: &str = "info,rocket=warn";

/// Installs the global logger, which writes JSON if `structured` is true and plain text otherwise.
///
/// # Panics
///
/// Panics if a logger is already installed.
pub fn init(structured: bool) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    if structured {
        let limiter = Mutex::new(Limiter::default());
        builder.target(Target::Stdout).format(move |out, record| {
            let now = Instant::now();
            let admitted =
                limiter.lock().unwrap_or_else(PoisonError::into_inner).admit(record, now);
            match admitted {
                Some(dropped) => writeln!(out, "{}", json_line(record, dropped)),
                None => Ok(()),
            }
        });
    }
    builder.init();
}

/// Number of lines per second beyond which lines below level `WARN` are dropped.
const LINES_PER_SECOND: u32 = 100;

/// Rate limiter for log lines, which counts the lines of the current second.
#[derive(Debug, Default)]
pub struct Limiter {
    window_start: Option<Instant>,
    written: u32,
    dropped: u64,
}

impl Limiter {
    /// Decides whether to write a line.
    ///
    /// Returns the number of lines dropped since the last written line, or `None` if this line has
    /// to be dropped too. Warnings and errors are always written.
    pub fn admit(&mut self, record: &log::Record<'_>, now: Instant) -> Option<u64> {
        if self.window_start.is_none_or(|start| now.duration_since(start) >= Duration::from_secs(1))
        {
            self.window_start = Some(now);
            self.written = 0;
        }
        let droppable = record.level() > log::Level::Warn;
        if droppable && self.written >= LINES_PER_SECOND {
            self.dropped += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.dropped))
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

fn json_line(record: &log::Record<'_>, dropped: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), json!(since_epoch.as_millis() as u64));
    fields.0.insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("part".to_owned(), json!(record.target()));
    fields.0.insert("event".to_owned(), json!(record.args().to_string()));
    if dropped > 0 {
        fields.0.insert("left_out".to_owned(), json!(dropped));
    }
    // If visiting a value fails, the line is written with the fields visited so far.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}
