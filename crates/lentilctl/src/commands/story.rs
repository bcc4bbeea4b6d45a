//! Collects the log lines of one request from the logs of several instances.

use std::{
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
};

use serde_json::Value;

use crate::{error::CommandError, exit::Exit};

/// A log line of the request.
struct Line {
    /// Timestamp in the record, by the clock of its instance.
    time: String,
    /// Name of the log file, without its folder.
    file: String,
    text: String,
}

/// Prints the lines of `files` with the request id `id`, sorted by timestamp. Returns
/// [`Exit::Failed`] if there is none.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Exit, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        collect(id, file, &mut lines)
            .map_err(|source| CommandError::File { path: file.clone(), source })?;
    }
    lines.sort_by(|a, b| (&a.time, &a.file).cmp(&(&b.time, &b.file)));
    let mut out = std::io::stdout().lock();
    for line in &lines {
        writeln!(out, "{}  {}", line.file, line.text)?;
    }
    Ok(if lines.is_empty() { Exit::Failed } else { Exit::Done })
}

fn collect(id: &str, path: &Path, lines: &mut Vec<Line>) -> std::io::Result<()> {
    let file = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
    for line in BufReader::new(std::fs::File::open(path)?).lines() {
        let line = line?;
        // A log collector may have put a prefix before the record.
        let Some(start) = line.find('{') else { continue };
        let Ok(record) = serde_json::from_str::<Value>(&line[start..]) else { continue };
        if record["request"] == id {
            let time = record["timestamp"].as_str().unwrap_or_default().to_owned();
            lines.push(Line { time, file: file.clone(), text: line[start..].to_owned() });
        }
    }
    Ok(())
}
