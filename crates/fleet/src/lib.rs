//! What an instance knows of its surroundings: the configuration in force, the replicas of each
//! target, the wanted weights and the other instances.
//!
//! Adapters fill a [`View`]; routing and placing read cheap snapshots of it.

mod setup;
mod view;

pub use crate::{
    setup::{Engine, Key, Kind, Limits, Route, Setup, Share, Store, Target, Team},
    view::{Age, Instance, Naming, Replica, Snapshot, View, Weights},
};
