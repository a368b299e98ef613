//! Lease and member key of this daemon in the key-value service.

use super::backoff;
use super::keys;
use crate::control::event::{Event, EventSender};
use crate::routes::Member;
use platform::kv::{Client, Error, LeaseId, WriteOutcome};
use std::time::{Duration, Instant};

/// Number of lease renewals per TTL.
const RENEWALS_PER_TTL: u32 = 3;

/// Maintains a lease and the member key for as long as the daemon runs.
///
/// The lease is renewed several times per `ttl`. When it expires, a new lease is requested and the
/// member key is created again.
pub async fn maintain(kv: Client, events: EventSender, member: Member, ttl: Duration) {
    let mut backoff = backoff::platform();
    loop {
        match maintain_once(&kv, &events, &member, ttl).await {
            Err(Error::LeaseExpired) => {
                metrics::counter!("lease_lapses_total").increment(1);
                log::warn!("the lease of {} expired; requesting a new one", member.vm);
            }
            Err(error) => {
                log::debug!("failed to obtain the lease and the member key, retrying: {error}");
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
    member: &Member,
    ttl: Duration,
) -> Result<(), Error> {
    let requested_at = Instant::now();
    let lease = kv.grant(ttl).await?;
    register(kv, member, lease).await?;
    events.send(Event::LeaseUpdate { lease: Some(lease), requested_at });
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
        let requested_at = Instant::now();
        match kv.keep_alive(lease).await {
            Ok(()) => {
                *backoff = backoff::platform();
                events.send(Event::LeaseUpdate { lease: Some(lease), requested_at });
                return Ok(());
            }
            Err(Error::LeaseExpired) => {
                events.send(Event::LeaseUpdate { lease: None, requested_at });
                return Err(Error::LeaseExpired);
            }
            Err(error) => {
                log::debug!("failed to renew the lease, retrying: {error}");
                events.send(Event::PlatformReachable(false));
                backoff.wait().await;
            }
        }
    }
}

async fn register(kv: &Client, member: &Member, lease: LeaseId) -> Result<(), Error> {
    let value = serde_json::to_vec(member).map_err(|error| Error::Malformed(error.to_string()))?;
    let key = keys::member(&member.vm);
    let mut backoff = backoff::platform();
    loop {
        match kv.create(&key, &value, Some(lease)).await {
            Ok(WriteOutcome::Done(_)) => return Ok(()),
            Ok(WriteOutcome::Conflict) | Err(Error::Unknown(_)) => {}
            Err(error) => return Err(error),
        }
        // The key may exist because the answer to its creation was lost. A key of an earlier
        // process on this VM, or of an earlier lease, is deleted when that lease expires.
        let found = kv.get(&key).await?;
        if found.is_some_and(|found| found.value == value && found.lease == lease) {
            return Ok(());
        }
        kv.keep_alive(lease).await?;
        backoff.wait().await;
    }
}
