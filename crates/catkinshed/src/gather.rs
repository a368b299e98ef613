//! Questions to all daemons.

use crate::control::event::Event;
use crate::entry::Entry;
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
pub struct Gathered {
    /// Answers, by VM.
    pub answers: Vec<Status>,
    /// Daemons that did not answer in time.
    pub silent: Vec<VmId>,
}

/// Asks every member at once.
pub async fn gather(entry: &Entry, query: &Query) -> Gathered {
    let mut members: Vec<Member> = entry.routes.table().members.into_values().collect();
    if !members.iter().any(|member| member.vm == entry.me.vm) {
        members.push(entry.me.clone());
    }
    members.sort_by(|left, right| left.vm.cmp(&right.vm));
    let asked = members.iter().map(|member| async {
        let answer = tokio::time::timeout(PATIENCE, ask(entry, member, query)).await;
        (member.vm.clone(), answer.ok().flatten())
    });
    let mut gathered = Gathered::default();
    for (vm, answer) in join_all(asked).await {
        match answer {
            Some(answer) => gathered.answers.push(answer),
            None => gathered.silent.push(vm),
        }
    }
    gathered
}

async fn ask(entry: &Entry, member: &Member, query: &Query) -> Option<Status> {
    if member.vm == entry.me.vm {
        let (sender, answer) = oneshot::channel();
        entry.events.send(Event::Query(query.clone(), sender));
        return answer.await.ok();
    }
    let request = Request::Query(query.clone());
    let mut replies = entry.peers.call(&member.peer_addr, &request).await.ok()?;
    match replies.next().await {
        Ok(Some(Reply::Status(answer))) => Some(*answer),
        _ => None,
    }
}
