//! Starts child processes for tests and sends them signals.

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

/// Longest wait until a process prints that it listens.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait until all threads of a frozen process are stopped.
const FREEZE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two reads of the thread states of a process that is being frozen.
const FREEZE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes at the end of the log of a process that are printed if its test fails.
const TAIL_BYTES: usize = 4000;

/// First port for [`free_addr`]. The range is below the ports that the system uses for outgoing
/// connections.
const FIRST_PORT: u16 = 12_000;
/// Number of ports for [`free_addr`].
const PORT_COUNT: u16 = 20_000;
/// Program of the stand-ins, which gets its address by the option `--listen`.
const STAND_IN: &str = "lentilfake";

/// Error of the test harness.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// The program was not built.
    #[error("no program {0} found; run `cargo build --workspace --bins` first")]
    NotBuilt(String),
    /// A program could not be started, or a file could not be written.
    #[error("cannot run {name}: {error}")]
    Io {
        /// Name of the program.
        name: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// A program ended, or did not print its address in time.
    #[error("{name} did not say where it listens; its log ends:\n{log}")]
    NotReady {
        /// Name of the program.
        name: String,
        /// End of its standard error.
        log: String,
    },
    /// A signal could not be sent to the process with this id.
    #[error("cannot send {0:?} to process {1}")]
    Signal(Signal, u32),
    /// A call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A stand-in or an instance refused a call of the harness; holds the status and the body.
    #[error("the stand-in answered {0}: {1}")]
    Refused(hyper::StatusCode, String),
    /// No process was started under this name.
    #[error("no process named {0:?} was started")]
    Unknown(String),
    /// A state was not reached in time.
    #[error(transparent)]
    Timeout(#[from] Timeout),
}

/// Signal to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Freezes the process.
    Stop,
    /// Lets a frozen process go on.
    Cont,
    /// Asks the process to exit.
    Term,
    /// Kills the process.
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
    /// Folder of the log file; removed when dropped.
    dir: tempfile::TempDir,
}

impl Proc {
    /// Starts a program and waits until it prints `{"listening":"ip:port",...}` on a line.
    pub async fn start(name: &str, args: &[&str]) -> Result<Self, RigError> {
        Self::start_in(name, args, &[]).await
    }

    /// Like [`Proc::start`], with additional environment variables.
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
        // From here on, an early return drops `proc` and so kills the child.
        let addr = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut proc = Self { name: name.to_owned(), child, ready: Value::Null, addr, dir };
        let ready = tokio::time::timeout(START_TIMEOUT, line).await;
        let ready = ready.ok().and_then(Result::ok).ok_or_else(|| proc.not_ready())?;
        let addr = ready["listening"].as_str().and_then(|a| a.parse().ok());
        proc.addr = addr.ok_or_else(|| proc.not_ready())?;
        proc.ready = ready;
        Ok(proc)
    }

    fn not_ready(&self) -> RigError {
        RigError::NotReady { name: self.name.clone(), log: self.log_tail() }
    }

    /// Address that the process listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// URL of the address, without a slash at the end.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// JSON line that the process printed when it listened.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Standard error of the process so far; empty if it can't be read.
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

    /// Sends a signal to this process only.
    pub fn signal(&self, signal: Signal) -> Result<(), RigError> {
        let pid = self.child.id();
        let status = Command::new("kill").arg(signal.flag()).arg(pid.to_string()).status();
        match status {
            Ok(status) if status.success() => {}
            _ => return Err(RigError::Signal(signal, pid)),
        }
        if signal == Signal::Stop {
            self.wait_stopped();
        }
        Ok(())
    }

    /// Waits until all threads of a frozen process are stopped; they stop one after the other.
    /// Gives up after [`FREEZE_TIMEOUT`].
    fn wait_stopped(&self) {
        let stopped = || self.thread_states().iter().all(|state| *state == "T");
        let deadline = Instant::now() + FREEZE_TIMEOUT;
        while !stopped() && Instant::now() < deadline {
            thread::sleep(FREEZE_POLL_INTERVAL);
        }
    }

    /// State letter of each thread, from `/proc`.
    fn thread_states(&self) -> Vec<String> {
        let tasks = fs::read_dir(format!("/proc/{}/task", self.pid()));
        let stats = tasks.into_iter().flatten().flatten().map(|task| task.path().join("stat"));
        let state = |text: String| {
            let (_, rest) = text.rsplit_once(") ")?;
            Some(rest.chars().take(1).collect())
        };
        stats.filter_map(|path| state(fs::read_to_string(path).ok()?)).collect()
    }

    /// Exit status; `None` while the process runs.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits, at most for `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<ExitStatus, Timeout> {
        let what = format!("the end of {} ({})", self.name, self.pid());
        let child = parking_lot::Mutex::new(&mut self.child);
        wait_for(&what, timeout, || async { child.lock().try_wait().ok().flatten() }).await
    }

    /// Asks the process to exit and waits for that, at most for `timeout`.
    pub async fn stop(mut self, timeout: Duration) -> Result<ExitStatus, RigError> {
        self.signal(Signal::Term)?;
        Ok(self.wait(timeout).await?)
    }
}

impl Drop for Proc {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("--- {} {} ended its log with:\n{}", self.name, self.addr, self.log_tail());
        }
        // Both fail only if the process has exited and was waited for before.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads standard output in a thread, so that the child never blocks on a full pipe. Sends the
/// first JSON line that has the field `listening`.
fn read_stdout(stdout: ChildStdout) -> oneshot::Receiver<Value> {
    let (sender, receiver) = oneshot::channel();
    thread::spawn(move || {
        let mut sender = Some(sender);
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let value = serde_json::from_str::<Value>(&line).unwrap_or_default();
            if value["listening"].is_string()
                && let Some(sender) = sender.take()
            {
                // The receiver may have timed out.
                let _ = sender.send(value);
            }
        }
    });
    receiver
}

/// Path of a program of the workspace.
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

/// Loopback address of this test process. Several test processes run deployments at the same time,
/// and a caller that still has the address of a killed instance must not reach another deployment.
pub fn host() -> Ipv4Addr {
    let pid = std::process::id();
    let octet = |n: u32| u8::try_from(1 + n % 250).unwrap_or(1);
    Ipv4Addr::new(127, octet(pid / 250), octet(pid), 1)
}

/// Returns an address of [`host`] that is free at present. Every port is used once before any
/// port is used again.
pub fn free_addr() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let mut error = io::ErrorKind::AddrInUse.into();
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + NEXT_OFFSET.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let addr = SocketAddr::from((host(), port));
        match TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(e) => error = e,
        }
    }
    Err(error)
}
