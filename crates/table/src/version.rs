//! Versions of rows.

use std::fmt;

/// Version of a row: the era of the table service in which it was read or written, and the number
/// that the service gave the row within that era.
///
/// A service that returns from an older copy of its content begins a new era. Numbers that it gave
/// out after that copy was made are given out again, so numbers of different eras say nothing about
/// each other.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// Number of times that the service has returned from an older copy; 0 for a service that never
    /// does.
    pub era: u64,
    /// Number of the version within the era. It grows with each write to the row.
    pub number: u64,
}

impl Version {
    /// A version of a service that never returns from an older copy.
    pub const fn first_era(number: u64) -> Self {
        Self { era: 0, number }
    }

    /// The version after this one, where a service counts the writes to each row.
    pub const fn next(self) -> Self {
        Self { number: self.number + 1, ..self }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
