//! Parser of the operators' command language.

use compact_str::CompactString;
use pest::Parser;
use pest::iterators::Pair;
use serde_json::Value;

mod parser {
    //! Parser generated from `grammar.pest`.
    #![allow(missing_docs)]

    /// Generated parser.
    #[derive(pest_derive::Parser)]
    #[grammar = "grammar.pest"]
    pub struct Grammar;
}

use parser::{Grammar, Rule};

/// A syntax error in a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("column {column}: {expected}\n{snippet}")]
pub struct Error {
    /// Column of the error, starting at 1.
    pub column: usize,
    /// What the parser expected at the column.
    pub expected: String,
    /// The command, and a line below it with a caret under the column.
    pub snippet: String,
}

/// Table that a `show` command lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableName {
    /// Programs of all daemons.
    Programs,
    /// Programs with a call in progress.
    Calls,
    /// Endpoints, with their state as seen by the daemons.
    Endpoints,
    /// Pools.
    Pools,
    /// Teams.
    Teams,
    /// Budget accounts, with the tokens granted to logs.
    Budgets,
    /// Daemons.
    Daemons,
    /// Configuration changes and operations on programs, newest first.
    Audit,
}

/// Comparison operator of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`: the values are equal.
    Equal,
    /// `!=`: the values are not equal.
    NotEqual,
    /// `<`: the column is less than the value.
    Less,
    /// `<=`: the column is less than or equal to the value.
    LessOrEqual,
    /// `>`: the column is greater than the value.
    Greater,
    /// `>=`: the column is greater than or equal to the value.
    GreaterOrEqual,
    /// `~`: the text of the column contains the text of the value.
    Contains,
}

/// Condition on one column of a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// Name of the column.
    pub column: CompactString,
    /// How the column is compared with the value.
    pub comparison: Comparison,
    /// Value that the column is compared with.
    pub value: Value,
}

/// Kind of configured object.
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

/// Key of an object and the new value for it.
pub type Assignment = (CompactString, Value);

/// Operation that a command requests, with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Lists the rows of a table.
    Show {
        /// Table to list.
        table: TableName,
        /// Conditions; a listed row satisfies all of them.
        filter: Vec<Condition>,
        /// Maximum number of rows.
        limit: Option<usize>,
    },
    /// Explains what a program is waiting for.
    Explain(CompactString),
    /// Creates an object with the given name and values.
    Create(Object, CompactString, Vec<Assignment>),
    /// Changes the given values of an object.
    Set(Object, CompactString, Vec<Assignment>),
    /// Removes an object.
    Drop(Object, CompactString),
    /// Takes an endpoint out of service (`true`) or puts it back (`false`).
    Drain(CompactString, bool),
    /// Cancels a program.
    Cancel(CompactString),
    /// Sets the priority of a program.
    Prioritise(CompactString, i8),
}

/// Parsed command.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Requested operation.
    pub verb: Verb,
    /// Reason given with `because`, for the audit trail.
    pub reason: Option<String>,
    /// Configuration version given with `if version`, which must be in force for a change.
    pub expected_version: Option<u64>,
    /// Whether the command only reports its effect, as requested with `dry run`.
    pub dry_run: bool,
}

/// Parses one command.
///
/// # Errors
///
/// Returns an [`Error`] with the column and what was expected there.
pub fn parse(text: &str) -> Result<Command, Error> {
    let mut pairs =
        Grammar::parse(Rule::command, text).map_err(|error| convert_error(error, text))?;
    let command = pairs.next().ok_or_else(|| syntax_error(text, 1, "a command"))?;
    let mut parsed = Command {
        verb: Verb::Explain(CompactString::default()),
        reason: None,
        expected_version: None,
        dry_run: false,
    };
    for pair in command.into_inner() {
        match pair.as_rule() {
            Rule::option => parse_option(&mut parsed, pair, text)?,
            Rule::EOI => {}
            _ => parsed.verb = parse_verb(pair, text)?,
        }
    }
    Ok(parsed)
}

fn parse_option(command: &mut Command, pair: Pair<'_, Rule>, text: &str) -> Result<(), Error> {
    for option in pair.into_inner() {
        match option.as_rule() {
            Rule::because => {
                command.reason = first_child(option).map(|pair| unquote(pair.as_str()))
            }
            Rule::if_version => {
                command.expected_version =
                    first_child(option).map(|pair| parse_number(&pair, text)).transpose()?;
            }
            _ => command.dry_run = true,
        }
    }
    Ok(())
}

fn parse_verb(pair: Pair<'_, Rule>, text: &str) -> Result<Verb, Error> {
    let rule = pair.as_rule();
    let parts: Vec<Pair<'_, Rule>> = pair.into_inner().collect();
    let name = |index: usize| parts.get(index).map(|p| p.as_str().into()).unwrap_or_default();
    match rule {
        Rule::show => parse_show(parts, text),
        Rule::explain => Ok(Verb::Explain(name(0))),
        Rule::create => {
            Ok(Verb::Create(parse_object(&parts[0]), name(1), parse_assignments(&parts, text)?))
        }
        Rule::set => {
            Ok(Verb::Set(parse_object(&parts[0]), name(1), parse_assignments(&parts, text)?))
        }
        Rule::remove => Ok(Verb::Drop(parse_object(&parts[0]), name(1))),
        Rule::drain => Ok(Verb::Drain(name(0), true)),
        Rule::undrain => Ok(Verb::Drain(name(0), false)),
        Rule::cancel => Ok(Verb::Cancel(name(0))),
        Rule::prioritise => {
            let priority = parse_number(&parts[1], text)?;
            Ok(Verb::Prioritise(name(0), priority))
        }
        _ => Err(syntax_error(text, 1, "a command")),
    }
}

fn parse_show(parts: Vec<Pair<'_, Rule>>, text: &str) -> Result<Verb, Error> {
    let mut table = TableName::Programs;
    let mut filter = Vec::new();
    let mut limit = None;
    for part in parts {
        match part.as_rule() {
            Rule::table => table = parse_table(&part),
            Rule::filter => {
                let conditions = part.into_inner().map(|pair| parse_condition(pair, text));
                filter = conditions.collect::<Result<_, Error>>()?;
            }
            _ => limit = first_child(part).map(|pair| parse_number(&pair, text)).transpose()?,
        }
    }
    Ok(Verb::Show { table, filter, limit })
}

fn parse_table(pair: &Pair<'_, Rule>) -> TableName {
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

fn parse_object(pair: &Pair<'_, Rule>) -> Object {
    match pair.as_str().to_ascii_lowercase().as_str() {
        "budget" => Object::Budget,
        "pool" => Object::Pool,
        "endpoint" => Object::Endpoint,
        _ => Object::Team,
    }
}

fn parse_condition(pair: Pair<'_, Rule>, text: &str) -> Result<Condition, Error> {
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
    let value = parse_value(parts[2].clone(), text)?;
    Ok(Condition { column: parts[0].as_str().into(), comparison, value })
}

fn parse_assignments(parts: &[Pair<'_, Rule>], text: &str) -> Result<Vec<Assignment>, Error> {
    let pairs = parts.iter().filter(|pair| pair.as_rule() == Rule::assignment);
    pairs.map(|pair| parse_assignment(pair.clone(), text)).collect()
}

fn parse_assignment(pair: Pair<'_, Rule>, text: &str) -> Result<Assignment, Error> {
    let parts: Vec<Pair<'_, Rule>> = pair.into_inner().collect();
    Ok((parts[0].as_str().into(), parse_value(parts[1].clone(), text)?))
}

fn parse_value(pair: Pair<'_, Rule>, text: &str) -> Result<Value, Error> {
    let Some(inner) = first_child(pair) else {
        return Ok(Value::Null);
    };
    match inner.as_rule() {
        Rule::number => Ok(Value::from(parse_number::<i64>(&inner, text)?)),
        Rule::boolean => Ok(Value::from(inner.as_str().eq_ignore_ascii_case("true"))),
        Rule::text => Ok(Value::from(unquote(inner.as_str()))),
        _ => Ok(Value::from(inner.as_str())),
    }
}

fn first_child(pair: Pair<'_, Rule>) -> Option<Pair<'_, Rule>> {
    pair.into_inner().next()
}

fn parse_number<T: std::str::FromStr>(pair: &Pair<'_, Rule>, text: &str) -> Result<T, Error> {
    let column = pair.as_span().start() + 1;
    pair.as_str().parse().map_err(|_| syntax_error(text, column, "a number in range"))
}

fn unquote(text: &str) -> String {
    text.trim_matches('"').to_owned()
}

fn syntax_error(text: &str, column: usize, expected: &str) -> Error {
    let snippet = format!("  {text}\n  {}^", " ".repeat(column.saturating_sub(1)));
    Error { column, expected: format!("expected {expected}"), snippet }
}

/// Converts an error of the parser generator into an [`Error`] that names the expected words.
fn convert_error(error: pest::error::Error<Rule>, text: &str) -> Error {
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
    syntax_error(text, column, &expected.join(", or "))
}

/// Returns how error messages name a grammar rule.
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
        Rule::if_version => "'if version'",
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
