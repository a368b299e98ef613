//! This daemon's lease and member key.

use super::backoff;
use super::keys;
use crate::control::event::{Event, EventSender};
use crate::routes::Member;
use platform::kv::{Client, Error, LeaseId, WriteOutcome};
use std::time::{Duration, Instant};

/// Renewals in one life of the lease.
const RENEWALS_PER_TTL: u32 = 3;

/// Holds a lease and the member key for as long as the daemon runs.
pub async fn maintain(kv: Client, events: EventSender, me: Member, ttl: Duration) {
    let mut backoff = backoff::platform();
    loop {
        match maintain_once(&kv, &events, &me, ttl).await {
            Err(Error::LeaseLapsed) => {
                metrics::counter!("lease_lapses_total").increment(1);
                log::warn!("the lease of {} lapsed; a new one is taken", me.vm);
            }
            Err(error) => {
                log::debug!("no lease yet: {error}");
                events.send(Event::PlatformReachable(false));
            }
            Ok(()) => return,
        }
        backoff.wait().await;
    }
}

async fn maintain_once(
    kv: &Client,
    events: &EventSender,
    me: &Member,
    ttl: Duration,
) -> Result<(), Error> {
    let asked = Instant::now();
    let lease = kv.grant(ttl).await?;
    register(kv, me, lease).await?;
    events.send(Event::LeaseUpdate { lease: Some(lease), requested_at: asked });
    let mut backoff = backoff::platform();
    loop {
        tokio::time::sleep(ttl / RENEWALS_PER_TTL).await;
        renew(kv, events, lease, &mut backoff).await?;
    }
}

async fn renew(
    kv: &Client,
    events: &EventSender,
    lease: LeaseId,
    backoff: &mut backoff::Backoff,
) -> Result<(), Error> {
    loop {
        let asked = Instant::now();
        match kv.keep_alive(lease).await {
            Ok(()) => {
                *backoff = backoff::platform();
                events.send(Event::LeaseUpdate { lease: Some(lease), requested_at: asked });
                return Ok(());
            }
            Err(Error::LeaseLapsed) => {
                events.send(Event::LeaseUpdate { lease: None, requested_at: asked });
                return Err(Error::LeaseLapsed);
            }
            Err(error) => {
                log::debug!("the lease is not renewed yet: {error}");
                events.send(Event::PlatformReachable(false));
                backoff.wait().await;
            }
        }
    }
}

async fn register(kv: &Client, me: &Member, lease: LeaseId) -> Result<(), Error> {
    let value = serde_json::to_vec(me).map_err(|error| Error::Malformed(error.to_string()))?;
    let key = keys::member(&me.vm);
    let mut backoff = backoff::platform();
    loop {
        match kv.create(&key, &value, Some(lease)).await {
            Ok(WriteOutcome::Done(_)) => return Ok(()),
            Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
        // The answer to the creation may have been lost. The key of an earlier process on this VM,
        // or of an earlier lease, lapses with that lease.
        let found = kv.get(&key).await?;
        if found.is_some_and(|found| found.value == value && found.lease == lease) {
            return Ok(());
        }
        kv.keep_alive(lease).await?;
        backoff.wait().await;
    }
}
