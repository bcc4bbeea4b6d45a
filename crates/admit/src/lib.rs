//! Admission at one instance: limits of teams, a fair queue, early refusal and a retry budget.
//!
//! A request is admitted, queued or refused at once; a refusal says when to come back. Nothing is
//! held that can't be answered before its deadline.

mod bucket;
mod gate;
mod lane;
mod retry;
mod share;
mod usage;

pub use crate::{
    gate::{Gate, Offer, Outcome, Reason, Refusal, Released, Verdict},
    retry::RetryBudget,
    share::{Limits, Share, share},
};
