//! Chooses the replica for a request and the source of its prompt's KV cache, and keeps the retry
//! budget. Callers describe the parts of their prompts; crate `route` is for prompts whose text is
//! cut into the pieces of crate `kv`.
//!
//! The code does no I/O and reads neither a clock nor a random source: the caller passes loads and
//! times in.

mod budget;
mod catalog;
mod choice;
mod cold;
mod cost;
mod limits;
mod partition;
mod plan;
mod pool;
mod prompt;
mod refusals;
mod report;
mod room;
mod roster;
mod salt;
mod share;
mod speed;
mod tracker;

pub use crate::{
    budget::{BudgetUse, Denials, RetryBudget, RetryBudgets},
    catalog::{Catalog, Change, HeldPart},
    choice::{Choice, PlacementError, PlacementRequest},
    cold::{ColdBound, ColdReplicas},
    limits::{LimitReport, Limits, NamedLimit, Peers, Permit},
    partition::EngineShare,
    plan::{Plan, Source, Transfer, free_delay, old_part_grace},
    pool::{Load, Outcome, PeerLoad, Pool, is_long},
    prompt::{Part, Prompt},
    refusals::{RefusalReport, Refusals},
    report::{LoadReport, ReplicaLoad},
    room::Headroom,
    salt::{Salt, cache_salt},
    tracker::Tracker,
};
