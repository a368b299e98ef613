//! Review of a configuration before it is sent: what it cannot mean, and what it changes.

use crate::customer::{Customer, Directory, KeyDigest};
use crate::route::{Route, Table};
use indexmap::IndexMap;
use std::fmt;
use std::time::Duration;

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// A difference from the version in force.
    Change,
    /// Something that has no effect, or hardly the intended one.
    Warning,
    /// Something that daemons cannot follow.
    Error,
}

impl Severity {
    /// Returns the name used in output.
    pub fn name(self) -> &'static str {
        match self {
            Self::Change => "change",
            Self::Warning => "warning",
            Self::Error => "error",
        }
    }
}

/// One finding of a review.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How much it matters.
    pub severity: Severity,
    /// What it is about, such as `route r-1`.
    pub subject: String,
    /// What was found, and what would be right.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}: {}", self.severity.name(), self.subject, self.message)
    }
}

/// Findings, in the order of the configuration.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, severity: Severity, subject: impl Into<String>, message: impl Into<String>) {
        let (subject, message) = (subject.into(), message.into());
        self.0.push(Finding { severity, subject, message });
    }
}

/// Returns what is wrong in a configuration by itself.
pub fn review(table: &Table) -> Vec<Finding> {
    let mut findings = Findings::default();
    for routes in table.hosts().values() {
        for (index, route) in routes.iter().enumerate() {
            review_route(table, &routes[..index], route, &mut findings);
        }
    }
    review_services(table, &mut findings);
    review_customers(&table.customers, &mut findings);
    findings.0
}

fn review_route(table: &Table, before: &[Route], route: &Route, findings: &mut Findings) {
    let subject = format!("route {}", route.name);
    if let Some(other) = before.iter().find(|other| other.prefix == route.prefix) {
        findings.add(
            Severity::Warning,
            &subject,
            format!("never matches: route {} has the same host and prefix", other.name),
        );
    }
    if !(route.prefix.starts_with('/') && route.prefix.ends_with('/')) {
        findings.add(
            Severity::Error,
            &subject,
            format!("prefix {} must begin and end with a slash", route.prefix),
        );
    }
    if route.targets.is_empty() {
        findings.add(Severity::Error, &subject, "names no service");
    }
    for target in &route.targets {
        if !table.services.contains_key(&target.service) {
            findings.add(
                Severity::Error,
                &subject,
                format!("names service {}, which does not exist", target.service),
            );
        }
    }
    if !route.targets.is_empty() && route.targets.iter().all(|target| target.weight == 0) {
        findings.add(
            Severity::Warning,
            &subject,
            "all weights are 0, so the first service gets all requests",
        );
    }
    if route.timeout < route.target_latency {
        findings.add(
            Severity::Warning,
            &subject,
            format!(
                "its timeout of {} ms is shorter than its target latency of {} ms",
                route.timeout.as_millis(),
                route.target_latency.as_millis()
            ),
        );
    }
    if route.max_attempts > 1 && !route.kind.idempotent() {
        findings.add(
            Severity::Warning,
            &subject,
            "more than one attempt has no effect on requests that may run once",
        );
    }
    if route.timeout == Duration::ZERO {
        findings.add(Severity::Error, &subject, "its timeout is 0, so no request is served");
    }
    if route.public && table.customers.is_enforced() {
        findings.add(Severity::Warning, &subject, "is public: requests need no API key");
    }
}

fn review_services(table: &Table, findings: &mut Findings) {
    let routes = || table.hosts().values().flatten();
    for service in table.services.values() {
        let subject = format!("service {}", service.name);
        let is_named =
            routes().any(|route| route.targets.iter().any(|target| target.service == service.name));
        if !is_named {
            findings.add(Severity::Warning, &subject, "no route names it");
        }
        if service.engine.is_some_and(|engine| engine.slots == 0) {
            findings.add(Severity::Error, &subject, "its engines have no slots");
        }
        if service.max_connections == 0 {
            findings.add(Severity::Warning, &subject, "names no maximum number of connections");
        }
    }
    if table.limits.max_body_bytes == 0 {
        findings.add(Severity::Error, "limits", "no request may have a body");
    }
    if table.limits.idle_timeout < table.limits.head_timeout {
        findings.add(
            Severity::Warning,
            "limits",
            "idle connections are closed before a head may take its time",
        );
    }
}

fn review_customers(customers: &Directory, findings: &mut Findings) {
    for (customer, keys) in customers.iter().zip(customers.keys()) {
        let subject = format!("customer {}", customer.name);
        if keys.is_empty() {
            findings.add(Severity::Warning, &subject, "holds no key of its own");
        }
        if customer.name.chars().any(|letter| !letter.is_ascii_graphic()) {
            findings.add(Severity::Error, &subject, "its name cannot be sent in a header");
        }
        if let Some(quota) = customer.quota
            && quota.burst < quota.rate.min(1.0)
        {
            findings.add(
                Severity::Warning,
                &subject,
                format!("a burst of {} lets no request begin", quota.burst),
            );
        }
    }
}

/// Returns what a configuration changes against the one in force.
pub fn compare(next: &Table, in_force: &Table) -> Vec<Finding> {
    let mut findings = Findings::default();
    if next.version <= in_force.version {
        findings.add(
            Severity::Error,
            "version",
            format!("{} is not newer than {}", next.version, in_force.version),
        );
    }
    let (old, new) = (by_place(in_force), by_place(next));
    for (place, route) in &new {
        match old.get(place) {
            None => findings.add(Severity::Change, format!("route {}", route.name), "is added"),
            Some(former) if former != route => {
                let message = describe_change(former, route);
                findings.add(Severity::Change, format!("route {}", route.name), message);
            }
            Some(_) => {}
        }
    }
    for (place, route) in &old {
        if !new.contains_key(place) {
            findings.add(
                Severity::Change,
                format!("route {}", route.name),
                "is dropped; its requests get 404",
            );
        }
    }
    for (name, service) in &next.services {
        if in_force.services.get(name).is_some_and(|former| former != service) {
            findings.add(Severity::Change, format!("service {name}"), "has other limits");
        }
    }
    if next.limits != in_force.limits {
        findings.add(Severity::Change, "limits", "apply to new connections");
    }
    compare_customers(&next.customers, &in_force.customers, &mut findings);
    findings.0
}

fn by_place(table: &Table) -> IndexMap<(&str, &str), &Route> {
    let routes = table.hosts().values().flatten();
    routes.map(|route| ((route.host.as_str(), route.prefix.as_str()), route)).collect()
}

fn describe_change(former: &Route, route: &Route) -> String {
    let services = |route: &Route| {
        let targets = route.targets.iter();
        let names: Vec<String> =
            targets.map(|target| format!("{} ({})", target.service, target.weight)).collect();
        names.join(", ")
    };
    match former.targets == route.targets {
        true => "has other limits; requests in progress keep theirs".to_owned(),
        false => format!("moves from {} to {}", services(former), services(route)),
    }
}

fn compare_customers(next: &Directory, in_force: &Directory, findings: &mut Findings) {
    if next.is_enforced() != in_force.is_enforced() {
        let message = match next.is_enforced() {
            true => "requests need an API key from now on",
            false => "requests need no API key any more",
        };
        findings.add(Severity::Change, "customers", message);
    }
    let rate = |customer: &Customer| customer.quota.map(|quota| (quota.rate, quota.burst));
    let former_keys: IndexMap<&str, Vec<&KeyDigest>> =
        in_force.iter().map(|customer| customer.name.as_str()).zip(in_force.keys()).collect();
    for (customer, keys) in next.iter().zip(next.keys()) {
        let subject = format!("customer {}", customer.name);
        let Some(former) = in_force.get(&customer.name) else {
            findings.add(Severity::Change, subject, "is added");
            continue;
        };
        let added = keys.into_iter().filter(|key| in_force.find(key) != Some(former));
        let former_keys = former_keys.get(customer.name.as_str()).into_iter().flatten();
        let removed = former_keys.filter(|key| next.find(key).is_none());
        for (count, what) in [
            (added.count(), "added"),
            (removed.count(), "taken away; requests with them get 401, those that run go on"),
        ] {
            if count > 0 {
                findings.add(Severity::Change, &subject, format!("{count} keys are {what}"));
            }
        }
        if rate(former) != rate(customer) {
            let text = |quota: Option<(f64, f64)>| {
                quota.map_or("no quota".to_owned(), |(rate, burst)| format!("{rate}/s + {burst}"))
            };
            let message = format!("goes from {} to {}", text(rate(former)), text(rate(customer)));
            findings.add(Severity::Change, &subject, message);
        }
    }
    for former in in_force.iter().filter(|former| next.get(&former.name).is_none()) {
        let subject = format!("customer {}", former.name);
        findings.add(Severity::Change, subject, "is dropped; its requests get 401");
    }
}
