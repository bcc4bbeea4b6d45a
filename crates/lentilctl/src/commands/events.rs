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
    after: u64,
    boot: Option<Boot>,
}

/// Shows the merged time line, goes on with `follow`, or writes it to `file` as a trace.
///
/// With `follow` events are ordered within each look; a later look may show earlier events of an
/// instance that answered late.
pub async fn run(cx: &Context, follow: bool, file: Option<PathBuf>) -> Result<Exit, Failure> {
    let start = |a: &String| Cursor { admin: a.clone(), after: 0, boot: None };
    let mut cursors: Vec<_> = cx.client.admins().iter().map(start).collect();
    loop {
        let mut pages = Vec::new();
        let mut failed = 0;
        for cursor in &mut cursors {
            match cursor.read(cx, &mut pages).await {
                Err(Failure::Unreachable { reasons }) => {
                    failed += 1;
                    eprintln!("{}", reasons.join("\n"));
                }
                done => done?,
            }
        }
        let line = merge(pages);
        match &file {
            Some(path) => write_trace(path, &line)?,
            None => line.iter().try_for_each(|event| show(cx.out, event))?,
        }
        if !follow {
            return Ok(if failed == 0 { Exit::Done } else { Exit::Failed });
        }
        sleep(PAUSE).await;
    }
}

impl Cursor {
    /// Reads all pages there are. A new life of the process is read from its start.
    async fn read(&mut self, cx: &Context, pages: &mut Vec<Page>) -> Result<(), Failure> {
        loop {
            let path = format!("/admin/v1/events?after={}&limit={LIMIT}", self.after);
            let page: Page = cx.client.one(&self.admin, Method::GET, &path).await?;
            let boot = page.events.first().map(|e| e.boot);
            let restarted = boot.is_some() && self.boot.is_some() && boot != self.boot;
            if (restarted || page.next < self.after) && self.after > 0 {
                (self.after, self.boot) = (0, None);
                continue;
            }
            if page.lost > 0 {
                eprintln!(
                    "{}: {} events were overwritten before they were read",
                    self.admin, page.lost
                );
            }
            self.after = page.next;
            self.boot = boot.or(self.boot);
            let more = page.events.len() == LIMIT;
            pages.push(page);
            if !more {
                return Ok(());
            }
        }
    }
}

fn show(out: Output, event: &Event) -> Result<(), Failure> {
    let value = serde_json::to_value(&event.kind).map_err(std::io::Error::from)?;
    let mut text = format!("{} {} {}", event.at, event.instance, event.seq);
    let kind = value.get("kind").and_then(Value::as_str).unwrap_or("unknown");
    text.extend([" ", kind]);
    for (key, value) in value.as_object().into_iter().flatten().filter(|(k, _)| *k != "kind") {
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
