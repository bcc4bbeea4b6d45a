//! An instance of lentilpitch that runs as a process.

use std::{fs, ops::Deref, process::ExitStatus};

use crate::{Platform, Proc, RigError, STATE_LIMIT};

/// Entry of an instance in the platform's instance list.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// Instance name.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// `ip:port` of its peer socket, as in its settings.
    pub peer: &'a str,
}

/// A running `lentild`; killed when dropped.
pub struct Instance {
    /// Process of the instance.
    pub proc: Proc,
    /// Folder of the settings file; removed when dropped.
    _dir: tempfile::TempDir,
}

impl Instance {
    /// Writes `settings` to a file, runs `lentild run --settings FILE` and adds the instance to the
    /// platform's instance list.
    pub async fn start(
        platform: &Platform,
        place: Place<'_>,
        settings: &str,
    ) -> Result<Self, RigError> {
        let io = |error| RigError::Io { name: "lentild".to_owned(), error };
        let dir = tempfile::tempdir().map_err(io)?;
        let file = dir.path().join("settings.yaml");
        fs::write(&file, settings).map_err(io)?;
        let file = file.to_string_lossy();
        let proc = Proc::start("lentild", &["run", "--settings", &file]).await?;
        let Place { name, zone, peer } = place;
        let labels = [("name", name), ("role", "entry"), ("zone", zone), ("peer", peer)];
        platform.enlist(&proc.addr().to_string(), &labels).await?;
        Ok(Self { proc, _dir: dir })
    }

    /// Asks the instance to drain and waits until it exits.
    pub async fn stop(self) -> Result<ExitStatus, RigError> {
        self.proc.stop(STATE_LIMIT).await
    }
}

impl Deref for Instance {
    type Target = Proc;

    fn deref(&self) -> &Proc {
        &self.proc
    }
}
