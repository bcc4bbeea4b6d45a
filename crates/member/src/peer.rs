//! Instances as this one knows them.

use std::net::SocketAddr;

use ident::{Boot, Name, Rev, Time};

use crate::{HEARD_TERM, message::Status};

/// This instance.
#[derive(Debug, Clone)]
pub struct Me {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The HTTP address callers use.
    pub addr: SocketAddr,
    /// The address of its peer socket.
    pub peer: SocketAddr,
    /// The life of its process.
    pub boot: Boot,
    /// When the process started; its first incarnation.
    pub started: Time,
}

/// An instance in the platform's list, which lags.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The HTTP address callers use.
    pub addr: SocketAddr,
    /// The address of its peer socket.
    pub peer: SocketAddr,
    /// The platform says that it is leaving.
    pub leaving: bool,
}

/// State of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerState {
    /// Answers, or is listed and nothing is known against it.
    Live,
    /// Does not answer; dead unless it says otherwise in time.
    Suspect,
    /// Says that it is leaving; finishes what runs.
    Leaving,
    /// Dead or gone.
    Down,
}

impl PeerState {
    /// Which of two statements about the same incarnation prevails: what others observed later
    /// goes before what the instance said.
    pub(crate) fn rank(self) -> u8 {
        match self {
            Self::Live => 0,
            Self::Leaving => 1,
            Self::Suspect => 2,
            Self::Down => 3,
        }
    }
}

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The HTTP address callers use.
    pub addr: SocketAddr,
    /// The address of its peer socket.
    pub peer: SocketAddr,
    /// Its state.
    pub state: PeerState,
    /// The life that answered a ping of ours; `None` before the first answer.
    pub boot: Option<Boot>,
    /// Highest incarnation heard of; 0 for none.
    pub incarnation: u64,
    /// What the life [`Peer::boot`] last said about itself.
    pub status: Option<Status>,
    /// When that life was last heard directly; 0 for never.
    pub heard: Time,
    /// It is in the platform's list.
    pub listed: bool,
    /// The platform says that it is leaving.
    pub leaving: bool,
    /// The instance said that it is leaving and was not started anew since.
    pub left: bool,
    /// Next ping, for a neighbour.
    pub(crate) due: Time,
    /// To be pinged once, neighbour or not.
    pub(crate) hint: bool,
    /// When the unanswered ping was sent. Invariant: at most one ping is unanswered.
    pub(crate) asked: Option<Time>,
    /// When the last ping was sent.
    pub(crate) sent: Time,
    /// Pings unanswered in a row.
    pub(crate) misses: u32,
    /// A suspect is declared dead, a dead peer forgotten, at this time.
    pub(crate) term: Time,
}

impl Peer {
    pub(crate) fn new(entry: &Entry, now: Time) -> Self {
        Self {
            name: entry.name.clone(),
            zone: entry.zone.clone(),
            addr: entry.addr,
            peer: entry.peer,
            state: PeerState::Live,
            boot: None,
            incarnation: 0,
            status: None,
            heard: Time::default(),
            listed: true,
            leaving: entry.leaving,
            left: false,
            due: now,
            hint: false,
            asked: None,
            sent: Time::default(),
            misses: 0,
            term: Time::NEVER,
        }
    }

    /// Whether callers may be sent there. What a peer said about its freshness counts while it is
    /// heard; one that is no longer a neighbour may be fresh again without saying so here.
    pub fn serves(&self, now: Time) -> bool {
        let heard = now.since(self.heard) < HEARD_TERM * 2;
        let stale = heard && self.status.is_some_and(|s| !s.fresh);
        self.state == PeerState::Live && !self.leaving && !stale
    }

    /// Revision of its configuration as it last said.
    pub fn rev(&self) -> Rev {
        self.status.map_or(Rev::default(), |s| s.rev)
    }

    /// Whether it must be told what is held about it: it may want to contradict.
    pub(crate) fn needs_word(&self) -> bool {
        matches!(self.state, PeerState::Suspect | PeerState::Down)
            || self.status.is_some_and(|s| s.incarnation < self.incarnation)
    }
}
