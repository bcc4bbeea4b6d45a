//! The settings file before it is checked.

use fields::Faults;
use serde_json::Value;

/// A settings file that is valid YAML. Its fields are not checked yet.
#[derive(Debug, Clone)]
pub struct SettingsWire(pub(super) Value);

impl SettingsWire {
    /// Parses YAML. Duplicate keys and tags are faults.
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
