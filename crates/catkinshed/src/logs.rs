//! Log lines.
//!
//! The gateway and storage roles write one JSON object a line to standard output, with the values
//! that a line carries as fields of their own; the programs role writes text to standard error.

use env_logger::{Builder, Env, Target};
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Level of the lines that are written when `RUST_LOG` does not say.
const DEFAULT_LEVEL: &str = "info,rocket=warn";

/// Starts the log.
pub fn init(structured: bool) {
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_LEVEL));
    if structured {
        builder.target(Target::Stdout).format(|out, record| writeln!(out, "{}", line(record)));
    }
    builder.init();
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

fn line(record: &log::Record<'_>) -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(Map::new());
    fields.0.insert("time_ms".to_owned(), json!(time.as_millis() as u64));
    fields.0.insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("part".to_owned(), json!(record.target()));
    fields.0.insert("event".to_owned(), json!(record.args().to_string()));
    // A value that cannot be shown is left out; the rest of the line still helps.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0).to_string()
}
