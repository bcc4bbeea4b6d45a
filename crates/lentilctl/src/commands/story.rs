//! One request's log lines, collected from the logs of several instances.

use std::{
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
};

use serde_json::Value;

use crate::{exit::Exit, failure::Failure};

/// A line that is about the request.
struct Line {
    /// When it was written, as its instance's clock says.
    time: String,
    /// The file it was found in.
    file: String,
    text: String,
}

/// Prints the lines of `files` that carry the request id `id`, in the order of their times. Exits
/// with a failure when there is none.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Exit, Failure> {
    let mut lines = Vec::new();
    for file in files {
        collect(id, file, &mut lines)
            .map_err(|source| Failure::File { path: file.clone(), source })?;
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
        // A collector may have put its own words before the record.
        let Some(start) = line.find('{') else { continue };
        let Ok(record) = serde_json::from_str::<Value>(&line[start..]) else { continue };
        if record["request"] == id {
            let time = record["timestamp"].as_str().unwrap_or_default().to_owned();
            lines.push(Line { time, file: file.clone(), text: line[start..].to_owned() });
        }
    }
    Ok(())
}
