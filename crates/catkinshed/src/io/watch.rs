//! Watches of members, owners and configuration changes.
//!
//! Each watch starts from a listing, so nothing is missed between the two, and starts again from a
//! listing when the service no longer keeps the revisions in between.

use super::backoff;
use super::keys;
use super::segment;
use crate::control::event::{Event, EventSender};
use crate::routes::{Member, Routes, Table};
use platform::kv::{self, Client, Entry, Error};
use sched::config::{Change, Config};
use sched::id::VmId;
use std::time::Duration;

/// Longest time for which the injected fault keeps news of owners away.
const DEAF_FOR: Duration = Duration::from_secs(1);

/// Keeps the routes up to date.
///
/// `deaf` names a daemon that, by an injected fault, does not learn that its logs have other owners.
pub async fn routes(kv: Client, routes: Routes, deaf: Option<VmId>) {
    let mut backoff = backoff::platform();
    loop {
        let result = routes_once(&kv, &routes, deaf.as_ref()).await;
        if let Err(error) = result {
            log::debug!("the watch of members ended: {error}");
        }
        backoff.wait().await;
        if kv.get(keys::LIVE).await.is_ok() {
            backoff = backoff::platform();
        }
    }
}

async fn routes_once(kv: &Client, routes: &Routes, deaf: Option<&VmId>) -> Result<(), Error> {
    let listing = kv.list(keys::LIVE, "").await?;
    let mut table = Table::default();
    for entry in &listing.entries {
        put(&mut table, entry);
    }
    routes.update(|current| *current = table);
    let watch = kv.watch(keys::LIVE, listing.revision, |events, _| {
        routes.update(|table| {
            let heard = events.iter().filter(|event| !ignored(table, event, deaf));
            let heard: Vec<&kv::Event> = heard.collect();
            heard.into_iter().for_each(|event| apply(table, event));
        });
        true
    });
    if deaf.is_some() {
        // The next listing tells what was not heard, a while after a pause that ended the watch.
        let result = tokio::time::timeout(DEAF_FOR, watch).await.unwrap_or(Ok(()));
        tokio::time::sleep(DEAF_FOR).await;
        return result;
    }
    watch.await
}

fn ignored(table: &Table, event: &kv::Event, deaf: Option<&VmId>) -> bool {
    let key = match event {
        kv::Event::Put(entry) => &entry.key,
        kv::Event::Delete(key) => key,
    };
    let owner = keys::owner_log(key).and_then(|log| table.owners.get(&log));
    deaf.is_some() && owner.map(|owner| &owner.vm) == deaf
}

fn apply(table: &mut Table, event: &kv::Event) {
    match event {
        kv::Event::Put(entry) => put(table, entry),
        kv::Event::Delete(key) => {
            if let Some(log) = keys::owner_log(key) {
                table.owners.swap_remove(&log);
            }
            if let Some(vm) = keys::member_vm(key) {
                table.members.swap_remove(vm);
            }
        }
    }
}

fn put(table: &mut Table, entry: &Entry) {
    let Ok(member) = serde_json::from_slice::<Member>(&entry.value) else {
        return;
    };
    match keys::owner_log(&entry.key) {
        Some(log) => {
            table.owners.insert(log, member);
        }
        None => {
            table.members.insert(member.vm.clone(), member);
        }
    }
}

/// Hands every configuration change to the control thread, in order.
pub async fn config(kv: Client, events: EventSender) {
    let mut backoff = backoff::platform();
    let mut version = 0;
    loop {
        match config_once(&kv, &events, &mut version).await {
            Ok(()) => backoff = backoff::platform(),
            Err(error) => log::debug!("the watch of the configuration ended: {error}"),
        }
        backoff.wait().await;
    }
}

async fn config_once(kv: &Client, events: &EventSender, version: &mut u64) -> Result<(), Error> {
    if let Some(config) = read_snapshot(kv).await?
        && config.version > *version
    {
        *version = config.version;
        events.send(Event::ConfigSnapshot(Box::new(config)));
    }
    let listing = kv.list(keys::CHANGES, &keys::change(*version)).await?;
    for entry in &listing.entries {
        deliver(entry, events, version);
    }
    events.send(Event::ConfigLoaded);
    kv.watch(keys::CHANGES, listing.revision, |batch, _| {
        for event in &batch {
            if let kv::Event::Put(entry) = event {
                deliver(entry, events, version);
            }
        }
        true
    })
    .await
}

/// Reads the configuration's snapshot.
///
/// # Errors
///
/// Returns an [`Error`] when the service is out of reach or the snapshot is damaged.
pub async fn read_snapshot(kv: &Client) -> Result<Option<Config>, Error> {
    let Some(entry) = kv.get(keys::CONFIG_SNAPSHOT).await? else {
        return Ok(None);
    };
    let config = segment::unpack(&entry.value);
    config.map(Some).map_err(|error| Error::Malformed(error.to_string()))
}

fn deliver(entry: &Entry, events: &EventSender, version: &mut u64) {
    let Ok(change) = serde_json::from_slice::<Change>(&entry.value) else {
        log::error!("the configuration change {} is damaged", entry.key);
        return;
    };
    if change.version == *version + 1 {
        *version = change.version;
        events.send(Event::ConfigChange(Box::new(change)));
    }
}
