//! Printing.

use std::io::{self, Write};

use admin::ChangeWire;
use comfy_table::{Table, presets};
use conf::DocKey;
use ident::Rev;
use serde::Serialize;
use serde_json::json;

use crate::failure::Failure;

/// How results are printed.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// Whether to print JSON, one value a line.
    pub json: bool,
}

impl Output {
    /// Prints `text`, or `value` as JSON.
    pub fn show<T>(self, text: &str, value: &T) -> Result<(), Failure>
    where
        T: Serialize,
    {
        if !self.json {
            return line(text);
        }
        line(&serde_json::to_string(value).map_err(io::Error::from)?)
    }

    /// Prints an accepted change.
    pub fn change(self, change: &ChangeWire, what: &str) -> Result<(), Failure> {
        let text = format!("{} {}: {what} ({})", change.kind.as_str(), change.name, change.rev);
        self.show(&text, change)
    }

    /// Prints that a document needed no change.
    pub fn unchanged(self, key: &DocKey, rev: Rev, what: &str) -> Result<(), Failure> {
        let text = format!("{} {}: {what} ({rev})", key.kind.as_str(), key.name);
        self.show(&text, &json!({"kind": key.kind, "name": key.name, "rev": rev}))
    }

    /// Prints rows under headings, or `value` as JSON.
    pub fn table<T>(self, heads: &[&str], rows: Vec<Vec<String>>, value: &T) -> Result<(), Failure>
    where
        T: Serialize,
    {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(heads).add_rows(rows);
        let lines: Vec<_> = table.lines().map(|l| l.trim().to_owned()).collect();
        self.show(&lines.join("\n"), value)
    }
}

/// Prints one line.
pub fn line(text: &str) -> Result<(), Failure> {
    Ok(writeln!(io::stdout().lock(), "{text}")?)
}
