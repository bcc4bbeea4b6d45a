//! Changes of settings while the instance runs.

use super::{Level, Limits, Settings};

/// Changed settings that take effect without a restart; `None` for unchanged ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Reload {
    /// The new log level.
    pub level: Option<Level>,
    /// The new limits. Only `running` and `queue` may differ from the old ones.
    pub limits: Option<Limits>,
}

/// The file changes settings that need a restart. None of its changes were applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("nothing was changed; restart the instance to change {}", refused.join(", "))]
pub struct ReloadError {
    /// Paths of the settings that need a restart, in the order of the file.
    pub refused: Vec<&'static str>,
}

impl Settings {
    /// Compares these settings with `new`. Returns the changes to apply, or an error if a setting
    /// differs that can't be changed without a restart.
    pub fn reload(&self, new: &Self) -> Result<Reload, ReloadError> {
        let fixed = [
            ("name", self.name == new.name),
            ("zone", self.zone == new.zone),
            ("listen", self.listen == new.listen),
            ("advertise", self.advertise == new.advertise),
            ("platform", self.platform == new.platform),
            ("keys", self.keys == new.keys),
            ("tls", self.tls == new.tls),
            ("limits.body_bytes", self.limits.body_bytes == new.limits.body_bytes),
            ("limits.connections", self.limits.connections == new.limits.connections),
            ("drain", self.drain == new.drain),
            ("log.format", self.log.format == new.log.format),
        ];
        let refused: Vec<_> = fixed.iter().filter(|(_, same)| !same).map(|(p, _)| *p).collect();
        if !refused.is_empty() {
            return Err(ReloadError { refused });
        }
        Ok(Reload {
            level: (self.log.level != new.log.level).then_some(new.log.level),
            limits: (self.limits != new.limits).then_some(new.limits),
        })
    }
}
