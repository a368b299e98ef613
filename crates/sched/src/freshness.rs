//! How current a daemon's view of the cluster is, and which peers it gets its news from.
//!
//! A view is confirmed as of a time if it includes every change that the key-value service had
//! acknowledged before. A daemon that watches the service confirms its view with each answer. A
//! daemon that follows a peer confirms its view as of the peer's time: each update carries the age
//! of the sender's view, so ages pass from daemon to daemon, and no daemon vouches for news that it
//! did not get itself. A watch that gets no answer and a peer that is cut off look the same: the age
//! grows.
//!
//! Decisions that depend on being in touch ask [`Freshness::is_current`]: whether a peer's updates
//! count, whether this daemon has to watch the service itself, and whether a route that is not in
//! the view does not exist. A request is never refused only because the view is old: during an
//! outage of the service, an old view is the best there is.
//!
//! An update may have waited long before it is read, for example in the socket of a daemon that was
//! paused. [`Transit`] tells by how much longer than the fastest update of the same sender, and that
//! counts as age too.

use crate::id::Revision;
use std::time::{Duration, Instant};

/// Age up to which a view is current.
///
/// Configurations take effect, and leaving endpoints are left alone, within 2 s of the service's
/// acknowledgement; the rest of that time is for changing to another source of news.
pub const MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum time for which a watch call waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Minimum time for which a watch call waits for changes.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(200);
/// Age that a view may reach while a watch call waits; well below [`MAX_AGE`], as its followers'
/// views are older.
const MAX_WAITING_AGE: Duration = Duration::from_millis(1_200);
/// Time for which a watch that hears of no change does not rely on the revisions in its answers.
///
/// A service that discards its history may not tell a watch of changes for about a second.
const WATCH_OVERLAP: Duration = Duration::from_secs(3);

/// Returns how long the next watch call waits for changes if what it watches was confirmed `age` ago.
///
/// A call that returns changes confirms only what came before its start, so after one that returns
/// them late the next one ends sooner.
pub fn watch_wait(age: Option<Duration>) -> Duration {
    let left = age.map_or(MAX_WATCH_WAIT, |age| MAX_WAITING_AGE.saturating_sub(age));
    left.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
}

/// Revision after which the next call of a watch asks for changes.
///
/// An answer without changes may name a revision after changes that it does not tell. The position
/// therefore follows such answers only after [`WATCH_OVERLAP`]: until then, a later call returns these
/// changes, or fails if they were discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    after: Revision,
    /// Revision of an answer without changes, and the time of that answer.
    unproven: Option<(Revision, Instant)>,
}

impl Position {
    /// Creates the position after a listing at `revision`.
    pub fn new(revision: Revision) -> Self {
        Self { after: revision, unproven: None }
    }

    /// Returns the revision after which the next call asks for changes.
    pub fn after(self) -> Revision {
        self.after
    }

    /// Records an answer that names `revision`.
    pub fn advance(&mut self, revision: Revision, has_changes: bool, now: Instant) {
        if has_changes {
            *self = Self::new(revision.max(self.after));
            return;
        }
        match self.unproven {
            Some((_, at)) if now.saturating_duration_since(at) < WATCH_OVERLAP => {}
            Some((proven, _)) => {
                self.after = proven.max(self.after);
                self.unproven = Some((revision, now));
            }
            None => self.unproven = Some((revision, now)),
        }
    }
}

/// Time as of which a view, or a part of it, is confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed_at: Option<Instant>,
}

impl Freshness {
    /// Confirms the view as of `at`, unless it is confirmed as of a later time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the freshness of a view that consists of this part and another one.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        Self { confirmed_at: self.confirmed_at.min(other.confirmed_at) }
    }

    /// Returns the freshness of a view that is confirmed by two sources.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        Self { confirmed_at: self.confirmed_at.max(other.confirmed_at) }
    }

    /// Returns the age of the view, or `None` if it was never confirmed.
    pub fn age(self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether the view is current.
    pub fn is_current(self, now: Instant) -> bool {
        is_current(self.age(now))
    }
}

/// Returns whether a view of this age is current.
pub fn is_current(age: Option<Duration>) -> bool {
    age.is_some_and(|age| age <= MAX_AGE)
}

/// Tells how long the updates of one sender were on their way, compared with the fastest one.
///
/// Each update states the sender's time, counted from any point; so the clocks need not agree.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transit {
    /// Sender's and receiver's time of the fastest update so far.
    reference: Option<(Duration, Instant)>,
}

impl Transit {
    /// Returns by how much longer an update that was sent at `sent` and is read at `now` was on its
    /// way than the fastest one.
    pub fn delay(&mut self, sent: Duration, now: Instant) -> Duration {
        let (sent_before, read_before) = *self.reference.get_or_insert((sent, now));
        let sender = sent.saturating_sub(sent_before);
        let receiver = now.saturating_duration_since(read_before);
        if receiver < sender {
            self.reference = Some((sent, now));
        }
        receiver.saturating_sub(sender)
    }
}

/// A daemon's place among the delegates, which watch the key-value service for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The delegate with this index.
    Delegate(usize),
    /// A daemon that follows delegates; the number spreads the followers over them.
    Follower(u64),
}

/// Returns the index of the delegate that subscription number `slot` of a daemon uses, or `None` if
/// there is none for it.
///
/// `failures` counts the earlier delegates that this subscription gave up, and `taken` is the
/// delegate that the daemon's other subscription uses, so two subscriptions never depend on the same
/// delegate. The delegates follow each other in a ring: one that is cut off from the service gets
/// its news from the next one that is not.
pub fn choose_delegate(
    delegates: usize,
    role: Role,
    slot: usize,
    failures: usize,
    taken: Option<usize>,
) -> Option<usize> {
    let start = match role {
        Role::Delegate(own) => own + 1,
        Role::Follower(number) => (number % delegates.max(1) as u64) as usize,
    };
    let usable = |index: &usize| Some(*index) != taken && role != Role::Delegate(*index);
    (0..delegates).map(|step| (start + slot + failures + step) % delegates).find(usable)
}
