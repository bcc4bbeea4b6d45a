//! The events that an instance records.

use ident::{Boot, Digest, Fence, Name, RequestId, Rev, Time};
use serde::{Deserialize, Serialize};

/// One event, recorded by one process of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Time of recording, by the clock of the instance.
    pub at: Time,
    /// Name of the instance that recorded the event.
    pub instance: Name,
    /// Boot of the instance's process.
    pub boot: Boot,
    /// Position in the log of that process. Invariant: starts at 1 and grows by one per event.
    pub seq: u64,
    /// Kind of the event and its data.
    pub kind: EventKind,
}

/// Phase of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Replicas are being ordered to load the version.
    Started,
    /// A new lease holder continues the rollout.
    Resumed,
    /// Every replica of the target serves the version.
    Done,
    /// The rollout was abandoned; the replicas keep the versions that they serve.
    Stopped,
}

/// Kind of an event, with the data of that kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// The instance's process started.
    Started,
    /// The instance accepts requests.
    Ready,
    /// The instance is draining: callers are no longer referred to it, and it finishes the requests
    /// in flight.
    Draining,
    /// The instance's process is about to end.
    Stopped,
    /// The instance applied a configuration revision.
    ConfApplied {
        /// The applied revision.
        rev: Rev,
    },
    /// A peer answers heartbeats.
    PeerUp {
        /// Name of the peer.
        peer: Name,
    },
    /// A peer stopped answering heartbeats.
    PeerSuspect {
        /// Name of the peer.
        peer: Name,
    },
    /// A peer announced that it is leaving.
    PeerLeaving {
        /// Name of the peer.
        peer: Name,
    },
    /// A peer was declared down.
    PeerDown {
        /// Name of the peer.
        peer: Name,
    },
    /// The platform's table service does not answer.
    TableDown,
    /// The platform's table service answers again.
    TableUp,
    /// The instance can't confirm that its configuration is current, and stopped accepting new
    /// requests.
    Stale,
    /// The instance confirmed again that its configuration is current.
    Fresh,
    /// The table service is down, as most peers confirm, and the instance keeps serving with the
    /// configuration that it has.
    Outage,
    /// A request ended with an error: it was refused before it ran, or it failed.
    Refused {
        /// Identifier of the request.
        request: RequestId,
        /// Team that sent the request.
        team: Name,
        /// Type of the error, as the caller gets it.
        reason: Name,
    },
    /// A request was sent to a replica.
    Routed {
        /// Identifier of the request.
        request: RequestId,
        /// Team that sent the request.
        team: Name,
        /// Target of the request.
        target: Name,
        /// Replica that the request was sent to.
        replica: Name,
        /// How the replica gets the request's context: `hot`, `import` or `recompute`.
        plan: Name,
    },
    /// The response to a request is complete.
    Finished {
        /// Identifier of the request.
        request: RequestId,
        /// Number of prompt tokens taken from the cache.
        cached: u32,
        /// Number of tokens of the prompt.
        prompt: u32,
    },
    /// A request is sent to another replica after an attempt failed.
    Retried {
        /// Identifier of the request.
        request: RequestId,
        /// Replica of the failed attempt.
        replica: Name,
        /// Why the attempt failed.
        cause: Name,
    },
    /// A caller resumed the stream of a response.
    Resumed {
        /// Identifier of the request.
        request: RequestId,
        /// Number of tokens that were already delivered.
        offset: u32,
    },
    /// A request was cancelled by its caller.
    Cancelled {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Pieces of a prompt's KV cache were saved to a store.
    Kept {
        /// Identifier of the request.
        request: RequestId,
        /// Number of pieces.
        pieces: u32,
    },
    /// Saved cache was not used, and the prompt was recomputed.
    Recomputed {
        /// Identifier of the request.
        request: RequestId,
        /// Why the saved cache was not used.
        cause: Name,
    },
    /// The idempotency key of a call was claimed; nothing was sent to the target yet.
    CallClaimed {
        /// Team that sent the call.
        team: Name,
        /// Digest of the call's idempotency key.
        key: Digest,
    },
    /// A call is about to be sent to its target.
    CallSent {
        /// Team that sent the call.
        team: Name,
        /// Digest of the call's idempotency key.
        key: Digest,
    },
    /// The outcome of a call was stored.
    CallDone {
        /// Team that sent the call.
        team: Name,
        /// Digest of the call's idempotency key.
        key: Digest,
    },
    /// The outcome of a call is unknown. It may have run, so it is never run again.
    CallUnknown {
        /// Team that sent the call.
        team: Name,
        /// Digest of the call's idempotency key.
        key: Digest,
    },
    /// An order to change its state was sent to a replica.
    OrderSent {
        /// Target of the replica.
        target: Name,
        /// Name of the replica.
        replica: Name,
        /// Fencing number that the order carried.
        fence: Fence,
    },
    /// A replica does not answer, or its answers are malformed or wrong.
    ReplicaSuspect {
        /// Name of the replica.
        replica: Name,
    },
    /// A suspected replica answers again.
    ReplicaBack {
        /// Name of the replica.
        replica: Name,
    },
    /// A rollout entered another phase.
    Rollout {
        /// Target whose replicas are updated.
        target: Name,
        /// Weights version that is rolled out.
        version: Name,
        /// The phase that the rollout entered.
        phase: Phase,
        /// Fencing number of the lease holder.
        fence: Fence,
    },
}

impl EventKind {
    /// Returns the request that the event belongs to, or `None` for events without one.
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
