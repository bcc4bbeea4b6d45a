//! Chooses the replica for a request and the source of its prompt's KV cache, and keeps the retry
//! budget.
//!
//! The code does no I/O and reads neither a clock nor a random source: the caller passes loads and
//! times in.

mod budget;
mod catalog;
mod plan;
mod pool;
mod prompt;
mod room;

pub use crate::{
    budget::{Budget, Budgets},
    catalog::{Catalog, Change, Held},
    plan::{Plan, Source, Transfer, free_term, old_part_grace, salt, salted},
    pool::{Ask, Choice, Denied, Outcome, PeerLoad, Pool, Work},
    prompt::{Part, Prompt},
    room::Room,
};
