//! The time line: what each instance did, bounded in memory, merged over all instances.
//!
//! Every instance records its events in a [`Log`]. An operator's tool reads pages from each
//! instance, merges them with [`merge`] and shows them as JSON lines or, with [`trace`], in the
//! format of Chrome's trace viewer.

mod event;
mod log;
mod merge;
mod trace;

pub use crate::{
    event::{Event, EventKind, Phase},
    log::{Log, Page},
    merge::merge,
    trace::trace,
};
