//! The state of the fleet as one instance knows it: the configuration in use, the replicas of each
//! target, the announced weights and the other instances.
//!
//! Adapters update a [`View`]; routing and placement read snapshots of it, which are cheap to take.

mod config;
mod view;
mod walls;

pub use crate::{
    config::{
        ColdLimit, Config, Engine, Key, Limits, RequestKind, Route, RouteShare, Store, Target, Team,
    },
    view::{Announcement, Confirmed, Instance, Replica, Snapshot, View, Weights},
    walls::{CacheScope, Walls},
};
