//! Replicas that departed.

use std::sync::Arc;

use ident::Time;

/// A replica that began to leave or disappeared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departed {
    /// Identifier of the replica.
    pub id: Arc<str>,
    /// Its [`fleet::Replica::started_ms`]; 0 if unknown, or if its entry may only have expired.
    pub started_ms: u64,
    /// Whether it began to leave; otherwise its entry was removed.
    pub leaving: bool,
    /// Whether it said so itself, to this instance or a peer: this incarnation does not come back,
    /// whatever its entry says.
    pub said: bool,
    /// When this instance observed it.
    pub at: Time,
    /// Whether the replica has registered again since.
    pub returned: bool,
}
