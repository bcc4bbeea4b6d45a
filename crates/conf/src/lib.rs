//! Configuration: what operators declare, how a change is accepted, and what is in force.
//!
//! Every accepted change has one revision in a log. A [`View`] is the result of applying a prefix
//! of the log; its revision never decreases.

mod doc;
mod view;

pub use crate::{
    doc::{
        Change, Doc, DocKey, Kind, Limits, Model, Params, Patch, Secrets, State, Target,
        TargetKind, Team, Template, Weights,
    },
    view::{ApplyError, Grant, View},
};
