//! Deals customers' quotas to the coordinators, as one of them and as a grantor.
//!
//! The decisions are those of [`sched::quota`]. A coordinator reports to one grantor for each stripe
//! of customers: the member with the largest CPU share that answers. While no customer has a quota,
//! nothing is sent.

use crate::budgets::Budgets;
use crate::members::{self, Suspects};
use crate::settings::Settings;
use crate::view::View;
use indexmap::{IndexMap, IndexSet};
use peer::gateway::{Command, Member, Response};
use peer::wire::{Reply, Request};
use sched::quota::{
    Answer, Charge, Contact, Denial, Grantor, Group, Holder, REPORT_INTERVAL, Report, Shortage,
    Stock,
};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::{sleep, timeout};

/// Timeout of one report to a grantor.
const REPORT_TIMEOUT: Duration = Duration::from_millis(40);
/// Time for which a request waits for a token; less than the daemon that asks for a booking waits.
const TAKE_TIMEOUT: Duration = Duration::from_millis(45);
/// Time after its last booking for which a daemon counts as the coordinator of a group.
const COORDINATOR_TTL: Duration = Duration::from_secs(2);

/// State for spending and dealing quotas.
pub struct Quotas {
    settings: Arc<Settings>,
    view: Arc<View>,
    budgets: Arc<Budgets>,
    suspects: Suspects,
    stock: Mutex<Stock>,
    grantor: Mutex<Grantor>,
    /// Groups whose endpoints this daemon booked, with the time of the last booking.
    booked: Mutex<IndexMap<Group, Instant>>,
    /// Held while a report is sent, so that there is one at a time.
    contacts: tokio::sync::Mutex<Vec<Contact<Member>>>,
}

/// Counts a request as waiting for a token until dropped.
struct Waiting<'a> {
    quotas: &'a Quotas,
    charge: &'a Charge,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        lock(&self.quotas.stock).set_waiting(self.charge, false, Instant::now());
    }
}

impl Quotas {
    /// Creates the state, with an empty stock.
    pub fn new(settings: Arc<Settings>, view: Arc<View>, budgets: Arc<Budgets>) -> Self {
        let grantor = Mutex::new(Grantor::new(settings.quota_tolerance));
        Self {
            settings,
            view,
            budgets,
            suspects: Suspects::default(),
            stock: Mutex::default(),
            grantor,
            booked: Mutex::default(),
            contacts: tokio::sync::Mutex::default(),
        }
    }

    /// Records that this daemon books endpoints of a group.
    pub fn record_booking(&self, service: &str, dc: &str, now: Instant) {
        lock(&self.booked).insert((service.into(), dc.into()), now);
    }

    /// Spends what a request needs of its customer's quota; asks the grantor if there is none in
    /// stock.
    ///
    /// # Errors
    ///
    /// Returns a [`Denial`] when the quota is spent or no grantor answers.
    pub async fn take(&self, charge: &Charge, request: &str) -> Result<(), Denial> {
        match self.take_from_stock(charge, request) {
            Ok(()) => return Ok(()),
            Err(Shortage::Confirmed(refusal)) => return Err(Denial::OverQuota(refusal)),
            Err(Shortage::Unasked) => {}
        }
        lock(&self.stock).set_waiting(charge, true, Instant::now());
        let _waiting = Waiting { quotas: self, charge };
        let asked = timeout(TAKE_TIMEOUT, self.ask(charge, request)).await;
        asked.unwrap_or(Err(Denial::Unconfirmed))
    }

    fn take_from_stock(&self, charge: &Charge, request: &str) -> Result<(), Shortage> {
        lock(&self.stock).take(charge, request, Instant::now())
    }

    async fn ask(&self, charge: &Charge, request: &str) -> Result<(), Denial> {
        let mut contacts = self.contacts.lock().await;
        // Another request may have asked meanwhile.
        match self.take_from_stock(charge, request) {
            Ok(()) => return Ok(()),
            Err(Shortage::Confirmed(refusal)) => return Err(Denial::OverQuota(refusal)),
            Err(Shortage::Unasked) => {}
        }
        let count = self.stripe_count();
        self.report(&mut contacts, members::stripe(&charge.customer, count), count).await;
        match self.take_from_stock(charge, request) {
            Ok(()) => Ok(()),
            Err(Shortage::Confirmed(refusal)) => Err(Denial::OverQuota(refusal)),
            Err(Shortage::Unasked) => Err(Denial::Unconfirmed),
        }
    }

    /// Returns what a request spent that was not sent or did not run.
    pub fn put_back(&self, charge: &Charge) {
        lock(&self.stock).put_back(charge, Instant::now());
    }

    /// Reports to the grantors at intervals while customers have quotas.
    pub async fn run(self: Arc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let has_quotas = self.view.table().is_some_and(|table| table.customers.has_quotas());
            if !has_quotas || self.own_groups(Instant::now()).is_empty() {
                continue;
            }
            let count = self.stripe_count();
            for stripe in 0..count {
                let mut contacts = self.contacts.lock().await;
                self.report(&mut contacts, stripe, count).await;
            }
        }
    }

    fn stripe_count(&self) -> usize {
        self.view.with_members(|live| members::grantor_count(live.len()))
    }

    /// Reports to the grantor of a stripe and takes over its answer.
    async fn report(&self, contacts: &mut Vec<Contact<Member>>, stripe: usize, count: usize) {
        contacts.resize_with(count.max(contacts.len()), Contact::default);
        let contact = &mut contacts[stripe];
        let now = Instant::now();
        let is_suspect = |member: &Member| self.suspects.contains(&member.vm, now);
        let first = |avoided: Option<&Member>| {
            self.view.with_members(|live| {
                let avoided = avoided.map(|member| member.vm.as_str());
                members::grantor(stripe, live, avoided, &self.suspects, now).cloned()
            })
        };
        let Some(grantor) = contact.choose(is_suspect, first, now) else {
            return;
        };
        let in_stripe = |customer: &str| members::stripe(customer, count) == stripe;
        let demands = lock(&self.stock).report(in_stripe, now);
        let report = Report {
            holder: Holder { vm: self.settings.vm.clone(), incarnation: self.budgets.incarnation },
            groups: self.own_groups(now),
            demands,
        };
        let answer = match grantor.vm == self.settings.vm {
            true => Some(self.serve(&report)),
            false => self.ask_grantor(&grantor, &report).await,
        };
        let Some(Answer { supplies, has_most }) = answer else {
            return;
        };
        if !contact.is_last(&grantor) {
            log::info!(
                target: "quota", grantor = grantor.vm.as_str(), stripe;
                "this coordinator reports to another grantor"
            );
        }
        contact.record_answer(grantor, has_most, Instant::now());
        // One that may not deal says nothing about what the quotas leave.
        if has_most {
            lock(&self.stock).restock(&report.demands, &supplies, now, Instant::now());
        }
    }

    async fn ask_grantor(&self, grantor: &Member, report: &Report) -> Option<Answer> {
        let message = Request::Gateway(Box::new(Command::Quota(report.clone())));
        metrics::counter!("quota_reports_total").increment(1);
        match self.budgets.peers().first_reply(&grantor.addr, &message, REPORT_TIMEOUT).await {
            Some(Reply::Gateway(Response::Quota(answer))) => Some(answer),
            _ => {
                self.suspects.suspect(&grantor.vm, Instant::now());
                metrics::counter!("quota_reports_failed_total").increment(1);
                log::info!(
                    target: "quota", grantor = grantor.vm.as_str();
                    "the grantor did not answer in time; skipping it for a while"
                );
                None
            }
        }
    }

    /// Answers the report of a coordinator as a grantor.
    pub fn serve(&self, report: &Report) -> Answer {
        let (now, groups) = (Instant::now(), self.groups());
        let table = self.view.table();
        let customers = table.as_ref().map(|table| &table.customers);
        let quota = |name: &str| customers?.get(name)?.quota;
        let mut grantor = lock(&self.grantor);
        let had_most = grantor.has_most();
        let answer = grantor.serve(report, &groups, quota, now);
        if grantor.has_most() != had_most {
            log::info!(
                target: "quota", has_most = grantor.has_most(), groups = groups.len();
                "this grantor hears from most coordinators or ceased to"
            );
        }
        answer
    }

    /// Returns the groups of endpoints that have coordinators.
    fn groups(&self) -> Vec<Group> {
        let Some(table) = self.view.table() else {
            return Vec::new();
        };
        let with_members: IndexSet<_> =
            self.view.with_members(|live| live.values().map(|member| member.dc.clone()).collect());
        let services = table.services.keys();
        let groups = services.flat_map(|service| {
            let dcs = self.view.with_fleet(|fleet| fleet.dcs(service));
            dcs.into_iter().map(|dc| (service.clone(), dc))
        });
        groups.filter(|(_, dc)| with_members.contains(dc)).collect()
    }

    /// Returns the groups whose endpoints this daemon books, or would book first.
    fn own_groups(&self, now: Instant) -> Vec<Group> {
        let own = &self.settings.vm;
        let is_first = |group: &Group| {
            self.view.with_members(|live| {
                let line = members::coordinator_line(&group.0, &group.1, live);
                line.first().is_some_and(|member| member.vm == *own)
            })
        };
        let booked = lock(&self.booked);
        let has_booked = |group: &Group| {
            let at = booked.get(group);
            at.is_some_and(|at| now.saturating_duration_since(*at) < COORDINATOR_TTL)
        };
        let own_dc = self.groups().into_iter().filter(|(_, dc)| *dc == self.settings.dc);
        own_dc.filter(|group| has_booked(group) || is_first(group)).collect()
    }

    /// Drops customers without use.
    pub fn sweep(&self, now: Instant) {
        lock(&self.grantor).sweep(now);
        lock(&self.booked).retain(|_, at| now.saturating_duration_since(*at) < COORDINATOR_TTL);
        metrics::gauge!("quota_customers").set(lock(&self.grantor).len() as f64);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
