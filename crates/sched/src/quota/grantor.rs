//! Deals the quotas of customers to coordinators.
//!
//! Each customer has a token bucket that gains its rate, and holds at most its burst together with
//! what is in stock at the coordinators. What was dealt and not used comes back with the next report
//! of the coordinator; what a lost coordinator held does not.

use super::programs::Programs;
use super::{
    ATTACHMENT_TTL, Amount, Answer, Counts, Decayed, Demand, Group, Holder, Report, STOCK_TTL,
    Supply, Tolerance, WINDOW,
};
use crate::customer::Quota;
use crate::id::CustomerId;
use indexmap::IndexMap;
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// Additional time after which a grantor takes the stock of a silent coordinator for used.
const STOCK_MARGIN: Duration = Duration::from_millis(500);
/// Time without a report after which a grantor forgets the counts of a coordinator; shorter than
/// coordinators keep them.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Number of requests of a program that is assumed before programs were seen.
const DEFAULT_PROGRAM_REQUESTS: f64 = 8.0;
/// Half-life of the requests that a begun program has yet to make, since some programs end early.
const COMMITMENT_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time within which begun programs make the requests that they have yet to make.
const COMMITMENT_HORIZON: Duration = Duration::from_millis(1_500);
/// Number of times that the first turn of a program is refused before its client gives up.
const REFUSALS_PER_PROGRAM: f64 = 4.0;
/// Half-life of a request in the estimate of what a customer asks for.
const ASKED_HALF_LIFE: Duration = Duration::from_secs(2);

/// What a grantor knows of one coordinator's part of a quota.
#[derive(Clone, Debug)]
struct Position {
    counts: Counts,
    held: Amount,
    wanted: Amount,
    heard_at: Instant,
}

/// State of one customer's quota.
#[derive(Clone, Debug)]
struct Account {
    /// Tokens that may be dealt, as of `updated`.
    tokens: f64,
    updated: Instant,
    positions: IndexMap<Holder, Position>,
    /// Requests that begun programs are expected to make.
    committed: Decayed,
    /// Requests that the customer asks for, also refused ones.
    asked: Decayed,
    /// Quota at the last report.
    quota: Quota,
    programs: Programs,
}

impl Account {
    /// Creates the account of a grantor that spends its limits since `began_at`.
    fn new(quota: Quota, began_at: Instant, now: Instant) -> Self {
        Self {
            tokens: 0.0,
            updated: began_at,
            positions: IndexMap::new(),
            committed: Decayed::new(COMMITMENT_HALF_LIFE, now),
            asked: Decayed::new(ASKED_HALF_LIFE, now),
            quota,
            programs: Programs::new(now),
        }
    }

    /// Returns the sum of what `select` returns for each coordinator.
    fn total(&self, select: impl Fn(&Position) -> u32) -> f64 {
        self.positions.values().map(|position| f64::from(select(position))).sum()
    }

    /// Returns what coordinators want beyond what they hold.
    fn shortage(&self, select: impl Fn(Amount) -> u32) -> f64 {
        self.total(|position| select(position.wanted.saturating_sub(position.held)))
    }

    fn outstanding(&self) -> f64 {
        self.total(|position| position.held.tokens)
    }

    /// Gains what is due, up to `burst` together with the stocks of the coordinators.
    fn gain(&mut self, rate: f64, burst: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let room = (burst - self.outstanding()).max(0.0);
        self.tokens = (self.tokens + elapsed * rate).min(room);
        self.updated = now;
    }

    /// Takes the stock of coordinators that fell silent for used.
    fn expire(&mut self, now: Instant) {
        for position in self.positions.values_mut() {
            if now.saturating_duration_since(position.heard_at) >= STOCK_TTL + STOCK_MARGIN {
                position.held = Amount::default();
                position.wanted = Amount::default();
            }
        }
        self.positions
            .retain(|_, position| now.saturating_duration_since(position.heard_at) < FORGET_AFTER);
    }

    /// Takes in what a coordinator reports; `overall` covers the programs of all customers.
    fn record(
        &mut self,
        tolerance: f64,
        holder: &Holder,
        demand: &Demand,
        overall: &mut Programs,
        now: Instant,
    ) {
        let Demand { counts, held, wanted, .. } = demand;
        // A coordinator that is new to this grantor got its stock from another one.
        let previous = self.positions.get(holder);
        let (previous, dealt) =
            previous.map_or((*counts, *held), |position| (position.counts, position.held));
        let difference = |now: u64, then: u64| now as f64 - then as f64;
        let used = difference(counts.used, previous.used);
        let begun = difference(counts.begun, previous.begun);
        let denied = difference(counts.denied, previous.denied);
        let asked = used + denied;
        self.tokens += (f64::from(dealt.tokens) - used - f64::from(held.tokens)).max(0.0);
        // Programs that break for want of tokens would seem short.
        if denied == 0.0 || !self.asks_too_much(tolerance, now) {
            self.programs.record(begun, asked, now);
            overall.record(begun, asked, now);
        }
        let returned = (f64::from(dealt.begins) - begun - f64::from(held.begins)).max(0.0);
        let program = self.program_requests(overall, now);
        let refused = difference(counts.refused, previous.refused);
        self.asked.add((asked + refused * program / REFUSALS_PER_PROGRAM).max(0.0), now);
        let done = used + returned * program;
        self.committed.add(-done.min(self.committed.at(now)), now);
        let position = Position { counts: *counts, held: *held, wanted: *wanted, heard_at: now };
        self.positions.insert(holder.clone(), position);
    }

    /// Returns whether the customer asks for more than its quota.
    fn asks_too_much(&self, tolerance: f64, now: Instant) -> bool {
        let Quota { rate, burst } = self.quota;
        self.asked.rate(now) > rate + (burst + tolerance) / WINDOW.as_secs_f64()
    }

    /// Returns the number of requests of a program.
    fn program_requests(&self, overall: &Programs, now: Instant) -> f64 {
        self.programs.requests(overall.requests(DEFAULT_PROGRAM_REQUESTS, now), now)
    }

    /// Deals tokens and permits to a coordinator that has just reported; `program` is the number of
    /// requests of a program.
    fn deal(
        &mut self,
        quota: Quota,
        tolerance: f64,
        holder: &Holder,
        demand: &Demand,
        program: f64,
        now: Instant,
    ) -> Supply {
        self.gain(quota.rate, quota.burst + tolerance, now);
        let shortage = self.shortage(|amount| amount.tokens);
        let wanted = demand.wanted.saturating_sub(demand.held);
        let needed = demand.needed.saturating_sub(demand.held);
        // Permits are dealt first, as tokens that are dealt to others are no room for programs.
        let begins = self.deal_begins(quota, tolerance, program, wanted.begins, needed.begins, now);
        let tokens = share_of(self.tokens, wanted.tokens, needed.tokens, shortage);
        self.tokens -= f64::from(tokens);
        let held =
            Amount { tokens: demand.held.tokens + tokens, begins: demand.held.begins + begins };
        if let Some(position) = self.positions.get_mut(holder) {
            position.held = held;
        }
        let delay = |unmet: f64, rate: f64| {
            Duration::try_from_secs_f64(unmet / rate.max(f64::MIN_POSITIVE)).unwrap_or(WINDOW)
        };
        let token_delay = delay(self.shortage(|amount| amount.tokens), quota.rate);
        let begin_delay = delay(self.shortage(|amount| amount.begins), quota.rate / program);
        Supply { customer: demand.customer.clone(), held, token_delay, begin_delay }
    }

    /// Deals permits for first turns: as many as are wanted while the customer asks for no more than
    /// its quota, else as many as the quota carries programs to their end beside those that have
    /// begun.
    fn deal_begins(
        &mut self,
        quota: Quota,
        tolerance: f64,
        program: f64,
        wanted: u32,
        needed: u32,
        now: Instant,
    ) -> u32 {
        if !self.asks_too_much(tolerance, now) {
            self.committed.add(f64::from(wanted) * program, now);
            return wanted;
        }
        let unused = self.tokens + self.outstanding() - tolerance;
        let committed = self.committed.at(now);
        let gained = quota.rate * COMMITMENT_HORIZON.as_secs_f64();
        let mut carried = ((unused + gained - committed) / program).floor().max(0.0);
        // A small quota carries a program only because that takes a while.
        if committed < program / 2.0 && unused >= quota.burst.min(program) / 2.0 {
            carried = carried.max(1.0);
        }
        let shortage = self.shortage(|amount| amount.begins);
        let begins = share_of(carried, wanted, needed, shortage);
        self.committed.add(f64::from(begins) * program, now);
        begins
    }
}

/// Returns the part of what is `left` for a coordinator that wants `wanted`, of a `shortage` of all;
/// what requests wait for goes first.
fn share_of(left: f64, wanted: u32, needed: u32, shortage: f64) -> u32 {
    let share = match shortage > left {
        true => left * f64::from(wanted) / shortage,
        false => left,
    };
    wanted.min(share.max(f64::from(needed).min(left)).max(0.0) as u32)
}

/// Deals the quotas of customers to coordinators.
#[derive(Clone, Debug, Default)]
pub struct Grantor {
    accounts: IndexMap<CustomerId, Account>,
    /// When a report named each group.
    heard: IndexMap<Group, Instant>,
    /// Since when the grantor hears from most groups; `None` if it doesn't, so that it may not deal.
    most_since: Option<Instant>,
    /// Programs of all customers.
    programs: Option<Programs>,
    tolerance: Tolerance,
}

impl Grantor {
    /// Creates a grantor that knows of no use.
    pub fn new(tolerance: Tolerance) -> Self {
        Self { tolerance, ..Self::default() }
    }

    /// Answers a report.
    ///
    /// `groups` are the groups of endpoints that have coordinators, and `quota` returns the quota
    /// of a customer, if it has one.
    pub fn serve(
        &mut self,
        report: &Report,
        groups: &[Group],
        quota: impl Fn(&str) -> Option<Quota>,
        now: Instant,
    ) -> Answer {
        self.record_groups(&report.groups, groups, now);
        let overall = self.programs.get_or_insert_with(|| Programs::new(now));
        let (accounts, tolerance) = (&mut self.accounts, self.tolerance);
        let most_since = self.most_since;
        let supplies = report.demands.iter().map(|demand| {
            let Some(quota) = quota(&demand.customer) else {
                accounts.swap_remove(&demand.customer);
                return Supply {
                    customer: demand.customer.clone(),
                    held: demand.wanted.max(demand.held),
                    token_delay: Duration::ZERO,
                    begin_delay: Duration::ZERO,
                };
            };
            let limit = quota.rate * WINDOW.as_secs_f64() + quota.burst;
            let account = accounts.entry(demand.customer.clone());
            let account =
                account.or_insert_with(|| Account::new(quota, most_since.unwrap_or(now), now));
            if account.quota != quota {
                // What was asked for under the former quota, again and again, says little about this
                // one.
                account.asked = Decayed::new(ASKED_HALF_LIFE, now);
                account.quota = quota;
            }
            account.expire(now);
            account.record(tolerance.for_begun(limit), &report.holder, demand, overall, now);
            let Some(began_at) = most_since else {
                let (held, token_delay, begin_delay) =
                    (demand.held, ATTACHMENT_TTL, ATTACHMENT_TTL);
                let customer = demand.customer.clone();
                return Supply { customer, held, token_delay, begin_delay };
            };
            if account.updated <= began_at {
                account.tokens = tolerance.at_start(limit);
                account.updated = began_at;
            }
            let program = account.program_requests(overall, now);
            let tolerance = tolerance.for_begun(limit);
            account.deal(quota, tolerance, &report.holder, demand, program, now)
        });
        Answer { supplies: supplies.collect(), has_most: most_since.is_some() }
    }

    /// Records the groups that a report names, and since when the grantor hears from most.
    fn record_groups(&mut self, reported: &[Group], groups: &[Group], now: Instant) {
        if !self.hears_most(groups, now) {
            self.most_since = None;
        }
        for group in reported {
            self.heard.insert(group.clone(), now);
        }
        if self.most_since.is_none() && self.hears_most(groups, now) {
            self.most_since = Some(now);
        }
    }

    /// Returns whether most groups reported recently; a half counts as most if it has the first
    /// group.
    fn hears_most(&self, groups: &[Group], now: Instant) -> bool {
        let is_recent = |group: &Group| {
            let at = self.heard.get(group);
            at.is_some_and(|at| now.saturating_duration_since(*at) < ATTACHMENT_TTL)
        };
        let heard = groups.iter().filter(|group| is_recent(group)).count();
        match (heard * 2).cmp(&groups.len()) {
            Ordering::Greater => true,
            Ordering::Equal => groups.iter().min().is_some_and(is_recent),
            Ordering::Less => false,
        }
    }

    /// Returns whether this grantor heard from most groups at its last report.
    pub fn has_most(&self) -> bool {
        self.most_since.is_some()
    }

    /// Drops customers without use and groups that are gone.
    pub fn sweep(&mut self, now: Instant) {
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        self.accounts.retain(|_, account| !account.positions.is_empty());
        self.heard.retain(|_, at| now.saturating_duration_since(*at) < FORGET_AFTER);
    }

    /// Returns the number of customers with recent use.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether no customer was active recently.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
