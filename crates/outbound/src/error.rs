//! Errors of calls to back ends, and whether a failed call may have been run.

use std::sync::Arc;

use ident::Name;

/// Reason why a back end refused a call before running it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The replica is leaving and accepts no new work.
    #[error("the replica is leaving")]
    Leaving,
    /// The replica is overloaded.
    #[error("the replica is overloaded")]
    Overloaded,
    /// The replica does not serve the requested weights version.
    #[error("the replica does not serve the wanted weights")]
    WrongWeights,
    /// The fencing number of the order is lower than one that the replica has received before.
    #[error("the order's fencing number is out of date")]
    StaleFence,
    /// The service reported with the `x-not-run` header that it did not run the call.
    #[error("the service did not run the call")]
    NotRun,
    /// The back end does not know the request, handle or key.
    #[error("the back end does not know what was asked for")]
    Missing,
    /// The store instance is full.
    #[error("the store instance is full")]
    Full,
    /// Any other unsuccessful status; 400 also for a request that could not be built and was not
    /// sent.
    #[error("unexpected status {0}")]
    Status(u16),
}

/// Reason why a call returned no usable answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No connection could be opened. No byte was sent.
    #[error("no connection: {0}")]
    Connect(Arc<str>),
    /// The deadline for sending had passed when the connection was open. No byte was sent.
    #[error("the latest moment to send had passed")]
    Late,
    /// The back end refused the call, or the request could not be built.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The call timed out: no answer, or no next chunk of a stream, arrived within the timeout.
    #[error("no progress before the deadline")]
    Silent,
    /// The connection broke after the request may have been sent.
    #[error("the connection broke: {0}")]
    Broken(Arc<str>),
    /// The answer violates the protocol.
    #[error("malformed answer: {0}")]
    Malformed(Arc<str>),
    /// The engine served another weights version than the requested one.
    #[error("the engine served weights {0}")]
    Served(Name),
}

impl CallError {
    /// Returns whether it is certain that the back end did not run the call.
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
