//! Errors in the fields of a document.

use std::fmt;

/// A field of a document that is missing, unknown or has a wrong value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: wanted {wanted}, found {found}")]
pub struct Fault {
    /// Path of the field: keys joined by `.`, list positions as `[0]`. It is `(document)` for the
    /// whole document.
    pub path: String,
    /// Description of the expected value.
    pub wanted: String,
    /// Description of the actual value, such as an excerpt.
    pub found: String,
}

/// All faults of one document, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault at `path`. An empty path stands for the whole document.
    pub fn add(&mut self, path: &str, wanted: &str, found: &str) {
        let path = if path.is_empty() { "(document)" } else { path };
        self.0.push(Fault { path: path.into(), wanted: wanted.into(), found: found.into() });
    }

    /// Whether there are no faults.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Iterates over the faults.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// Converts the faults to a vector.
    pub fn into_vec(self) -> Vec<Fault> {
        self.0
    }
}

impl From<Vec<Fault>> for Faults {
    fn from(faults: Vec<Fault>) -> Self {
        Self(faults)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
