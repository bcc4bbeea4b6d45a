//! An instance's settings, read from a YAML file at start.
//!
//! [`Settings::parse`] checks everything at once and lists each fault with its path. Log level and
//! limits may be changed while the instance runs, see [`Settings::reload`].

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
    /// The instance's name, unique in the deployment.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub listen: Listen,
    /// The address named to callers. Invariant: a specified address and a port other than 0.
    pub advertise: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// Key material.
    pub keys: Keys,
    /// The certificate callers see; plain HTTP without.
    pub tls: Option<Tls>,
    /// Limits of this instance.
    pub limits: Limits,
    /// How it stops.
    pub drain: Drain,
    /// What it logs.
    pub log: Log,
}

/// Listening addresses. Invariant: all three differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For the other instances.
    pub peers: SocketAddr,
}

/// The platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// The transactional table service.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The list of live and leaving instances. Invariant: `http://ip` or `http://ip:port`.
    pub list: Uri,
}

impl Platform {
    /// The address of the list's endpoint.
    pub fn list_addr(&self) -> SocketAddr {
        forms::ip_of(&self.list).expect("checked when the settings were read")
    }
}

/// The transactional table service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Table {
    /// Its endpoint.
    pub url: Uri,
    /// Name of the table.
    pub name: String,
}

/// The object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Objects {
    /// Its endpoint.
    pub url: Uri,
    /// Name of the bucket.
    pub bucket: String,
}

/// Key material.
#[derive(Debug, Clone, PartialEq)]
pub struct Keys {
    /// The secret all instances of the deployment share.
    pub deployment: DeploymentKey,
    /// Digests of the operators' keys. Invariant: sorted, at least one.
    pub operators: Vec<Digest>,
}

/// The certificate callers see.
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
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Requests waiting for admission.
    pub queue: usize,
    /// Requests running.
    pub running: usize,
    /// Open connections of callers.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { body_bytes: 4 << 20, queue: 1024, running: 1024, connections: 8192 }
    }
}

/// How an instance stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Drain {
    /// The longest time a planned stop waits for running requests.
    pub most: Duration,
}

impl Default for Drain {
    fn default() -> Self {
        Self { most: Duration::from_secs(600) }
    }
}

/// What an instance logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Log {
    /// How lines are written.
    pub format: Format,
    /// The least severe level written.
    pub level: Level,
}

/// How log lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Severity of a log line, most severe first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Something failed for good.
    Error,
    /// Something failed and was handled.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// For developers.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// The level as `tracing` filters write it.
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

/// Why a settings file was not read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file could not be opened or read.
    #[error("can't read settings {}: {source}; check the path and its permissions", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The file was read and does not hold valid settings.
    #[error("settings {} need changes:\n{faults}", path.display())]
    Faults {
        /// The file.
        path: PathBuf,
        /// All that is wrong.
        faults: Faults,
    },
}

impl Settings {
    /// Reads settings from YAML text; names every fault.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        SettingsWire::parse(text)?.try_into()
    }

    /// Reads settings from a file and checks the files they name.
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
            faults.add("keys.deployment_file", key::WANTED_FILE, &error.to_string());
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
