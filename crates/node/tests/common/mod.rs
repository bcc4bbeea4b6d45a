//! Sessions of callers, written down request by request.
//!
//! What differs from run to run is replaced by rule, by order of first appearance: ids by `id-1`...,
//! stream handles by `handle-1`..., addresses of instances by their names, and numbers of fields
//! named `*_ms` by `MS`. Texts above [`LONGEST`] bytes show their beginning and length.

use std::fmt::Write;

use bytes::Bytes;
use hyper::Method;
use rig::{Deployment, Reply, STATE_LIMIT, SseEvent};
use serde_json::Value;

/// Bytes of a text that are shown.
const LONGEST: usize = 120;
/// Headers of answers that are shown.
const HEADERS: [&str; 4] =
    ["content-type", "retry-after", "idempotency-replayed", "www-authenticate"];

/// A request; `entry` is the instance's place in the deployment.
pub struct Ask<'a> {
    pub entry: usize,
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: String,
}

/// A session with a deployment.
pub struct Session {
    pub deployment: Deployment,
    transcript: String,
    ids: Vec<String>,
    handles: Vec<String>,
}

impl Session {
    pub fn new(deployment: Deployment) -> Self {
        let (transcript, ids, handles) = Default::default();
        Self { deployment, transcript, ids, handles }
    }

    /// Begins a part of the session.
    pub fn part(&mut self, title: &str) {
        writeln!(self.transcript, "# {title}\n").unwrap();
    }

    /// Sends a request and notes the whole answer.
    pub async fn send(&mut self, ask: Ask<'_>) -> Reply {
        self.note_ask(&ask);
        let url = format!("{}{}", self.deployment.entries[ask.entry].instance.url(), ask.path);
        let http = &self.deployment.platform.http;
        let call = http.send(ask.method, &url, ask.headers, Bytes::from(ask.body));
        let reply = tokio::time::timeout(STATE_LIMIT, call).await.unwrap().unwrap();
        self.note_reply(&reply);
        reply
    }

    /// Sends a request, notes the first `most` events of its stream and leaves it.
    pub async fn stream(&mut self, ask: Ask<'_>, most: usize) -> Vec<SseEvent> {
        self.note_ask(&ask);
        let url = format!("{}{}", self.deployment.entries[ask.entry].instance.url(), ask.path);
        let http = &self.deployment.platform.http;
        let opened = http.events(ask.method, &url, ask.headers, Bytes::from(ask.body)).await;
        let mut reader = match opened.unwrap() {
            Ok(reader) => reader,
            Err(reply) => panic!("no stream: {}", reply.text()),
        };
        let mut seen = Vec::new();
        while seen.len() < most
            && let Some(event) = reader.next(STATE_LIMIT).await.unwrap()
        {
            self.note_event(&event);
            seen.push(event);
        }
        self.transcript.push('\n');
        seen
    }

    /// Compares the transcript with `tests/golden/FILE`; rewrites that with `UPDATE_GOLDEN=1`.
    pub fn check(self, file: &str) {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &self.transcript).unwrap();
        }
        let wanted = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(self.transcript, wanted, "{file} differs; UPDATE_GOLDEN=1 rewrites it");
    }

    fn note_ask(&mut self, ask: &Ask<'_>) {
        let name = self.deployment.entries[ask.entry].name.clone();
        writeln!(self.transcript, "> {} {} at {name}", ask.method, ask.path).unwrap();
        for (header, value) in ask.headers {
            let value = match *header {
                "last-event-id" => self.handle(value),
                _ => (*value).to_owned(),
            };
            writeln!(self.transcript, "> {header}: {value}").unwrap();
        }
        if !ask.body.is_empty() {
            let body = self.document(&ask.body);
            writeln!(self.transcript, "> {body}").unwrap();
        }
    }

    fn note_reply(&mut self, reply: &Reply) {
        writeln!(self.transcript, "< {}", reply.status).unwrap();
        for header in HEADERS {
            if let Some(value) = reply.header(header) {
                writeln!(self.transcript, "< {header}: {value}").unwrap();
            }
        }
        let body = self.document(&reply.text());
        writeln!(self.transcript, "< {body}\n").unwrap();
    }

    fn note_event(&mut self, event: &SseEvent) {
        let (id, data) = (self.handle(&event.id), self.document(&event.data));
        writeln!(self.transcript, "< {} {id} {data}", event.kind).unwrap();
    }

    /// A body as shown: JSON with its fields sorted, other text as it is.
    fn document(&mut self, text: &str) -> String {
        match serde_json::from_str::<Value>(text) {
            Ok(mut value) => {
                self.mask("", &mut value);
                value.to_string()
            }
            Err(_) => shorten(text),
        }
    }

    fn mask(&mut self, field: &str, value: &mut Value) {
        match value {
            Value::Object(fields) => fields.iter_mut().for_each(|(name, v)| self.mask(name, v)),
            Value::Array(items) => items.iter_mut().for_each(|v| self.mask(field, v)),
            Value::Number(_) if field.ends_with("_ms") => *value = "MS".into(),
            Value::String(text) => *value = self.text(text).into(),
            _ => {}
        }
    }

    fn text(&mut self, text: &str) -> String {
        if text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return format!("id-{}", place(&mut self.ids, text));
        }
        let entries = &self.deployment.entries;
        match entries.iter().find(|e| e.instance.addr().to_string() == text) {
            Some(entry) => entry.name.clone(),
            None => shorten(text),
        }
    }

    /// A stream handle: the sealed part by its number, the mark as it is.
    fn handle(&mut self, id: &str) -> String {
        match id.rsplitn(3, '.').collect::<Vec<_>>()[..] {
            [hash, tokens, sealed] => {
                format!("handle-{}.{tokens}.{hash}", place(&mut self.handles, sealed))
            }
            _ => shorten(id),
        }
    }
}

/// The place of `text` in `seen`, from 1; new texts are added.
fn place(seen: &mut Vec<String>, text: &str) -> usize {
    let at = seen.iter().position(|s| s == text);
    at.unwrap_or_else(|| {
        seen.push(text.to_owned());
        seen.len() - 1
    }) + 1
}

fn shorten(text: &str) -> String {
    match text.len() {
        0..=LONGEST => text.to_owned(),
        n => format!("{}... ({n} bytes)", text.chars().take(LONGEST / 2).collect::<String>()),
    }
}
