//! Stand-in of the platform's store: rows, their changes and conditional transactions.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{read_body, read_head, write_answer},
    json::{Json, base64},
    wire::{EXPECTED, ROWS_FEED, ROWS_GET, ROWS_TX},
};

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value in Base64, `None` once removed, and number of the transaction that wrote it last.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    ver: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    start: Instant,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("it is bound");
        let (rows, changed, start) = (Mutex::default(), Condvar::new(), Instant::now());
        let store = Arc::new(Store { addr, rows, changed, start });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row of the empty part, as the operator and replicas do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        let row = (Some(base64(value.as_bytes())), ver);
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        drop(rows);
        self.changed.notify_all();
    }

    /// Removes a row of the empty part.
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        rows.rows.insert((table.into(), String::new(), key.into()), (None, ver));
        drop(rows);
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
            let (status, answer) = if head.path() == ROWS_GET {
                self.read(&head)
            } else if head.path() == ROWS_FEED {
                self.feed(&head)
            } else if head.path() == ROWS_TX {
                self.write(&String::from_utf8_lossy(&body))
            } else {
                (404, "{}".into())
            };
            let kind = [("content-type", "application/json".to_owned())];
            if write_answer(&mut to, status, &kind, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u64 {
        1000 + self.start.elapsed().as_millis() as u64
    }

    fn read(&self, head: &crate::http::Head) -> (u16, String) {
        let (table, part, from) = (head.query("table"), head.query("part"), head.query("from"));
        let limit = head.query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let fits = |((t, p, k), (value, _)): &(&Key, &(Option<String>, u64))| {
            *t == table && *p == part && *k >= from && value.is_some()
        };
        let found: Vec<String> = rows.rows.iter().filter(fits).map(row_json).collect();
        let more = found.len() > limit;
        let shown = found[..found.len().min(limit)].join(",");
        let (ver, now) = (rows.ver, self.now_ms());
        (200, format!(r#"{{"rows":[{shown}],"more_pages":{more},"ver":{ver},"now_ms":{now}}}"#))
    }

    fn feed(&self, head: &crate::http::Head) -> (u16, String) {
        let table = head.query("table");
        let after: u64 = head.query("after").parse().unwrap_or(0);
        let wait: u64 = head.query("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changes: Vec<_> =
                rows.rows.iter().filter(|(k, (_, v))| k.0 == table && *v > after).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                changes.sort_by_key(|(_, (_, ver))| *ver);
                let shown: Vec<String> = changes.into_iter().map(row_json).collect();
                let (ver, now) = (rows.ver, self.now_ms());
                let rows = shown.join(",");
                return (200, format!(r#"{{"rows":[{rows}],"ver":{ver},"now_ms":{now}}}"#));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn write(&self, body: &str) -> (u16, String) {
        let Some(tx) = Json::parse(body) else { return (400, "{}".into()) };
        let key = |entry: &Json| -> Key {
            let text = |name: &str| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let current = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(_), ver)) => *ver,
            _ => 0,
        };
        let expected = tx.get(EXPECTED).list();
        let now = self.now_ms();
        if expected.iter().any(|e| current(&rows, &key(e)) != e.get("ver").number()) {
            let found = expected.iter().filter_map(|e| rows.rows.get_key_value(&key(e)));
            let shown: Vec<String> = found.map(row_json).collect();
            let (shown, ver) = (shown.join(","), rows.ver);
            return (412, format!(r#"{{"rows":[{shown}],"ver":{ver},"now_ms":{now}}}"#));
        }
        rows.ver += 1;
        let ver = rows.ver;
        for put in tx.get("puts").list() {
            rows.rows.insert(key(put), (Some(put.get("value").text().to_owned()), ver));
        }
        for removed in tx.get("remove").list() {
            rows.rows.insert(key(removed), (None, ver));
        }
        drop(rows);
        self.changed.notify_all();
        (200, format!(r#"{{"ver":{ver},"now_ms":{now}}}"#))
    }
}

fn row_json(((table, part, key), (value, ver)): (&Key, &(Option<String>, u64))) -> String {
    let content = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""removed":true"#.into(),
    };
    format!(r#"{{"table":"{table}","part":"{part}","key":"{key}",{content},"ver":{ver}}}"#)
}
