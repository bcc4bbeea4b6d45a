//! Configuration: what operators declare, how a change is accepted, and what is in force.
//!
//! Every accepted change has one revision in a log. A [`View`] is the result of applying a prefix
//! of the log; its revision never decreases.

mod check;
mod doc;
mod store;
mod view;
mod wire;

pub use crate::{
    check::{Fault, Field, faults},
    doc::{
        Change, Doc, DocKey, Kind, Limits, Model, Params, Patch, Secrets, State, Target,
        TargetKind, Team, Template, Weights,
    },
    store::{AcceptError, LoadError, SNAPSHOT_EVERY, Store},
    view::{ApplyError, Grant, Item, View},
};
