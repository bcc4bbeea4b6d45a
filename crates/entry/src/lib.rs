//! The callers' API: completions that survive lost streams, replicas and instances, calls to plain
//! services that run at most once, and the question which address to use.

mod admission;
mod asked;
mod body;
mod call;
mod completion;
mod contexts;
mod core;
mod handle;
mod job;
mod keep;
mod launch;
mod metrics;
mod placement;
mod pools;
mod problem;
mod relay;
mod respond;
mod router;
mod running;
mod sequence;
mod stores;

pub use crate::{
    admission::{Admission, Bounds},
    body::{Api, Prompt},
    contexts::ContextShards,
    core::{Backends, Core, Draw, Secrets, Sizes},
    handle::{Handle, HandleError, Mark, Sealed},
    metrics::Metrics,
    pools::{MakePolicy, Pools, ReplicaRef},
    problem::{Fault, Problem, Ran},
    router::router,
    running::{Running, Work},
    sequence::{CatchUp, Delivery, Sequence, Verdict},
    stores::{StoreRef, Stores},
};
