//! Stand-in of a replica: it registers itself, checks for whom a request is meant, and hands it to
//! the case.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Head, read_body, read_head, write_answer},
    json::Json,
    link::Link,
    store::Store,
    wire::*,
};

/// Interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// What a replica answers to a request that it runs.
pub enum Reply {
    /// A whole answer.
    Whole(Vec<u8>),
    /// An event stream, one event each interval.
    Events(Vec<String>, Duration),
}

/// Runs a request: id of the replica, head and body.
pub type Run = dyn Fn(&str, &Head, &[u8]) -> Reply + Send + Sync;

pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    service: String,
    model: Option<String>,
    pub version: AtomicU64,
    orders: AtomicU64,
    fence: AtomicU64,
    slots: u64,
    running: AtomicU64,
    /// Timeout of unused connections, as answers state it.
    keep_alive_s: Option<u64>,
    alive: AtomicBool,
    leaving: AtomicBool,
    /// Whole answers that were written, by request.
    pub written: Mutex<Vec<String>>,
    run: Arc<Run>,
}

impl Replica {
    /// Starts a replica and registers it. `model` is the model of an engine.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        model: Option<&str>,
        slots: u64,
        run: Arc<Run>,
    ) -> Arc<Replica> {
        Self::start_at(store, id, service, model, slots, run, None, |addr| addr)
    }

    /// Starts a replica that is reached through a link only.
    pub fn start_behind_link(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        slots: u64,
        run: Arc<Run>,
    ) -> (Arc<Replica>, Arc<Link>) {
        let mut link = None;
        let replica = Self::start_at(store, id, service, None, slots, run, Some(1), |addr| {
            link.insert(Link::start(addr)).addr
        });
        (replica, link.expect("it was started"))
    }

    fn start_at(
        store: &Arc<Store>,
        id: &str,
        service: &str,
        model: Option<&str>,
        slots: u64,
        run: Arc<Run>,
        keep_alive_s: Option<u64>,
        told: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let replica = Arc::new(Replica {
            id: id.into(),
            addr: told(listener.local_addr().expect("it is bound")),
            service: service.into(),
            model: model.map(Into::into),
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            fence: AtomicU64::new(0),
            slots,
            running: AtomicU64::new(0),
            keep_alive_s,
            alive: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            written: Mutex::default(),
            run,
        });
        let served = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !served.alive.load(Ordering::Relaxed) {
                    return;
                }
                let replica = served.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        let (beating, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            let mut seq = 0;
            loop {
                seq += 1;
                store.put("servers", &beating.id, &beating.entry(seq));
                thread::sleep(HEARTBEAT);
                if !beating.alive.load(Ordering::Relaxed) {
                    return;
                }
            }
        });
        replica
    }

    fn models(&self) -> String {
        let version = self.version.load(Ordering::Relaxed);
        match &self.model {
            Some(model) => format!(r#"[{{"name":"{model}","version":{version},"adapters":[]}}]"#),
            None => "[]".into(),
        }
    }

    fn entry(&self, seq: u64) -> String {
        let (service, addr, slots) = (&self.service, self.addr, self.slots);
        let models = self.models();
        let state = if self.leaving.load(Ordering::Relaxed) { "drain" } else { "ready" };
        format!(
            r#"{{"service":"{service}","addr":"{addr}","zone":"a","version":"v1","slots":{slots},"state":"{state}","cold_ms":0,"stage":"unified","models":{models},"seq":{seq},"born":1700000000000}}"#
        )
    }

    /// Says in its entry that it is leaving. The store has taken the word on return.
    pub fn drain(&self, store: &Store) {
        self.leaving.store(true, Ordering::Relaxed);
        store.put("servers", &self.id, &self.entry(1_000_000));
    }

    /// Leaves: no new requests are answered, and the entry is gone.
    pub fn leave(&self, store: &Store) {
        self.alive.store(false, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
        store.remove("servers", &self.id);
        // Ends the wait for the next connection, after which the listener closes.
        let _ = TcpStream::connect(self.addr);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // Unused connections are closed after a timeout, which answers state.
        let _ = stream.set_read_timeout(self.keep_alive_s.map(Duration::from_secs));
        let mut to = stream.try_clone().expect("a socket can be cloned");
        let mut from = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut from) {
            let (body, whole) = read_body(&head, &mut from, false);
            if !self.alive.load(Ordering::Relaxed) {
                return;
            }
            if !whole || !self.answer(&mut to, &head, &body) {
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection goes on.
    fn answer(&self, to: &mut TcpStream, head: &Head, body: &[u8]) -> bool {
        let json = ("content-type", "application/json".to_owned());
        let running = self.running.load(Ordering::Relaxed);
        match (head.method(), head.path()) {
            ("GET", "/v1/report") => {
                let (models, seq) = (self.models(), self.orders.load(Ordering::Relaxed));
                let text = format!(
                    r#"{{"stage":"unified","models":{models},"busy":false,"seq":{seq},"queued":0,"running":{running},"kv_used":0,"kv_total":90000,"handles":0,"born":1700000000000}}"#
                );
                return write_answer(to, 200, &[json], text.as_bytes()).is_ok();
            }
            ("GET", "/healthz") => {
                let id = (REPLICA_ID, self.id.clone());
                return write_answer(to, 200, &[id], b"").is_ok();
            }
            ("POST", "/v1/order") => {
                let status = self.order(head, &String::from_utf8_lossy(body));
                return write_answer(to, status, &[json], b"{}").is_ok();
            }
            _ => {}
        }
        let request = head.get(REQUEST_ID).to_owned();
        let version = self.version.load(Ordering::Relaxed);
        let (expected, wanted) = (head.get(EXPECT_REPLICA), head.get(EXPECT_VERSION));
        let mut headers = vec![(REQUEST_ID, request.clone()), (REPLICA_ID, self.id.clone())];
        if self.model.is_some() {
            headers.push((VERSIONS, version.to_string()));
        }
        let other = !expected.is_empty() && expected != self.id;
        if other || (!wanted.is_empty() && wanted != version.to_string()) {
            headers.push((NOT_RUN, "1".into()));
            return write_answer(to, 421, &headers, b"").is_ok();
        }
        if request.is_empty() {
            headers.push((NOT_RUN, "1".into()));
            return write_answer(to, 400, &headers, b"").is_ok();
        }
        if running >= self.slots {
            headers.push((NOT_RUN, "1".into()));
            return write_answer(to, 503, &headers, b"").is_ok();
        }
        headers.push((SEAL, format!("seal.{request}")));
        if let Some(seconds) = self.keep_alive_s {
            headers.push(("keep-alive", format!("timeout={seconds}")));
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let reply = (self.run)(&self.id, head, body);
        let goes_on = match reply {
            Reply::Whole(bytes) => {
                let written = write_answer(to, 200, &headers, &bytes).is_ok();
                if written {
                    self.written.lock().unwrap().push(request.clone());
                }
                written
            }
            Reply::Events(events, pause) => write_events(to, &headers, &events, pause),
        };
        self.running.fetch_sub(1, Ordering::Relaxed);
        goes_on
    }

    fn order(&self, head: &Head, text: &str) -> u16 {
        let order = Json::parse(text).unwrap_or(Json::Null);
        let fence = order.get("fence").number();
        let version = order.get("version").number();
        let status = if head.get(EXPECT_REPLICA) != self.id {
            421
        } else if fence < self.fence.load(Ordering::Relaxed) {
            412
        } else if version == self.version.load(Ordering::Relaxed) {
            200
        } else if *order.get(EXPECTED) != Json::Null
            && order.get(EXPECTED).number() != self.orders.load(Ordering::Relaxed)
        {
            409
        } else {
            self.orders.fetch_add(1, Ordering::Relaxed);
            self.version.store(version, Ordering::Relaxed);
            202
        };
        if status < 400 {
            self.fence.fetch_max(fence, Ordering::Relaxed);
        }
        status
    }
}

fn write_events(
    to: &mut TcpStream,
    headers: &[(&str, String)],
    events: &[String],
    pause: Duration,
) -> bool {
    let mut text = String::from(
        "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\ncontent-type: text/event-stream\r\n",
    );
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if to.write_all((text + "\r\n").as_bytes()).is_err() {
        return false;
    }
    for event in events {
        thread::sleep(pause);
        if to.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
            return false;
        }
    }
    to.write_all(b"0\r\n\r\n").is_ok()
}
