//! JSON bodies of the key-value service, after the etcd version 3 gateway.
//!
//! Keys and values are base64 text, and 64-bit integers are decimal strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub revision: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Kv {
    pub key: String,
    pub value: String,
    pub mod_revision: String,
    pub lease: String,
}

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    pub key: String,
    pub range_end: String,
    pub limit: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub header: Header,
    pub kvs: Vec<Kv>,
    pub more: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub header: Header,
    pub succeeded: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub id: String,
    #[serde(rename = "TTL")]
    pub ttl: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct KeepAlive {
    pub result: LeaseResponse,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchLine {
    pub result: WatchResult,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResult {
    pub header: Header,
    pub canceled: bool,
    pub events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: Kv,
}

pub(crate) fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

pub(crate) fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Smallest key after all keys with the prefix.
pub(crate) fn range_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    encode(&end)
}
