//! Parser of commands.

use compact_str::CompactString;
use pest::Parser;
use pest::iterators::Pair;
use serde_json::Value;

mod parser {
    //! Generated from `grammar.pest`.
    #![allow(missing_docs)]

    /// Parser of the grammar.
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}

use parser::{Grammar, Rule};

/// A command that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {expected}\n{snippet}")]
pub struct Error {
    /// Column at fault, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
    /// The command with a mark under the column.
    pub snippet: String,
}

/// What a `show` command lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableName {
    /// Programs of all daemons.
    Programs,
    /// Programs that have a call under way.
    Calls,
    /// Endpoints, with what each daemon sees.
    Endpoints,
    /// Pools.
    Pools,
    /// Teams.
    Teams,
    /// Budget accounts, with what is granted.
    Budgets,
    /// Daemons.
    Daemons,
    /// Configuration changes.
    Audit,
}

/// How a condition compares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// Equal.
    Equal,
    /// Not equal.
    NotEqual,
    /// Less.
    Less,
    /// Less or equal.
    LessOrEqual,
    /// Greater.
    Greater,
    /// Greater or equal.
    GreaterOrEqual,
    /// Contains the text.
    Contains,
}

/// One condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Column.
    pub column: CompactString,
    /// How it compares.
    pub comparison: Comparison,
    /// With what.
    pub value: Value,
}

/// Kind of a configured object.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Object {
    /// A customer.
    Team,
    /// A budget account.
    Budget,
    /// A pool of endpoints.
    Pool,
    /// An endpoint.
    Endpoint,
}

/// A key and its new value.
pub type Assignment = (CompactString, Value);

/// What a command asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Lists rows.
    Show {
        /// What is listed.
        table: TableName,
        /// Conditions that all hold.
        filter: Vec<Condition>,
        /// Most rows.
        limit: Option<usize>,
    },
    /// Tells why a program waits.
    Explain(CompactString),
    /// Creates an object.
    Create(Object, CompactString, Vec<Assignment>),
    /// Changes an object.
    Set(Object, CompactString, Vec<Assignment>),
    /// Drops an object.
    Drop(Object, CompactString),
    /// Takes an endpoint out of service, or back in.
    Drain(CompactString, bool),
    /// Cancels a program.
    Cancel(CompactString),
    /// Changes a program's priority.
    Prioritise(CompactString, i8),
}

/// A parsed command.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// What it asks for.
    pub verb: Verb,
    /// The operator's reason.
    pub reason: Option<String>,
    /// Configuration version that the command was written for.
    pub expected_version: Option<u64>,
    /// Whether it only tells what it would do.
    pub dry_run: bool,
}

/// Parses one command.
///
/// # Errors
///
/// Returns an [`Error`] that points at the column and says what was expected.
pub fn parse(text: &str) -> Result<Command, Error> {
    let mut pairs = Grammar::parse(Rule::command, text).map_err(|error| describe(error, text))?;
    let command = pairs.next().ok_or_else(|| fault(text, 1, "a command"))?;
    let mut parsed = Command {
        verb: Verb::Explain(CompactString::default()),
        reason: None,
        expected_version: None,
        dry_run: false,
    };
    for pair in command.into_inner() {
        match pair.as_rule() {
            Rule::option => take_option(&mut parsed, pair, text)?,
            Rule::EOI => {}
            _ => parsed.verb = verb(pair, text)?,
        }
    }
    Ok(parsed)
}

fn take_option(command: &mut Command, pair: Pair<'_, Rule>, text: &str) -> Result<(), Error> {
    for option in pair.into_inner() {
        match option.as_rule() {
            Rule::because => command.reason = first(option).map(|pair| unquote(pair.as_str())),
            Rule::expected => {
                command.expected_version =
                    first(option).map(|pair| number(&pair, text)).transpose()?;
            }
            _ => command.dry_run = true,
        }
    }
    Ok(())
}

fn verb(pair: Pair<'_, Rule>, text: &str) -> Result<Verb, Error> {
    let rule = pair.as_rule();
    let parts: Vec<Pair<'_, Rule>> = pair.into_inner().collect();
    let name = |index: usize| parts.get(index).map(|p| p.as_str().into()).unwrap_or_default();
    match rule {
        Rule::show => show(parts, text),
        Rule::explain => Ok(Verb::Explain(name(0))),
        Rule::create => Ok(Verb::Create(object(&parts[0]), name(1), assignments(&parts, text)?)),
        Rule::set => Ok(Verb::Set(object(&parts[0]), name(1), assignments(&parts, text)?)),
        Rule::remove => Ok(Verb::Drop(object(&parts[0]), name(1))),
        Rule::drain => Ok(Verb::Drain(name(0), true)),
        Rule::undrain => Ok(Verb::Drain(name(0), false)),
        Rule::cancel => Ok(Verb::Cancel(name(0))),
        Rule::prioritise => {
            let priority = number(&parts[1], text)?;
            Ok(Verb::Prioritise(name(0), priority))
        }
        _ => Err(fault(text, 1, "a command")),
    }
}

fn show(parts: Vec<Pair<'_, Rule>>, text: &str) -> Result<Verb, Error> {
    let mut shown = TableName::Programs;
    let mut filter = Vec::new();
    let mut limit = None;
    for part in parts {
        match part.as_rule() {
            Rule::table => shown = table(&part),
            Rule::filter => {
                let conditions = part.into_inner().map(|pair| condition(pair, text));
                filter = conditions.collect::<Result<_, Error>>()?;
            }
            _ => limit = first(part).map(|pair| number(&pair, text)).transpose()?,
        }
    }
    Ok(Verb::Show { table: shown, filter, limit })
}

fn table(pair: &Pair<'_, Rule>) -> TableName {
    match pair.as_str().to_ascii_lowercase().as_str() {
        "calls" => TableName::Calls,
        "endpoints" => TableName::Endpoints,
        "pools" => TableName::Pools,
        "teams" => TableName::Teams,
        "budgets" => TableName::Budgets,
        "daemons" => TableName::Daemons,
        "audit" => TableName::Audit,
        _ => TableName::Programs,
    }
}

fn object(pair: &Pair<'_, Rule>) -> Object {
    match pair.as_str().to_ascii_lowercase().as_str() {
        "budget" => Object::Budget,
        "pool" => Object::Pool,
        "endpoint" => Object::Endpoint,
        _ => Object::Team,
    }
}

fn condition(pair: Pair<'_, Rule>, text: &str) -> Result<Condition, Error> {
    let parts: Vec<Pair<'_, Rule>> = pair.into_inner().collect();
    let comparison = match parts[1].as_str() {
        "=" => Comparison::Equal,
        "!=" => Comparison::NotEqual,
        "<" => Comparison::Less,
        "<=" => Comparison::LessOrEqual,
        ">" => Comparison::Greater,
        ">=" => Comparison::GreaterOrEqual,
        _ => Comparison::Contains,
    };
    let value = value(parts[2].clone(), text)?;
    Ok(Condition { column: parts[0].as_str().into(), comparison, value })
}

fn assignments(parts: &[Pair<'_, Rule>], text: &str) -> Result<Vec<Assignment>, Error> {
    let pairs = parts.iter().filter(|pair| pair.as_rule() == Rule::assignment);
    pairs.map(|pair| assignment(pair.clone(), text)).collect()
}

fn assignment(pair: Pair<'_, Rule>, text: &str) -> Result<Assignment, Error> {
    let parts: Vec<Pair<'_, Rule>> = pair.into_inner().collect();
    Ok((parts[0].as_str().into(), value(parts[1].clone(), text)?))
}

fn value(pair: Pair<'_, Rule>, text: &str) -> Result<Value, Error> {
    let Some(inner) = first(pair) else {
        return Ok(Value::Null);
    };
    match inner.as_rule() {
        Rule::number => Ok(Value::from(number::<i64>(&inner, text)?)),
        Rule::boolean => Ok(Value::from(inner.as_str().eq_ignore_ascii_case("true"))),
        Rule::text => Ok(Value::from(unquote(inner.as_str()))),
        _ => Ok(Value::from(inner.as_str())),
    }
}

fn first(pair: Pair<'_, Rule>) -> Option<Pair<'_, Rule>> {
    pair.into_inner().next()
}

fn number<T: std::str::FromStr>(pair: &Pair<'_, Rule>, text: &str) -> Result<T, Error> {
    let column = pair.as_span().start() + 1;
    pair.as_str().parse().map_err(|_| fault(text, column, "a number in range"))
}

fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

fn fault(text: &str, column: usize, expected: &str) -> Error {
    let snippet = format!("  {text}\n  {}^", " ".repeat(column.saturating_sub(1)));
    Error { column, expected: format!("expected {expected}"), snippet }
}

fn describe(error: pest::error::Error<Rule>, text: &str) -> Error {
    let column = match error.line_col {
        pest::error::LineColLocation::Pos((_, column)) => column,
        pest::error::LineColLocation::Span((_, column), _) => column,
    };
    let mut expected: Vec<&str> = match &error.variant {
        pest::error::ErrorVariant::ParsingError { positives, .. } => {
            positives.iter().map(|rule| rule_name(*rule)).collect()
        }
        pest::error::ErrorVariant::CustomError { .. } => Vec::new(),
    };
    expected.dedup();
    if expected.is_empty() {
        expected.push("a command");
    }
    fault(text, column, &expected.join(", or "))
}

fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::show => "'show'",
        Rule::explain => "'explain program'",
        Rule::create => "'create'",
        Rule::set => "'set'",
        Rule::remove => "'drop'",
        Rule::drain => "'drain endpoint'",
        Rule::undrain => "'undrain endpoint'",
        Rule::cancel => "'cancel program'",
        Rule::prioritise => "'prioritise program'",
        Rule::table => "one of programs, calls, endpoints, pools, teams, budgets, daemons, audit",
        Rule::object => "one of team, budget, pool, endpoint",
        Rule::filter => "'where'",
        Rule::condition | Rule::field => "a column's name",
        Rule::comparison => "one of = != < <= > >= ~",
        Rule::limit => "'limit'",
        Rule::assignment => "key=value",
        Rule::option => "'because', 'if version' or 'dry run'",
        Rule::because => "'because'",
        Rule::expected => "'if version'",
        Rule::dry_run => "'dry run'",
        Rule::value => "a value",
        Rule::text => "a text in double quotes",
        Rule::number => "a number",
        Rule::boolean => "true or false",
        Rule::name => "a name",
        Rule::EOI => "the end of the command",
        Rule::command | Rule::WHITESPACE | Rule::COMMENT | Rule::keyword => "a command",
    }
}
