//! Prints the events of all instances in one time line.

use std::{path::PathBuf, time::Duration};

use events::{Event, Page, merge, trace};
use hyper::Method;
use ident::Boot;
use serde_json::Value;
use tokio::time::sleep;

use super::Context;
use crate::{
    error::CommandError,
    exit::Exit,
    output::{self, Output},
};

/// Events read with one request.
const PAGE_SIZE: usize = 1000;

/// Pause between two reads of new events.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Read position in the event log of an instance.
struct Cursor {
    admin: String,
    /// Sequence number of the last event read; 0 if there is none.
    after: u64,
    /// Boot of the process that recorded this event.
    boot: Option<Boot>,
    /// Whether the instance did not answer the last read.
    unreachable: bool,
}

/// Prints the merged events of all instances, or writes them to `file` as a trace. With `follow` it
/// goes on with new events and does not return.
///
/// With `follow`, events are sorted within each round of reads. A later round may print older
/// events of an instance that did not answer before.
pub async fn run(cx: &Context, follow: bool, file: Option<PathBuf>) -> Result<Exit, CommandError> {
    let start = |a: &String| Cursor { admin: a.clone(), after: 0, boot: None, unreachable: false };
    let mut cursors: Vec<_> = cx.client.admins().iter().map(start).collect();
    loop {
        let mut pages = Vec::new();
        for cursor in &mut cursors {
            cursor.poll(cx, &mut pages).await?;
        }
        let merged = merge(pages);
        match &file {
            Some(path) => write_trace(path, &merged)?,
            None => merged.iter().try_for_each(|event| show(cx.out, event))?,
        }
        if !follow {
            let failed = cursors.iter().any(|c| c.unreachable);
            return Ok(if failed { Exit::Failed } else { Exit::Done });
        }
        sleep(POLL_INTERVAL).await;
    }
}

impl Cursor {
    /// Reads new events. Prints one error for an instance when it stops answering.
    async fn poll(&mut self, cx: &Context, pages: &mut Vec<Page>) -> Result<(), CommandError> {
        match self.read(cx, pages).await {
            Err(error @ CommandError::Unreachable { .. }) => {
                if !self.unreachable {
                    eprintln!("{error}");
                }
                self.unreachable = true;
            }
            done => {
                done?;
                self.unreachable = false;
            }
        }
        Ok(())
    }

    /// Reads all pages of new events. Each page begins with the last event that is already known.
    /// If that event has another boot, the process was restarted, and its log is read from the
    /// start.
    async fn read(&mut self, cx: &Context, pages: &mut Vec<Page>) -> Result<(), CommandError> {
        loop {
            let known = self.after.saturating_sub(1);
            let path = format!("/admin/v1/events?after={known}&limit={PAGE_SIZE}");
            let mut page: Page = cx.client.send(&self.admin, Method::GET, &path).await?;
            let more = page.events.len() == PAGE_SIZE;
            if self.after > 0 {
                if page.events.first().map(|e| e.boot) != self.boot {
                    (self.after, self.boot) = (0, None);
                    continue;
                }
                page.events.retain(|e| e.seq > self.after);
                page.lost = page.lost.saturating_sub(1);
            }
            if page.lost > 0 {
                let (admin, lost) = (&self.admin, page.lost);
                eprintln!("{admin}: {lost} events were overwritten before they were read");
            }
            if let Some(last) = page.events.last() {
                (self.after, self.boot) = (last.seq, Some(last.boot));
            }
            pages.push(page);
            if !more {
                return Ok(());
            }
        }
    }
}

fn show(out: Output, event: &Event) -> Result<(), CommandError> {
    let value = serde_json::to_value(&event.kind).map_err(std::io::Error::from)?;
    let at = output::format_time(event.at);
    let mut text = format!("{at} {} {}", event.instance, event.seq);
    let kind = value.get("kind").and_then(Value::as_str).unwrap_or("unknown");
    text.extend([" ", kind]);
    let mut fields: Vec<_> = value.as_object().into_iter().flatten().collect();
    fields.retain(|(key, _)| *key != "kind");
    // The request id comes first, so that it is in the same column on all lines of a request.
    fields.sort_by_key(|(key, _)| *key != "request");
    for (key, value) in fields {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.extend([" ", key, "=", &value]);
    }
    out.show(&text, event)
}

fn write_trace(path: &PathBuf, events: &[Event]) -> Result<(), CommandError> {
    std::fs::write(path, trace(events).to_string())
        .map_err(|source| CommandError::File { path: path.clone(), source })?;
    output::print_line(&format!("{} events written to {}", events.len(), path.display()))
}
