//! Configuration: the documents of operators, the acceptance of changes, and the configuration in
//! force.
//!
//! Every accepted change has one revision in a log. A [`View`] is the result of applying a prefix
//! of the log; its revision never decreases.

mod check;
mod doc;
mod store;
mod view;
mod wire;

pub use crate::{
    check::{Field, Violation, violations},
    doc::{
        Change, Doc, DocKey, KeyDigests, Kind, Limits, Model, Params, Patch, State, Target,
        TargetKind, Team, Template, Weights,
    },
    store::{AcceptError, LoadError, SNAPSHOT_INTERVAL_REVS, Store},
    view::{ApplyError, Item, ResolvedTeam, View},
};
