//! Types of this instance and its peers.

use std::net::SocketAddr;

use ident::{Boot, Name, Rev, Time};

use crate::{HEARTBEAT_TTL, message::Status};

/// Name and addresses of this instance.
#[derive(Debug, Clone)]
pub struct LocalInstance {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// The HTTP address that callers use.
    pub addr: SocketAddr,
    /// Address of the instance's peer socket.
    pub peer_addr: SocketAddr,
    /// Identifier of this process.
    pub boot: Boot,
    /// When the process started; also its first incarnation.
    pub started: Time,
}

/// An instance in the platform's list, which may be out of date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// The HTTP address that callers use.
    pub addr: SocketAddr,
    /// Address of the instance's peer socket.
    pub peer_addr: SocketAddr,
    /// Whether the platform lists the instance as leaving.
    pub leaving: bool,
}

/// State of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// The peer answers, or it is listed and nothing else is known about it.
    Live,
    /// The peer does not answer. It is declared down unless it refutes this in time.
    Suspect,
    /// The peer announced that it is leaving; it finishes its requests in flight.
    Leaving,
    /// The peer has failed or was stopped.
    Down,
}

impl PeerState {
    /// Precedence of two updates about the same incarnation: the higher rank wins. What others
    /// observed later takes precedence over what the instance said.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Self::Live => 0,
            Self::Leaving => 1,
            Self::Suspect => 2,
            Self::Down => 3,
        }
    }
}

/// Another instance, as this one knows it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// The HTTP address that callers use.
    pub addr: SocketAddr,
    /// Address of the instance's peer socket.
    pub peer_addr: SocketAddr,
    /// State of the peer.
    pub state: PeerState,
    /// The process that answered a ping of this instance; `None` before the first answer.
    pub boot: Option<Boot>,
    /// Highest known incarnation; 0 if none is known.
    pub incarnation: u64,
    /// Last status that the process [`Peer::boot`] sent; `None` if it has sent none.
    pub status: Option<Status>,
    /// When that process last sent a message to this instance; 0 if it never did.
    pub last_seen: Time,
    /// Whether the platform's list contains the instance.
    pub listed: bool,
    /// Whether the platform lists the instance as leaving.
    pub leaving: bool,
    /// Whether the instance announced that it is leaving and has not restarted since.
    pub announced_leave: bool,
    /// When a neighbour is pinged next.
    pub(crate) next_ping: Time,
    /// Whether the peer is to be pinged once, even if it is not a neighbour.
    pub(crate) ping_once: bool,
    /// When the ping was sent that is still unanswered; `None` if there is none. Invariant: at most
    /// one ping is unanswered.
    pub(crate) unanswered: Option<Time>,
    /// When the last ping was sent; 0 if none was.
    pub(crate) last_ping: Time,
    /// Number of consecutive pings without a pong.
    pub(crate) misses: u32,
    /// When a suspect peer is declared down, or a peer that is down may be forgotten.
    pub(crate) state_deadline: Time,
}

impl Peer {
    /// Creates a live peer from an entry of the platform's list.
    pub(crate) fn new(entry: &ListedInstance, now: Time) -> Self {
        Self {
            name: entry.name.clone(),
            zone: entry.zone.clone(),
            addr: entry.addr,
            peer_addr: entry.peer_addr,
            state: PeerState::Live,
            boot: None,
            incarnation: 0,
            status: None,
            last_seen: Time::default(),
            listed: true,
            leaving: entry.leaving,
            announced_leave: false,
            next_ping: now,
            ping_once: false,
            unanswered: None,
            last_ping: Time::default(),
            misses: 0,
            state_deadline: Time::NEVER,
        }
    }

    /// Whether callers may be sent to the peer. A status that says that the peer takes no work
    /// counts only while it is recent, because a peer that is no longer a neighbour may take work
    /// again without a message to this instance.
    pub fn serves(&self, now: Time) -> bool {
        let recent = now.since(self.last_seen) < HEARTBEAT_TTL * 2;
        let refuses_work = recent && self.status.is_some_and(|s| !s.takes_work);
        self.state == PeerState::Live && !self.leaving && !refuses_work
    }

    /// Configuration revision that the peer last reported; 0 if it reported none.
    pub fn rev(&self) -> Rev {
        self.status.map_or(Rev::default(), |s| s.rev)
    }

    /// Whether the peer must be told the state that is known about it, so that it can refute it.
    pub(crate) fn needs_update(&self) -> bool {
        matches!(self.state, PeerState::Suspect | PeerState::Down)
            || self.status.is_some_and(|s| s.incarnation < self.incarnation)
    }
}
