//! Queries to all daemons.

use crate::control::event::Event;
use crate::router::Router;
use crate::routes::Member;
use futures::future::join_all;
use peer::wire::{Query, Reply, Request, Status};
use sched::id::VmId;
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout for the status of one daemon.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Status of the daemons that answered a query, and the names of the others.
#[derive(Debug, Default)]
pub struct ClusterStatus {
    /// Status of each daemon that answered, sorted by the name of its VM.
    pub statuses: Vec<Status>,
    /// VMs of the daemons that did not answer in time.
    pub unresponsive: Vec<VmId>,
}

/// Queries all members concurrently.
///
/// The local daemon is queried even if the routes do not list it as a member.
pub async fn gather(router: &Router, query: &Query) -> ClusterStatus {
    let mut members: Vec<Member> = router.routes.table().members.into_values().collect();
    if !members.iter().any(|member| member.vm == router.local_member.vm) {
        members.push(router.local_member.clone());
    }
    members.sort_by(|left, right| left.vm.cmp(&right.vm));
    let queries = members.iter().map(|member| async {
        let status = tokio::time::timeout(QUERY_TIMEOUT, query_member(router, member, query)).await;
        (member.vm.clone(), status.ok().flatten())
    });
    let mut result = ClusterStatus::default();
    for (vm, status) in join_all(queries).await {
        match status {
            Some(status) => result.statuses.push(status),
            None => result.unresponsive.push(vm),
        }
    }
    result
}

async fn query_member(router: &Router, member: &Member, query: &Query) -> Option<Status> {
    if member.vm == router.local_member.vm {
        let (sender, status) = oneshot::channel();
        router.events.send(Event::Query(query.clone(), sender));
        return status.await.ok();
    }
    let request = Request::Query(query.clone());
    let mut replies = router.peers.call(&member.peer_addr, &request).await.ok()?;
    match replies.next().await {
        Ok(Some(Reply::Status(status))) => Some(*status),
        _ => None,
    }
}
