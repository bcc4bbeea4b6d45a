//! Settings of an instance, read from a YAML file at start.
//!
//! [`Settings::parse`] checks the whole file and lists each fault with its path. The log level and
//! some limits can be changed while the instance runs, see [`Settings::reload`].

mod check;
mod forms;
mod key;
mod reload;
mod wire;

use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use fields::Faults;
use hyper::Uri;
use ident::{Digest, Name};

pub use self::{
    key::{DeploymentKey, KeyError, Material},
    reload::{Reload, ReloadError},
    wire::SettingsWire,
};

/// The settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique in the deployment.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Listening addresses.
    pub listen: Listen,
    /// Address given to callers; by default that of the callers' listener. Invariant: not the
    /// unspecified IP address, port not 0.
    pub advertise: SocketAddr,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secrets and digests of keys.
    pub keys: Keys,
    /// TLS files of the callers' listener; `None` serves plain HTTP.
    pub tls: Option<Tls>,
    /// Limits of this instance.
    pub limits: Limits,
    /// Settings of the drain.
    pub drain: Drain,
    /// Format and level of the log.
    pub log: Log,
}

/// Listening addresses. Invariant: all three differ, except where the port is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Address of the callers' API.
    pub callers: SocketAddr,
    /// Address of the admin API for operators.
    pub admin: SocketAddr,
    /// Address for datagrams from other instances.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Table service.
    pub table: Table,
    /// Object store.
    pub objects: Objects,
    /// URL of the instance list: live and leaving instances, replicas and stores.
    /// Invariant: `http` with an IP address as host.
    pub list: Uri,
}

impl Platform {
    /// Socket address of the instance list.
    pub fn list_addr(&self) -> SocketAddr {
        forms::ip_of(&self.list)
            .expect("the URL of the list was checked when the settings were read")
    }
}

/// Address of the transactional table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// URL of the table service.
    pub url: Uri,
    /// Name of the table.
    pub name: String,
}

/// Address of the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objects {
    /// URL of the object store.
    pub url: Uri,
    /// Name of the bucket.
    pub bucket: String,
}

/// Secrets and digests of keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Keys {
    /// Secret shared by all instances of the deployment.
    pub deployment: DeploymentKey,
    /// Digests of the operators' API keys. Invariant: sorted, at least one.
    pub operators: Vec<Digest>,
}

/// TLS files of the callers' listener.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tls {
    /// PEM file of the certificate chain.
    pub cert_file: PathBuf,
    /// PEM file of the private key.
    pub key_file: PathBuf,
}

/// Limits of one instance. Invariant: none is 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of requests that wait for admission.
    pub queue: usize,
    /// Maximum number of requests in progress.
    pub running: usize,
    /// Maximum number of open connections from callers.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, queue: 1024, running: 1024, connections: 8192 }
    }
}

/// Settings of the drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// Grace period: longest time that a drain waits for requests in progress.
    pub most: Duration,
}

impl Default for Drain {
    fn default() -> Self {
        Self { most: Duration::from_secs(600) }
    }
}

/// Format and level of the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// Format of the log lines.
    pub format: Format,
    /// Least severe level that is written.
    pub level: Level,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// Text for humans.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Severity of a log line, most severe first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// An operation failed permanently.
    Error,
    /// An operation failed and was handled.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// Details for debugging.
    Debug,
    /// All details.
    Trace,
}

impl Level {
    /// Name of the level in `tracing` filters.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// A settings file could not be read or holds faults.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be opened or read.
    #[error("can't read settings {}: {source}; check the path and its permissions", path.display())]
    File {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file does not hold valid settings.
    #[error("settings {} need changes:\n{faults}", path.display())]
    Faults {
        /// Path of the settings file.
        path: PathBuf,
        /// All faults found.
        faults: Faults,
    },
}

impl Settings {
    /// Reads settings from YAML text. The error lists every fault.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        SettingsWire::parse(text)?.try_into()
    }

    /// Reads settings from a file, and checks that the files named in it can be read.
    pub fn read(path: &Path) -> Result<Self, ReadError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ReadError::File { path: path.into(), source })?;
        let faults = |faults| ReadError::Faults { path: path.into(), faults };
        let settings = Self::parse(&text).map_err(faults)?;
        settings.check_files().map_err(faults)?;
        Ok(settings)
    }

    fn check_files(&self) -> Result<(), Faults> {
        let mut faults = Faults::default();
        if let Err(error) = self.keys.deployment.material() {
            faults.add("keys.deployment_file", key::KEY_FILE_WANTED, &error.to_string());
        }
        if let Some(tls) = &self.tls {
            check_file("tls.cert_file", &tls.cert_file, &mut faults);
            check_file("tls.key_file", &tls.key_file, &mut faults);
            if faults.is_empty()
                && let Err(error) = crate::serve::tls_config(tls)
            {
                faults.add("tls", "a certificate and its key", &error.to_string());
            }
        }
        if faults.is_empty() { Ok(()) } else { Err(faults) }
    }
}

fn check_file(at: &str, path: &Path, faults: &mut Faults) {
    if let Err(error) = std::fs::File::open(path) {
        let found = format!("{}: {error}", path.display());
        faults.add(at, "a file that can be read", &found);
    }
}
