//! Instances of the project, each a process that is started with the command of the deploy file.

use std::{
    fs,
    io::{BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, wire::BOOT_VARIABLE};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getpid() -> i32;
    fn prctl(option: i32, ...) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Bounds of the settings file that differ between cases.
#[derive(Debug, Clone)]
pub struct Plan {
    pub memory_mb: u64,
    pub grace_s: u64,
}

pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    root: PathBuf,
    command: Vec<String>,
    pub child: Mutex<Option<Child>>,
}

/// The repository's root, found from the program's own path in target/review/release/.
pub fn root() -> PathBuf {
    let own = std::env::current_exe().expect("the program has a path");
    own.ancestors().nth(4).expect("it lies in target/review/release").to_path_buf()
}

/// The command of the deploy file.
fn command(root: &Path) -> Vec<String> {
    let text =
        fs::read_to_string(root.join("deploy/system.toml")).expect("the deploy file is there");
    let line =
        text.lines().find_map(|l| l.trim().strip_prefix("run = ")).expect("it names a program");
    line.trim().trim_matches('"').split(' ').map(Into::into).collect()
}

impl Instance {
    /// Writes the settings of an instance and starts it.
    pub fn start(at: u8, store: SocketAddr, plan: &Plan, folder: &Path) -> Arc<Instance> {
        let own = unsafe { getpid() } as u32;
        let ip = IpAddr::V4(Ipv4Addr::new(
            127,
            60 + (own / 250 % 100) as u8,
            1 + (own % 250) as u8,
            at + 1,
        ));
        let mut port = 12_000 + (own % 10_000) as u16;
        let mut take = |count: u16| loop {
            let from = port;
            port += count;
            let free = |p: u16| TcpListener::bind((ip, p)).is_ok();
            if (from..from + count).all(free) {
                return from;
            }
        };
        let (front, ready, control, directory) = (take(1), take(1), take(1), take(1));
        let range = take(16);
        let name = format!("front-a-{}", at + 1);
        let text = format!(
            r#"node = "{name}"
role = "instance"
class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "a"
region = "r"
port_range = [{range},{}]
seeds = ["{ip}:{control}"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
a = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {}
max_fds = 4100
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
grace_s = {}
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
"#,
            range + 15,
            plan.memory_mb,
            plan.grace_s
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the folder can be written");
        let root = root();
        let instance = Arc::new(Instance {
            front: SocketAddr::new(ip, front),
            ready: SocketAddr::new(ip, ready),
            log: folder.join(format!("{name}.log")),
            command: command(&root),
            child: Mutex::new(None),
            name,
            settings,
            root,
        });
        instance.run();
        instance
    }

    /// Starts the process.
    pub fn run(&self) {
        let log = fs::File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(self.root.join(&self.command[0]));
        // PR_SET_PDEATHSIG: it does not outlive this program.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args(&self.command[1..])
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HOME", "/tmp")
            .env(BOOT_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release has the program");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        let pid = self.pid();
        if pid > 0 {
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Kills the process and waits for its end.
    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Memory that the process has resident, in bytes.
    pub fn memory(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// Waits until the platform's check of readiness gets a 200.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}

fn ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let asked =
        stream.write_all(b"GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let answer = http::read_answer(&mut BufReader::new(stream));
    asked.is_ok() && answer.is_some_and(|a| a.status == 200)
}
