//! Checks a configuration of gateways before it is sent, without a daemon.

use anyhow::{Context, Result};
use platform::config::{self, Decoded};
use sched::review::{self, Finding, Severity};
use serde_json::json;
use std::path::Path;

/// Prints what is wrong in the configuration in `file`, and what it changes against the one in
/// `against`; returns the severity of the worst finding.
///
/// # Errors
///
/// Returns an error when a file cannot be read or is no configuration.
pub fn run(file: &Path, against: Option<&Path>, json: bool) -> Result<Option<Severity>> {
    let findings = check(file, against)?;
    let worst = findings.iter().map(|finding| finding.severity).max();
    if json {
        let list: Vec<_> = findings
            .iter()
            .map(|Finding { severity, subject, message }| {
                json!({ "severity": severity.name(), "subject": subject, "message": message })
            })
            .collect();
        println!("{}", json!(list));
        return Ok(worst);
    }
    findings.iter().for_each(|finding| println!("{finding}"));
    let count = |severity| findings.iter().filter(|found| found.severity == severity).count();
    println!(
        "{} errors, {} warnings, {} changes",
        count(Severity::Error),
        count(Severity::Warning),
        count(Severity::Change)
    );
    Ok(worst)
}

/// Returns the findings, the worst first.
///
/// # Errors
///
/// Returns an error when a file cannot be read or is no configuration.
pub fn check(file: &Path, against: Option<&Path>) -> Result<Vec<Finding>> {
    let Decoded { table, odd } = read(file)?;
    let mut findings = review::review(&table);
    findings.extend(odd.into_iter().map(|message| Finding {
        severity: Severity::Error,
        subject: "customers".to_owned(),
        message,
    }));
    if let Some(against) = against {
        findings.extend(review::compare(&table, &read(against)?.table));
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.severity));
    Ok(findings)
}

fn read(file: &Path) -> Result<Decoded> {
    let path = file.display();
    let value = std::fs::read(file).with_context(|| format!("failed to read {path}"))?;
    config::inspect(&value).with_context(|| format!("{path} is no configuration"))
}
