//! Chooses the replica for a prompt, and whether KV cache is imported from a store or recomputed.
//! The prompt's text is cut into the pieces of crate `kv`; crate `place` is for prompts that
//! callers describe in parts. A replica is hot for a context if it was the last to use it.
//!
//! Decisions depend only on the state that an instance holds: [`Pool`] has the replicas with their
//! reported load and the instance's own requests, [`Links`] has the bandwidth budgets of the links
//! to the stores, and [`Contexts`] has the last use of each context. A [`Policy`] chooses a replica
//! and a plan.

mod baseline;
mod contexts;
mod cost;
mod health;
mod links;
mod policy;
mod pool;
mod replica;

pub use crate::{
    baseline::{Affinity, AlwaysImport, AlwaysRecompute, HotOrImport, LeastLoaded, Random},
    contexts::{Contexts, LastUse},
    cost::Cost,
    links::{Links, Transfer, Window},
    policy::{
        Choice, CostWeights, HotReplica, Plan, Policy, Reason, RouteError, RoutingRequest,
        StoredPieces,
    },
    pool::{Entry, Pool},
    replica::{Averages, End, Load, Replica, Ticket},
};
