//! A planned stop of an instance while a client with a slow link receives its answer.

use std::{
    io::Read,
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
    path::PathBuf,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use super::{Outcome, TENANTS, config, head, instances};
use crate::{
    http::Head,
    instance::{Plan, SIGTERM},
    record::Record,
    replica::{Replica, Reply},
    store::Store,
    wire::*,
};

/// Bytes of an answer.
const ANSWER_BYTES: usize = 1_200_000;
/// Bytes that a client receives in a second.
const RATE: f64 = 165_000.0;
/// Largest segment and receive buffer of the client, as over the Internet.
const SEGMENT: i32 = 1400;
const BUFFER: i32 = 8192;
/// Clients.
const CLIENTS: usize = 6;

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, addr: *const u8, length: u32) -> i32;
}

/// Connects as a client behind an ordinary link does.
fn slow_client(addr: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(addr) = addr else { return None };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        // SOL_SOCKET, SO_RCVBUF; IPPROTO_TCP, TCP_MAXSEG.
        setsockopt(fd, 1, 8, &BUFFER, 4);
        setsockopt(fd, 6, 2, &SEGMENT, 4);
        let mut raw = vec![2u8, 0];
        raw.extend_from_slice(&addr.port().to_be_bytes());
        raw.extend_from_slice(&addr.ip().octets());
        raw.extend_from_slice(&[0; 8]);
        let stream = TcpStream::from_raw_fd(fd);
        (connect(fd, raw.as_ptr(), 16) == 0).then_some(stream)
    }
}

pub fn play(record: &Arc<Record>, scratch: &PathBuf, trouble: bool) -> Outcome {
    let store = Store::start();
    let routes = [route_json("slot", "mutating", 20_000, "desk", 1, false, false)];
    store.put("op", "config", &config(1, &routes, TENANTS));
    let noted = record.clone();
    let run = Arc::new(move |id: &str, head: &Head, _: &[u8]| {
        noted.line(&format!("{id} runs {}", head.get(REQUEST_ID)));
        thread::sleep(Duration::from_millis(60));
        Reply::Whole(vec![b'x'; ANSWER_BYTES])
    });
    let desks: Vec<_> = (0..2)
        .map(|n| Replica::start(&store, &format!("d-{n}"), "desk", None, 12, run.clone()))
        .collect();
    let plan = Plan { memory_mb: 110, grace_s: 8 };
    let Some(instances) = instances(2, &store, &plan, scratch) else { return Outcome::NotRun };
    let stopped = instances[0].clone();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (front, record) = (stopped.front, record.clone());
            thread::spawn(move || receive(n, front, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let told = Instant::now();
    if trouble {
        record.say("SIGTERM to the instance");
        stopped.signal(SIGTERM);
        while !stopped.has_ended() && told.elapsed() < Duration::from_secs(12) {
            thread::sleep(Duration::from_millis(20));
        }
        record.say(&format!(
            "the instance ended {:.2} s after SIGTERM",
            told.elapsed().as_secs_f64()
        ));
    }
    let results: Vec<usize> =
        clients.into_iter().map(|c| c.join().expect("a client ends")).collect();
    let written: usize = desks.iter().map(|d| d.written.lock().unwrap().len()).sum();
    record.say(&format!("whole answers that the replicas had written: {written}"));
    let cut = results.iter().filter(|n| **n < ANSWER_BYTES).count();
    record.say(&format!("bytes of the answers of {ANSWER_BYTES} that came: {results:?}"));
    if cut > 0 { Outcome::Broken } else { Outcome::Held }
}

/// Sends a booking and reads its answer slowly. Returns the bytes of its body that came.
fn receive(n: usize, front: SocketAddr, record: &Record) -> usize {
    use std::io::Write;
    let Some(mut stream) = slow_client(front) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let id = format!("s-{n}");
    record.line(&format!("sent {id}"));
    let head = head("POST", "/slot/1", &id, "key-a", 20_000) + "content-length: 0\r\n\r\n";
    if stream.write_all(head.as_bytes()).is_err() {
        return 0;
    }
    let (begun, mut all, mut buffer) = (Instant::now(), Vec::new(), [0; 2000]);
    let body = loop {
        let (body, whole) = body_of(&all);
        if whole {
            break body;
        }
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => all.extend_from_slice(&buffer[..count]),
            other => {
                record.line(&format!("the connection of {id} ended: {other:?}"));
                break body;
            }
        }
        let due = Duration::from_secs_f64(all.len() as f64 / RATE);
        thread::sleep(due.saturating_sub(begun.elapsed()));
    };
    let first = String::from_utf8_lossy(&all[..all.len().min(15)]).into_owned();
    let took = begun.elapsed().as_secs_f64();
    record.line(&format!("{id}: {first:?}, {body} bytes of the body after {took:.1} s"));
    body
}

/// Bytes of the body that came, and whether its framing shows that it is complete.
fn body_of(bytes: &[u8]) -> (usize, bool) {
    let Some(from) = bytes.windows(4).take(4096).position(|w| w == b"\r\n\r\n") else {
        return (0, false);
    };
    let head = String::from_utf8_lossy(&bytes[..from]).to_lowercase();
    let rest = &bytes[from + 4..];
    if !head.contains("transfer-encoding: chunked") {
        let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
        return (rest.len(), length == Some(rest.len()));
    }
    // The body holds no such bytes.
    let lengths = rest.iter().filter(|b| **b == b'x').count();
    (lengths, rest.ends_with(b"0\r\n\r\n"))
}
