//! Which grantor a coordinator reports to.

use super::ATTACHMENT_TTL;
use std::time::{Duration, Instant};

/// Time for which a grantor is passed over that did not hear from most coordinators.
const AVOIDED_FOR: Duration = Duration::from_secs(3);

/// The grantor that a coordinator reports to, for one stripe of customers.
#[derive(Clone, Debug)]
pub struct Contact<T> {
    grantor: Option<T>,
    has_most: bool,
    answered_at: Option<Instant>,
    /// Since when the grantor answers without hearing from most coordinators.
    lacks_most_since: Option<Instant>,
    /// A grantor that did so for too long, and until when it is passed over.
    avoided: Option<(T, Instant)>,
}

impl<T> Default for Contact<T> {
    fn default() -> Self {
        Self {
            grantor: None,
            has_most: false,
            answered_at: None,
            lacks_most_since: None,
            avoided: None,
        }
    }
}

impl<T: Clone + PartialEq> Contact<T> {
    /// Returns the grantor to report to now: the last one while it answers and hears from most
    /// coordinators, else the first in line. `first` returns that one, but for the given grantor: if
    /// one answers without hearing from most coordinators, the others may report to the next.
    ///
    /// Returns `None` while the last grantor may still count this coordinator, so that no two do.
    pub fn choose(
        &self,
        is_suspect: impl Fn(&T) -> bool,
        first: impl Fn(Option<&T>) -> Option<T>,
        now: Instant,
    ) -> Option<T> {
        let last = self.grantor.as_ref().filter(|last| self.has_most && !is_suspect(last));
        let avoided = self.avoided.as_ref().filter(|(_, until)| now < *until);
        let chosen = last.cloned().or_else(|| first(avoided.map(|(grantor, _)| grantor)))?;
        let is_attached =
            self.answered_at.is_some_and(|at| now.saturating_duration_since(at) < ATTACHMENT_TTL);
        (!is_attached || self.is_last(&chosen)).then_some(chosen)
    }

    /// Returns whether `grantor` is the one that answered last.
    pub fn is_last(&self, grantor: &T) -> bool {
        self.grantor.as_ref() == Some(grantor)
    }

    /// Records an answer.
    pub fn record_answer(&mut self, grantor: T, has_most: bool, now: Instant) {
        let is_same = self.is_last(&grantor);
        let since = self.lacks_most_since.filter(|_| is_same).unwrap_or(now);
        self.lacks_most_since = (!has_most).then_some(since);
        if !has_most && now.saturating_duration_since(since) >= ATTACHMENT_TTL {
            self.avoided = Some((grantor.clone(), now + AVOIDED_FOR));
        }
        self.grantor = Some(grantor);
        self.has_most = has_most;
        self.answered_at = Some(now);
    }
}
