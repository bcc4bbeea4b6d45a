//! Messages between peers.

use ident::{Boot, Name, Rev};

use crate::PeerState;

/// Status that an instance sends about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// Identifier of the sender's process.
    pub boot: Boot,
    /// Incarnation of the sender. It grows with each start, each leave and each time the instance
    /// refutes an update about itself.
    pub incarnation: u64,
    /// The receiver's incarnation that the sender acknowledges; 0 for none.
    pub acknowledged: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Whether the sender takes new work.
    pub takes_work: bool,
    /// Whether the sender's last read of the table service succeeded.
    pub table_reachable: bool,
    /// Configuration revision that the sender applies.
    pub rev: Rev,
    /// Milliseconds since the sender last knew [`Status::rev`] to be the newest; `None` if it never
    /// did.
    pub age_ms: Option<u32>,
    /// Utilisation of the sender in thousandths.
    pub load: u16,
}

/// An update about the state of an instance, spread by other instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerUpdate {
    /// Name of the instance.
    pub name: Name,
    /// Incarnation of the instance to which the state belongs.
    pub incarnation: u64,
    /// State of the instance.
    pub state: PeerState,
}

/// A heartbeat request, which the receiver answers with a [`Pong`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// Status of the sender.
    pub status: Status,
    /// Updates about instances, at most [`crate::MAX_UPDATES`].
    pub updates: Vec<PeerUpdate>,
}

/// The answer to a [`Ping`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pong {
    /// Status of the sender.
    pub status: Status,
    /// Updates about instances, at most [`crate::MAX_UPDATES`].
    pub updates: Vec<PeerUpdate>,
}
