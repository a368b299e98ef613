//! Requests that crash the endpoints that run them.
//!
//! A client sends such a request again, with a new id, and any daemon may get it. What stays the same
//! is its [`Fingerprint`]. A request has two of them, see [`Fingerprints`]: the narrow one covers the
//! whole request, the wide one only how it begins, since a harmful prompt comes again with more or less
//! text after it. The wide one is used unless a request that it covers has completed; that also ends a
//! quarantine which rests on it.
//!
//! Each daemon reports the requests that were at an endpoint when its process ended; all reports about
//! one service go to the same few daemons, so each of these sees every crash whole.
//!
//! When a process ends, everything that ran there is under suspicion, and most of it is innocent. A
//! [`Tracker`] therefore does not only count crashes:
//!
//! * a request to which the process had sent an event weighs half, since the process did begin to run
//!   it without harm; so does one that waited while the process began to answer others;
//! * a request is quarantined only if no other one has as high a score, or explains all but one of its
//!   crashes as well. Until then, a later crash has to tell them apart;
//! * it needs one crash more if there was another likely culprit at all but one of them;
//! * the crashes of a quarantined request are explained and count against nobody else;
//! * a request that completes is absolved, whichever daemon served it.
//!
//! Endpoints that are lost at the same moment count one crash against each request there: most requests
//! are at one endpoint at a time, and those that are not have usually completed before. Endpoints that
//! announce that they leave count none.
//!
//! [`Holds`] is the list of quarantined requests, which every daemon has. Entries have generations, so
//! that daemons can exchange them in any order. Both tables are bounded in memory and time.

use crate::id::{EndpointId, RequestId, ServiceId};
use compact_str::{CompactString, format_compact};
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Score of a request that a process is most likely to have ended under.
const FULL_WEIGHT: u32 = 2;
/// Score of another request at the process.
const HALF_WEIGHT: u32 = 1;
/// Score by which a request has to exceed what another one has at the same processes; less may be the
/// chance of having been beside a harmful one.
const MIN_LEAD: u32 = 2 * FULL_WEIGHT;
/// Number of processes at which no other request was a likely culprit, so that one crash fewer suffices.
const MIN_UNAMBIGUOUS: usize = 2;
/// Time after the first report about a process within which the other daemons report.
pub const SETTLE_TIME: Duration = Duration::from_millis(30);
/// Time within which all crashes count as one against a request that has completed before.
///
/// Such a request may be at many endpoints of a rack that is lost.
const COINCIDENCE_TIME: Duration = Duration::from_millis(500);
/// Time for which a crash counts.
const CRASH_TTL: Duration = Duration::from_secs(120);
/// Maximum number of crashes that are tracked; the oldest ones are dropped first.
const MAX_CRASHES: usize = 256;
/// Maximum number of requests that are tracked for one crash.
const MAX_SUSPECTS: usize = 128;
/// Maximum number of quarantined requests; the oldest ones are dropped first.
const MAX_HOLDS: usize = 1_024;
/// Number of fingerprints after which those before the last such number are forgotten.
const MAX_RECENT: usize = 2_048;
/// Maximum number of recent changes that are kept for subscribers.
const MAX_LOG: usize = 256;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Number of endpoint processes that have to end under a request; 0 turns the quarantine off.
    pub crashes: u32,
    /// Time for which a request is refused, in milliseconds.
    pub hold_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { crashes: 3, hold_ms: 600_000 }
    }
}

/// Digest of what a request and its repetitions have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub [u8; 16]);

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// The two fingerprints of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprints {
    /// Sender, method, host, path, query and the beginning of the body.
    pub wide: Fingerprint,
    /// Sender, method, host, path, query and the whole body.
    pub narrow: Fingerprint,
}

/// What a fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All requests that begin alike.
    Wide,
    /// One request and its repetitions.
    Narrow,
}

impl Scope {
    /// Returns the name used in log lines and in lists.
    pub fn name(self) -> &'static str {
        match self {
            Self::Wide => "wide",
            Self::Narrow => "narrow",
        }
    }
}

/// Fingerprints that were recorded lately, in two generations of bounded size.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    current: IndexMap<Fingerprint, Instant>,
    previous: IndexMap<Fingerprint, Instant>,
}

impl Recent {
    /// Records a fingerprint.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.current.len() >= MAX_RECENT {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(fingerprint, now);
    }

    /// Returns when a fingerprint was recorded last.
    pub fn last(&self, fingerprint: &Fingerprint) -> Option<Instant> {
        self.current.get(fingerprint).or_else(|| self.previous.get(fingerprint)).copied()
    }

    /// Forgets a fingerprint; returns whether it was recorded.
    pub fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        let current = self.current.swap_remove(fingerprint);
        let previous = self.previous.swap_remove(fingerprint);
        current.or(previous).is_some()
    }
}

/// Requests that completed lately.
#[derive(Clone, Debug, Default)]
pub struct Completed {
    wide: Recent,
    narrow: Recent,
}

impl Completed {
    /// Records that a request completed.
    pub fn record(&mut self, fingerprints: &Fingerprints, now: Instant) {
        self.wide.record(fingerprints.wide, now);
        self.narrow.record(fingerprints.narrow, now);
    }

    /// Returns whether a request with this wide fingerprint completed lately.
    pub fn contains(&self, wide: &Fingerprint) -> bool {
        self.wide.last(wide).is_some()
    }

    /// Returns whether the request with this narrow fingerprint completed lately.
    pub fn contains_narrow(&self, narrow: &Fingerprint) -> bool {
        self.narrow.last(narrow).is_some()
    }

    /// Returns whether a quarantine covers a request that is known to be harmless: one that begins
    /// alike completed lately, or the request itself did so, either since the first crash or before
    /// crashes that count as one.
    pub fn contradicts(&self, verdict: &Verdict, now: Instant) -> bool {
        let Verdict { fingerprint, scope, held, span, .. } = verdict;
        let completes = match scope {
            Scope::Wide => self.contains(fingerprint),
            Scope::Narrow => self.narrow.last(fingerprint).is_some_and(|at| {
                *span < COINCIDENCE_TIME || now.saturating_duration_since(at) <= *span
            }),
        };
        *held && completes
    }
}

/// The text is not a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a fingerprint has 32 hexadecimal digits")]
pub struct ParseError;

impl FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let is_digits = text.len() == 32 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_digits);
        number.map(|number| Self(number.to_be_bytes())).ok_or(ParseError)
    }
}

/// Process of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Number of the process.
    pub incarnation: u64,
}

/// How far a request was when the endpoint's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The process had sent nothing of the response.
    Waiting,
    /// The process had sent the head of the response.
    Begun,
    /// The process had sent a part of the response's body.
    Progressed,
}

/// A request that was at an endpoint when the endpoint's process ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accusation {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What the fingerprint covers.
    pub scope: Scope,
    /// Narrow fingerprint of the request, which may be the same.
    pub narrow: Fingerprint,
    /// Id of the attempt.
    pub request: RequestId,
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// The process that ended.
    pub process: Process,
    /// How far the request was.
    pub phase: Phase,
    /// Whether the request has completed lately at the daemon that reports it.
    pub completed: bool,
}

/// A quarantined request, or one whose quarantine was lifted, as daemons tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// What the fingerprint covers.
    pub scope: Scope,
    /// Number of the change to this request's entry; a higher one replaces a lower one.
    pub generation: u32,
    /// Whether the request is refused; `false` once its quarantine was lifted.
    pub held: bool,
    /// Whether the quarantine was lifted because a request that the fingerprint covers has completed,
    /// so that the narrow fingerprints are judged in its place.
    pub narrowed: bool,
    /// Time for which the entry holds.
    pub remaining: Duration,
    /// An attempt of the request, to be found in log lines.
    pub request: RequestId,
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// Number of processes that ended under the request.
    pub crashes: u32,
    /// Time from the first of these crashes to the verdict.
    pub span: Duration,
}

/// A request that explains the crashes at which it was.
#[derive(Clone, Debug)]
pub struct Culprit {
    /// The latest accusation of the request.
    pub accusation: Accusation,
    /// Number of processes that ended under the request.
    pub crashes: u32,
    /// When the first of these crashes was reported.
    pub first_at: Instant,
}

#[derive(Clone, Debug)]
struct Crash {
    reported_at: Instant,
    /// Whether a quarantined request ran there.
    explained: bool,
    /// Whether the process had begun to answer one of them, also if that was absolved since.
    has_begun: bool,
    /// Requests that were there.
    suspects: IndexMap<Fingerprint, Accusation>,
}

impl Crash {
    /// Returns the requests that were there, with their weights.
    fn weights(&self) -> impl Iterator<Item = (&Fingerprint, u32)> {
        self.suspects.iter().map(|(fingerprint, suspect)| {
            let weight = match suspect.phase {
                Phase::Begun => FULL_WEIGHT,
                Phase::Waiting if !self.has_begun => FULL_WEIGHT,
                Phase::Waiting | Phase::Progressed => HALF_WEIGHT,
            };
            (fingerprint, weight)
        })
    }
}

/// Crashes that were reported to this daemon.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    limits: Limits,
    /// Crashes, the oldest first.
    crashes: IndexMap<Process, Crash>,
}

impl Tracker {
    /// Creates a tracker without crashes.
    pub fn new(limits: Limits) -> Self {
        Self { limits, ..Self::default() }
    }

    /// Records that a request was at a process that ended; returns whether the crash is new.
    pub fn record(&mut self, accusation: Accusation, now: Instant) -> bool {
        let known = self.crashes.contains_key(&accusation.process);
        if !known && self.crashes.len() >= MAX_CRASHES {
            self.crashes.shift_remove_index(0);
        }
        let none = || Crash {
            reported_at: now,
            explained: false,
            has_begun: false,
            suspects: IndexMap::new(),
        };
        let crash = self.crashes.entry(accusation.process.clone()).or_insert_with(none);
        crash.has_begun |= accusation.phase == Phase::Begun;
        if crash.suspects.len() < MAX_SUSPECTS {
            let completed = accusation.completed;
            let suspect = crash.suspects.entry(accusation.fingerprint).or_insert(accusation);
            suspect.completed |= completed;
        }
        !known
    }

    /// Records that a request completed: no crash counts against it any more, and the requests that
    /// begin like it are judged by their narrow fingerprints.
    pub fn record_completed(&mut self, fingerprints: &Fingerprints) {
        self.narrow(&fingerprints.wide);
        self.absolve(&fingerprints.narrow);
    }

    /// Forgets all crashes that count against a request.
    pub fn absolve(&mut self, fingerprint: &Fingerprint) {
        for crash in self.crashes.values_mut() {
            crash.suspects.swap_remove(fingerprint);
        }
    }

    /// Judges the requests that a wide fingerprint covers by their narrow ones from now on.
    pub fn narrow(&mut self, wide: &Fingerprint) {
        for crash in self.crashes.values_mut() {
            if let Some(suspect) = crash.suspects.swap_remove(wide) {
                let (fingerprint, scope) = (suspect.narrow, Scope::Narrow);
                let suspect = Accusation { fingerprint, scope, ..suspect };
                crash.suspects.entry(fingerprint).or_insert(suspect);
                // The next judgement marks it again if another request explains it.
                crash.explained = false;
            }
        }
    }

    /// Returns the number of processes that ended under a request and are not explained.
    pub fn crashes(&self, fingerprint: &Fingerprint) -> usize {
        self.unexplained().filter(|crash| crash.suspects.contains_key(fingerprint)).count()
    }

    fn unexplained(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values().filter(|crash| !crash.explained)
    }

    /// Returns the requests to quarantine, given those that are held already.
    pub fn judge(&mut self, is_held: impl Fn(&Fingerprint) -> bool, now: Instant) -> Vec<Culprit> {
        self.crashes.retain(|_, crash| now.duration_since(crash.reported_at) < CRASH_TTL);
        for crash in self.crashes.values_mut() {
            crash.explained |= crash.suspects.keys().any(&is_held);
        }
        let mut judged = Vec::new();
        while let Some(culprit) = self.find_culprit(now) {
            let fingerprint = &culprit.accusation.fingerprint;
            for crash in self.crashes.values_mut() {
                crash.explained |= crash.suspects.contains_key(fingerprint);
            }
            judged.push(culprit);
        }
        judged
    }

    /// Returns the request with the highest score among those that explain their crashes better than
    /// each request that shares one of them.
    fn find_culprit(&self, now: Instant) -> Option<Culprit> {
        let needed = self.limits.crashes * FULL_WEIGHT;
        let settled = |crash: &&Crash| now.duration_since(crash.reported_at) >= SETTLE_TIME;
        let crashes: Vec<&Crash> = self.unexplained().filter(settled).collect();
        let scores = scores(&crashes);
        let mut ranked: Vec<(&Fingerprint, &u32)> =
            scores.iter().filter(|(_, score)| needed > 0 && **score >= needed).collect();
        ranked.sort_by_key(|(_, score)| std::cmp::Reverse(**score));
        ranked.into_iter().find_map(|(culprit, score)| {
            let own = crashes.iter().filter(|crash| crash.suspects.contains_key(culprit));
            let mut shared: IndexMap<&Fingerprint, u32> = IndexMap::new();
            for (other, weight) in own.clone().flat_map(|crash| crash.weights()) {
                *shared.entry(other).or_default() += weight;
            }
            shared.swap_remove(culprit);
            let explains = |(other, shared): (&&Fingerprint, &u32)| {
                scores[*other] >= *score || *shared > *score - MIN_LEAD
            };
            let is_only_likely = |crash: &&&Crash| {
                crash.weights().all(|(other, weight)| other == culprit || weight < FULL_WEIGHT)
            };
            let is_ambiguous = own.clone().filter(is_only_likely).count() < MIN_UNAMBIGUOUS;
            if is_ambiguous && *score < needed + FULL_WEIGHT {
                return None;
            }
            if shared.iter().any(explains) {
                return None;
            }
            let accusation = own.clone().next_back()?.suspects.get(culprit)?.clone();
            let first_at = own.clone().next()?.reported_at;
            Some(Culprit { accusation, crashes: own.count() as u32, first_at })
        })
    }
}

/// Returns the score of each request that was at one of these processes, the oldest first.
fn scores(crashes: &[&Crash]) -> IndexMap<Fingerprint, u32> {
    let mut scores = IndexMap::new();
    let mut counted: IndexMap<Fingerprint, Instant> = IndexMap::new();
    for crash in crashes {
        for (fingerprint, weight) in crash.weights() {
            let coincides = counted.get(fingerprint).is_some_and(|at| {
                crash.reported_at.saturating_duration_since(*at) < COINCIDENCE_TIME
            });
            if coincides && crash.suspects[fingerprint].completed {
                continue;
            }
            counted.insert(*fingerprint, crash.reported_at);
            *scores.entry(*fingerprint).or_default() += weight;
        }
    }
    scores
}

#[derive(Clone, Debug)]
struct Hold {
    verdict: Verdict,
    until: Instant,
    /// Attempts that this daemon has refused.
    refused: u64,
}

/// A quarantined request, for operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Fingerprint of the request.
    pub fingerprint: CompactString,
    /// What the fingerprint covers: `wide` or `narrow`.
    pub scope: &'static str,
    /// Service that the request was sent to.
    pub service: ServiceId,
    /// An attempt of the request, to be found in log lines.
    pub request: RequestId,
    /// Number of processes that ended under the request.
    pub crashes: u32,
    /// Attempts that this daemon has refused.
    pub refused: u64,
    /// Time until the quarantine ends, in seconds.
    pub remaining_s: u64,
}

/// Quarantined requests.
#[derive(Clone, Debug, Default)]
pub struct Holds {
    holds: IndexMap<Fingerprint, Hold>,
    /// Recent changes, the oldest first.
    log: Vec<Fingerprint>,
    /// Number of changes before those in `log`.
    discarded: u64,
}

impl Holds {
    /// Returns whether no request is quarantined.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Returns whether a request is quarantined.
    pub fn is_held(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let hold = self.holds.get(fingerprint);
        hold.is_some_and(|hold| hold.verdict.held && now < hold.until)
    }

    /// Returns whether the quarantine of a request was lifted.
    pub fn is_lifted(&self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let hold = self.holds.get(fingerprint);
        hold.is_some_and(|hold| !hold.verdict.held && now < hold.until)
    }

    /// Returns whether a request is to be refused, and counts it if so.
    pub fn refuse(&mut self, fingerprints: &Fingerprints, now: Instant) -> bool {
        let Fingerprints { wide, narrow } = fingerprints;
        let held = [wide, narrow].into_iter().find(|fingerprint| self.is_held(fingerprint, now));
        if let Some(hold) = held.and_then(|fingerprint| self.holds.get_mut(fingerprint)) {
            hold.refused += 1;
        }
        held.is_some()
    }

    /// Quarantines a request; returns `None` if it is quarantined already.
    pub fn hold(&mut self, culprit: &Culprit, limits: &Limits, now: Instant) -> Option<Verdict> {
        let Culprit { accusation, crashes, first_at } = culprit.clone();
        let Accusation { fingerprint, scope, request, service, .. } = accusation;
        if self.is_held(&fingerprint, now) {
            return None;
        }
        let generation = self.holds.get(&fingerprint).map_or(0, |hold| hold.verdict.generation + 1);
        let remaining = Duration::from_millis(limits.hold_ms);
        let verdict = Verdict {
            fingerprint,
            scope,
            generation,
            held: true,
            narrowed: false,
            remaining,
            request,
            service,
            crashes,
            span: now.saturating_duration_since(first_at),
        };
        self.merge(verdict.clone(), now).then_some(verdict)
    }

    /// Lifts the quarantine of a request, for its narrow fingerprints to be judged if it is `narrowed`;
    /// returns `None` if it has none.
    pub fn lift(
        &mut self,
        fingerprint: &Fingerprint,
        narrowed: bool,
        now: Instant,
    ) -> Option<Verdict> {
        if !self.is_held(fingerprint, now) {
            return None;
        }
        let current = &self.holds.get(fingerprint)?.verdict;
        let generation = current.generation + 1;
        let lifted = Verdict { held: false, narrowed, generation, ..current.clone() };
        self.merge(lifted.clone(), now).then_some(lifted)
    }

    /// Merges a verdict of another daemon; returns whether it was news.
    pub fn merge(&mut self, verdict: Verdict, now: Instant) -> bool {
        let fingerprint = verdict.fingerprint;
        let known = self.holds.get(&fingerprint);
        if known.is_some_and(|known| known.verdict.generation >= verdict.generation) {
            return false;
        }
        let refused = known.map_or(0, |known| known.refused);
        let until = now + verdict.remaining;
        self.holds.shift_remove(&fingerprint);
        if self.holds.len() >= MAX_HOLDS {
            self.holds.shift_remove_index(0);
        }
        self.holds.insert(fingerprint, Hold { verdict, until, refused });
        self.log.push(fingerprint);
        if self.log.len() > MAX_LOG {
            self.log.remove(0);
            self.discarded += 1;
        }
        true
    }

    /// Returns the verdicts since `cursor` and advances it; a new cursor, `None`, gets all.
    pub fn next(&self, cursor: &mut Option<u64>, now: Instant) -> Vec<Verdict> {
        let offset = cursor.and_then(|index| index.checked_sub(self.discarded));
        *cursor = Some(self.discarded + self.log.len() as u64);
        let export = |hold: &Hold| {
            let remaining = hold.until.saturating_duration_since(now);
            (!remaining.is_zero()).then(|| Verdict { remaining, ..hold.verdict.clone() })
        };
        match offset {
            Some(offset) => {
                let changed: IndexSet<_> = self.log.iter().skip(offset as usize).collect();
                changed.into_iter().filter_map(|id| export(self.holds.get(id)?)).collect()
            }
            None => self.holds.values().filter_map(export).collect(),
        }
    }

    /// Returns the quarantined requests, for operators.
    pub fn rows(&self, now: Instant) -> Vec<Row> {
        let held = self.holds.values().filter(|hold| hold.verdict.held && now < hold.until);
        held.map(|hold| Row {
            fingerprint: format_compact!("{}", hold.verdict.fingerprint),
            scope: hold.verdict.scope.name(),
            service: hold.verdict.service.clone(),
            request: hold.verdict.request.clone(),
            crashes: hold.verdict.crashes,
            refused: hold.refused,
            remaining_s: hold.until.saturating_duration_since(now).as_secs(),
        })
        .collect()
    }

    /// Drops entries whose time is over.
    pub fn sweep(&mut self, now: Instant) {
        self.holds.retain(|_, hold| now < hold.until);
    }
}
