//! Trimming a log keeps its former owner fenced.
//!
//! Trimming deletes segments, so a former owner could create one of them again and treat its
//! write as durable, unless the commit also checks the number that the log's head covers.

use catkinshed::control::event::EventSender;
use catkinshed::routes::Member;
use catkinshed::traffic::commit::{self, Outcome};
use catkinshed::traffic::segment::{self, Segment};
use catkinshed::traffic::snapshot;
use catkinshed::traffic::takeover;
use sched::log::State;
use sched::record::{Record, Spec};
use std::time::Duration;
use testing::cluster::{Cluster, Spec as ClusterSpec};

const LOG: u16 = 3;

async fn cluster() -> Cluster {
    Cluster::start(ClusterSpec { engines: 0, services: 0, ..ClusterSpec::default() }).await
}

fn segment_of(epoch: u64, nonce: u64, records: Vec<Record>) -> Segment {
    Segment { epoch, nonce, records }
}

/// Writes five segments as one owner, then a snapshot that covers all of them, which trims the log.
async fn write_and_trim(kv: &platform::kv::Client, events: &EventSender) -> State {
    let mut state = State::new(LOG);
    let takeover = Record::Takeover { epoch: 1, vm: "first".into() };
    state.apply(&takeover).expect("failed to apply the takeover");
    let outcome = commit::commit(kv, events, LOG, 1, &segment_of(1, 1, vec![takeover])).await;
    assert_eq!(outcome, Outcome::Durable);
    for number in 2..=5 {
        let create = Record::Create { program: state.next_program_id(), spec: Spec::default() };
        state.apply(&create).expect("failed to apply the creation");
        let segment = segment_of(1, number, vec![create]);
        assert_eq!(commit::commit(kv, events, LOG, number, &segment).await, Outcome::Durable);
    }
    let packed = segment::pack(&state).expect("failed to pack the snapshot");
    snapshot::write(kv, LOG, 5, &packed).await.expect("failed to write the snapshot");
    state
}

#[tokio::test]
async fn a_former_owner_cannot_write_a_trimmed_segment_number() {
    let cluster = cluster().await;
    let kv = cluster.kv_client();
    let (events, _receiver) = EventSender::channel();
    let state = write_and_trim(&kv, &events).await;
    let record = Record::Create { program: "3-99".into(), spec: Spec::default() };
    let segment = segment_of(1, 99, vec![record]);
    assert_eq!(commit::commit(&kv, &events, LOG, 3, &segment).await, Outcome::Fenced);
    let member = Member { vm: "next".into(), incarnation: 1, ..Member::default() };
    let lease = kv.grant(Duration::from_secs(10)).await.expect("failed to grant a lease");
    let ownership = takeover::take_over(&kv, &events, LOG, &member, lease)
        .await
        .expect("failed to take over the log");
    assert_eq!(ownership.state.programs, state.programs);
    assert_eq!(ownership.next_segment, 7);
}

#[tokio::test]
async fn a_takeover_after_a_snapshot_keeps_every_program() {
    let cluster = cluster().await;
    let kv = cluster.kv_client();
    let (events, _receiver) = EventSender::channel();
    let state = write_and_trim(&kv, &events).await;
    let create = Record::Create { program: state.next_program_id(), spec: Spec::default() };
    let segment = segment_of(1, 6, vec![create]);
    assert_eq!(commit::commit(&kv, &events, LOG, 6, &segment).await, Outcome::Durable);
    let member = Member { vm: "next".into(), incarnation: 1, ..Member::default() };
    let lease = kv.grant(Duration::from_secs(10)).await.expect("failed to grant a lease");
    let ownership = takeover::take_over(&kv, &events, LOG, &member, lease)
        .await
        .expect("failed to take over the log");
    assert_eq!(ownership.state.programs.len(), 5);
    assert_eq!((ownership.state.epoch, ownership.next_segment), (2, 8));
}
