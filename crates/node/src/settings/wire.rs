//! The settings file as written.

use fields::Faults;
use serde_json::Value;

/// A settings file that is known to be YAML and nothing more.
#[derive(Debug, Clone)]
pub struct SettingsWire(pub(super) Value);

impl SettingsWire {
    /// Reads YAML. A key that stands twice is a fault.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let yaml = serde_norway::from_str::<serde_norway::Value>(text);
        let json = yaml.map_err(|e| fault(&e.to_string()))?;
        let json = serde_json::to_value(json).map_err(|e| fault(&e.to_string()))?;
        Ok(Self(json))
    }
}

fn fault(found: &str) -> Faults {
    let mut faults = Faults::default();
    faults.add("", "YAML without tags", found);
    faults
}
