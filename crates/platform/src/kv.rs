//! Key-value service client.
//!
//! Each call counts in `platform_calls_total` by kind. [`Client::create`] and [`Client::swap`] are
//! the only writes of shared keys, so a lost answer is settled by reading the key back.

use crate::wire::{self, Kv};
use compact_str::CompactString;
use futures::StreamExt;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::time::Duration;

/// Modification revision of a key; 0 for a key that does not exist.
pub type Revision = u64;
/// Number of a lease.
pub type LeaseId = u64;

/// Longest value that the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;
/// Most entries of one range answer.
const PAGE: usize = 64;

/// A failed call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The call did not take effect.
    #[error("the key-value service refused the call: {0}")]
    Refused(String),
    /// The call may have taken effect.
    #[error("the key-value service did not answer: {0}")]
    Unknown(String),
    /// The answer does not follow the protocol.
    #[error("the key-value service sent a malformed answer: {0}")]
    Malformed(String),
    /// The value is longer than the service takes.
    #[error("a value of {0} bytes exceeds the service's limit of 1 MiB")]
    TooLarge(usize),
    /// The lease has lapsed.
    #[error("the lease has lapsed")]
    LeaseLapsed,
    /// The watch asked for revisions that the service no longer keeps.
    #[error("the watch fell behind the service's retained revisions")]
    Compacted,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: CompactString,
    /// Its value.
    pub value: Vec<u8>,
    /// Its modification revision.
    pub revision: Revision,
    /// Lease that it is bound to; 0 for none.
    pub lease: LeaseId,
}

/// A change that a watch reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The key has a new value.
    Put(Entry),
    /// The key is gone.
    Delete(CompactString),
}

/// Result of a guarded write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(Revision),
    /// The key was not at the expected revision.
    Conflict,
}

/// A range answer.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Entries in order of their keys.
    pub entries: Vec<Entry>,
    /// Revision of the service at the time of the first page.
    pub revision: Revision,
}

/// Connection to the service.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base: CompactString,
}

impl Client {
    /// Prepares calls to the service at `base`, an HTTP address, each bounded by `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] when the HTTP client cannot be set up.
    pub fn new(base: &str, timeout: Duration) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(timeout)
            .read_timeout(timeout)
            .build()
            .map_err(|error| Error::Refused(error.to_string()))?;
        Ok(Self { http, base: base.trim_end_matches('/').into() })
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach or its answer is malformed.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let body = json!({ "key": wire::encode(key.as_bytes()) });
        let answer: wire::RangeResponse = self.call("range", "kv/range", &body).await?;
        answer.kvs.into_iter().next().map(entry).transpose()
    }

    /// Reads all keys that start with `prefix`, from `from` on.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach or its answer is malformed.
    pub async fn list(&self, prefix: &str, from: &str) -> Result<Listing, Error> {
        let mut listing = Listing::default();
        let mut next = if from.is_empty() { prefix.to_owned() } else { from.to_owned() };
        loop {
            let body = wire::RangeRequest {
                key: wire::encode(next.as_bytes()),
                range_end: wire::range_end(prefix),
                limit: PAGE.to_string(),
            };
            let answer: wire::RangeResponse = self.call("range", "kv/range", &body).await?;
            if listing.revision == 0 {
                listing.revision = number(&answer.header.revision)?;
            }
            for kv in answer.kvs {
                listing.entries.push(entry(kv)?);
            }
            match (answer.more, listing.entries.last()) {
                (true, Some(last)) => next = format!("{}\0", last.key),
                _ => return Ok(listing),
            }
        }
    }

    /// Creates a key if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the write may have taken effect.
    pub async fn create(
        &self,
        key: &str,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<Swap, Error> {
        self.swap(key, value, 0, lease).await
    }

    /// Replaces a key's value if the key is still at `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the write may have taken effect.
    pub async fn swap(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
        lease: Option<LeaseId>,
    ) -> Result<Swap, Error> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(Error::TooLarge(value.len()));
        }
        let put = json!({
            "key": wire::encode(key.as_bytes()),
            "value": wire::encode(value),
            "lease": lease.unwrap_or_default().to_string(),
        });
        self.transact("put", key, expected, json!({ "requestPut": put })).await
    }

    /// Replaces a key's value as [`Client::swap`] does, and leaves the key bound to its lease.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the write may have taken effect.
    pub async fn swap_keeping_lease(
        &self,
        key: &str,
        value: &[u8],
        expected: Revision,
    ) -> Result<Swap, Error> {
        let put = json!({
            "key": wire::encode(key.as_bytes()),
            "value": wire::encode(value),
            "ignore_lease": true,
        });
        self.transact("put", key, expected, json!({ "requestPut": put })).await
    }

    /// Deletes a key if it is still at `expected`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the deletion may have taken effect.
    pub async fn delete(&self, key: &str, expected: Revision) -> Result<Swap, Error> {
        let delete = json!({ "key": wire::encode(key.as_bytes()) });
        let request = json!({ "requestDeleteRange": delete });
        self.transact("delete", key, expected, request).await
    }

    /// Deletes all keys from `prefix` up to, not including, `end`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unknown`] when the deletion may have taken effect.
    pub async fn delete_range(&self, from: &str, end: &str) -> Result<(), Error> {
        let body = json!({
            "key": wire::encode(from.as_bytes()),
            "range_end": wire::encode(end.as_bytes()),
        });
        let _: Value = self.call("delete", "kv/deleterange", &body).await?;
        Ok(())
    }

    async fn transact(
        &self,
        kind: &'static str,
        key: &str,
        expected: Revision,
        success: Value,
    ) -> Result<Swap, Error> {
        let body = json!({
            "compare": [{
                "key": wire::encode(key.as_bytes()),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": expected.to_string(),
            }],
            "success": [success],
        });
        let answer: wire::TxnResponse = self.call(kind, "kv/txn", &body).await?;
        match answer.succeeded {
            true => Ok(Swap::Done(number(&answer.header.revision)?)),
            false => Ok(Swap::Conflict),
        }
    }

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the service is out of reach; an unused lease lapses by itself.
    pub async fn grant(&self, ttl: Duration) -> Result<LeaseId, Error> {
        let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
        let answer: wire::LeaseResponse = self.call("lease", "lease/grant", &body).await?;
        number(&answer.id)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// Returns [`Error::LeaseLapsed`] when the service no longer knows the lease.
    pub async fn keep_alive(&self, lease: LeaseId) -> Result<(), Error> {
        let body = json!({ "ID": lease.to_string() });
        let answer: wire::KeepAlive = self.call("lease", "lease/keepalive", &body).await?;
        match number(&answer.result.ttl)? {
            0 => Err(Error::LeaseLapsed),
            _ => Ok(()),
        }
    }

    /// Watches all keys that start with `prefix` from revision `from` on.
    ///
    /// Hands each batch of events and the revision after it to `each`, until the connection ends
    /// or `each` returns `false`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Compacted`] when revisions from `from` on are no longer kept.
    pub async fn watch(
        &self,
        prefix: &str,
        from: Revision,
        mut each: impl FnMut(Vec<Event>, Revision) -> bool,
    ) -> Result<(), Error> {
        let body = json!({ "create_request": {
            "key": wire::encode(prefix.as_bytes()),
            "range_end": wire::range_end(prefix),
            "start_revision": from.to_string(),
            "progress_notify": true,
        }});
        let mut lines = self.send("watch", "watch", &body).await?.bytes_stream();
        let mut buffer = Vec::new();
        while let Some(chunk) = lines.next().await {
            buffer.extend_from_slice(&chunk.map_err(unknown)?);
            while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let (events, revision) = watch_line(&line)?;
                if !each(events, revision) {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: &'static str,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<T, Error> {
        let response = self.send(kind, path, body).await?;
        let bytes = response.bytes().await.map_err(unknown)?;
        serde_json::from_slice(&bytes).map_err(|error| Error::Malformed(error.to_string()))
    }

    async fn send(
        &self,
        kind: &'static str,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<reqwest::Response, Error> {
        metrics::counter!("platform_calls_total", "kind" => kind).increment(1);
        let url = format!("{}/v3/{path}", self.base);
        let response = self.http.post(url).json(body).send().await.map_err(failed)?;
        match response.status().as_u16() {
            200 => Ok(response),
            429 => Err(Error::Refused("rate limit reached".to_owned())),
            400..=499 => Err(Error::Refused(response.status().to_string())),
            _ => Err(Error::Unknown(response.status().to_string())),
        }
    }
}

fn unknown(error: reqwest::Error) -> Error {
    Error::Unknown(error.to_string())
}

fn failed(error: reqwest::Error) -> Error {
    match error.is_connect() {
        true => Error::Refused(error.to_string()),
        false => unknown(error),
    }
}

fn number(text: &str) -> Result<u64, Error> {
    if text.is_empty() {
        return Ok(0);
    }
    text.parse().map_err(|_| Error::Malformed(format!("'{text}' is no number")))
}

fn entry(kv: Kv) -> Result<Entry, Error> {
    let malformed = || Error::Malformed("key or value is not base64".to_owned());
    let key = wire::decode(&kv.key).ok_or_else(malformed)?;
    let key = CompactString::from_utf8(key).map_err(|_| malformed())?;
    let value = wire::decode(&kv.value).ok_or_else(malformed)?;
    Ok(Entry { key, value, revision: number(&kv.mod_revision)?, lease: number(&kv.lease)? })
}

fn watch_line(line: &[u8]) -> Result<(Vec<Event>, Revision), Error> {
    let line: wire::WatchLine =
        serde_json::from_slice(line).map_err(|error| Error::Malformed(error.to_string()))?;
    if line.result.canceled {
        return Err(Error::Compacted);
    }
    let revision = number(&line.result.header.revision)?;
    let events: Result<Vec<Event>, Error> = line.result.events.into_iter().map(event).collect();
    Ok((events?, revision))
}

fn event(event: wire::WatchEvent) -> Result<Event, Error> {
    let deleted = event.kind == "DELETE";
    let entry = entry(event.kv)?;
    Ok(if deleted { Event::Delete(entry.key) } else { Event::Put(entry) })
}
