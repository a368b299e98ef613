//! Tables in responses, with filtering and formatting as text.

use crate::language::{Comparison, Condition};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::cmp::Ordering;

/// Rows that share a list of columns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Column names, in display order.
    pub columns: Vec<String>,
    /// Rows, keyed by column name; a row may lack columns whose value is not known.
    pub rows: Vec<Map<String, Value>>,
}

/// A condition that names an unknown column.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("there is no column '{column}'; the columns are {known}")]
pub struct Error {
    /// Name of the unknown column.
    pub column: String,
    /// Names of the existing columns, separated by commas.
    pub known: String,
}

impl Table {
    /// Creates a table without rows.
    pub fn new(columns: &[&str]) -> Self {
        let columns = columns.iter().map(|column| (*column).to_owned()).collect();
        Self { columns, rows: Vec::new() }
    }

    /// Appends a row whose values are in the order of the columns.
    pub fn push(&mut self, values: Vec<Value>) {
        let row = self.columns.iter().cloned().zip(values).collect();
        self.rows.push(row);
    }

    /// Returns the rows that satisfy all conditions, but no more than `limit`.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when a condition names an unknown column.
    pub fn select(mut self, filter: &[Condition], limit: Option<usize>) -> Result<Self, Error> {
        for condition in filter {
            if !self.columns.iter().any(|column| *column == condition.column) {
                let known = self.columns.join(", ");
                return Err(Error { column: condition.column.to_string(), known });
            }
        }
        self.rows.retain(|row| filter.iter().all(|condition| is_satisfied(condition, row)));
        self.rows.truncate(limit.unwrap_or(usize::MAX));
        Ok(self)
    }

    /// Formats the table as text with a header line and aligned columns.
    pub fn render(&self) -> String {
        let mut lines: Vec<Vec<String>> = vec![self.columns.clone()];
        for row in &self.rows {
            let cells = self.columns.iter().map(|column| format_cell(row.get(column)));
            lines.push(cells.collect());
        }
        let count = self.columns.len();
        let width = |index: usize| {
            lines.iter().map(|line| line[index].chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..count).map(width).collect();
        let mut text = String::new();
        for line in &lines {
            let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
            text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
            text.push('\n');
        }
        text
    }
}

fn format_cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn is_satisfied(condition: &Condition, row: &Map<String, Value>) -> bool {
    let value = row.get(condition.column.as_str()).unwrap_or(&Value::Null);
    let order = compare(value, &condition.value);
    match condition.comparison {
        Comparison::Equal => order == Some(Ordering::Equal),
        Comparison::NotEqual => order != Some(Ordering::Equal),
        Comparison::Less => order == Some(Ordering::Less),
        Comparison::LessOrEqual => matches!(order, Some(Ordering::Less | Ordering::Equal)),
        Comparison::Greater => order == Some(Ordering::Greater),
        Comparison::GreaterOrEqual => matches!(order, Some(Ordering::Greater | Ordering::Equal)),
        Comparison::Contains => {
            format_cell(Some(value)).contains(&format_cell(Some(&condition.value)))
        }
    }
}

/// Compares two numbers by value, and any other two values as displayed text.
fn compare(left: &Value, right: &Value) -> Option<Ordering> {
    match (left.as_f64(), right.as_f64()) {
        (Some(left), Some(right)) => left.partial_cmp(&right),
        _ => Some(format_cell(Some(left)).cmp(&format_cell(Some(right)))),
    }
}
