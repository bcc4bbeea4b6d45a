//! Which replica serves a prompt, and whether its kept KV cache is imported or recomputed.
//!
//! Everything here is a decision over what an instance knows: [`Pool`] holds the replicas with
//! their reported load and the instance's own requests, [`Links`] the budget of the links to the
//! stores, [`Contexts`] where contexts were last used. A [`Policy`] picks a replica and a plan.

mod baseline;
mod contexts;
mod cost;
mod health;
mod links;
mod policy;
mod pool;
mod replica;

pub use crate::{
    baseline::{Affinity, AlwaysImport, AlwaysRecompute, KeptNoBudget, LeastLoaded, Random},
    contexts::{Contexts, Used},
    cost::Cost,
    links::{Links, Transfer, Window},
    policy::{Ask, Choice, Hot, Kept, NoRoute, Plan, Policy, Reason, Value},
    pool::{Entry, Pool},
    replica::{End, Load, Replica, Ticket, Usual},
};
