//! The time line of all instances.

use std::{path::PathBuf, time::Duration};

use events::{Event, Page, merge, trace};
use hyper::Method;
use ident::Boot;
use serde_json::Value;
use tokio::time::sleep;

use super::Context;
use crate::{
    exit::Exit,
    failure::Failure,
    output::{self, Output},
};

/// Events on a page.
const LIMIT: usize = 1000;

/// Pause between two looks for new events.
const PAUSE: Duration = Duration::from_millis(500);

/// How far an instance's log was read.
struct Cursor {
    admin: String,
    /// Position of the last event known; 0 when none is.
    after: u64,
    /// The life of the process that recorded it.
    boot: Option<Boot>,
    /// Whether the last try to read failed.
    down: bool,
}

/// Shows the merged time line, goes on with `follow`, or writes it to `file` as a trace.
///
/// With `follow` events are ordered within each look; a later look may show earlier events of an
/// instance that answered late.
pub async fn run(cx: &Context, follow: bool, file: Option<PathBuf>) -> Result<Exit, Failure> {
    let start = |a: &String| Cursor { admin: a.clone(), after: 0, boot: None, down: false };
    let mut cursors: Vec<_> = cx.client.admins().iter().map(start).collect();
    loop {
        let mut pages = Vec::new();
        for cursor in &mut cursors {
            cursor.look(cx, &mut pages).await?;
        }
        let line = merge(pages);
        match &file {
            Some(path) => write_trace(path, &line)?,
            None => line.iter().try_for_each(|event| show(cx.out, event))?,
        }
        if !follow {
            let failed = cursors.iter().any(|c| c.down);
            return Ok(if failed { Exit::Failed } else { Exit::Done });
        }
        sleep(PAUSE).await;
    }
}

impl Cursor {
    /// Reads what is new. An instance that does not answer is told once.
    async fn look(&mut self, cx: &Context, pages: &mut Vec<Page>) -> Result<(), Failure> {
        match self.read(cx, pages).await {
            Err(error @ Failure::Unreachable { .. }) => {
                if !self.down {
                    eprintln!("{error}");
                }
                self.down = true;
            }
            done => {
                done?;
                self.down = false;
            }
        }
        Ok(())
    }

    /// Reads all pages there are. Each begins with the last event known: where another one stands
    /// in its place the process was restarted, and its log is read from the start.
    async fn read(&mut self, cx: &Context, pages: &mut Vec<Page>) -> Result<(), Failure> {
        loop {
            let known = self.after.saturating_sub(1);
            let path = format!("/admin/v1/events?after={known}&limit={LIMIT}");
            let mut page: Page = cx.client.one(&self.admin, Method::GET, &path).await?;
            let more = page.events.len() == LIMIT;
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

fn show(out: Output, event: &Event) -> Result<(), Failure> {
    let value = serde_json::to_value(&event.kind).map_err(std::io::Error::from)?;
    let at = output::time(event.at);
    let mut text = format!("{at} {} {}", event.instance, event.seq);
    let kind = value.get("kind").and_then(Value::as_str).unwrap_or("unknown");
    text.extend([" ", kind]);
    let mut fields: Vec<_> = value.as_object().into_iter().flatten().collect();
    fields.retain(|(key, _)| *key != "kind");
    // The request comes first, so that lines of one stand under each other.
    fields.sort_by_key(|(key, _)| *key != "request");
    for (key, value) in fields {
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        text.extend([" ", key, "=", &value]);
    }
    out.show(&text, event)
}

fn write_trace(path: &PathBuf, line: &[Event]) -> Result<(), Failure> {
    std::fs::write(path, trace(line).to_string())
        .map_err(|source| Failure::File { path: path.clone(), source })?;
    output::line(&format!("{} events written to {}", line.len(), path.display()))
}
