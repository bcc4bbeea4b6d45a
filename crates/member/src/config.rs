//! Durations and limits of membership.

use std::time::Duration;

/// How long a caller may use the addresses of an answer.
pub const ADDRESS_TTL: Duration = Duration::from_secs(10);

/// How long a confirmation is valid that this instance has the newest configuration revision.
pub const CONFIRMATION_TTL: Duration = Duration::from_secs(8);

/// How long the last message of a peer counts as recent.
pub const HEARTBEAT_TTL: Duration = Duration::from_secs(6);

/// Maximum number of instances that all ping each other. In a larger deployment each has up to
/// [`RING_NEIGHBOURS`] neighbours.
pub const MAX_MESH_SIZE: usize = 9;

/// Number of neighbours of an instance in a deployment above [`MAX_MESH_SIZE`]: two in each of
/// three rings. It is lower if rings share neighbours.
pub const RING_NEIGHBOURS: usize = 6;

/// Maximum number of updates in one message.
pub const MAX_UPDATES: usize = 12;

/// Minimum interval between two pings to a peer when pings are sent early, and between two requests
/// for configuration changes. Silent peers are pinged at twice this interval.
pub const MIN_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two pings to peers that are down. These pings let both sides of a network
/// partition find each other again once it has ended.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// Time allowed for an update to reach every reachable instance.
pub const PROPAGATION_GRACE: Duration = Duration::from_secs(10);

/// Maximum number of addresses in one answer.
pub const MAX_ADDRESSES: usize = 6;

/// Durations of failure detection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Interval between two pings of a neighbour. Jitter of up to a quarter of it is added.
    pub ping_interval: Duration,
    /// How long a suspect peer may take to answer before it is declared down.
    pub suspect_timeout: Duration,
    /// Timeout of a ping. It applies even if the caller does not report the missing pong.
    pub ping_timeout: Duration,
    /// How long a peer stays known that is down and that the platform no longer lists.
    pub down_ttl: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            ping_interval: Duration::from_secs(2),
            suspect_timeout: Duration::from_secs(8),
            ping_timeout: Duration::from_secs(3),
            down_ttl: Duration::from_secs(60),
        }
    }
}
