//! What peers tell each other.

use ident::{Boot, Name, Rev};

use crate::PeerState;

/// What an instance says about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The life of its process.
    pub boot: Boot,
    /// Grows with each start and each time the instance contradicts news about itself.
    pub incarnation: u64,
    /// The receiver's incarnation that the sender has taken in; 0 for none.
    pub seen: u64,
    /// The sender is leaving.
    pub leaving: bool,
    /// The sender takes new work.
    pub fresh: bool,
    /// The sender's last read of the table service succeeded.
    pub table: bool,
    /// Revision of the sender's configuration.
    pub rev: Rev,
    /// Milliseconds since the sender last knew [`Status::rev`] to be the newest; `None` for never.
    pub age: Option<u32>,
    /// Utilisation in thousandths.
    pub load: u16,
}

/// News about an instance, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct News {
    /// The instance.
    pub name: Name,
    /// The incarnation it is about.
    pub incarnation: u64,
    /// Its state.
    pub state: PeerState,
}

/// A question whether the receiver is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ping {
    /// The sender's own state.
    pub status: Status,
    /// At most [`crate::MAX_NEWS`] news.
    pub news: Vec<News>,
}

/// The answer to a [`Ping`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pong {
    /// The sender's own state.
    pub status: Status,
    /// At most [`crate::MAX_NEWS`] news.
    pub news: Vec<News>,
}
