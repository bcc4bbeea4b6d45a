//! Terms and bounds.

use std::time::Duration;

/// How long a caller may use an address answer.
pub const ADDRESS_TERM: Duration = Duration::from_secs(10);

/// How long a confirmation of the configuration's revision lasts.
pub const CONFIRM_TERM: Duration = Duration::from_secs(8);

/// A peer whose last message is older does not count as heard.
pub const HEARD_TERM: Duration = Duration::from_secs(6);

/// Most instances that all ping each other; above it each has [`DEGREE`] neighbours.
pub const MESH_MAX: usize = 9;

/// Neighbours of an instance above [`MESH_MAX`]: two in each of three rings.
pub const DEGREE: usize = 6;

/// Most news in one message.
pub const MAX_NEWS: usize = 12;

/// Least time between two pings to one peer that are sent early to spread news.
pub const PING_GAP: Duration = Duration::from_millis(500);

/// Time between two pings to peers held for dead, so that both sides of a healed network meet.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Time in which news reaches every instance that can be reached.
pub const SPREAD_TERM: Duration = Duration::from_secs(10);

/// Most addresses in one answer.
pub const MAX_ADDRESSES: usize = 6;

/// Intervals of failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Time between two exchanges with a neighbour; up to a quarter is added as jitter.
    pub interval: Duration,
    /// How long a suspected peer has to answer before it is declared dead.
    pub suspicion: Duration,
    /// An unanswered ping counts as silent after this time, also when the caller never said so.
    pub timeout: Duration,
    /// How long a dead peer that the platform no longer lists is remembered.
    pub memory: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(2),
            suspicion: Duration::from_secs(8),
            timeout: Duration::from_secs(3),
            memory: Duration::from_secs(60),
        }
    }
}
