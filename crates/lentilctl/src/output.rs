//! Prints results to standard output.

use std::io::{self, Write};

use admin::ChangeWire;
use comfy_table::{Table, presets};
use conf::DocKey;
use ident::{Rev, Time};
use serde::Serialize;
use serde_json::json;

use crate::error::CommandError;

/// Format of printed results.
#[derive(Debug, Clone, Copy)]
pub struct Output {
    /// Whether to print JSON, one value per line.
    pub json: bool,
}

impl Output {
    /// Prints `text`, or `value` if JSON is wanted.
    pub fn show<T>(self, text: &str, value: &T) -> Result<(), CommandError>
    where
        T: Serialize,
    {
        if !self.json {
            return print_line(text);
        }
        print_line(&serde_json::to_string(value).map_err(io::Error::from)?)
    }

    /// Prints an accepted change; `what` says what was done.
    pub fn change(self, change: &ChangeWire, what: &str) -> Result<(), CommandError> {
        let text = format!("{} {}: {what} ({})", change.kind.as_str(), change.name, change.rev);
        self.show(&text, change)
    }

    /// Prints that a document needed no change; `what` describes its state.
    pub fn unchanged(self, key: &DocKey, rev: Rev, what: &str) -> Result<(), CommandError> {
        let text = format!("{} {}: {what} ({rev})", key.kind.as_str(), key.name);
        self.show(&text, &json!({"kind": key.kind, "name": key.name, "rev": rev}))
    }

    /// Prints `rows` under `headings`, or `value` if JSON is wanted.
    pub fn table<T>(
        self,
        headings: &[&str],
        rows: Vec<Vec<String>>,
        value: &T,
    ) -> Result<(), CommandError>
    where
        T: Serialize,
    {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header(headings).add_rows(rows);
        let lines: Vec<_> = table.lines().map(|l| l.trim().to_owned()).collect();
        self.show(&lines.join("\n"), value)
    }
}

/// Prints `text` and a line break.
pub fn print_line(text: &str) -> Result<(), CommandError> {
    Ok(writeln!(io::stdout().lock(), "{text}")?)
}

/// Formats a point in time as UTC, such as `2026-01-31T09:30:00.250Z`.
pub fn format_time(at: Time) -> String {
    let (days, ms) = (at.0 / DAY_MS, at.0 % DAY_MS);
    let (hours, minutes) = (ms / 3_600_000, ms / 60_000 % 60);
    let (seconds, ms) = (ms / 1000 % 60, ms % 1000);
    let (year, month, day) = date(days);
    format!("{year:04}-{month:02}-{day:02}T{hours:02}:{minutes:02}:{seconds:02}.{ms:03}Z")
}

/// Milliseconds in a day.
const DAY_MS: u64 = 86_400_000;

/// Returns year, month and day of the date that is `days` after 1970-01-01. Counts in cycles of
/// 400 years, with years that begin in March.
fn date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (cycle, day) = (days / 146_097, days % 146_097);
    let year = (day - day / 1_460 + day / 36_524 - day / 146_096) / 365;
    let day = day - (365 * year + year / 4 - year / 100);
    let month = (5 * day + 2) / 153;
    let day = day - (153 * month + 2) / 5 + 1;
    let month = if month < 10 { month + 3 } else { month - 9 };
    (cycle * 400 + year + u64::from(month <= 2), month, day)
}
