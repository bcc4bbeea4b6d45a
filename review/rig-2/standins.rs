//! Stand-ins for the users' platform, over the real clock and loopback: its store of rows, replicas
//! and callers. They use the standard library only and follow `PROTOCOL.md`.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::wire;

/// A JSON value, as far as the store needs it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Self {
        let bytes = text.as_bytes();
        let mut at = 0;
        value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |f| &f.1)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(t) = self { t } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(n) = self { *n as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(l) = self { l } else { &[] }
    }
}

fn blank(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && (bytes[*at].is_ascii_whitespace() || b",:".contains(&bytes[*at])) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Json {
    blank(bytes, at);
    match bytes.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blank(bytes, at);
                if *at >= bytes.len() || bytes[*at] == b'}' {
                    *at += 1;
                    return Json::Object(fields);
                }
                let name = value(bytes, at).text().to_owned();
                fields.push((name, value(bytes, at)));
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                blank(bytes, at);
                if *at >= bytes.len() || bytes[*at] == b']' {
                    *at += 1;
                    return Json::List(list);
                }
                list.push(value(bytes, at));
            }
        }
        Some(b'"') => {
            *at += 1;
            let mut text = Vec::new();
            while *at < bytes.len() && bytes[*at] != b'"' {
                if bytes[*at] == b'\\' {
                    *at += 1;
                    match bytes[*at] {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        other => text.push(other),
                    }
                } else {
                    text.push(bytes[*at]);
                }
                *at += 1;
            }
            *at += 1;
            Json::Text(String::from_utf8_lossy(&text).into())
        }
        Some(_) => {
            let from = *at;
            while *at < bytes.len() && !b",]} \n".contains(&bytes[*at]) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[from..*at]).unwrap_or("") {
                text => text.parse().map_or(Json::Null, Json::Number),
            }
        }
        None => Json::Null,
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

/// A request as a stand-in reads it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn parameter(&self, name: &str) -> String {
        let found = self.query.split('&').find_map(|w| w.strip_prefix(name)?.strip_prefix('='));
        let mut out = Vec::new();
        let mut bytes = found.unwrap_or("").bytes();
        while let Some(byte) = bytes.next() {
            if byte == b'%' {
                let hex: Vec<u8> = bytes.by_ref().take(2).collect();
                let text = String::from_utf8_lossy(&hex).into_owned();
                out.push(u8::from_str_radix(&text, 16).unwrap_or(b'?'));
            } else {
                out.push(byte);
            }
        }
        String::from_utf8_lossy(&out).into()
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    words.next()?;
    let uri = words.next()?.to_owned();
    let (path, query) = uri.split_once('?').unwrap_or((&uri, ""));
    let mut out = Request { path: path.into(), query: query.into(), ..Request::default() };
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, text) = line.split_once(':')?;
        out.headers.push((name.trim().into(), text.trim().into()));
    }
    let length: usize = out.header("content-length").parse().unwrap_or(0);
    out.body = vec![0; length];
    reader.read_exact(&mut out.body).ok()?;
    Some(out)
}

/// An answer as a stand-in of a caller reads it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads an answer; `None` if the connection ends or times out before its head is complete.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let mut out = Answer { status, ..Answer::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, text) = line.split_once(':')?;
        out.headers.push((name.trim().into(), text.trim().into()));
    }
    if out.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if !reader.read_line(&mut line).is_ok_and(|n| n > 0) {
                return Some(out);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Some(out) };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(out);
            }
            if length == 0 {
                out.whole = true;
                return Some(out);
            }
            out.body.extend_from_slice(&chunk[..length]);
        }
    }
    match out.header("content-length").parse::<usize>() {
        Ok(length) => {
            out.body = vec![0; length];
            out.whole = reader.read_exact(&mut out.body).is_ok();
        }
        Err(_) => out.whole = reader.read_to_end(&mut out.body).is_ok(),
    }
    Some(out)
}

/// Serves connections at a free port of 127.0.0.1, each in a thread.
pub fn serve<F>(answer: F) -> SocketAddr
where
    F: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it has an address");
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !answer(&request, &mut out) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

pub fn write_json(out: &mut TcpStream, status: u16, body: &str) -> bool {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    );
    out.write_all(format!("{head}{body}").as_bytes()).is_ok()
}

#[derive(Debug, Clone)]
struct Row {
    table: String,
    part: String,
    key: String,
    /// In Base64; `None` if the row was removed.
    value: Option<String>,
    ver: u64,
}

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String, String), Row>,
    ver: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
}

impl Store {
    /// A store, and the address at which it is served.
    pub fn start() -> (Self, SocketAddr) {
        let shared = Arc::new((Mutex::new(Rows { ver: 1, ..Rows::default() }), Condvar::new()));
        let store = Self { shared, start: Instant::now() };
        let serving = store.clone();
        let addr = serve(move |request, out| serving.answer(request, out));
        (store, addr)
    }

    /// Writes a row, as the operator or a replica does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.change(table, "", key, Some(base64(json.as_bytes())));
    }

    fn change(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut rows = self.shared.0.lock().unwrap();
        rows.ver += 1;
        let ver = rows.ver;
        set(&mut rows, table, part, key, value, ver);
        self.shared.1.notify_all();
    }

    fn now_ms(&self) -> u128 {
        self.start.elapsed().as_millis() + 1_000_000
    }

    fn page(&self, rows: &[&Row], ver: u64) -> String {
        let row = |r: &&Row| match &r.value {
            Some(value) => format!(
                r#"{{"table":"{}","part":"{}","key":"{}","value":"{value}","ver":{}}}"#,
                r.table, r.part, r.key, r.ver
            ),
            None => format!(
                r#"{{"table":"{}","part":"{}","key":"{}","value":"","ver":{},"removed":true}}"#,
                r.table, r.part, r.key, r.ver
            ),
        };
        let rows: Vec<String> = rows.iter().map(row).collect();
        let now = self.now_ms();
        format!(r#"{{"rows":[{}],"more_pages":false,"ver":{ver},"now_ms":{now}}}"#, rows.join(","))
    }

    fn answer(&self, request: &Request, out: &mut TcpStream) -> bool {
        match request.path.as_str() {
            wire::ROWS_GET => {
                let (table, part) = (request.parameter("table"), request.parameter("part"));
                let from = request.parameter("from");
                let limit: usize = request.parameter("limit").parse().unwrap_or(500);
                let rows = self.shared.0.lock().unwrap();
                let found = rows.rows.values().filter(|r| {
                    r.table == table && r.part == part && r.key >= from && r.value.is_some()
                });
                let found: Vec<&Row> = found.take(limit).collect();
                let body = self.page(&found, rows.ver);
                drop(rows);
                write_json(out, 200, &body)
            }
            wire::ROWS_FEED => {
                let table = request.parameter("table");
                let after: u64 = request.parameter("after").parse().unwrap_or(0);
                let wait: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.shared.0.lock().unwrap();
                loop {
                    let found: Vec<&Row> =
                        rows.rows.values().filter(|r| r.table == table && r.ver > after).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        let body = self.page(&found, rows.ver);
                        drop(rows);
                        return write_json(out, 200, &body);
                    }
                    rows = self.shared.1.wait_timeout(rows, left).unwrap().0;
                }
            }
            wire::ROWS_TX => {
                let tx = Json::parse(&String::from_utf8_lossy(&request.body));
                let mut rows = self.shared.0.lock().unwrap();
                let name = |e: &Json| {
                    let text = |n| e.get(n).text().to_owned();
                    (text("table"), text("part"), text("key"))
                };
                let holds = tx.get(wire::EXPECTED).list().iter().all(|e| {
                    let found = rows.rows.get(&name(e)).filter(|r| r.value.is_some());
                    found.map_or(0, |r| r.ver) == e.get("ver").number()
                });
                if !holds {
                    let body = self.page(&[], rows.ver);
                    return write_json(out, 412, &body);
                }
                rows.ver += 1;
                let ver = rows.ver;
                for put in tx.get("puts").list() {
                    let (table, part, key) = name(put);
                    let value = Some(put.get("value").text().to_owned());
                    set(&mut rows, &table, &part, &key, value, ver);
                }
                for gone in tx.get("remove").list() {
                    let (table, part, key) = name(gone);
                    set(&mut rows, &table, &part, &key, None, ver);
                }
                self.shared.1.notify_all();
                drop(rows);
                let now = self.now_ms();
                write_json(out, 200, &format!(r#"{{"ver":{ver},"now_ms":{now}}}"#))
            }
            _ => write_json(out, 404, "{}"),
        }
    }
}

fn set(rows: &mut Rows, table: &str, part: &str, key: &str, value: Option<String>, ver: u64) {
    let (table, part, key) = (table.to_owned(), part.to_owned(), key.to_owned());
    let row = Row { table: table.clone(), part: part.clone(), key: key.clone(), value, ver };
    rows.rows.insert((table, part, key), row);
}

/// A free port of 127.0.0.1 for TCP.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address").port()
}
