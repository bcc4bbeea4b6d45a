//! Records the requests and answers of a session as text and compares it with a golden file.
//!
//! Values that differ from run to run are replaced. Ids become `id-1`... and stream handles
//! `handle-1`..., numbered by first appearance. Addresses of instances become their names, and
//! numbers in fields named `*_ms` become `MS`. Texts longer than [`MAX_TEXT_BYTES`] are cut, with
//! their length.

use std::fmt::Write;

use bytes::Bytes;
use hyper::Method;
use rig::{Deployment, Reply, STATE_LIMIT, SseEvent};
use serde_json::Value;

/// Longest text that is recorded in full, in bytes.
const MAX_TEXT_BYTES: usize = 120;
/// Response headers that are recorded.
const RECORDED_HEADERS: [&str; 4] =
    ["content-type", "retry-after", "idempotency-replayed", "www-authenticate"];

/// A request to one instance.
pub struct Request<'a> {
    /// Index of the instance in the deployment.
    pub entry: usize,
    pub method: Method,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: String,
}

/// A deployment and the transcript of the requests sent to it.
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

    /// Starts a section of the transcript.
    pub fn section(&mut self, title: &str) {
        writeln!(self.transcript, "# {title}\n").unwrap();
    }

    /// Sends a request and records the complete answer.
    pub async fn send(&mut self, request: Request<'_>) -> Reply {
        self.record_request(&request);
        let url =
            format!("{}{}", self.deployment.entries[request.entry].instance.url(), request.path);
        let http = &self.deployment.platform.http;
        let call = http.send(request.method, &url, request.headers, Bytes::from(request.body));
        let reply = tokio::time::timeout(STATE_LIMIT, call).await.unwrap().unwrap();
        self.record_reply(&reply);
        reply
    }

    /// Sends a request, records at most `max_events` events of its stream, and cancels it.
    pub async fn stream(&mut self, request: Request<'_>, max_events: usize) -> Vec<SseEvent> {
        self.record_request(&request);
        let url =
            format!("{}{}", self.deployment.entries[request.entry].instance.url(), request.path);
        let http = &self.deployment.platform.http;
        let opened =
            http.events(request.method, &url, request.headers, Bytes::from(request.body)).await;
        let mut reader = match opened.unwrap() {
            Ok(reader) => reader,
            Err(reply) => panic!("request for a stream was rejected: {}", reply.text()),
        };
        let mut seen = Vec::new();
        while seen.len() < max_events
            && let Some(event) = reader.next(STATE_LIMIT).await.unwrap()
        {
            self.record_event(&event);
            seen.push(event);
        }
        self.transcript.push('\n');
        seen
    }

    /// Compares the transcript with `tests/golden/FILE`. With `UPDATE_GOLDEN=1` in the environment,
    /// it first rewrites that file.
    pub fn check(self, file: &str) {
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &self.transcript).unwrap();
        }
        let wanted = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(self.transcript, wanted, "{file} differs; UPDATE_GOLDEN=1 rewrites it");
    }

    fn record_request(&mut self, request: &Request<'_>) {
        let name = self.deployment.entries[request.entry].name.clone();
        writeln!(self.transcript, "> {} {} at {name}", request.method, request.path).unwrap();
        for (header, value) in request.headers {
            let value = match *header {
                "last-event-id" => self.mask_handle(value),
                _ => (*value).to_owned(),
            };
            writeln!(self.transcript, "> {header}: {value}").unwrap();
        }
        if !request.body.is_empty() {
            let body = self.format_body(&request.body);
            writeln!(self.transcript, "> {body}").unwrap();
        }
    }

    fn record_reply(&mut self, reply: &Reply) {
        writeln!(self.transcript, "< {}", reply.status).unwrap();
        for header in RECORDED_HEADERS {
            if let Some(value) = reply.header(header) {
                writeln!(self.transcript, "< {header}: {value}").unwrap();
            }
        }
        let body = self.format_body(&reply.text());
        writeln!(self.transcript, "< {body}\n").unwrap();
    }

    fn record_event(&mut self, event: &SseEvent) {
        let (id, data) = (self.mask_handle(&event.id), self.format_body(&event.data));
        writeln!(self.transcript, "< {} {id} {data}", event.kind).unwrap();
    }

    /// Formats a body for the transcript: JSON with sorted and masked fields, other text cut.
    fn format_body(&mut self, text: &str) -> String {
        match serde_json::from_str::<Value>(text) {
            Ok(mut value) => {
                self.mask("", &mut value);
                value.to_string()
            }
            Err(_) => truncate(text),
        }
    }

    fn mask(&mut self, field: &str, value: &mut Value) {
        match value {
            Value::Object(fields) => fields.iter_mut().for_each(|(name, v)| self.mask(name, v)),
            Value::Array(items) => items.iter_mut().for_each(|v| self.mask(field, v)),
            Value::Number(_) if field.ends_with("_ms") => *value = "MS".into(),
            Value::String(text) => *value = self.mask_text(text).into(),
            _ => {}
        }
    }

    fn mask_text(&mut self, text: &str) -> String {
        if text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit()) {
            return format!("id-{}", number_of(&mut self.ids, text));
        }
        let entries = &self.deployment.entries;
        match entries.iter().find(|e| e.instance.addr().to_string() == text) {
            Some(entry) => entry.name.clone(),
            None => truncate(text),
        }
    }

    /// Replaces the sealed part of a stream handle by its number and keeps the tokens and the hash.
    fn mask_handle(&mut self, id: &str) -> String {
        match id.rsplitn(3, '.').collect::<Vec<_>>()[..] {
            [hash, tokens, sealed] => {
                format!("handle-{}.{tokens}.{hash}", number_of(&mut self.handles, sealed))
            }
            _ => truncate(id),
        }
    }
}

/// Number of `text` in `seen`, from 1. A new text is added.
fn number_of(seen: &mut Vec<String>, text: &str) -> usize {
    let at = seen.iter().position(|s| s == text);
    at.unwrap_or_else(|| {
        seen.push(text.to_owned());
        seen.len() - 1
    }) + 1
}

/// Cuts a text longer than [`MAX_TEXT_BYTES`].
fn truncate(text: &str) -> String {
    match text.len() {
        0..=MAX_TEXT_BYTES => text.to_owned(),
        n => {
            format!("{}... ({n} bytes)", text.chars().take(MAX_TEXT_BYTES / 2).collect::<String>())
        }
    }
}
