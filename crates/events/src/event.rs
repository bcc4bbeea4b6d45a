//! What can be recorded.

use ident::{Boot, Digest, Fence, Name, RequestId, Rev, Time};
use serde::{Deserialize, Serialize};

/// One event of one life of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// When it was recorded, by the instance's clock.
    pub at: Time,
    /// The instance that recorded it.
    pub instance: Name,
    /// The life of the instance's process.
    pub boot: Boot,
    /// Position in that life's log. Invariant: grows by one with each event, from 1.
    pub seq: u64,
    /// What happened.
    pub kind: EventKind,
}

/// How far a rollout has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Replicas are being ordered to load the version.
    Started,
    /// Another holder carries on.
    Resumed,
    /// Every replica serves the version.
    Done,
    /// Given up; the replicas keep what they serve.
    Stopped,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// The process started.
    Started,
    /// The instance takes requests.
    Ready,
    /// The instance is leaving: it is no longer named and finishes what runs.
    Draining,
    /// The process ends.
    Stopped,
    /// A configuration revision is in force here.
    ConfApplied {
        /// The revision.
        rev: Rev,
    },
    /// A peer answers.
    PeerUp {
        /// The peer.
        peer: Name,
    },
    /// A peer does not answer.
    PeerSuspect {
        /// The peer.
        peer: Name,
    },
    /// A peer announced that it is leaving.
    PeerLeaving {
        /// The peer.
        peer: Name,
    },
    /// A peer was declared dead.
    PeerDown {
        /// The peer.
        peer: Name,
    },
    /// The platform's table service does not answer.
    TableDown,
    /// The platform's table service answers again.
    TableUp,
    /// The instance can't confirm its configuration and stopped taking new work.
    Stale,
    /// The instance's configuration is confirmed again.
    Fresh,
    /// The instance serves on through an outage of the table service that most peers confirm.
    Outage,
    /// A request ends with a problem: refused before it ran, or failed.
    Refused {
        /// The request.
        request: RequestId,
        /// Its team.
        team: Name,
        /// Type of the problem.
        reason: Name,
    },
    /// A request was sent to a replica.
    Routed {
        /// The request.
        request: RequestId,
        /// Its team.
        team: Name,
        /// The target.
        target: Name,
        /// The replica.
        replica: Name,
        /// How its context is provided: `hot`, `import` or `recompute`.
        plan: Name,
    },
    /// A request's answer is complete.
    Finished {
        /// The request.
        request: RequestId,
        /// Prompt tokens taken from cache.
        cached: u32,
        /// Tokens of the prompt.
        prompt: u32,
    },
    /// A request goes to another replica.
    Retried {
        /// The request.
        request: RequestId,
        /// The replica that failed it.
        replica: Name,
        /// Why.
        cause: Name,
    },
    /// A stream was resumed.
    Resumed {
        /// The request.
        request: RequestId,
        /// Tokens already delivered.
        offset: u32,
    },
    /// A request was cancelled by its caller.
    Cancelled {
        /// The request.
        request: RequestId,
    },
    /// Pieces of a prompt's cache were written to a store.
    Kept {
        /// The request.
        request: RequestId,
        /// How many pieces.
        pieces: u32,
    },
    /// Kept cache was not used and the prompt was recomputed.
    Recomputed {
        /// The request.
        request: RequestId,
        /// Why.
        cause: Name,
    },
    /// A call's row was claimed; nothing was sent yet.
    CallClaimed {
        /// The team.
        team: Name,
        /// Digest of its idempotency key.
        key: Digest,
    },
    /// A call is about to be sent to its target.
    CallSent {
        /// The team.
        team: Name,
        /// Digest of its idempotency key.
        key: Digest,
    },
    /// A call's outcome is stored.
    CallDone {
        /// The team.
        team: Name,
        /// Digest of its idempotency key.
        key: Digest,
    },
    /// A call may have run; nobody runs it again.
    CallUnknown {
        /// The team.
        team: Name,
        /// Digest of its idempotency key.
        key: Digest,
    },
    /// A replica was ordered to another state.
    OrderSent {
        /// The target.
        target: Name,
        /// The replica.
        replica: Name,
        /// Fencing number of the order.
        fence: Fence,
    },
    /// A replica does not answer or answers wrongly.
    ReplicaSuspect {
        /// The replica.
        replica: Name,
    },
    /// A suspected replica answers again.
    ReplicaBack {
        /// The replica.
        replica: Name,
    },
    /// A rollout of a version moved on.
    Rollout {
        /// The target.
        target: Name,
        /// The version.
        version: Name,
        /// How far it has come.
        phase: Phase,
        /// Fencing number of the holder.
        fence: Fence,
    },
}

impl EventKind {
    /// The request the event belongs to, if any.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Self::Refused { request, .. }
            | Self::Routed { request, .. }
            | Self::Finished { request, .. }
            | Self::Retried { request, .. }
            | Self::Resumed { request, .. }
            | Self::Cancelled { request }
            | Self::Kept { request, .. }
            | Self::Recomputed { request, .. } => Some(*request),
            _ => None,
        }
    }
}
