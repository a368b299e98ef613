//! Watches of members, owners and configuration changes in the key-value service.
//!
//! Each watch starts at the revision of a listing, so no change between the two is missed. When the
//! watch ends, for example because the service no longer retains the revisions it needs, the task
//! lists the keys and starts the watch again.

use super::backoff;
use super::keys;
use super::segment;
use crate::control::event::{Event, EventSender};
use crate::routes::{Member, Routes, Table};
use platform::kv::{self, Client, Entry, Error};
use sched::config::{Change, Config};
use sched::id::VmId;
use std::time::Duration;

/// Time for which an injected fault hides owner changes, and pause before the listing that then
/// shows them.
const OWNER_CHANGE_DELAY: Duration = Duration::from_secs(1);

/// Keeps the table of members and owners up to date.
///
/// `unfenced_vm` is set by an injected fault: changes to the owner keys of this daemon's logs are
/// then hidden for a while, so that it does not learn of the new owners.
pub async fn routes(kv: Client, routes: Routes, unfenced_vm: Option<VmId>) {
    let mut backoff = backoff::platform();
    loop {
        let result = routes_once(&kv, &routes, unfenced_vm.as_ref()).await;
        if let Err(error) = result {
            log::debug!("the watch of members and owners ended, restarting it: {error}");
        }
        backoff.wait().await;
        if kv.get(keys::LIVE).await.is_ok() {
            backoff = backoff::platform();
        }
    }
}

async fn routes_once(
    kv: &Client,
    routes: &Routes,
    unfenced_vm: Option<&VmId>,
) -> Result<(), Error> {
    let mut listing = kv.list(keys::LIVE, "").await?;
    if unfenced_vm.is_some_and(|vm| takes_logs_from(vm, &routes.table(), &listing.entries)) {
        // A daemon that was paused between two watches would learn of the new owners at once.
        tokio::time::sleep(OWNER_CHANGE_DELAY).await;
        listing = kv.list(keys::LIVE, "").await?;
    }
    let table = table_of(&listing.entries);
    routes.update(|current| *current = table);
    let watch = kv.watch(keys::LIVE, listing.revision, |events, _| {
        routes.update(|table| {
            let visible = events.iter().filter(|event| !is_hidden(table, event, unfenced_vm));
            let visible: Vec<&kv::Event> = visible.collect();
            visible.into_iter().for_each(|event| apply(table, event));
        });
        true
    });
    if unfenced_vm.is_some() {
        // The watch is ended so that, after the pause, the next listing shows the hidden changes.
        let result = tokio::time::timeout(OWNER_CHANGE_DELAY, watch).await.unwrap_or(Ok(()));
        tokio::time::sleep(OWNER_CHANGE_DELAY).await;
        return result;
    }
    watch.await
}

/// Returns the table that a listing describes.
fn table_of(entries: &[Entry]) -> Table {
    let mut table = Table::default();
    entries.iter().for_each(|entry| put(&mut table, entry));
    table
}

/// Returns whether a listing names other owners for logs that `vm` owns according to `table`.
fn takes_logs_from(vm: &str, table: &Table, entries: &[Entry]) -> bool {
    let listed = table_of(entries);
    let mut owned = table.owners.iter().filter(|(_, owner)| owner.vm == vm);
    owned.any(|(log, _)| listed.owners.get(log).is_none_or(|owner| owner.vm != vm))
}

/// Returns whether the injected fault hides an event, that is, a change of the owner key of a log
/// which `unfenced_vm` owns according to `table`.
fn is_hidden(table: &Table, event: &kv::Event, unfenced_vm: Option<&VmId>) -> bool {
    let key = match event {
        kv::Event::Put(entry) => &entry.key,
        kv::Event::Delete(key) => key,
    };
    let owner = keys::owner_log(key).and_then(|log| table.owners.get(&log));
    unfenced_vm.is_some() && owner.map(|owner| &owner.vm) == unfenced_vm
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

/// Sends the configuration to the control thread: the latest snapshot, then each later change in
/// order of versions.
///
/// Sends [`Event::ConfigLoaded`] after the changes of each listing.
pub async fn config(kv: Client, events: EventSender) {
    let mut backoff = backoff::platform();
    let mut version = 0;
    loop {
        match config_once(&kv, &events, &mut version).await {
            Ok(()) => backoff = backoff::platform(),
            Err(error) => {
                log::debug!("the watch of the configuration ended, restarting it: {error}")
            }
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

/// Reads the stored snapshot of the configuration, or `None` if there is none.
///
/// # Errors
///
/// Returns an [`Error`] when the key-value service is unreachable or the snapshot is damaged.
pub async fn read_snapshot(kv: &Client) -> Result<Option<Config>, Error> {
    let Some(entry) = kv.get(keys::CONFIG_SNAPSHOT).await? else {
        return Ok(None);
    };
    let config = segment::unpack(&entry.value);
    config.map(Some).map_err(|error| Error::Malformed(error.to_string()))
}

/// Sends a change to the control thread if it is the next one after `version`, and advances
/// `version`.
fn deliver(entry: &Entry, events: &EventSender, version: &mut u64) {
    let Ok(change) = serde_json::from_slice::<Change>(&entry.value) else {
        log::error!("cannot decode the configuration change {}; ignoring it", entry.key);
        return;
    };
    if change.version == *version + 1 {
        *version = change.version;
        events.send(Event::ConfigChange(Box::new(change)));
    }
}
