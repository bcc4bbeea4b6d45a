//! Measures the decisions: replays the users' workloads through the decision crates.
//!
//! [`run`] steps a clock through small fakes of engine, link and store and drives the same
//! routing and admission code as the daemon. The same seed gives the same figures. There is no
//! model of network, processes or machine failures.

mod bound;
mod compare;
mod decide;
mod event;
mod fake;
mod figures;
mod instance;
mod policies;
mod spec;
mod trace;
mod transfer;

pub use crate::{
    bound::{Bound, bound},
    compare::{CompareError, compare},
    decide::{Options, run},
    figures::{ClassFigures, Figures, table},
    policies::{PolicyKind, UnknownPolicy},
    spec::{Spec, UnknownWorkload, Workload},
    trace::{Request, Trace},
};
