//! Child processes of a test.

use std::{
    env,
    ffi::OsString,
    fs::{self, File},
    io::{self, BufRead, BufReader},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;
use tokio::sync::oneshot;

use crate::{Timeout, http::HttpError, wait_for};

/// Longest wait for a process to say that it listens.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for a process to stand still, and the pause between two looks.
const STOP_LIMIT: Duration = Duration::from_secs(5);
/// See [`STOP_LIMIT`].
const STOP_LOOK: Duration = Duration::from_millis(1);
/// Bytes of a process's log shown when its test fails.
const TAIL_BYTES: usize = 4000;

/// First of the ports for [`free_addr`]; below those the system gives to outgoing connections.
const FIRST_PORT: u16 = 12_000;
/// Number of such ports.
const PORTS: u16 = 20_000;
/// The stand-ins' program, which listens where it is told.
const STAND_IN: &str = "lentilfake";

/// Why a process of a test could not be used.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// The program was not built.
    #[error("no program {0} found; run `cargo build --workspace --bins` first")]
    NotBuilt(String),
    /// The system refused to start it, or a file could not be written.
    #[error("cannot run {name}: {error}")]
    Io {
        /// The program.
        name: String,
        /// What the system says.
        error: io::Error,
    },
    /// The program ended or said nothing before it listened.
    #[error("{name} did not say where it listens; its log ends:\n{log}")]
    NotReady {
        /// The program.
        name: String,
        /// The end of what it wrote to stderr.
        log: String,
    },
    /// A signal could not be sent.
    #[error("cannot send {0:?} to process {1}")]
    Signal(Signal, u32),
    /// See [`HttpError`].
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A stand-in refused a call of the rig.
    #[error("the stand-in answered {0}: {1}")]
    Refused(hyper::StatusCode, String),
    /// No process of that name.
    #[error("no process named {0:?} was started")]
    Unknown(String),
    /// See [`Timeout`].
    #[error(transparent)]
    Timeout(#[from] Timeout),
}

/// A signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Freeze.
    Stop,
    /// Thaw.
    Cont,
    /// Ask to end.
    Term,
    /// End at once.
    Kill,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Stop => "-STOP",
            Self::Cont => "-CONT",
            Self::Term => "-TERM",
            Self::Kill => "-KILL",
        }
    }
}

/// A running program of the workspace; killed when dropped.
pub struct Proc {
    name: String,
    child: Child,
    ready: Value,
    addr: SocketAddr,
    /// Keeps the log file.
    dir: tempfile::TempDir,
}

impl Proc {
    /// Starts a program and waits for its line `{"listening":"ip:port",...}`.
    pub async fn start(name: &str, args: &[&str]) -> Result<Self, RigError> {
        Self::start_in(name, args, &[]).await
    }

    /// Like [`Proc::start`], with environment variables.
    pub async fn start_in(
        name: &str,
        args: &[&str],
        envs: &[(&str, &str)],
    ) -> Result<Self, RigError> {
        let io = |error| RigError::Io { name: name.to_owned(), error };
        let dir = tempfile::tempdir().map_err(io)?;
        let log = File::create(dir.path().join("stderr")).map_err(io)?;
        let listen = [String::from("--listen"), format!("{}:0", host())];
        let listen: &[String] = if name == STAND_IN { &listen } else { &[] };
        let mut child = Command::new(program(name)?)
            .args(args)
            .args(listen)
            .envs(envs.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .map_err(io)?;
        let stdout = child.stdout.take().expect("stdout is piped");
        let line = read_stdout(stdout);
        // From here on an early return kills the child.
        let addr = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut proc = Self { name: name.to_owned(), child, ready: Value::Null, addr, dir };
        let ready = tokio::time::timeout(START_LIMIT, line).await;
        let ready = ready.ok().and_then(Result::ok).ok_or_else(|| proc.not_ready())?;
        let addr = ready["listening"].as_str().and_then(|a| a.parse().ok());
        proc.addr = addr.ok_or_else(|| proc.not_ready())?;
        proc.ready = ready;
        Ok(proc)
    }

    fn not_ready(&self) -> RigError {
        RigError::NotReady { name: self.name.clone(), log: self.log_tail() }
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// `http://` and its address, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// The whole line it printed when it was ready.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it wrote to stderr.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.path().join("stderr")).unwrap_or_default()
    }

    fn log_tail(&self) -> String {
        let log = self.log();
        let mut start = log.len().saturating_sub(TAIL_BYTES);
        while !log.is_char_boundary(start) {
            start += 1;
        }
        log[start..].to_owned()
    }

    /// Sends a signal to this process alone.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        let pid = self.child.id();
        let status = Command::new("kill").arg(signal.flag()).arg(pid.to_string()).status();
        match status {
            Ok(status) if status.success() => {}
            _ => return Err(RigError::Signal(signal, pid)),
        }
        if signal == Signal::Stop {
            self.stand_still();
        }
        Ok(())
    }

    /// Waits until a process that was told to stop stands still: its threads stop one by one.
    fn stand_still(&self) {
        let stopped = || self.thread_states().iter().all(|state| *state == "T");
        let limit = Instant::now() + STOP_LIMIT;
        while !stopped() && Instant::now() < limit {
            thread::sleep(STOP_LOOK);
        }
    }

    /// The state letter of each thread, by the kernel's word.
    fn thread_states(&self) -> Vec<String> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.pid()));
        let stats = tasks.into_iter().flatten().flatten().map(|task| task.path().join("stat"));
        let state = |text: String| {
            let (_, rest) = text.rsplit_once(") ")?;
            Some(rest.chars().take(1).collect())
        };
        stats.filter_map(|path| state(fs::read_to_string(path).ok()?)).collect()
    }

    /// Its exit status, once it has ended.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, Timeout> {
        let what = format!("the end of {} ({})", self.name, self.pid());
        let child = parking_lot::Mutex::new(&mut self.child);
        wait_for(&what, limit, || async { child.lock().try_wait().ok().flatten() }).await
    }

    /// Asks it to end and waits.
    pub async fn stop(mut self, limit: Duration) -> Result<ExitStatus, RigError> {
        self.signal(Signal::Term)?;
        Ok(self.wait(limit).await?)
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("--- {} {} ended its log with:\n{}", self.name, self.addr, self.log_tail());
        }
        // Both fail only when the child has been waited for already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Drains stdout in a thread, so that the child never blocks; yields the first JSON line that says
/// where it listens.
fn read_stdout(stdout: ChildStdout) -> oneshot::Receiver<Value> {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || {
        let mut sender = Some(sender);
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let value = serde_json::from_str::<Value>(&line).unwrap_or_default();
            if value["listening"].is_string()
                && let Some(sender) = sender.take()
            {
                // The starter may have given up.
                let _ = sender.send(value);
            }
        }
    });
    receiver
}

/// The path of a program of the workspace.
pub fn program(name: &str) -> Result<PathBuf, RigError> {
    if let Some(path) = env::var_os(format!("CARGO_BIN_EXE_{name}")) {
        return Ok(path.into());
    }
    let exe = env::current_exe().unwrap_or_default();
    let file = OsString::from(format!("{name}{}", env::consts::EXE_SUFFIX));
    let dirs = exe.ancestors().skip(1).take(2).map(Path::to_owned);
    let mut paths = dirs.map(|dir| dir.join(&file));
    paths.find(|path| path.is_file()).ok_or_else(|| RigError::NotBuilt(name.to_owned()))
}

/// A loopback address of this process alone. Deployments of several test processes run at once; a
/// caller that still knows the address of a killed instance must not meet another deployment's.
pub fn host() -> Ipv4Addr {
    let pid = std::process::id();
    let octet = |n: u32| u8::try_from(1 + n % 250).unwrap_or(1);
    Ipv4Addr::new(127, octet(pid / 250), octet(pid), 1)
}

/// An address of [`host`] that was free a moment ago. None is drawn twice before all ports were.
pub fn free_addr() -> io::Result<SocketAddr> {
    static DRAWN: AtomicU16 = AtomicU16::new(0);
    let mut error = io::ErrorKind::AddrInUse.into();
    for _ in 0..PORTS {
        let port = FIRST_PORT + DRAWN.fetch_add(1, Ordering::Relaxed) % PORTS;
        let addr = SocketAddr::from((host(), port));
        match TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(e) => error = e,
        }
    }
    Err(error)
}
