//! The state of the fleet as one instance knows it: the configuration in use, the replicas of each
//! target, the announced weights and the other instances.
//!
//! Adapters update a [`View`]; routing and placement read snapshots of it, which are cheap to take.

mod setup;
mod view;

pub use crate::{
    setup::{Engine, Key, Kind, Limits, Route, Setup, Share, Store, Target, Team},
    view::{Confirmed, Instance, Naming, Replica, Snapshot, View, Weights},
};
