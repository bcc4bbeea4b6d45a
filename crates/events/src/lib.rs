//! Events of all instances, kept in bounded memory and merged into one list ordered by time.
//!
//! Each instance records its events in a [`Log`]. The operator's command-line tool reads pages from
//! each instance, merges them with [`merge`] and prints them as JSON lines or, with [`trace`], in
//! the format of Chrome's trace viewer.

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
