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
    gate::{Gate, Offer, Outcome, Reason, Refusal, Released, Verdict},
    retry::RetryBudget,
    share::{Limits, Share, share},
};
