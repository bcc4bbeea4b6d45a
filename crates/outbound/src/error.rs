//! Why a call to a back end failed, and whether it may have run.

use std::sync::Arc;

use ident::Name;

/// Why a back end refused a call before running it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The replica is leaving and takes no new work.
    #[error("the replica is leaving")]
    Leaving,
    /// The replica has no room.
    #[error("the replica is overloaded")]
    Overloaded,
    /// The replica does not serve the wanted weight version.
    #[error("the replica does not serve the wanted weights")]
    WrongWeights,
    /// The replica was given an order with a fencing number older than one it has seen.
    #[error("the order's fencing number is out of date")]
    StaleFence,
    /// The service says by `x-not-run` that it did not run the call.
    #[error("the service did not run the call")]
    NotRun,
    /// Unknown request, handle or key.
    #[error("the back end does not know what was asked for")]
    Missing,
    /// A store instance has no room.
    #[error("the store instance is full")]
    Full,
    /// Any other answer that the protocol does not allow here.
    #[error("unexpected status {0}")]
    Status(u16),
}

/// Why a call gave no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be made: no byte was sent.
    #[error("no connection: {0}")]
    Connect(Arc<str>),
    /// The latest moment to send had passed when the connection was there: no byte was sent.
    #[error("the latest moment to send had passed")]
    Late,
    /// The back end answered that it did not run the call.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// Nothing arrived before the deadline.
    #[error("no progress before the deadline")]
    Silent,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(Arc<str>),
    /// The answer does not follow the protocol.
    #[error("malformed answer: {0}")]
    Malformed(Arc<str>),
    /// The engine confirmed another weight version than the one asked for.
    #[error("the engine served weights {0}")]
    Served(Name),
}

impl CallError {
    /// Whether it is certain that the back end did not run the call.
    pub fn not_run(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Late | Self::Refused(_))
    }

    pub(crate) fn malformed<E>(error: E) -> Self
    where
        E: std::fmt::Display,
    {
        Self::Malformed(error.to_string().into())
    }
}
