//! Questions to all daemons.

use crate::control::event::Event;
use crate::router::Router;
use crate::routes::Member;
use futures::future::join_all;
use peer::wire::{Query, Reply, Request, Status};
use sched::id::VmId;
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest wait for one daemon's answer.
const PATIENCE: Duration = Duration::from_secs(2);

/// Answers of those that answered, and the names of the others.
#[derive(Debug, Default)]
pub struct ClusterStatus {
    /// Answers, by VM.
    pub statuses: Vec<Status>,
    /// Daemons that did not answer in time.
    pub unresponsive: Vec<VmId>,
}

/// Asks every member at once.
pub async fn gather(router: &Router, query: &Query) -> ClusterStatus {
    let mut members: Vec<Member> = router.routes.table().members.into_values().collect();
    if !members.iter().any(|member| member.vm == router.local_member.vm) {
        members.push(router.local_member.clone());
    }
    members.sort_by(|left, right| left.vm.cmp(&right.vm));
    let asked = members.iter().map(|member| async {
        let answer = tokio::time::timeout(PATIENCE, ask(router, member, query)).await;
        (member.vm.clone(), answer.ok().flatten())
    });
    let mut gathered = ClusterStatus::default();
    for (vm, answer) in join_all(asked).await {
        match answer {
            Some(answer) => gathered.statuses.push(answer),
            None => gathered.unresponsive.push(vm),
        }
    }
    gathered
}

async fn ask(router: &Router, member: &Member, query: &Query) -> Option<Status> {
    if member.vm == router.local_member.vm {
        let (sender, answer) = oneshot::channel();
        router.events.send(Event::Query(query.clone(), sender));
        return answer.await.ok();
    }
    let request = Request::Query(query.clone());
    let mut replies = router.peers.call(&member.peer_addr, &request).await.ok()?;
    match replies.next().await {
        Ok(Some(Reply::Status(answer))) => Some(*answer),
        _ => None,
    }
}
