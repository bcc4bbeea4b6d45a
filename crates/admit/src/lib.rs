//! Admission at one instance: limits of teams, a fair queue, early rejection and a retry budget.
//!
//! A request is started, queued or refused at once. A refusal tells when to retry. A request that
//! can't be answered before its deadline is not queued, and is removed from the queue.

mod bucket;
mod class_queue;
mod gate;
mod retry;
mod share;
mod usage;

pub use crate::{
    gate::{AdmissionRequest, Decision, Gate, Outcome, Reason, Refusal, Released},
    retry::RetryBudget,
    share::{Limits, Share, instance_share},
};
