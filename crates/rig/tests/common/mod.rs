//! A scripted instance: answers `/v1/where` with its addresses, and every other call with the next
//! script.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use parking_lot::Mutex;
use rig::{Caller, CallerConfig};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Idle timeout of the caller.
pub const SILENCE: Duration = Duration::from_secs(1);
/// Pause between the parts of a paced script.
const PART_INTERVAL: Duration = Duration::from_millis(100);

/// Data that is sent on one connection, with a pause after each part.
pub struct Script {
    parts: Vec<(String, Duration)>,
}

impl Script {
    pub fn answer(status: &str, kind: &str, headers: &str, body: &str) -> Self {
        let text = format!(
            "HTTP/1.1 {status}\r\ncontent-type: {kind}\r\n{headers}connection: close\r\n\r\n{body}"
        );
        Self { parts: vec![(text, Duration::ZERO)] }
    }

    pub fn events(events: &str) -> Self {
        Self::answer("200 OK", "text/event-stream", "", events)
    }

    pub fn paced(parts: &[&str], last: &str) -> Self {
        let mut script = Self::events("");
        script.parts.extend(parts.iter().map(|p| ((*p).to_owned(), PART_INTERVAL)));
        script.parts.push((last.to_owned(), Duration::ZERO));
        script
    }

    /// Ends in the middle of a chunked body.
    pub fn cut(mut self) -> Self {
        let chunked = "transfer-encoding: chunked\r\nconnection: close\r\n\r\n";
        let (head, body) = self.parts[0].0.split_once("connection: close\r\n\r\n").unwrap();
        self.parts[0].0 = format!("{head}{chunked}{:x}\r\n{body}\r\n", body.len());
        self
    }

    /// Closes the connection without an answer.
    pub fn cut_at_once(mut self) -> Self {
        self.parts.clear();
        self
    }

    /// Keeps the connection open for `span` after the last part.
    pub fn hold(mut self, span: Duration) -> Self {
        self.parts.last_mut().unwrap().1 = span;
        self
    }
}

#[derive(Default)]
struct State {
    scripts: VecDeque<Script>,
    heads: Vec<String>,
    addresses: Vec<String>,
}

pub struct Entry {
    pub addr: String,
    state: Arc<Mutex<State>>,
}

impl Entry {
    /// Starts an instance that returns its own address, then those of `others`.
    pub async fn start(others: &[&Self]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap().to_string();
        let state = Arc::new(Mutex::new(State::default()));
        state.lock().addresses.push(addr.clone());
        state.lock().addresses.extend(others.iter().map(|o| o.addr.clone()));
        let served = state.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, served.clone()));
            }
        });
        Self { addr, state }
    }

    pub fn expect(&self, script: Script) {
        self.state.lock().scripts.push_back(script);
    }

    /// Heads and bodies of the calls received so far.
    pub fn heads(&self) -> Vec<String> {
        self.state.lock().heads.clone()
    }
}

async fn serve(mut stream: TcpStream, state: Arc<Mutex<State>>) {
    let Some(request) = read(&mut stream).await else { return };
    let script = {
        let mut state = state.lock();
        state.heads.push(request.clone());
        if request.starts_with("GET /v1/where") {
            let addresses: Vec<_> = state.addresses.iter().map(|a| json!({"addr": a})).collect();
            let body = json!({"addresses": addresses, "expires_ms": 60_000});
            Script::answer("200 OK", "application/json", "", &body.to_string())
        } else {
            state.scripts.pop_front().expect("a call was received that no script is left for")
        }
    };
    for (part, pause) in script.parts {
        stream.write_all(part.as_bytes()).await.unwrap();
        tokio::time::sleep(pause).await;
    }
}

async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let length = head.lines().find_map(|l| l.strip_prefix("content-length: "));
        if body.len() >= length.map_or(0, |l| l.parse().unwrap()) {
            return Some(text.into_owned());
        }
    }
}

pub fn chunk(request: &str, offset: u64, finish: &str) -> String {
    let finish = Some(finish).filter(|f| !f.is_empty());
    let data = json!({
        "lentil": {"request": request, "offset": offset},
        "choices": [{"index": 0, "text": format!("t{offset} "), "finish_reason": finish}],
        "system_fingerprint": "v1",
        "usage": finish.map(|_| json!({"prompt_tokens": 9, "completion_tokens": 2,
            "prompt_tokens_details": {"cached_tokens": 5}})),
    });
    format!("id: handle-{offset}\ndata: {data}\n\n")
}

pub fn problem(status: u16, ran: &str, retry: Option<u64>) -> Script {
    problem_of("limited", status, ran, retry)
}

pub fn problem_of(kind: &str, status: u16, ran: &str, retry: Option<u64>) -> Script {
    let kind = format!("urn:lentilpitch:problem:{kind}");
    let body = json!({"type": kind, "title": "x", "status": status, "ran": ran,
        "retry_after_ms": retry.map(|s| s * 1000)});
    let headers = retry.map_or_else(String::new, |s| format!("retry-after: {s}\r\n"));
    let status = format!("{status} Refused");
    Script::answer(&status, "application/problem+json", &headers, &body.to_string())
}

pub fn caller(entry: &Entry) -> Caller {
    Caller::new(CallerConfig {
        seeds: vec![entry.addr.clone()],
        key: "key".to_owned(),
        zone: None,
        silence: SILENCE,
        patience: Duration::from_secs(10),
        limit: Duration::from_secs(30),
    })
}
