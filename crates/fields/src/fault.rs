//! What is wrong with a document.

use std::fmt;

/// One field that does not fit.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: wanted {wanted}, found {found}")]
pub struct Fault {
    /// Where: keys joined by `.`, list positions as `[0]`; `(document)` for the whole.
    pub path: String,
    /// What belongs there.
    pub wanted: String,
    /// What is there.
    pub found: String,
}

/// All faults of one document, in the order they were met.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Adds a fault at `path`; an empty path is the whole document.
    pub fn add(&mut self, path: &str, wanted: &str, found: &str) {
        let path = if path.is_empty() { "(document)" } else { path };
        self.0.push(Fault { path: path.into(), wanted: wanted.into(), found: found.into() });
    }

    /// Whether nothing is wrong.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The faults.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// The faults as a vector.
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
            let end = if i == 0 { "" } else { "\n" };
            write!(f, "{end}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
