//! Stand-in of a store of kept KV cache that drops nothing on its own.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Head, read_body, read_head, write_answer},
    json::Json,
    wire::{EPOCH, KV_EVENTS, KV_FREE, KV_LIST, events_json, list_json},
};

/// How late events are told.
const EVENT_LAG: Duration = Duration::from_millis(60);

/// A part: tokens for which space is reserved, and whether it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    pub tokens: u64,
    pub complete: bool,
}

#[derive(Default)]
struct Content {
    epoch: u64,
    /// By salt and part.
    parts: BTreeMap<(String, String), Part>,
    /// Events with the moment from which they are told.
    events: Vec<(Instant, String)>,
}

pub struct Kept {
    pub addr: SocketAddr,
    content: Mutex<Content>,
    changed: Condvar,
    start: Instant,
}

impl Kept {
    pub fn start() -> Arc<Kept> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("it is bound");
        let content = Mutex::new(Content { epoch: 1, ..Content::default() });
        let (changed, start) = (Condvar::new(), Instant::now());
        let kept = Arc::new(Kept { addr, content, changed, start });
        let served = kept.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let kept = served.clone();
                thread::spawn(move || kept.serve(stream));
            }
        });
        kept
    }

    /// The engines' clock, in ms.
    pub fn clock_ms(&self) -> u64 {
        10_000 + self.start.elapsed().as_millis() as u64
    }

    /// Starts again, and holds nothing.
    pub fn restart(&self) {
        let mut content = self.content.lock().unwrap();
        *content = Content { epoch: content.epoch + 1, ..Content::default() };
        drop(content);
        self.changed.notify_all();
    }

    pub fn epoch(&self) -> u64 {
        self.content.lock().unwrap().epoch
    }

    pub fn part(&self, salt: &str, part: &str) -> Option<Part> {
        self.content.lock().unwrap().parts.get(&(salt.into(), part.into())).copied()
    }

    /// Reserves the space of a part that is going to be written. False if it is there.
    pub fn reserve(&self, salt: &str, part: &str, tokens: u64) -> bool {
        let mut content = self.content.lock().unwrap();
        let name = (salt.to_owned(), part.to_owned());
        let new = !content.parts.contains_key(&name);
        if new {
            content.parts.insert(name, Part { tokens, complete: false });
        }
        new
    }

    /// A part is written, unless the store was started again since `epoch`.
    pub fn complete(&self, salt: &str, part: &str, epoch: u64) {
        let mut content = self.content.lock().unwrap();
        let now = content.epoch;
        let name = (salt.to_owned(), part.to_owned());
        let Some(found) = content.parts.get_mut(&name).filter(|_| now == epoch) else { return };
        found.complete = true;
        let tokens = found.tokens;
        let number = content.events.len() + 1;
        let event = format!(r#"[{number},"+","{salt}","{part}",{tokens},"m"]"#);
        content.events.push((Instant::now() + EVENT_LAG, event));
        drop(content);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut to = stream.try_clone().expect("a socket can be cloned");
        let mut from = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut from) {
            let (body, whole) = read_body(&head, &mut from, false);
            if !whole {
                return;
            }
            let (status, answer) = match head.path() {
                KV_EVENTS => (200, self.events(&head)),
                KV_LIST => (200, self.list()),
                KV_FREE => self.free(&String::from_utf8_lossy(&body)),
                _ => (404, "{}".into()),
            };
            let kind = [("content-type", "application/json".to_owned())];
            if write_answer(&mut to, status, &kind, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn events(&self, head: &Head) -> String {
        let since: usize = head.query("since").parse().unwrap_or(0);
        let wait: u64 = head.get("wait-ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(1000));
        let mut content = self.content.lock().unwrap();
        loop {
            let now = Instant::now();
            let told: Vec<&str> = content
                .events
                .iter()
                .skip(since)
                .take_while(|(at, _)| *at <= now)
                .map(|(_, e)| e.as_str())
                .collect();
            if !told.is_empty() || now >= end {
                let (epoch, next) = (content.epoch, since + told.len());
                let (told, clock) = (told.join(","), self.clock_ms());
                return events_json(epoch, next, &told, clock);
            }
            let limit = (end - now).min(Duration::from_millis(10));
            content = self.changed.wait_timeout(content, limit).unwrap().0;
        }
    }

    fn list(&self) -> String {
        let content = self.content.lock().unwrap();
        let row = |((salt, part), p): (&(String, String), &Part)| {
            format!(r#"["{salt}","{part}",{},"m"]"#, p.tokens)
        };
        let held = content.parts.iter().filter(|(_, p)| p.complete).map(row);
        let held = held.collect::<Vec<_>>().join(",");
        let (epoch, next, clock) = (content.epoch, content.events.len(), self.clock_ms());
        list_json(epoch, next, &held, clock)
    }

    fn free(&self, body: &str) -> (u16, String) {
        let call = Json::parse(body).unwrap_or(Json::Null);
        let mut content = self.content.lock().unwrap();
        if call.get(EPOCH).number() != content.epoch {
            return (409, "{}".into());
        }
        for part in call.get("parts").list() {
            if let [salt, part] = part.list() {
                content.parts.remove(&(salt.text().to_owned(), part.text().to_owned()));
            }
        }
        (200, "{}".into())
    }
}
