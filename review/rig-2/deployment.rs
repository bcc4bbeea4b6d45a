//! A small deployment of the project's own program among the stand-ins.

use std::{
    fs,
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::standins::{Answer, Request, Store, free_port, read_answer, serve, write_json};
use crate::wire;

pub const HOST: &str = "host.example";
pub const KEY: &str = "key-a";

/// What was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn new(folder: &str) -> Self {
        let file = fs::File::create(PathBuf::from(folder).join("record.txt"));
        let file = Arc::new(Mutex::new(file.expect("record.txt can be written")));
        Self { file, start: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:7.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// One process of the program, as `deploy/system.toml` starts it.
pub struct Instance {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Instance {
    /// Starts an instance with the figures of the small deployment of `sites/umthombo-book.toml`.
    pub fn start(name: &str, store: SocketAddr, folder: &PathBuf) -> Self {
        let [front, ready, control, directory, port] = [(); 5].map(|()| free_port());
        let text = format!(
            r#"node = "{name}"
role = "instance"
class = "front"
serves = ["front","control","directory"]
ip = "127.0.0.1"
zone = "gp-north"
region = "gauteng"
port_range = [{port},{port}]
seeds = ["127.0.0.1:{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
gp-north = "gauteng"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 110
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
propagate_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
budget_window_s = 10
retry_extra = 52
recover_s = 12
transit_ms = 120
again_s = 20
require_fence = true
lease_ms = 3000
thaw_ms = 300
version_ms = 15000
version_all_ms = 21000
ttl_max_s = 5
[provider]
addr = "{store}"
form = "table"
writes_per_s = 400
reads_per_s = 2000
tx_ms = 5.0
part_writes_s = 200
row_bytes = 65536
across = false
history_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_tput_s = 80.0
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(program())
            .env(wire::SETTINGS, &settings)
            .stdout(Stdio::from(log.try_clone().expect("a log")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the release build is there");
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self { child, front: addr(front), ready: addr(ready) }
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").arg(format!("-{name}")).arg(pid).status();
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/v1/readyz", Duration::from_millis(500)).is_some_and(|a| a.status == 200)
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn program() -> PathBuf {
    let root = std::env::var("REVIEW_ROOT").expect("run.sh sets REVIEW_ROOT");
    PathBuf::from(root).join("target/release/lentilpitch")
}

/// A call over a new connection.
pub fn get(addr: SocketAddr, path: &str, limit: Duration) -> Option<Answer> {
    let stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut out = stream.try_clone().ok()?;
    let text = format!("GET {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\n\r\n");
    out.write_all(text.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// A replica. Requests with a model are answered by a stream of `events` events, one every
/// `pause`; others by a short body after `work`.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub events: usize,
    pub pause: Duration,
    pub work: Duration,
}

impl Replica {
    /// Starts it and registers it in the store.
    pub fn start(self, store: &Store, record: &Record) -> SocketAddr {
        let (serving, noting) = (self.clone(), record.clone());
        let addr = serve(move |request, out| serving.answer(request, out, &noting));
        store.put("servers", &self.id, &self.entry(addr));
        addr
    }

    /// Its entry in the store.
    pub fn entry(&self, addr: SocketAddr) -> String {
        format!(
            r#"{{"service":"{}","addr":"{addr}","zone":"gp-north","version":"v1","slots":64,"state":"ready","cold_ms":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":1,"born":1760000000000}}"#,
            self.service
        )
    }

    fn answer(&self, request: &Request, out: &mut TcpStream, record: &Record) -> bool {
        if request.path == "/v1/report" {
            return write_json(
                out,
                200,
                r#"{"stage":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":91473,"handles":0,"born":1760000000000}"#,
            );
        }
        let id = request.header(wire::REQUEST_ID).to_owned();
        if request.header(wire::EXPECT_REPLICA) != self.id {
            let head = format!(
                "HTTP/1.1 421 X\r\nX-Lentilpitch-Request-Id: {id}\r\nX-Lentilpitch-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return out.write_all(head.as_bytes()).is_ok();
        }
        record.note(&format!("replica {} runs {id}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Lentilpitch-Request-Id: {id}\r\nX-Lentilpitch-Server-Seal: seal.{id}\r\n"
        );
        if request.header(wire::MODEL).is_empty() {
            std::thread::sleep(self.work);
            let body = format!("answer to {id}");
            let text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
            return out.write_all(text.as_bytes()).is_ok();
        }
        let head = format!(
            "{head}X-Lentilpitch-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut done = out.write_all(head.as_bytes()).is_ok();
        for event in 1..=self.events {
            std::thread::sleep(if event == 1 { Duration::from_millis(100) } else { self.pause });
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            done = done && out.write_all(chunk.as_bytes()).is_ok();
            if !done {
                record.note(&format!("replica {} drops {id}, its connection is closed", self.id));
                return false;
            }
        }
        out.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// The operator's configuration: the routes of the small deployment.
pub fn config(version: u64) -> String {
    let route = |prefix: &str, kind: &str, service: &str, timeout: u64, attempts: u32| {
        let (sticky, goal) = (kind == "streaming", wire::GOAL);
        format!(
            r#"{{"name":"r-{prefix}","host":"{HOST}","prefix":"/{prefix}/","kind":"{kind}","timeout_ms":{timeout},"{goal}":1000,"priority":1,"service":"{service}","attempts":{attempts},"public":false,"sticky":{sticky},"resumable":false}}"#
        )
    };
    let routes = [
        route("plan", "streaming", "llm", 12_000, 2),
        route("ask", "streaming", "llm", 6_000, 1),
        route("book", "mutating", "app", 2_500, 1),
        route("view", "idempotent", "app", 2_500, 2),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"llm","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":91473,"kv_token_bytes":35136,"link_mbps":180000.0,"concurrency":12,"models":[{{"name":"m"}}]}}}},{{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_ms":3000,"idle_ms":15000}},"tenants":[{{"name":"parish","keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A lookup, which may be repeated.
pub fn lookup(id: &str) -> String {
    format!(
        "GET /view/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lentilpitch-Request-Id: {id}\r\nX-Lentilpitch-Deadline-Ms: 2500\r\nX-Api-Key: {KEY}\r\n\r\n"
    )
}

/// A request for a stream.
pub fn stream(id: &str) -> String {
    format!(
        "POST /plan/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Lentilpitch-Request-Id: {id}\r\nX-Lentilpitch-Model: m\r\nX-Lentilpitch-Token-Usage: 400,40\r\nX-Lentilpitch-Prompt-Prefix: aa01:300,{id}:100\r\nX-Lentilpitch-Deadline-Ms: 12000\r\nX-Api-Key: {KEY}\r\nContent-Length: 0\r\n\r\n"
    )
}
