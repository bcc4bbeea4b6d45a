//! HTTP API for callers. Completions continue when a stream, a replica or an instance fails. Calls
//! to plain services that are not idempotent run at most once. `/v1/where` tells a caller which
//! addresses to use.

mod admission;
mod body;
mod call;
mod completion;
mod contexts;
mod core;
mod handle;
mod job;
mod launch;
mod metrics;
mod placement;
mod pools;
mod problem;
mod relay;
mod request_meta;
mod respond;
mod router;
mod running;
mod save;
mod sequence;
mod stores;

pub use crate::{
    admission::{Admission, AdmissionLimits},
    body::{Api, Prompt},
    contexts::ContextShards,
    core::{Backends, Core, RandomSource, RequestLimits, Secrets},
    handle::{Handle, HandleError, HandlePayload, StreamPosition},
    metrics::Metrics,
    pools::{MakePolicy, Pools, ReplicaRef},
    problem::{Problem, ProblemKind, Ran},
    router::router,
    running::{Running, WorkGuard},
    sequence::{CatchUp, Delivery, Sequence, Verdict},
    stores::{StoreRef, Stores},
};
