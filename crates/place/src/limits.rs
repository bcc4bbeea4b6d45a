//! Limits on requests that replicas name in their answers.

use std::sync::Arc;

use fleet::Replica;

/// What an answer says of the limit of its replica.
#[derive(Debug, Clone, PartialEq)]
pub enum NamedLimit {
    /// It names none: the replica has no limit, or no longer.
    None,
    /// Requests per second that the replica takes from all instances together; at least 0.
    Rate(f64),
    /// It names something that is not a rate. A limit named before still holds.
    Malformed(Arc<str>),
}

impl NamedLimit {
    /// Parses a rate: a decimal number, at least 0.
    pub fn parse(text: &str) -> Self {
        let is_decimal = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        match text.parse::<f64>() {
            Ok(rate) if is_decimal && rate.is_finite() => Self::Rate(rate),
            _ => Self::Malformed(text.into()),
        }
    }
}

/// A replica with the limit that it named last.
#[derive(Debug, Clone)]
struct Entry {
    replica: Arc<str>,
    /// [`Replica::started_ms`] of the incarnation.
    started_ms: u64,
    /// Requests per second; `None` after an answer that names no limit.
    rate: Option<f64>,
}

/// The limits of replicas.
///
/// Invariant: `entries` is sorted by replica. A replica that never named a limit has no entry.
#[derive(Debug, Default)]
pub struct Limits {
    entries: Vec<Entry>,
}

impl Limits {
    /// Records the limit that an answer of a replica names; `None` if it names none. Returns whether
    /// it differs from the one before.
    pub fn observe(&mut self, replica: &Replica, rate: Option<f64>) -> bool {
        let found = self.entries.binary_search_by(|e| e.replica.cmp(&replica.id));
        let entry = Entry { replica: replica.id.clone(), started_ms: replica.started_ms, rate };
        match found {
            Ok(at) if self.entries[at].started_ms == replica.started_ms => {
                let changed = self.entries[at].rate != rate;
                self.entries[at] = entry;
                changed
            }
            Ok(at) => {
                self.entries[at] = entry;
                rate.is_some()
            }
            Err(_) if rate.is_none() => false,
            Err(at) => {
                self.entries.insert(at, entry);
                true
            }
        }
    }

    /// Number of replicas with a limit.
    pub fn count(&self) -> usize {
        self.entries.iter().filter(|e| e.rate.is_some()).count()
    }

    /// Drops the entries of replicas for which `known` returns false. It gets the identifier and
    /// [`Replica::started_ms`].
    pub fn retain<F>(&mut self, known: F)
    where
        F: Fn(&str, u64) -> bool,
    {
        self.entries.retain(|e| known(&e.replica, e.started_ms));
    }
}
