//! Admission at one instance: limits of teams, a fair queue, early rejection and a retry budget.
//!
//! A request is started, queued or refused at once. A refusal tells when to retry. A request that
//! can't be answered before its deadline is not queued, and is removed from the queue.
//!
//! [`Gate`] is for a known number of places. [`WaitQueue`] is for a target whose capacity shows only
//! when a request is tried.

mod bucket;
mod gate;
mod pace;
mod policy;
mod retry;
mod rounds;
mod share;
mod turn_queue;
mod usage;
mod wait_queue;

pub use crate::{
    gate::{AdmissionRequest, Decision, Gate, Outcome, Reason, Refusal, Released},
    policy::{EarliestDeadline, FairLevels, FirstCome, LeastSlack, Policy, ValuePerWork, Waiting},
    retry::RetryBudget,
    rounds::Rounds,
    share::{Limits, Share, instance_share},
    wait_queue::{QueueBounds, RejectReason, Rejection, Ticket, WaitQueue},
};
